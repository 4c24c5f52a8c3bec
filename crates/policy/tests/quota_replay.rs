//! Replays calls of an organisation that sends many times its usual number, on
//! hosts that are cut off, restart or lose grants. It must never run more calls
//! than its limit allows.

#[path = "support/pool_fleet.rs"]
mod pool_fleet;

use std::time::{Duration, Instant};

use filbert_policy::numbers::count_to_f64;
use filbert_policy::organisations::keys::RateLimit;
use filbert_policy::organisations::quota::{PoolLeases, POOL_LEASE_DURATION};
use pool_fleet::{max_allowed_runs, FaultKind, HostFault, Replay, HOSTS, STEP, WINDOW, ZONES};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn faults() -> impl Strategy<Value = Vec<HostFault>> {
    let kind = prop_oneof![
        Just(FaultKind::Isolated),
        Just(FaultKind::CutOff),
        Just(FaultKind::Stalled),
        Just(FaultKind::Restart),
        Just(FaultKind::LosesGrants),
    ];
    // A fault hits one host or several of a zone.
    let fault = (0..ZONES, 0..HOSTS, 1..=HOSTS, 0_u64..500, 1_u64..300, kind);
    let faults = fault.prop_map(|(zone, first, count, from, steps, kind)| {
        let hosts = first..HOSTS.min(first + count);
        hosts
            .map(|host| HostFault {
                zone,
                host,
                from,
                steps,
                kind,
            })
            .collect::<Vec<HostFault>>()
    });
    prop::collection::vec(faults, 0..8).prop_map(|faults| faults.concat())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against more calls than the limit allows while hosts are isolated,
    /// restart or lose grants, and calls pause and start again.
    #[test]
    fn an_organisation_never_runs_more_than_its_limit(
        per_s in 2.0_f64..300.0,
        burst in 0.0_f64..300.0,
        calls in prop::collection::vec(0_usize..ZONES * HOSTS, 1..40),
        pauses in prop::collection::vec((0_u64..600, 1_u64..200), 0..4),
        faults in faults(),
        transit_steps in 0_u64..=4,
        plan_steps in 0_u64..100,
    ) {
        let limit = RateLimit { per_s, burst };
        let mut replay = Replay::new(limit, faults);
        replay.transit_steps = transit_steps;
        replay.plan_steps = plan_steps;
        for step in 0..600 {
            replay.advance(step);
            if pauses.iter().any(|(from, steps)| (*from..from + steps).contains(&step)) {
                continue;
            }
            for host in &calls {
                replay.call((host + usize::try_from(step).expect("number of steps fits in usize") * 7) % (ZONES * HOSTS), step);
            }
        }
        let runs = replay.max_runs_in_window();
        prop_assert!(count_to_f64(runs) <= max_allowed_runs(limit), "{runs} of {}", max_allowed_runs(limit));
    }
}

/// Guards against a limit that a small organisation cannot use, as its tokens are
/// divided among many pools: 3 calls per second at 18 hosts with 6 pools.
#[test]
fn a_small_organisation_can_use_its_limit() {
    let limit = RateLimit {
        per_s: 5.0,
        burst: 5.0,
    };
    let mut replay = Replay::new(limit, Vec::new());
    let mut sent = 0;
    for step in 0..3_000 {
        replay.advance(step);
        // Three calls per second, each at another host.
        if step % 17 == 0 {
            sent += 1;
            replay.call(
                usize::try_from(step * 31).expect("number of steps fits in usize")
                    % (ZONES * HOSTS),
                step,
            );
        }
    }
    assert!(replay.declined * 20 < sent, "{} of {sent}", replay.declined);
}

/// Guards against an organisation that gets a part of its limit only, as all of its
/// calls begin in one zone.
#[test]
fn an_organisation_in_one_zone_gets_its_limit() {
    let limit = RateLimit {
        per_s: 200.0,
        burst: 200.0,
    };
    let mut replay = Replay::new(limit, Vec::new());
    replay.transit_steps = 1;
    for step in 0..1_000 {
        replay.advance(step);
        for host in 0..HOSTS {
            replay.call(host, step);
        }
    }
    let lowest = count_to_f64(replay.min_runs_in_window(WINDOW));
    assert!(lowest >= 0.95 * 1_200.0, "{lowest} of 1200");
}

/// Guards against hosts that ask their pools again and again in vain: 18 hosts that each
/// send 50 calls a second under a limit of 20 a second.
#[test]
fn most_requests_to_pools_are_granted() {
    let limit = RateLimit {
        per_s: 20.0,
        burst: 10.0,
    };
    let mut replay = Replay::new(limit, Vec::new());
    for step in 0..1_500 {
        replay.advance(step);
        for host in 0..ZONES * HOSTS {
            replay.call(host, step);
        }
    }
    let granted = u64::try_from(replay.runs.len()).expect("number of runs fits in u64");
    let requests = replay.requests;
    assert!(requests < granted * 3, "{requests} for {granted}");
}

/// Guards against an organisation whose calls are refused although it sends less than
/// its limit: at random times and hosts, 1 / 1.6 of the rate.
#[rstest]
#[case(20.0, 20.0)]
#[case(100.0, 50.0)]
#[case(400.0, 400.0)]
fn an_organisation_below_its_limit_is_hardly_refused(#[case] per_s: f64, #[case] burst: f64) {
    let mut replay = Replay::new(RateLimit { per_s, burst }, Vec::new());
    let calls_per_step = per_s / 1.6 * STEP.as_secs_f64();
    let mut random = StdRng::seed_from_u64(7);
    let mut sent = 0;
    for step in 0..3_000 {
        replay.advance(step);
        // Ten chances in each step make the number of calls nearly a Poisson variable.
        for _ in 0..10 {
            if step > 100 && random.random_bool(calls_per_step / 10.0) {
                sent += 1;
                replay.call(random.random_range(0..ZONES * HOSTS), step);
            }
        }
    }
    let declined = replay.declined;
    assert!(declined * 200 < sent, "{declined} of {sent}");
}

/// Guards against a zone whose tokens are all lent to another one while its own hosts
/// need them.
#[test]
fn a_zone_keeps_the_tokens_that_it_needs() {
    let limit = RateLimit {
        per_s: 20.0,
        burst: 10.0,
    };
    let mut replay = Replay::new(limit, Vec::new());
    let mut runs_by_zone = [0; ZONES];
    for step in 0..1_500 {
        replay.advance(step);
        for host in 0..ZONES * HOSTS {
            let before = replay.runs.len();
            replay.call(host, step);
            runs_by_zone[host / HOSTS] += replay.runs.len() - before;
        }
    }
    let all: usize = runs_by_zone.iter().sum();
    let is_fair = |runs: &usize| runs * 4 > all;
    assert!(runs_by_zone.iter().all(is_fair), "{runs_by_zone:?}");
}

/// Guards against a limit that cannot be used after a reader has restarted: its hosts
/// move to another pool and back.
#[test]
fn an_organisation_gets_its_limit_after_a_reader_has_restarted() {
    let limit = RateLimit {
        per_s: 200.0,
        burst: 200.0,
    };
    let fault = HostFault {
        zone: 0,
        host: 0,
        from: 500,
        steps: 50,
        kind: FaultKind::Restart,
    };
    let mut replay = Replay::new(limit, vec![fault]);
    for step in 0..1_500 {
        replay.advance(step);
        for host in 0..ZONES * HOSTS {
            replay.call(host, step);
        }
    }
    let lease_time = Duration::from_millis(1_600);
    let lowest = count_to_f64(replay.min_runs_in_window(STEP * 550 + lease_time));
    assert!(lowest >= 0.95 * 1_200.0, "{lowest} of 1200");
}

/// Guards against pools that have no token for a small organisation for a second after
/// all hosts lost power, while its share was generated nowhere: 3 calls per second.
#[test]
fn a_small_organisation_is_served_after_a_loss_of_power() {
    let limit = RateLimit {
        per_s: 5.0,
        burst: 5.0,
    };
    let hosts = (0..ZONES).flat_map(|zone| (0..HOSTS).map(move |host| (zone, host)));
    let faults = hosts.map(|(zone, host)| HostFault {
        zone,
        host,
        from: 0,
        steps: 100,
        kind: FaultKind::Restart,
    });
    let mut replay = Replay::new(limit, faults.collect());
    replay.plan_steps = 50;
    let mut sent = 0;
    for step in 0..300 {
        replay.advance(step);
        if step > 155 && step % 17 == 0 {
            sent += 1;
            let host = usize::try_from(step * 31).expect("number of steps fits in usize");
            replay.call(host % (ZONES * HOSTS), step);
        }
    }
    assert!(replay.declined <= 1, "{} of {sent}", replay.declined);
}

/// Guards against an organisation that exceeds its limit and gets less than the limit,
/// in any window.
#[rstest]
#[case(200.0, 200.0)]
#[case(200.0, 40.0)]
#[case(60.0, 200.0)]
#[case(20.0, 10.0)]
fn an_organisation_above_its_limit_gets_its_limit(#[case] per_s: f64, #[case] burst: f64) {
    let limit = RateLimit { per_s, burst };
    let mut replay = Replay::new(limit, Vec::new());
    for step in 0..1_500 {
        replay.advance(step);
        for host in 0..ZONES * HOSTS {
            replay.call(host, step);
        }
    }
    let allowed = per_s * WINDOW.as_secs_f64() + burst;
    let after_first = replay.runs.iter().filter(|at| **at >= WINDOW).count();
    let mean = count_to_f64(after_first) / 5.0;
    assert!(mean >= 0.98 * allowed, "{mean} of {allowed}");
    // Each of the six pools may end a window with a part of a token.
    let lowest = count_to_f64(replay.min_runs_in_window(WINDOW)) + 6.0;
    let highest = count_to_f64(replay.max_runs_in_window());
    assert!(lowest >= 0.98 * allowed, "{lowest} of {allowed}");
    assert!(highest <= max_allowed_runs(limit), "{highest} of {allowed}");
}

proptest! {
    /// Guards against a host whose share counts at more than two pools at once, as it
    /// switches between pools and back.
    #[test]
    fn a_share_counts_at_two_pools_at_most(
        switches in prop::collection::vec((0_usize..5, 0_usize..5, 1_u64..30), 1..20),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut leases = PoolLeases::new(2, start);
        // When each pool last received a renewal.
        let mut renewed_at: Vec<Option<Instant>> = vec![None; 5];
        for (first, second, renewals) in switches {
            let wanted = [format!("{first}"), format!("{second}")];
            for _ in 0..renewals {
                now += Duration::from_millis(100);
                for renewal in leases.renew(&wanted, now) {
                    renewed_at[renewal.pool.parse::<usize>().expect("pool names are numbers")] = Some(now);
                }
                let counting = renewed_at.iter().flatten().filter(|at| now < **at + POOL_LEASE_DURATION);
                prop_assert!(counting.count() <= 2);
            }
        }
    }
}
