//! When a call may wait for the first word of a target.

use std::time::{Duration, Instant};

use filbert_policy::first_report::TargetNews;
use rstest::rstest;

const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

/// News of a host, and whether a target may still be heard of later.
struct NewsCase {
    /// Whether word came that the target has not reported, at the start.
    is_unreported: bool,
    /// Whether the target's status came.
    is_heard: bool,
    after_ms: u64,
    may_bring_target: bool,
}

/// Guards against calls that are refused while the first word of a target is on its way,
/// and against calls that wait for a target that does not come.
#[rstest]
#[case::link_not_up(NewsCase { is_unreported: false, is_heard: false, after_ms: 9_000, may_bring_target: true })]
#[case::not_reported_yet(NewsCase { is_unreported: true, is_heard: false, after_ms: 1_400, may_bring_target: true })]
#[case::never_reported(NewsCase { is_unreported: true, is_heard: false, after_ms: 1_500, may_bring_target: false })]
#[case::heard(NewsCase { is_unreported: false, is_heard: true, after_ms: 0, may_bring_target: false })]
#[case::heard_later(NewsCase { is_unreported: true, is_heard: true, after_ms: 100, may_bring_target: false })]
fn a_target_may_be_heard_of_for_one_interval(#[case] case: NewsCase) {
    let started = Instant::now();
    let mut news = TargetNews::default();
    if case.is_unreported {
        news = news.after_unreported(started);
        // A second word of the same does not begin the interval anew.
        news = news.after_unreported(started + REPORT_INTERVAL);
    }
    if case.is_heard {
        news = TargetNews::Heard;
    }
    let now = started + Duration::from_millis(case.after_ms);
    assert_eq!(
        news.may_bring_target(REPORT_INTERVAL, now),
        case.may_bring_target
    );
}
