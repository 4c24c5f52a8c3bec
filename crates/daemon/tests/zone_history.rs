//! Tests of a simulated zone under single faults and under generated schedules
//! of faults. They check which daemon relays, in which order each daemon applies
//! versions, and that the zone recovers.

mod support;

use filbert_daemon::control::ZoneRole;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use support::{FakeZone, ZoneFault};

/// Steps within which a zone must recover from its last fault: the lease time,
/// the PING timeout, and several rounds of the maximum backoff.
const RECOVERY_STEPS: u64 = 200;

/// Daemons that applied a version older than the one before it, restarts included,
/// with the versions that they applied.
fn version_regressions(zone: &FakeZone) -> Vec<(usize, Vec<u64>)> {
    zone.daemons
        .iter()
        .enumerate()
        .filter(|(_, daemon)| daemon.applied.windows(2).any(|pair| pair[0] > pair[1]))
        .map(|(index, daemon)| (index, daemon.applied.clone()))
        .collect()
}

fn assert_recovered(zone: &FakeZone) {
    let roles = zone.roles();
    let leaders = roles
        .iter()
        .filter(|role| **role == ZoneRole::Leader)
        .count();
    let followers = roles
        .iter()
        .filter(|role| **role == ZoneRole::Follower)
        .count();
    assert_eq!(
        (leaders, followers),
        (1, roles.len() - 1),
        "roles {roles:?}"
    );
    for (index, daemon) in zone.daemons.iter().enumerate() {
        assert_eq!(daemon.control.applied(), zone.current, "daemon {index}");
    }
}

fn assert_one_holder_per_token(zone: &FakeZone) {
    for (token, lease_holders) in &zone.lease_holders {
        assert_eq!(
            lease_holders.len(),
            1,
            "token {token} held by {lease_holders:?}"
        );
    }
}

/// One fault on a stable zone of four daemons, during which a new version is accepted.
struct FaultCase {
    fault: ZoneFault,
    /// Steps from the fault to the check during it.
    steps: u64,
    /// Whether every running daemon must have applied the new version by then.
    applied_during_fault: bool,
}

const LEADER: usize = 0;

#[rstest]
// The relay is killed and restarts: its peers link to it or to its successor.
#[case::relay_restarts(FaultCase { fault: ZoneFault::Restart { daemon: LEADER }, steps: 60, applied_during_fault: true })]
// The relay is killed and stays down: its successor takes over.
#[case::relay_down(FaultCase { fault: ZoneFault::Down { daemon: LEADER, steps: 300 }, steps: 70, applied_during_fault: true })]
// The relay is frozen past its lease, another daemon takes over, then the relay resumes.
#[case::relay_frozen(FaultCase { fault: ZoneFault::Freeze { daemon: LEADER, steps: 100 }, steps: 70, applied_during_fault: false })]
// Only the relay is cut off from the platform: a peer takes the lease.
#[case::relay_cut_from_platform(FaultCase { fault: ZoneFault::PlatformUnreachable { daemon: LEADER, steps: 100 }, steps: 70, applied_during_fault: true })]
// No daemon reaches the platform: the zone recovers once the platform is back.
#[case::platform_down(FaultCase { fault: ZoneFault::PlatformDown { steps: 100 }, steps: 60, applied_during_fault: false })]
// Renewals take effect but their replies are lost: the holder keeps the lease.
#[case::reply_lost(FaultCase { fault: ZoneFault::LoseReplies { count: 3 }, steps: 60, applied_during_fault: true })]
// A daemon's link drops all traffic: the daemon links again.
#[case::link_blackholed(FaultCase { fault: ZoneFault::BlackholeLink { daemon: 1 }, steps: 60, applied_during_fault: true })]
// A daemon's link drops all messages but PINGs are answered: the daemon links again.
#[case::link_stalled(FaultCase { fault: ZoneFault::StallLink { daemon: 1 }, steps: 90, applied_during_fault: true })]
fn zone_survives_one_fault(#[case] case: FaultCase) {
    // An operator accepts a version during a fault. Where the case requires it,
    // every running daemon applies the version within 7 s (9 s for a link that
    // drops messages only). No daemon goes back to an older version, each lease
    // token has one holder, and the zone recovers after the fault.
    let mut zone = FakeZone::new(4);
    zone.run(50);
    let leader = zone.leaders()[0];
    zone.inject(retarget_to_leader(case.fault, leader));
    zone.inject(ZoneFault::AcceptVersion);
    zone.run(case.steps);
    if case.applied_during_fault {
        for (index, daemon) in zone.running() {
            assert_eq!(
                daemon.control.applied(),
                zone.current,
                "daemon {index} during the fault"
            );
        }
    }
    zone.run(RECOVERY_STEPS + 100);
    assert_recovered(&zone);
    assert_one_holder_per_token(&zone);
    assert_eq!(version_regressions(&zone), []);
}

#[rstest]
#[case::at_once(0)]
#[case::a_little_later(2)]
#[case::later(5)]
fn stale_lease_read_does_not_end_a_good_link(#[case] delay_steps: u64) {
    // Guards against a peer that gets no more versions after its relay died.
    // Its peers read the lease while they link to the successor. The lease row,
    // which still names the dead relay, arrives after a peer has joined the
    // successor; the peer must not leave that link for the dead relay.
    let mut zone = FakeZone::new(4);
    zone.run(50);
    let leader = zone.leaders()[0];
    zone.inject(ZoneFault::PlatformDelay { delay_steps });
    zone.inject(ZoneFault::Down {
        daemon: leader,
        steps: 10_000,
    });
    zone.run(90);
    zone.inject(ZoneFault::AcceptVersion);
    zone.run(30);
    for (index, daemon) in zone.running() {
        assert_eq!(daemon.control.applied(), zone.current, "daemon {index}");
    }
    assert_eq!(version_regressions(&zone), []);
}

/// Moves a fault on daemon 0 to the leader, and a fault on a link to a peer's link.
fn retarget_to_leader(fault: ZoneFault, leader: usize) -> ZoneFault {
    match fault {
        ZoneFault::Restart { daemon: LEADER } => ZoneFault::Restart { daemon: leader },
        ZoneFault::Down {
            daemon: LEADER,
            steps,
        } => ZoneFault::Down {
            daemon: leader,
            steps,
        },
        ZoneFault::Freeze {
            daemon: LEADER,
            steps,
        } => ZoneFault::Freeze {
            daemon: leader,
            steps,
        },
        ZoneFault::PlatformUnreachable {
            daemon: LEADER,
            steps,
        } => ZoneFault::PlatformUnreachable {
            daemon: leader,
            steps,
        },
        ZoneFault::BlackholeLink { .. } => ZoneFault::BlackholeLink {
            daemon: (leader + 1) % 4,
        },
        ZoneFault::StallLink { .. } => ZoneFault::StallLink {
            daemon: (leader + 1) % 4,
        },
        other => other,
    }
}

fn any_fault(size: usize) -> impl Strategy<Value = ZoneFault> {
    prop_oneof![
        3 => Just(ZoneFault::AcceptVersion),
        2 => (0..size).prop_map(|daemon| ZoneFault::Restart { daemon }),
        2 => (0..size, 1u64..100).prop_map(|(daemon, steps)| ZoneFault::Down { daemon, steps }),
        2 => (0..size, 1u64..80).prop_map(|(daemon, steps)| ZoneFault::Freeze { daemon, steps }),
        1 => (1u64..100).prop_map(|steps| ZoneFault::PlatformDown { steps }),
        1 => (0..size, 1u64..100).prop_map(|(daemon, steps)| ZoneFault::PlatformUnreachable { daemon, steps }),
        1 => (1u32..4).prop_map(|count| ZoneFault::LoseReplies { count }),
        2 => (0u64..12).prop_map(|delay_steps| ZoneFault::PlatformDelay { delay_steps }),
        2 => (0..size).prop_map(|daemon| ZoneFault::BlackholeLink { daemon }),
        1 => (0..size).prop_map(|daemon| ZoneFault::StallLink { daemon }),
    ]
}

/// Runs 300 schedules from a fixed seed, unless `PROPTEST_RNG_SEED` sets another
/// seed; `PROPTEST_CASES` then sets the number of schedules.
fn history_config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(2026);
        config.cases = 300;
    }
    config.failure_persistence = None;
    config
}

proptest! {
    // The seed is fixed so that CI gives the same result on every run. To search
    // further, run `PROPTEST_CASES=5000 PROPTEST_RNG_SEED=N cargo test history_holds`.
    #![proptest_config(history_config())]

    /// Faults of every kind hit a zone of five daemons at any time, also several
    /// at once or one repeatedly. No two daemons ever take the lease under the
    /// same token, and at most one running daemon is the leader at any time. No
    /// daemon applies a version older than one that it has applied, restarts
    /// included. After the last fault the zone recovers to one relay, with every
    /// daemon on the newest version.
    #[test]
    fn history_holds_under_any_schedule_of_faults(
        schedule in proptest::collection::vec((0u64..40, any_fault(5)), 1..14)
    ) {
        let mut zone = FakeZone::new(5);
        for (pause, fault) in schedule {
            for _ in 0..pause {
                zone.run_step();
                prop_assert!(zone.leaders().len() <= 1, "leaders {:?}", zone.leaders());
            }
            zone.inject(fault);
        }
        zone.inject(ZoneFault::PlatformDelay { delay_steps: 0 });
        // No fault lasts longer than 100 steps.
        zone.run(100 + RECOVERY_STEPS);
        prop_assert_eq!(version_regressions(&zone), vec![]);
        assert_one_holder_per_token(&zone);
        assert_recovered(&zone);
    }
}
