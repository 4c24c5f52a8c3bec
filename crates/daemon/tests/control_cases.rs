//! Tests of the control reducer, without I/O: versions that arrive out of order
//! or are invalid, platform outages, changing targets, and joining or becoming
//! the zone's relay.

use std::sync::Arc;
use std::time::Duration;

use filbert_daemon::clock::{Clock, ClockReading, SystemClock};
use filbert_daemon::control::{
    ControlEffect, ControlEvent, ControlSettings, ControlState, LeaseRow, PlatformStep,
    StateChange, ZoneRole,
};
use filbert_daemon::messages::{
    PeerHello, PeerMessage, RelayMessage, RelayWelcome, TargetChange, ZoneMembership,
};
use filbert_daemon::settings::DistributionMode;
use filbert_store::{LeaseRecord, TargetAnnouncement, TargetRecord};
use filbert_tree::{BranchPath, SettingsTree, VersionRecord};
use proptest::prelude::*;
use rstest::rstest;

const COOP: &str = include_str!("../../../examples/coop.toml");

/// A reducer whose clock the test sets.
struct TestDaemon {
    control: ControlState,
    start: ClockReading,
}

impl TestDaemon {
    /// Starts a daemon in direct mode.
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

    /// Handles `event` at `ms` milliseconds after the start.
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

/// Versions in the order of their arrival (number, valid), the version that must
/// be in force afterwards, and those that must have been applied on the way.
struct ArrivalCase {
    arrivals: &'static [(u64, bool)],
    in_force: u64,
    applied: &'static [u64],
}

#[rstest]
#[case::in_order(ArrivalCase { arrivals: &[(1, true), (2, true)], in_force: 2, applied: &[1, 2] })]
#[case::out_of_order(ArrivalCase { arrivals: &[(3, true), (2, true)], in_force: 3, applied: &[3] })]
#[case::repeated(ArrivalCase { arrivals: &[(2, true), (2, true)], in_force: 2, applied: &[2] })]
#[case::invalid_after_valid(ArrivalCase { arrivals: &[(1, true), (2, false)], in_force: 1, applied: &[1] })]
#[case::valid_after_invalid(ArrivalCase { arrivals: &[(1, false), (2, true)], in_force: 2, applied: &[2] })]
fn applies_only_valid_versions_in_ascending_order(#[case] case: ArrivalCase) {
    // Guards against going back to an older version and against applying part
    // of an invalid one. A fetch that started earlier can complete after a newer
    // version is in force, and a fetched version can be invalid.
    let mut daemon = TestDaemon::new();
    let mut effects = Vec::new();
    for (number, valid) in case.arrivals {
        effects.extend(daemon.step(fetched(*number, *valid)));
    }
    assert_eq!(daemon.control.applied(), case.in_force);
    assert_eq!(applied_numbers(&effects), case.applied);
}

#[test]
fn rejected_version_is_in_status_and_not_fetched_again() {
    // Guards against fetching a rejected version again at every poll. An invalid
    // version must be rejected as a whole, logged, and named in the status.
    let mut daemon = TestDaemon::new();
    daemon.step(fetched(1, true));
    let effects = daemon.step(fetched(2, false));
    assert!(effects.iter().any(|effect| matches!(
        effect,
        ControlEffect::RecordStateChange {
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
fn platform_outage_keeps_last_version_and_is_logged_once() {
    // The platform becomes unreachable after version 1 was applied. Version 1
    // must stay in force and the status must show the platform as unreachable. The
    // loss must be logged once, however many calls fail, and the recovery too.
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
        [ControlEffect::RecordStateChange {
            change: StateChange::PlatformLost { serving: 1 }
        }]
    );
    assert!(second.is_empty());
    assert_eq!(daemon.control.applied(), 1);
    assert!(!daemon.control.view().platform_reachable);
    let recovery = daemon.step(ControlEvent::CurrentRead {
        number: 1,
        object: "versions/1".to_owned(),
        delta: None,
    });
    assert!(recovery.contains(&ControlEffect::RecordStateChange {
        change: StateChange::PlatformBack
    }));
}

/// Version 2 of a [`StageCase`]: its `quotes` route moves to a service that
/// version 1 does not use.
fn version_with_new_service() -> ControlEvent {
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

/// Times of a staged version in milliseconds. The version arrives at 1000 ms.
struct StageCase {
    /// When the new service's first target announces itself, if ever.
    target_joins_at: Option<u64>,
    /// When the version must still be staged.
    still_staged_at: Option<u64>,
    /// When the version must be in force at the latest.
    in_force_by: u64,
}

#[rstest]
#[case::target_known_before(StageCase { target_joins_at: Some(0), still_staged_at: None, in_force_by: 1_000 })]
#[case::target_joins_while_staged(StageCase { target_joins_at: Some(1_500), still_staged_at: Some(1_400), in_force_by: 1_500 })]
#[case::target_never_joins(StageCase { target_joins_at: None, still_staged_at: Some(2_900), in_force_by: 3_100 })]
fn version_is_staged_until_new_service_has_target_or_timeout(#[case] case: StageCase) {
    // Guards against routes to a service with no known target, after a version
    // moves the quotes route to that service. The old routes must stay in force
    // until a target is known, but no longer than the staging timeout of 2
    // seconds.
    let mut daemon = TestDaemon::new();
    daemon.step(fetched(1, true));
    let announced = |at: u64, now: u64| {
        (at <= now).then(|| ControlEvent::TargetAnnounced {
            announcement: TargetAnnouncement {
                service: "pricing".to_owned(),
                address: "127.0.0.1:9009".to_owned(),
                load: 0,
                leaving: false,
            },
        })
    };
    let mut version_sent = false;
    for now in (0..4_000).step_by(100) {
        if let Some(event) = case.target_joins_at.and_then(|at| announced(at, now)) {
            daemon.step_at(now, event);
        }
        if now >= 1_000 && !version_sent {
            version_sent = true;
            daemon.step_at(now, version_with_new_service());
        }
        daemon.step_at(now, ControlEvent::Tick);
        if case.still_staged_at == Some(now) {
            assert_eq!(daemon.control.applied(), 1, "at {now} ms");
            assert_eq!(daemon.control.view().staged, Some(2), "at {now} ms");
        }
        if now >= case.in_force_by {
            assert_eq!(daemon.control.applied(), 2, "at {now} ms");
        }
    }
}

fn announce(leaving: bool) -> ControlEvent {
    ControlEvent::TargetAnnounced {
        announcement: TargetAnnouncement {
            service: "quoting".to_owned(),
            address: "127.0.0.1:9001".to_owned(),
            load: 0,
            leaving,
        },
    }
}

#[test]
fn leaving_target_stops_serving_and_its_row_is_written_at_once() {
    // Guards against calls that are still sent to a target after it announced
    // that it is leaving. The event must remove the target from the proxy's
    // serving targets, and rewrite its row for the zone's other daemons.
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
fn target_without_announcements_expires() {
    // Guards against a target that stays in the proxy's view after it crashed
    // and could not announce that it is leaving.
    let mut daemon = TestDaemon::new();
    daemon.step_at(1_000, announce(false));
    daemon.step_at(3_900, ControlEvent::Tick);
    assert_eq!(daemon.control.view().targets.get("quoting"), Some(&1));
    daemon.step_at(4_100, ControlEvent::Tick);
    assert_eq!(daemon.control.view().targets.get("quoting"), None);
}

/// How a daemon that scans target rows for lack of a relay gets one again.
#[derive(Clone, Copy, Debug)]
enum RelayFound {
    /// It links to a relay that knows no targets.
    Joins,
    /// It acquires the lease and becomes the relay.
    BecomesLeader,
    /// It links to a relay before the result of its scan arrives.
    JoinsBeforeScanArrives,
}

#[rstest]
#[case::joins(RelayFound::Joins)]
#[case::becomes_leader(RelayFound::BecomesLeader)]
#[case::joins_before_scan_arrives(RelayFound::JoinsBeforeScanArrives)]
fn scanned_target_expires_after_relay_is_found(#[case] relay_found: RelayFound) {
    // Guards against a dead target that is never removed. A daemon without a
    // relay scans another host's target row, the other host crashes, and the
    // daemon joins or becomes the relay. It scans no more from then on, but the
    // target must still be removed.
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
    if let RelayFound::JoinsBeforeScanArrives = relay_found {
        join_relay(&mut daemon, 4_000);
        daemon.step_at(4_100, read);
    } else {
        daemon.step_at(4_000, read);
        assert_eq!(daemon.control.view().targets.get("quoting"), Some(&1));
    }
    match relay_found {
        RelayFound::Joins => join_relay(&mut daemon, 4_100),
        RelayFound::BecomesLeader => acquire_lease(&mut daemon, 4_100),
        RelayFound::JoinsBeforeScanArrives => {}
    }
    for now in (4_200..9_000).step_by(100) {
        daemon.step_at(now, ControlEvent::Tick);
    }
    assert_eq!(daemon.control.view().targets.get("quoting"), None);
}

#[test]
fn new_leader_polls_versions_at_poll_interval_at_once() {
    // Guards against a zone that gets a new version late because its new leader
    // still waits out the delay of platform reads that applies while a daemon
    // has no relay. The leader must poll at its normal interval from the moment
    // it acquires the lease.
    let mut daemon = TestDaemon::in_mode(DistributionMode::Relay);
    daemon.step(ControlEvent::Tick);
    acquire_lease(&mut daemon, 100);
    let read = ControlEvent::CurrentRead {
        number: 0,
        object: String::new(),
        delta: None,
    };
    daemon.step_at(110, read);
    let reads_current = |effects: &[ControlEffect]| effects.contains(&ControlEffect::ReadCurrent);
    assert!(!reads_current(&daemon.step_at(250, ControlEvent::Tick)));
    assert!(reads_current(&daemon.step_at(310, ControlEvent::Tick)));
}

#[test]
fn target_announced_between_hello_and_welcome_is_sent_to_relay() {
    // Guards against a target that gets no calls from any other daemon of the
    // zone. The hello does not list a target that announces itself after it was
    // sent, so the daemon must send the target to the relay without waiting for
    // the relay's welcome.
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
    let effects = daemon.step_at(105, ControlEvent::TargetAnnounced { announcement });
    let is_sent = effects.iter().any(|effect| match effect {
        ControlEffect::SendToRelay {
            message: PeerMessage::Targets(change),
            ..
        } => change
            .upserts
            .iter()
            .any(|target| target.address == "127.0.0.1:9009"),
        _ => false,
    });
    assert!(is_sent, "{effects:?}");
}

/// Guards against peers that each relay for themselves alone: their hellos overtook each other,
/// each was told of itself as the first successor, and the relay was lost soon after.
#[test]
fn successors_are_in_the_order_of_their_hellos() {
    let mut daemon = TestDaemon::in_mode(DistributionMode::Relay);
    acquire_lease(&mut daemon, 100);
    let mut told = Vec::new();
    for link in [3, 1, 2] {
        let message = PeerMessage::Hello(PeerHello {
            id: format!("b{link}"),
            address: format!("127.0.0.1:{link}"),
            applied: 0,
            rejected: None,
            targets: Vec::new(),
        });
        let received = ControlEvent::PeerMessageReceived {
            peer: link,
            message,
        };
        told.extend(daemon.step_at(110, received).iter().find_map(successors));
    }
    let joined = ["127.0.0.1:3", "127.0.0.1:1", "127.0.0.1:2"];
    for (others, successors) in told.iter().enumerate() {
        assert_eq!(*successors, joined[..=others]);
    }
    assert_eq!(told.len(), joined.len());
}

/// The successors that a welcome states.
fn successors(effect: &ControlEffect) -> Option<Vec<String>> {
    let ControlEffect::SendToPeers { message, .. } = effect else {
        return None;
    };
    match &**message {
        RelayMessage::Welcome(welcome) => Some(welcome.zone.successors.clone()),
        _ => None,
    }
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

fn join_relay(daemon: &mut TestDaemon, now: u64) {
    let row = LeaseRow {
        version: 1,
        record: lease_record("a2", "127.0.0.1:2"),
    };
    let effects = daemon.step_at(now, ControlEvent::LeaseRead { row: Some(row) });
    let link = effects.iter().find_map(|effect| match effect {
        ControlEffect::Connect { link, .. } => Some(*link),
        _ => None,
    });
    let link = link.expect("the daemon links to the lease holder");
    let welcome = RelayMessage::Welcome(RelayWelcome {
        token: 1,
        floor: 0,
        platform_reachable: true,
        zone: ZoneMembership::default(),
    });
    let targets = RelayMessage::Targets(TargetChange {
        is_snapshot: true,
        ..TargetChange::default()
    });
    for message in [welcome, targets] {
        daemon.step_at(now, ControlEvent::RelayMessageReceived { link, message });
    }
}

fn acquire_lease(daemon: &mut TestDaemon, now: u64) {
    let effects = daemon.step_at(now, ControlEvent::LeaseRead { row: None });
    let record = effects.into_iter().find_map(|effect| match effect {
        ControlEffect::WriteLease { record, .. } => Some(record),
        _ => None,
    });
    let row = LeaseRow {
        version: 1,
        record: record.expect("the daemon acquires the free lease"),
    };
    daemon.step_at(now, ControlEvent::LeaseWritten { row });
    assert_eq!(daemon.control.role(), ZoneRole::Leader);
}

proptest! {
    /// Valid and invalid versions arrive in any order, with platform outages in
    /// between. The numbers of the applied versions must strictly increase,
    /// belong to valid versions only, and end with the highest valid version
    /// that arrived.
    #[test]
    fn applied_versions_strictly_increase_and_are_valid(
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
        let highest_valid = schedule.iter().filter(|(_, valid, _)| *valid).map(|(number, _, _)| *number).max();
        prop_assert_eq!(daemon.control.applied(), highest_valid.unwrap_or(0));
    }
}
