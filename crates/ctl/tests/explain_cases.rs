//! The story of a call, from recorded lines of the daemons it crossed.

use filbert_ctl::explain::{story_of, LogLine};
use rstest::rstest;

/// Lines as two daemons wrote them, in a collector's columns.
const LINES: &str = r#"
  21.1 caller ts=2026-01-01T00:00:21.100+00:00 level=info event=link_down peer=far reason="no answer to a ping"
  21.2 gate ts=2026-01-01T00:00:21.201+00:00 level=info event=gate_declined request=order-7 service=quotes reason=Crowded waited_ms=0 room_in_ms=90 running=9 waiting=5 slots=9 run_ms=230 aim_ms=600 left_ms=3900
  21.2 caller ts=2026-01-01T00:00:21.202+00:00 level=info event=attempt_ended request=order-7 route=r-1 host=gate end=Declined next=SendAgain arrivals=0 declines=1 occupancy=12 slots=9 run_ms=230 ill_share=0.00 in_zone=true candidates=3
  21.2 caller ts=2026-01-01T00:00:21.205+00:00 level=info event=call_ended request=order-7 outcome=refused status=503 reason=no_room route=r-1 service=quotes version=0000000c host=gate software=v2 attempts=1 declines=1 took_ms=4 aim_ms=600 come_back_ms=120
  21.3 caller ts=2026-01-01T00:00:21.300+00:00 level=info event=lines_held_back ordinary=40 notable=3
  21.3 other ts=2026-01-01T00:00:21.300+00:00 level=info event=lines_held_back ordinary=1 notable=900
garbage that is no line of ours
"#;

fn lines() -> Vec<LogLine> {
    LINES
        .lines()
        .filter_map(|line| LogLine::parse(line, "file"))
        .collect()
}

#[test]
fn the_lines_of_a_call_come_in_order_across_daemons() {
    let story = story_of("order-7", &lines()).expect("a story");
    let order: Vec<&str> = story
        .lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    assert_eq!(order, ["gate", "caller", "caller"]);
    assert_eq!(story.context.len(), 1, "the lost link before it");
    assert_eq!(story.left_out, 3, "only of the daemons it crossed");
}

#[rstest]
#[case("turned away in front of the target (Crowded)")]
#[case("9 running and 5 waiting for 9 slots")]
#[case("declined before the target saw it; sent to another target")]
#[case("refused, certainly not run with status 503")]
#[case("told to come back after 120 ms")]
#[case("last tried at a target of software v2")]
#[case("link_down peer=far reason=no answer to a ping")]
fn the_story_says_in_words(#[case] part: &str) {
    let story = story_of("order-7", &lines()).expect("a story").to_string();
    assert!(story.contains(part), "{part} is not in:\n{story}");
}

#[test]
fn a_call_that_no_line_names_has_no_story() {
    assert_eq!(story_of("unheard", &lines()), None);
}

/// A lookup ended three servers and is held back, as three daemons wrote it.
const HELD: &str = r#"
ts=2026-01-01T00:00:20.900+00:00 level=info event=call_suspected call=c1 strikes=2 from=reply
ts=2026-01-01T00:00:21.000+00:00 level=info event=gate_ran request=look-3 call=c1 instance=i-3 verdict=target_ended reason="closed without an answer" waited_ms=0 ran_ms=40
ts=2026-01-01T00:00:21.001+00:00 level=warn event=call_held call=c1 strikes=3 from=target
ts=2026-01-01T00:00:21.002+00:00 level=warn event=call_held call=c2 strikes=3 from=target
ts=2026-01-01T00:00:21.400+00:00 level=info event=call_ended request=look-4 call=c1 outcome=refused status=503 reason=held_back route=r-1 service=quotes version=0000000c host= attempts=0 declines=0 took_ms=0 aim_ms=600 come_back_ms=4600
"#;

#[rstest]
#[case::one_try("look-4", &["call_suspected", "call_held", "call_ended"])]
#[case::all_tries("c1", &["call_suspected", "gate_ran", "call_held", "call_ended"])]
fn a_held_call_is_told_with_what_held_it(#[case] id: &str, #[case] events: &[&str]) {
    let lines: Vec<LogLine> = HELD
        .lines()
        .filter_map(|line| LogLine::parse(line, "file"))
        .collect();
    let story = story_of(id, &lines).expect("a story");
    let told: Vec<&str> = story
        .lines
        .iter()
        .map(|line| line.fields["event"].as_str())
        .collect();
    assert_eq!(told, events);
    let text = story.to_string();
    for part in [
        "2 targets in a row ended under call c1",
        "call c1 is held back from now on",
        "reason held_back",
    ] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
}
