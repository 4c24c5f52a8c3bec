//! Tests how `filbertctl explain` traces a call through recorded log lines.

use filbert_ctl::explain::{trace_call, LogLine};
use rstest::rstest;

/// Lines of three daemons, behind the columns of a log collector. The daemon `other`
/// did not handle the call.
const CALL_LINES: &str = r#"
  21.1 caller ts=2026-01-01T00:00:21.100+00:00 level=info event=link_down peer=far reason="no answer to a ping"
  21.2 gate ts=2026-01-01T00:00:21.201+00:00 level=info event=gate_declined request=order-7 service=quotes reason=Crowded waited_ms=0 room_in_ms=90 running=9 waiting=5 slots=9 run_ms=230 aim_ms=600 left_ms=3900
  21.2 caller ts=2026-01-01T00:00:21.202+00:00 level=info event=attempt_ended request=order-7 route=r-1 host=gate end=Declined next=SendAgain arrivals=0 declines=1 occupancy=12 slots=9 run_ms=230 ill_share=0.00 in_zone=true candidates=3
  21.2 caller ts=2026-01-01T00:00:21.205+00:00 level=info event=call_ended request=order-7 outcome=refused status=503 reason=no_room route=r-1 service=quotes version=0000000c host=gate software=v2 attempts=1 declines=1 took_ms=4 aim_ms=600 come_back_ms=120
  21.3 caller ts=2026-01-01T00:00:21.300+00:00 level=info event=lines_held_back ordinary=40 notable=3
  21.3 other ts=2026-01-01T00:00:21.300+00:00 level=info event=lines_held_back ordinary=1 notable=900
garbage that is no line of ours
"#;

fn lines() -> Vec<LogLine> {
    CALL_LINES
        .lines()
        .filter_map(|line| LogLine::parse(line, "file"))
        .collect()
}

#[test]
fn lines_of_a_call_are_ordered_across_daemons() {
    let trace = trace_call("order-7", &lines()).expect("a trace");
    let order: Vec<&str> = trace
        .lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    assert_eq!(order, ["gate", "caller", "caller"]);
    assert_eq!(
        trace.state_changes.len(),
        1,
        "the lost link before the call"
    );
    assert_eq!(
        trace.suppressed_lines, 3,
        "counts only daemons that handled the call"
    );
}

/// Guards against a refusal by a target's limit that looks like one for want of slots.
#[test]
fn a_refusal_by_a_limit_names_the_limit() {
    let line = "ts=2026-01-01T00:00:21.201+00:00 level=info event=gate_declined request=r reason=Limited limit=3.3";
    let line = LogLine::parse(line, "file").expect("a line");
    let description = line.describe();
    assert!(
        description.contains("(Limited)") && description.contains("accepts 3.3 calls per second"),
        "{description}"
    );
}

/// Guards against a call that was passed over for fairness and looks like one for want of
/// slots.
#[test]
fn a_call_that_was_passed_over_names_its_share() {
    let line = "ts=2026-01-01T00:00:21.201+00:00 level=info event=gate_declined request=r reason=BeyondShare share=00000000000000aa weight=160 ahead_ms=945";
    let line = LogLine::parse(line, "file").expect("a line");
    let description = line.describe();
    assert!(
        description.contains("945 ms of run time ahead of its share (weight 160)"),
        "{description}"
    );
}

#[rstest]
#[case("declined in front of the target (Crowded)")]
#[case("9 running and 5 waiting for 9 slots")]
#[case("declined before it reached the target; sent to another target")]
#[case("refused without having run, status 503")]
#[case("asked to retry after 120 ms")]
#[case("last attempt at a target with software version v2")]
#[case("link_down peer=far reason=no answer to a ping")]
fn events_are_described_in_words(#[case] description: &str) {
    let trace = trace_call("order-7", &lines())
        .expect("a trace")
        .to_string();
    assert!(
        trace.contains(description),
        "{description} is not in:\n{trace}"
    );
}

/// Guards against a refusal over the limit whose reason cannot be read from the trace.
#[rstest]
#[case::at_once("limit_reached", "no token was expected in time")]
#[case::late("late", "tokens went to calls that could still be in time")]
#[case::waited("no_token", "it waited, and no token came in time")]
fn the_reason_for_no_token_is_described(#[case] quota: &str, #[case] description: &str) {
    let line = format!("ts=2026-01-01T00:00:21.400+00:00 level=info event=call_ended request=read-1 call=c3 outcome=over_quota status=429 reason=over_quota organisation=north quota={quota}");
    let lines: Vec<LogLine> = LogLine::parse(&line, "file").into_iter().collect();
    let trace = trace_call("read-1", &lines).expect("a trace").to_string();
    assert!(trace.contains(description), "{trace}");
}

#[test]
fn unlogged_call_has_no_trace() {
    assert_eq!(trace_call("unheard", &lines()), None);
}

/// Lines about a lookup that crashed three targets and is held back since.
const HELD_CALL_LINES: &str = r#"
ts=2026-01-01T00:00:20.900+00:00 level=info event=call_suspected call=c1 strikes=2 from=reply
ts=2026-01-01T00:00:21.000+00:00 level=info event=gate_ran request=look-3 call=c1 instance=i-3 verdict=target_ended reason="closed without an answer" waited_ms=0 ran_ms=40
ts=2026-01-01T00:00:21.001+00:00 level=warn event=call_held call=c1 strikes=3 from=target
ts=2026-01-01T00:00:21.002+00:00 level=warn event=call_held call=c2 strikes=3 from=target
ts=2026-01-01T00:00:21.400+00:00 level=info event=call_ended request=look-4 call=c1 outcome=refused status=503 reason=held_back route=r-1 service=quotes version=0000000c host= attempts=0 declines=0 took_ms=0 aim_ms=600 come_back_ms=4600
"#;

#[rstest]
#[case::one_request("look-4", &["call_suspected", "call_held", "call_ended"])]
#[case::all_requests("c1", &["call_suspected", "gate_ran", "call_held", "call_ended"])]
fn trace_of_a_held_call_includes_its_quarantine_events(#[case] id: &str, #[case] events: &[&str]) {
    let lines: Vec<LogLine> = HELD_CALL_LINES
        .lines()
        .filter_map(|line| LogLine::parse(line, "file"))
        .collect();
    let trace = trace_call(id, &lines).expect("a trace");
    let traced: Vec<&str> = trace
        .lines
        .iter()
        .map(|line| line.fields["event"].as_str())
        .collect();
    assert_eq!(traced, events);
    let text = trace.to_string();
    for description in [
        "2 targets in a row crashed while running call c1",
        "call c1 is held back from now on",
        "reason held_back",
    ] {
        assert!(
            text.contains(description),
            "{description} is not in:\n{text}"
        );
    }
}
