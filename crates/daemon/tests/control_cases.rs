//! The daemon's reducer under crossing updates, bad versions, platform
//! outages and target churn, driven event by event with no I/O.

use std::sync::Arc;
use std::time::Duration;

use filbert_daemon::clock::{Clock, ClockReading, SystemClock};
use filbert_daemon::control::{
    ControlEffect, ControlEvent, ControlSettings, ControlState, LeaseRow, PlatformStep,
    StateChange, ZoneRole,
};
use filbert_daemon::messages::{PeerMessage, RelayMessage, RelayWelcome, TargetChange, ZoneShape};
use filbert_daemon::settings::DistributionMode;
use filbert_store::{LeaseRecord, TargetAnnouncement, TargetRecord};
use filbert_tree::{BranchPath, SettingsTree, VersionRecord};
use proptest::prelude::*;
use rstest::rstest;

const COOP: &str = include_str!("../../../examples/coop.toml");

/// A reducer with a clock the test moves.
struct TestDaemon {
    control: ControlState,
    start: ClockReading,
}

impl TestDaemon {
    /// One in direct mode.
    fn new() -> TestDaemon {
        TestDaemon::in_mode(DistributionMode::Direct)
    }

    fn in_mode(mode: DistributionMode) -> TestDaemon {
        let start = SystemClock.reading();
        let settings = ControlSettings::new("a1", "zone-a", "127.0.0.1:1").mode(mode);
        TestDaemon {
            control: ControlState::new(settings, start),
            start,
        }
    }

    /// Steps at `ms` milliseconds after the start.
    fn step_at(&mut self, ms: u64, event: ControlEvent) -> Vec<ControlEffect> {
        let since = Duration::from_millis(ms);
        let at = ClockReading {
            now: self.start.now + since,
            wall: self.start.wall + since,
        };
        self.control.step(at, event)
    }

    fn step(&mut self, event: ControlEvent) -> Vec<ControlEffect> {
        self.step_at(0, event)
    }
}

fn version(number: u64, valid: bool) -> Arc<VersionRecord> {
    let mut tree = SettingsTree::from_toml(COOP).expect("example parses");
    if !valid {
        let quotes = BranchPath::parse("site/north-signs/quoting/quotes").expect("branch");
        tree.set(&quotes, "service", "ghost").expect("edit");
    }
    Arc::new(VersionRecord {
        number,
        parent: number.saturating_sub(1),
        restores: None,
        parent_object: None,
        tree,
    })
}

fn fetched(number: u64, valid: bool) -> ControlEvent {
    ControlEvent::VersionFetched {
        record: version(number, valid),
        bytes: 100,
    }
}

fn applied_numbers(effects: &[ControlEffect]) -> Vec<u64> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            ControlEffect::Apply { number, .. } => Some(*number),
            _ => None,
        })
        .collect()
}

/// Versions arriving in some order, and what must end in force.
struct ArrivalCase {
    arrivals: &'static [(u64, bool)],
    in_force: u64,
    applied: &'static [u64],
}

#[rstest]
#[case::in_order(ArrivalCase { arrivals: &[(1, true), (2, true)], in_force: 2, applied: &[1, 2] })]
#[case::crossed_in_flight(ArrivalCase { arrivals: &[(3, true), (2, true)], in_force: 3, applied: &[3] })]
#[case::repeated(ArrivalCase { arrivals: &[(2, true), (2, true)], in_force: 2, applied: &[2] })]
#[case::bad_after_good(ArrivalCase { arrivals: &[(1, true), (2, false)], in_force: 1, applied: &[1] })]
#[case::good_after_bad(ArrivalCase { arrivals: &[(1, false), (2, true)], in_force: 2, applied: &[2] })]
fn versions_apply_whole_and_never_backwards(#[case] case: ArrivalCase) {
    // Updates cross in flight: a fetch started earlier can land after a newer
    // version is already in force, and a version can be invalid. The daemon
    // must never go back to the older one and never apply a bad one in part.
    let mut daemon = TestDaemon::new();
    let mut effects = Vec::new();
    for (number, valid) in case.arrivals {
        effects.extend(daemon.step(fetched(*number, *valid)));
    }
    assert_eq!(daemon.control.applied(), case.in_force);
    assert_eq!(applied_numbers(&effects), case.applied);
}

#[test]
fn rejected_version_is_reported_and_not_fetched_again() {
    // A bad version reaches a daemon anyway. It must be refused whole with its
    // reason in the status, and the daemon must not fetch it over and over.
    let mut daemon = TestDaemon::new();
    daemon.step(fetched(1, true));
    let effects = daemon.step(fetched(2, false));
    assert!(effects.iter().any(|effect| matches!(
        effect,
        ControlEffect::Note {
            change: StateChange::Rejected { number: 2, .. }
        }
    )));
    assert_eq!(
        daemon.control.view().rejected.map(|(number, _)| number),
        Some(2)
    );
    let again = daemon.step(ControlEvent::CurrentRead {
        number: 2,
        object: "versions/2".to_owned(),
        delta: None,
    });
    assert!(again
        .iter()
        .all(|effect| !matches!(effect, ControlEffect::FetchVersion { .. })));
}

#[test]
fn platform_outage_keeps_the_last_version_and_says_so() {
    // The platform goes down after version 1 is applied. The daemon keeps
    // serving version 1, shows the platform unreachable in its status with
    // one log line, and says when it is back.
    let mut daemon = TestDaemon::new();
    daemon.step(fetched(1, true));
    let first = daemon.step(ControlEvent::PlatformFailed {
        step: PlatformStep::ReadCurrent,
    });
    let second = daemon.step(ControlEvent::PlatformFailed {
        step: PlatformStep::ReadCurrent,
    });
    assert_eq!(
        first,
        [ControlEffect::Note {
            change: StateChange::PlatformLost { serving: 1 }
        }]
    );
    assert!(second.is_empty());
    assert_eq!(daemon.control.applied(), 1);
    assert!(!daemon.control.view().platform_reachable);
    let back = daemon.step(ControlEvent::CurrentRead {
        number: 1,
        object: "versions/1".to_owned(),
        delta: None,
    });
    assert!(back.contains(&ControlEffect::Note {
        change: StateChange::PlatformBack
    }));
}

/// Version 2 of a staging case: quotes move to a service that version 1 does
/// not use.
fn moved_quotes() -> ControlEvent {
    let mut tree = SettingsTree::from_toml(COOP).expect("example parses");
    let route = BranchPath::parse("site/north-signs/quoting/quotes").expect("branch");
    let service = BranchPath::parse("site/north-signs/pricing").expect("branch");
    tree.set(&service, "timeout_ms", "900").expect("edit");
    tree.set(&route, "service", "pricing").expect("edit");
    ControlEvent::VersionFetched {
        record: Arc::new(VersionRecord {
            number: 2,
            parent: 1,
            restores: None,
            parent_object: None,
            tree,
        }),
        bytes: 100,
    }
}

/// When the new service's first target is heard of, if ever, and when the
/// version that needs it must be in force, in milliseconds.
struct StageCase {
    target_joins: Option<u64>,
    still_waits: Option<u64>,
    in_force_by: u64,
}

#[rstest]
#[case::target_known_before(StageCase { target_joins: Some(0), still_waits: None, in_force_by: 1_000 })]
#[case::target_joins_meanwhile(StageCase { target_joins: Some(1_500), still_waits: Some(1_400), in_force_by: 1_500 })]
#[case::no_target_ever(StageCase { target_joins: None, still_waits: Some(2_900), in_force_by: 3_100 })]
fn version_waits_a_while_for_targets_of_a_new_service(#[case] case: StageCase) {
    // A change moves quotes to a service whose targets this proxy may not
    // know yet. Until it knows one the old routes must go on serving, rather
    // than point at nothing; but an accepted version comes into force within
    // seconds all the same.
    let mut daemon = TestDaemon::new();
    daemon.step(fetched(1, true));
    let announced = |at: u64, now: u64| {
        (at <= now).then(|| ControlEvent::Announced {
            announcement: TargetAnnouncement {
                service: "pricing".to_owned(),
                address: "127.0.0.1:9009".to_owned(),
                load: 0,
                leaving: false,
            },
        })
    };
    let mut sent = false;
    for now in (0..4_000).step_by(100) {
        if let Some(event) = case.target_joins.and_then(|at| announced(at, now)) {
            daemon.step_at(now, event);
        }
        if now >= 1_000 && !sent {
            sent = true;
            daemon.step_at(now, moved_quotes());
        }
        daemon.step_at(now, ControlEvent::Tick);
        if case.still_waits == Some(now) {
            assert_eq!(daemon.control.applied(), 1, "at {now} ms");
            assert_eq!(daemon.control.view().staged, Some(2), "at {now} ms");
        }
        if now >= case.in_force_by {
            assert_eq!(daemon.control.applied(), 2, "at {now} ms");
        }
    }
}

fn announce(leaving: bool) -> ControlEvent {
    ControlEvent::Announced {
        announcement: TargetAnnouncement {
            service: "quoting".to_owned(),
            address: "127.0.0.1:9001".to_owned(),
            load: 0,
            leaving,
        },
    }
}

#[test]
fn leaving_target_leaves_rotation_at_once_and_is_published() {
    // A target announces that it is leaving. From that event on the proxy's
    // view must show it not serving, and its row must be rewritten at once so
    // the zone's other daemons stop sending it work too.
    let mut daemon = TestDaemon::new();
    daemon.step_at(1_000, announce(false));
    assert_eq!(daemon.control.view().targets.get("quoting"), Some(&1));
    let effects = daemon.step_at(1_100, announce(true));
    assert_eq!(daemon.control.view().targets.get("quoting"), Some(&0));
    assert!(effects.iter().any(|effect| matches!(
        effect,
        ControlEffect::WriteTarget { record } if record.leaving
    )));
}

#[test]
fn silent_target_expires() {
    // A target's host dies without a word. Once it has not been heard from
    // for the expiry, it must leave the proxy's view.
    let mut daemon = TestDaemon::new();
    daemon.step_at(1_000, announce(false));
    daemon.step_at(3_900, ControlEvent::Tick);
    assert_eq!(daemon.control.view().targets.get("quoting"), Some(&1));
    daemon.step_at(4_100, ControlEvent::Tick);
    assert_eq!(daemon.control.view().targets.get("quoting"), None);
}

/// How a daemon that fell back to rows gets a relay again.
#[derive(Clone, Copy, Debug)]
enum RelayAgain {
    /// It links to one, which knows no targets.
    Joins,
    /// It takes the lease itself.
    Leads,
    /// It links to one before the rows it asked for arrive.
    JoinsBeforeTheRead,
}

#[rstest]
#[case::joins(RelayAgain::Joins)]
#[case::leads(RelayAgain::Leads)]
#[case::joins_before_the_read(RelayAgain::JoinsBeforeTheRead)]
fn target_read_from_rows_does_not_outlive_its_host(#[case] again: RelayAgain) {
    // A daemon without a relay reads another host's target from its row. It
    // then has a relay again, or becomes it, and the other host has died
    // meanwhile. The target must leave its view within the expiry, rather
    // than get calls for good.
    let mut daemon = TestDaemon::in_mode(DistributionMode::Relay);
    daemon.step(ControlEvent::Tick);
    let other = TargetRecord {
        service: "quoting".to_owned(),
        address: "127.0.0.1:9001".to_owned(),
        zone: "zone-a".to_owned(),
        daemon: "a2".to_owned(),
        load: 0,
        leaving: false,
        heard_at_ms: u64::MAX,
    };
    let read = ControlEvent::TargetsRead {
        records: vec![other],
    };
    if let RelayAgain::JoinsBeforeTheRead = again {
        join_a_relay(&mut daemon, 4_000);
        daemon.step_at(4_100, read);
    } else {
        daemon.step_at(4_000, read);
        assert_eq!(daemon.control.view().targets.get("quoting"), Some(&1));
    }
    match again {
        RelayAgain::Joins => join_a_relay(&mut daemon, 4_100),
        RelayAgain::Leads => take_the_lease(&mut daemon, 4_100),
        RelayAgain::JoinsBeforeTheRead => {}
    }
    for now in (4_200..9_000).step_by(100) {
        daemon.step_at(now, ControlEvent::Tick);
    }
    assert_eq!(daemon.control.view().targets.get("quoting"), None);
}

#[test]
fn new_relay_reads_versions_at_its_poll_interval_at_once() {
    // A daemon has just taken its zone's lease, and an operator accepts a
    // change a moment later. The zone must not wait out the head start that
    // the daemon gave a relay while it had none.
    let mut daemon = TestDaemon::in_mode(DistributionMode::Relay);
    daemon.step(ControlEvent::Tick);
    take_the_lease(&mut daemon, 100);
    let read = ControlEvent::CurrentRead {
        number: 0,
        object: String::new(),
        delta: None,
    };
    daemon.step_at(110, read);
    let reads = |effects: &[ControlEffect]| effects.contains(&ControlEffect::ReadCurrent);
    assert!(!reads(&daemon.step_at(250, ControlEvent::Tick)));
    assert!(reads(&daemon.step_at(310, ControlEvent::Tick)));
}

/// A target announces itself between its daemon's hello to the zone's relay and
/// the relay's answer. The relay must be told all the same, or no other daemon
/// of the zone ever sends it a call.
#[test]
fn a_target_that_comes_between_hello_and_welcome_is_told_to_the_relay() {
    let mut daemon = TestDaemon::in_mode(DistributionMode::Relay);
    let row = LeaseRow {
        version: 1,
        record: lease_record("a2", "127.0.0.1:2"),
    };
    daemon.step_at(100, ControlEvent::LeaseRead { row: Some(row) });
    let announcement = TargetAnnouncement {
        service: "pricing".to_owned(),
        address: "127.0.0.1:9009".to_owned(),
        load: 0,
        leaving: false,
    };
    let effects = daemon.step_at(105, ControlEvent::Announced { announcement });
    let is_told = effects.iter().any(|effect| match effect {
        ControlEffect::SendUp {
            message: PeerMessage::Targets(change),
            ..
        } => change
            .upserts
            .iter()
            .any(|target| target.address == "127.0.0.1:9009"),
        _ => false,
    });
    assert!(is_told, "{effects:?}");
}

fn lease_record(holder: &str, address: &str) -> LeaseRecord {
    LeaseRecord {
        holder: holder.to_owned(),
        incarnation: 1,
        token: 1,
        address: address.to_owned(),
        renewed_at_ms: 0,
    }
}

fn join_a_relay(daemon: &mut TestDaemon, now: u64) {
    let row = LeaseRow {
        version: 1,
        record: lease_record("a2", "127.0.0.1:2"),
    };
    let effects = daemon.step_at(now, ControlEvent::LeaseRead { row: Some(row) });
    let link = effects.iter().find_map(|effect| match effect {
        ControlEffect::Connect { link, .. } => Some(*link),
        _ => None,
    });
    let link = link.expect("the daemon links to the holder");
    let welcome = RelayMessage::Welcome(RelayWelcome {
        token: 1,
        floor: 0,
        platform_reachable: true,
        zone: ZoneShape::default(),
    });
    let targets = RelayMessage::Targets(TargetChange {
        is_snapshot: true,
        ..TargetChange::default()
    });
    for message in [welcome, targets] {
        daemon.step_at(now, ControlEvent::RelaySaid { link, message });
    }
}

fn take_the_lease(daemon: &mut TestDaemon, now: u64) {
    let effects = daemon.step_at(now, ControlEvent::LeaseRead { row: None });
    let record = effects.into_iter().find_map(|effect| match effect {
        ControlEffect::WriteLease { record, .. } => Some(record),
        _ => None,
    });
    let row = LeaseRow {
        version: 1,
        record: record.expect("the daemon takes the free lease"),
    };
    daemon.step_at(now, ControlEvent::LeaseWritten { row });
    assert_eq!(daemon.control.role(), ZoneRole::Leader);
}

proptest! {
    /// History check over generated schedules: any order of arrivals of
    /// valid and invalid versions, interleaved with outages. The sequence of
    /// applied versions must rise strictly, contain only valid versions, and
    /// end at the highest valid version that arrived.
    #[test]
    fn applied_history_is_strictly_rising_and_valid(
        schedule in proptest::collection::vec((1u64..12, any::<bool>(), any::<bool>()), 1..40)
    ) {
        let mut daemon = TestDaemon::new();
        let mut history = Vec::new();
        for (number, valid, outage) in &schedule {
            if *outage {
                daemon.step(ControlEvent::PlatformFailed { step: PlatformStep::FetchVersion });
            }
            history.extend(applied_numbers(&daemon.step(fetched(*number, *valid))));
        }
        prop_assert!(history.windows(2).all(|pair| pair[0] < pair[1]), "history {:?}", history);
        for number in &history {
            prop_assert!(schedule.iter().any(|(arrived, valid, _)| arrived == number && *valid));
        }
        let best = schedule.iter().filter(|(_, valid, _)| *valid).map(|(number, _, _)| *number).max();
        prop_assert_eq!(daemon.control.applied(), best.unwrap_or(0));
    }
}
