//! Error messages of `filbertd` and `filbertctl` for users, and shell completions.

use std::process::Command;

use rstest::rstest;

/// The text of an invalid settings file, and what the error message must contain.
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
fn invalid_settings_are_reported_with_their_line(#[case] case: MessageCase) {
    let folder = std::env::temp_dir().join(format!(
        "filbert-messages-{}-{}",
        std::process::id(),
        case.text.len()
    ));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let path = folder.join("settings.toml");
    std::fs::write(&path, case.text).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_filbertd"))
        .args(["mesh", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("filbertd runs");
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
fn missing_log_file_is_reported_with_its_cause() {
    let output = Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["explain", "some-id", "/nowhere/at/all"])
        .output()
        .expect("filbertctl runs");
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
fn completions_are_generated_for_each_shell(#[case] shell: &str, #[case] expected: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["completions", shell])
        .output()
        .expect("filbertctl runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    assert!(text.contains(expected), "{expected} is not in {text}");
    assert!(text.contains("withdraw"), "{text}");
}

/// An edit is rejected while backtraces are enabled, as in the README's demo. The
/// message must be one line with the reason and no backtrace, which would look like
/// a crash.
#[test]
fn rejected_edit_is_reported_in_one_line_without_a_backtrace() {
    let report = error_stack::Report::new(filbert_ctl::error::CtlError::BadInput)
        .attach("route names unknown service `nowhere`");
    assert_eq!(
        filbert_ctl::error::format_report(&report),
        "bad input (route names unknown service `nowhere`)"
    );
}
