//! What a person reads when a command or a settings file is wrong.

use std::process::Command;

use rstest::rstest;

/// A settings text, and the parts that the message must have.
struct MessageCase {
    text: &'static str,
    parts: &'static [&'static str],
}

#[rstest]
#[case(MessageCase { text: "id = \"h\"\nzon = \"a\"\n", parts: &["settings file invalid", "settings.toml", "line 2", "zon", "did you mean `zone`?"] })]
#[case(MessageCase { text: "[listen]\ncals = \"127.0.0.1:1\"\n", parts: &["line 2", "did you mean `calls`?"] })]
#[case(MessageCase { text: "[times]\ngrace = \"soon\"\n", parts: &["line 2", "`soon` is no time"] })]
#[case(MessageCase { text: "id = \"h", parts: &["settings file invalid", "line 1"] })]
#[case(MessageCase { text: "zöne = 1\n", parts: &["settings file invalid", "line 1"] })]
fn a_bad_settings_file_is_named_in_a_line(#[case] case: MessageCase) {
    let folder = std::env::temp_dir().join(format!(
        "filbert-messages-{}-{}",
        std::process::id(),
        case.text.len()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("settings.toml");
    std::fs::write(&path, case.text).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_filbertd"))
        .args(["mesh", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("it runs");
    std::fs::remove_dir_all(&folder).expect("removed");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    for part in case.parts {
        assert!(message.contains(part), "{part} is not in:\n{message}");
    }
    assert!(
        !message.contains("backtrace") && !message.contains(".rs:"),
        "{message}"
    );
}

#[test]
fn a_missing_file_and_an_unknown_call_are_told_plainly() {
    let output = Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["explain", "some-id", "/nowhere/at/all"])
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        message.contains("bad input (log file /nowhere/at/all)"),
        "{message}"
    );
    assert!(message.contains("cause: No such file"), "{message}");
    assert!(!message.contains(".rs:"), "{message}");
}

#[rstest]
#[case("bash", "complete -F")]
#[case("zsh", "#compdef filbertctl")]
#[case("fish", "complete -c filbertctl")]
fn a_shell_gets_its_completions(#[case] shell: &str, #[case] holds: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["completions", shell])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    assert!(text.contains(holds), "{holds} is not in {text}");
    assert!(text.contains("withdraw"), "{text}");
}

/// An edit is refused while backtraces are switched on, as in the README's demo.
/// The message must read as a sentence, not as a crash.
#[test]
fn a_refused_edit_reads_as_a_sentence() {
    let report = error_stack::Report::new(filbert_ctl::error::CtlError::BadInput)
        .attach("route names unknown service `nowhere`");
    assert_eq!(
        filbert_ctl::error::format_report(&report),
        "bad input (route names unknown service `nowhere`)"
    );
}
