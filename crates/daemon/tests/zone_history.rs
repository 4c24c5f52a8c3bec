//! History checks of a zone's daemons under generated schedules of faults,
//! and single faults as a table of cases: who relays, which versions come into
//! force in which order, and that the zone heals.

mod support;

use filbert_daemon::control::ZoneRole;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use support::{FakeZone, ZoneFault};

/// Steps within which a zone must be whole again after its last fault: the
/// lease time, the silence timeout, and some rounds of the longest backoff.
const HEAL_STEPS: u64 = 200;

/// Daemons whose applied versions do not rise strictly, over restarts too.
fn backward(zone: &FakeZone) -> Vec<(usize, Vec<u64>)> {
    zone.daemons
        .iter()
        .enumerate()
        .filter(|(_, daemon)| daemon.applied.windows(2).any(|pair| pair[0] > pair[1]))
        .map(|(index, daemon)| (index, daemon.applied.clone()))
        .collect()
}

fn assert_healed(zone: &FakeZone) {
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

fn assert_single_holders(zone: &FakeZone) {
    for (token, holders) in &zone.holders {
        assert_eq!(holders.len(), 1, "token {token} held by {holders:?}");
    }
}

/// One fault on a settled zone of four, an accept during it, and whether the
/// change must reach every daemon while the fault lasts.
struct FaultCase {
    fault: ZoneFault,
    steps: u64,
    in_force_during: bool,
}

const LEADER: usize = 0;

#[rstest]
// The relay dies and comes back: the zone relinks to it or its successor.
#[case::relay_restarts(FaultCase { fault: ZoneFault::Restart { daemon: LEADER }, steps: 60, in_force_during: true })]
// The relay dies and stays away: its successor takes over.
#[case::relay_down(FaultCase { fault: ZoneFault::Down { daemon: LEADER, steps: 300 }, steps: 70, in_force_during: true })]
// The relay is frozen past its lease, another takes over, then it wakes up.
#[case::relay_frozen(FaultCase { fault: ZoneFault::Freeze { daemon: LEADER, steps: 100 }, steps: 70, in_force_during: false })]
// Only the relay is cut off from the platform: a peer takes the lease.
#[case::relay_cut_from_platform(FaultCase { fault: ZoneFault::PlatformCut { daemon: LEADER, steps: 100 }, steps: 70, in_force_during: true })]
// Only one daemon reaches the platform: it must become the relay.
#[case::platform_down(FaultCase { fault: ZoneFault::PlatformDown { steps: 100 }, steps: 60, in_force_during: false })]
// A renewal takes effect but its reply is lost: the lease is kept.
#[case::reply_lost(FaultCase { fault: ZoneFault::LoseReplies { count: 3 }, steps: 60, in_force_during: true })]
// A daemon's link goes silent for good: it relinks.
#[case::link_silent(FaultCase { fault: ZoneFault::SilenceLink { daemon: 1 }, steps: 60, in_force_during: true })]
// A link carries nothing though its PINGs are answered: it relinks.
#[case::link_stuck(FaultCase { fault: ZoneFault::StuckLink { daemon: 1 }, steps: 90, in_force_during: true })]
fn zone_survives_one_fault(#[case] case: FaultCase) {
    // An operator accepts a change while something fails. Every daemon that
    // can be reached gets it within 7 s, none moves back, one daemon holds
    // each lease token, and the zone is whole again after the fault.
    let mut zone = FakeZone::new(4);
    zone.run(50);
    let leader = zone.leaders()[0];
    zone.inject(on_leader(case.fault, leader));
    zone.inject(ZoneFault::Accept);
    zone.run(case.steps);
    if case.in_force_during {
        for (index, daemon) in zone.running() {
            assert_eq!(
                daemon.control.applied(),
                zone.current,
                "daemon {index} during"
            );
        }
    }
    zone.run(HEAL_STEPS + 100);
    assert_healed(&zone);
    assert_single_holders(&zone);
    assert_eq!(backward(&zone), []);
}

#[rstest]
#[case::at_once(0)]
#[case::a_little_later(2)]
#[case::later(5)]
fn stale_lease_read_does_not_end_a_good_link(#[case] extra: u64) {
    // The relay dies for good. Its peers read the lease and link to their
    // successor at the same time; the lease row, which still names the dead
    // relay, arrives after the link is up. Left for the dead relay, the peer
    // would stay without one and get no more versions.
    let mut zone = FakeZone::new(4);
    zone.run(50);
    let leader = zone.leaders()[0];
    zone.inject(ZoneFault::PlatformSlow { extra });
    zone.inject(ZoneFault::Down {
        daemon: leader,
        steps: 10_000,
    });
    zone.run(90);
    zone.inject(ZoneFault::Accept);
    zone.run(30);
    for (index, daemon) in zone.running() {
        assert_eq!(daemon.control.applied(), zone.current, "daemon {index}");
    }
    assert_eq!(backward(&zone), []);
}

/// The fault, moved from daemon 0 to the daemon that leads.
fn on_leader(fault: ZoneFault, leader: usize) -> ZoneFault {
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
        ZoneFault::PlatformCut {
            daemon: LEADER,
            steps,
        } => ZoneFault::PlatformCut {
            daemon: leader,
            steps,
        },
        ZoneFault::SilenceLink { .. } => ZoneFault::SilenceLink {
            daemon: (leader + 1) % 4,
        },
        ZoneFault::StuckLink { .. } => ZoneFault::StuckLink {
            daemon: (leader + 1) % 4,
        },
        other => other,
    }
}

fn any_fault(size: usize) -> impl Strategy<Value = ZoneFault> {
    prop_oneof![
        3 => Just(ZoneFault::Accept),
        2 => (0..size).prop_map(|daemon| ZoneFault::Restart { daemon }),
        2 => (0..size, 1u64..100).prop_map(|(daemon, steps)| ZoneFault::Down { daemon, steps }),
        2 => (0..size, 1u64..80).prop_map(|(daemon, steps)| ZoneFault::Freeze { daemon, steps }),
        1 => (1u64..100).prop_map(|steps| ZoneFault::PlatformDown { steps }),
        1 => (0..size, 1u64..100).prop_map(|(daemon, steps)| ZoneFault::PlatformCut { daemon, steps }),
        1 => (1u32..4).prop_map(|count| ZoneFault::LoseReplies { count }),
        2 => (0u64..12).prop_map(|extra| ZoneFault::PlatformSlow { extra }),
        2 => (0..size).prop_map(|daemon| ZoneFault::SilenceLink { daemon }),
        1 => (0..size).prop_map(|daemon| ZoneFault::StuckLink { daemon }),
    ]
}

/// Schedules per run, and the seed they are generated from unless
/// `PROPTEST_RNG_SEED` names another.
fn schedules() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(2026);
        config.cases = 300;
    }
    config.failure_persistence = None;
    config
}

proptest! {
    // The seed is fixed so that CI gives the same verdict every run; a longer
    // search is `PROPTEST_CASES=5000 PROPTEST_RNG_SEED=N cargo test history_holds`.
    #![proptest_config(schedules())]

    /// Faults of every kind come at any moment, together or twice, on a zone
    /// of five. At no moment do two running daemons act under the same token
    /// or hold the lease at once; no daemon ever applies a version older than
    /// one it applied, restarts included; and after the last fault the zone
    /// heals to one relay with every daemon on the newest version.
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
        zone.inject(ZoneFault::PlatformSlow { extra: 0 });
        // The longest fault has ended after 100 more steps.
        zone.run(100 + HEAL_STEPS);
        prop_assert_eq!(backward(&zone), vec![]);
        assert_single_holders(&zone);
        assert_healed(&zone);
    }
}
