//! Replays of a daemon's restarts: which targets get calls, by what the daemon has read
//! and by the reports that reach it.

use std::time::{Duration, Instant};

use filbert_policy::instance::{InstanceKey, InstanceReport, InstanceTracker};
use filbert_policy::restart_check::RestartCheck;
use proptest::prelude::*;
use rstest::rstest;

/// Usual time between two reports of a target.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

fn key(id: &str) -> InstanceKey {
    InstanceKey {
        id: id.to_owned(),
        born: None,
    }
}

fn ready_report(id: &str, sequence: u64) -> InstanceReport {
    InstanceReport {
        key: key(id),
        service: "quotes".to_owned(),
        software: "v1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        slots: 9,
        is_draining: false,
        sequence,
        cold_left: Duration::ZERO,
    }
}

/// A daemon that has been restarted, as far as it decides on calls to its target.
struct RestartedDaemon {
    tracker: InstanceTracker,
    check: RestartCheck,
}

impl RestartedDaemon {
    fn new(check: RestartCheck) -> RestartedDaemon {
        RestartedDaemon {
            tracker: InstanceTracker::default(),
            check,
        }
    }

    fn receive(&mut self, report: InstanceReport, now: Instant) {
        let instance = report.key.clone();
        if self.tracker.report(report, now) != filbert_policy::instance::InstanceChange::Stale {
            self.check.record_report(&instance, REPORT_INTERVAL, now);
        }
    }

    /// The daemon learns from the store which shutdowns it has acknowledged.
    fn read_shutdowns(&mut self, instances: &[InstanceKey], now: Instant) {
        for instance in instances {
            self.tracker.mark_left_before_restart(instance, now);
        }
        self.check.record_shutdowns_known();
    }

    /// Whether calls are sent to the target.
    fn is_open(&self) -> bool {
        self.tracker.current().is_some()
            && self.tracker.leaving_since().is_none()
            && self.check.allows_calls()
    }
}

/// Reports of one instance, and whether the target is open behind the last of them.
struct ReportsCase {
    check: RestartCheck,
    /// When each report arrives, since the first one.
    arrivals_ms: &'static [u64],
    is_open: bool,
}

/// Guards against a late report that opens a target whose shutdown was acknowledged, and
/// against a live target that stays closed while the store is away.
#[rstest]
#[case::first_start(ReportsCase { check: RestartCheck::first_start(), arrivals_ms: &[0], is_open: true })]
#[case::one_report(ReportsCase { check: RestartCheck::restarted(), arrivals_ms: &[0], is_open: false })]
#[case::burst_of_late_reports(ReportsCase { check: RestartCheck::restarted(), arrivals_ms: &[0, 100, 200, 700], is_open: false })]
#[case::further_report(ReportsCase { check: RestartCheck::restarted(), arrivals_ms: &[0, 1_500], is_open: true })]
#[case::early_further_report(ReportsCase { check: RestartCheck::restarted(), arrivals_ms: &[0, 1_000], is_open: true })]
#[case::late_report_before_those_of_a_live_target(ReportsCase { check: RestartCheck::restarted(), arrivals_ms: &[0, 100, 1_600], is_open: true })]
fn only_a_further_report_opens_a_target_without_the_store(#[case] case: ReportsCase) {
    let started = Instant::now();
    let mut daemon = RestartedDaemon::new(case.check);
    for (index, arrival_ms) in case.arrivals_ms.iter().enumerate() {
        let now = started + Duration::from_millis(*arrival_ms);
        daemon.receive(ready_report("one", index as u64 + 1), now);
    }
    assert_eq!(daemon.is_open(), case.is_open);
}

/// Guards against a target that stays closed because an instance before it was heard of.
#[test]
fn another_instance_is_checked_anew() {
    let now = Instant::now();
    let mut daemon = RestartedDaemon::new(RestartCheck::restarted());
    daemon.receive(ready_report("one", 1), now);
    daemon.receive(ready_report("one", 2), now + REPORT_INTERVAL);
    assert!(daemon.is_open());
    daemon.receive(ready_report("two", 1), now + REPORT_INTERVAL * 2);
    assert!(!daemon.is_open());
    daemon.receive(ready_report("two", 2), now + REPORT_INTERVAL * 3);
    assert!(daemon.is_open());
}

/// What reaches a restarted daemon.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A report that the target sent before it announced its shutdown.
    LateReport,
    /// The store's answer on the acknowledged shutdowns.
    StoreAnswer,
    /// Time passes.
    Pause(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        3 => Just(Event::LateReport),
        1 => Just(Event::StoreAnswer),
        3 => (1_u64..400).prop_map(Event::Pause),
    ];
    prop::collection::vec(event, 1..12)
}

proptest! {
    /// A target whose shutdown was acknowledged gets no call, in whatever order late reports
    /// within half an interval, the store's answers and restarts come; a target that goes on
    /// reporting gets calls behind its second report at the latest.
    #[test]
    fn no_order_of_late_reports_opens_a_target_that_has_left(
        histories in prop::collection::vec(events(), 1..4),
    ) {
        let mut now = Instant::now();
        let mut sequence = 0;
        for history in histories {
            let mut left = RestartedDaemon::new(RestartCheck::restarted());
            let mut live = RestartedDaemon::new(RestartCheck::restarted());
            let mut first_report = None;
            for event in history {
                match event {
                    Event::LateReport => {
                        let first_at = *first_report.get_or_insert(now);
                        let knows = left.check.are_shutdowns_known();
                        if knows || now < first_at + REPORT_INTERVAL.mul_f64(0.5) {
                            sequence += 1;
                            left.receive(ready_report("left", sequence), now);
                        }
                    }
                    Event::StoreAnswer => {
                        left.read_shutdowns(&[key("left")], now);
                        live.read_shutdowns(&[key("left")], now);
                    }
                    Event::Pause(millis) => now += Duration::from_millis(millis),
                }
                prop_assert!(!left.is_open());
            }
            live.receive(ready_report("live", 1), now);
            live.receive(ready_report("live", 2), now + REPORT_INTERVAL);
            prop_assert!(live.is_open());
        }
    }
}
