//! Replays calls of an organisation that sends many times its usual number, on
//! hosts that are cut off, restart or lose grants. It must never run more calls
//! than its limit allows.

use std::iter;
use std::time::{Duration, Instant};

use filbert_policy::numbers::count_to_f64;
use filbert_policy::organisations::keys::RateLimit;
use filbert_policy::organisations::quota::{
    PoolLeases, PoolTopology, QuotaPolicy, TokenGrant, TokenPool, POOL_LEASE_DURATION,
};
use filbert_policy::organisations::token_cache::{TakeOutcome, TokenCache};
use proptest::prelude::*;

const ORGANISATION: &str = "north";
const ZONES: usize = 3;
/// Readers in each zone, which have the token pools.
const READERS: usize = 2;
/// Hosts in each zone.
const HOSTS: usize = 6;
/// Number of calls over the limit that is tolerated.
const SLACK: f64 = 20.0;
/// Time between two steps of a replay.
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(5);
const POLICY: QuotaPolicy = QuotaPolicy {
    window: Some(WINDOW),
    slack: SLACK,
};

/// A fault of one host during a part of a replay.
#[derive(Clone, Debug)]
struct HostFault {
    zone: usize,
    /// Number of the host within its zone.
    host: usize,
    /// First step with the fault.
    from: u64,
    /// Duration of the fault in steps.
    steps: u64,
    kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// The host is cut off and takes itself for the only reader.
    Isolated,
    /// The daemon restarts: it is unavailable during the fault, and empty after.
    Restart,
    /// The grants of the host's pool are lost in transmission.
    LosesGrants,
}

#[derive(Default)]
struct ReplayHost {
    pool: Option<TokenPool>,
    token_cache: TokenCache,
}

struct Replay {
    limit: RateLimit,
    hosts: Vec<ReplayHost>,
    faults: Vec<HostFault>,
    start: Instant,
    /// Times at which calls ran, since `start`.
    runs: Vec<Duration>,
    /// Number of calls that got no token.
    declined: u64,
}

impl Replay {
    fn new(limit: RateLimit, faults: Vec<HostFault>) -> Replay {
        let hosts = (0..ZONES * HOSTS).map(|_| ReplayHost::default());
        Replay {
            limit,
            hosts: hosts.collect(),
            faults,
            start: Instant::now(),
            runs: Vec::new(),
            declined: 0,
        }
    }

    fn fault(&self, host: usize, step: u64) -> Option<FaultKind> {
        let faults = self.faults.iter();
        faults
            .filter(|fault| fault.zone * HOSTS + fault.host == host)
            .find(|fault| (fault.from..fault.from + fault.steps).contains(&step))
            .map(|fault| fault.kind)
    }

    /// Makes a call at `host`, which runs if it gets a token.
    fn call(&mut self, host: usize, step: u64) {
        let now = self.start + STEP * u32::try_from(step).expect("number of steps fits in u32");
        let fault = self.fault(host, step);
        if matches!(fault, Some(FaultKind::Restart)) {
            self.hosts[host] = ReplayHost::default();
            return;
        }
        let outcome = match self.hosts[host].token_cache.take(now) {
            TakeOutcome::RequestMore => {
                self.request_tokens(host, step, now);
                self.hosts[host].token_cache.take(now)
            }
            outcome => outcome,
        };
        match outcome {
            TakeOutcome::Taken => self.runs.push(now - self.start),
            TakeOutcome::RequestMore | TakeOutcome::Exhausted(_) => self.declined += 1,
        }
    }

    /// Requests tokens for `host` from the pools of its zone, in turn.
    fn request_tokens(&mut self, host: usize, step: u64, now: Instant) {
        let zone = host / HOSTS;
        let is_isolated = matches!(self.fault(host, step), Some(FaultKind::Isolated));
        let wanted = self.hosts[host].token_cache.wanted(1);
        let readers: Vec<usize> = if is_isolated {
            vec![host]
        } else {
            (zone * HOSTS..zone * HOSTS + READERS).collect()
        };
        let mut empty_grant = TokenGrant {
            tokens: 0,
            next_token_in: STEP,
        };
        for reader in readers {
            let fault = self.fault(reader, step);
            let is_unavailable = matches!(fault, Some(FaultKind::Restart));
            if is_unavailable || (fault.is_some() && reader != host) {
                if matches!(fault, Some(FaultKind::LosesGrants)) {
                    self.grant(reader, step, wanted, now);
                }
                continue;
            }
            let grant = self.grant(reader, step, wanted, now);
            if grant.tokens > 0 {
                self.hosts[host].token_cache.granted(grant, now);
                return;
            }
            empty_grant = grant;
        }
        self.hosts[host].token_cache.granted(empty_grant, now);
    }

    /// Grants tokens from the pool of `reader`.
    fn grant(&mut self, reader: usize, step: u64, wanted: u32, now: Instant) -> TokenGrant {
        let is_isolated = matches!(self.fault(reader, step), Some(FaultKind::Isolated));
        let topology = PoolTopology {
            zones: ZONES,
            pools: READERS,
            hosts: HOSTS,
            leased_by: if is_isolated { 1 } else { HOSTS },
        };
        let limit = self.limit;
        let pool = self.hosts[reader].pool.get_or_insert_with(|| {
            let mut pool = TokenPool::new(POLICY, now);
            pool.apply_limits(iter::once((ORGANISATION, limit)), now);
            pool
        });
        pool.update_share(topology.share(), now);
        let grant = pool.grant(ORGANISATION, wanted, now);
        grant.expect("the organisation has a limit")
    }

    /// Returns the maximum number of calls that ran in any window.
    fn max_runs_in_window(&self) -> usize {
        let ends = self.runs.iter().enumerate();
        ends.map(|(index, end)| {
            let window_start = self.runs.partition_point(|at| *at + WINDOW <= *end);
            index + 1 - window_start
        })
        .max()
        .unwrap_or(0)
    }
}

/// Returns the number of calls allowed in any window, with a tolerance of 10 % and
/// the slack.
fn max_allowed_runs(limit: RateLimit) -> f64 {
    (limit.per_s * WINDOW.as_secs_f64() + limit.burst) * 1.1 + SLACK
}

fn faults() -> impl Strategy<Value = Vec<HostFault>> {
    let kind = prop_oneof![
        Just(FaultKind::Isolated),
        Just(FaultKind::Restart),
        Just(FaultKind::LosesGrants),
    ];
    let fault = (0..ZONES, 0..HOSTS, 0_u64..500, 1_u64..300, kind);
    let fault = fault.prop_map(|(zone, host, from, steps, kind)| HostFault {
        zone,
        host,
        from,
        steps,
        kind,
    });
    prop::collection::vec(fault, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against more calls than the limit allows while hosts are isolated,
    /// restart or lose grants.
    #[test]
    fn an_organisation_never_runs_more_than_its_limit(
        per_s in 2.0_f64..300.0,
        burst in 0.0_f64..300.0,
        calls in prop::collection::vec(0_usize..ZONES * HOSTS, 12),
        faults in faults(),
    ) {
        let limit = RateLimit { per_s, burst };
        let mut replay = Replay::new(limit, faults);
        for step in 0..600 {
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
    // The pools start to fill before the first call, as they do in a daemon.
    for host in 0..ZONES * HOSTS {
        replay.request_tokens(host, 0, replay.start);
    }
    let mut sent = 0;
    for step in 100..3_100 {
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

/// Guards against an organisation that exceeds its limit and gets much less than
/// the limit.
#[test]
fn an_organisation_above_its_limit_gets_its_rate() {
    let limit = RateLimit {
        per_s: 200.0,
        burst: 200.0,
    };
    let mut replay = Replay::new(limit, Vec::new());
    for step in 0..1_500 {
        for host in 0..ZONES * HOSTS {
            replay.call(host, step);
        }
    }
    let per_s = count_to_f64(replay.runs.len()) / 30.0;
    // The burst is available again in every window of five seconds.
    assert!((200.0..=240.0).contains(&per_s), "{per_s} per second");
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
        let mut leases = PoolLeases::default();
        // When each pool last received a renewal.
        let mut renewed_at: Vec<Option<Instant>> = vec![None; 5];
        for (first, second, renewals) in switches {
            let wanted = [format!("{first}"), format!("{second}")];
            for _ in 0..renewals {
                now += Duration::from_millis(100);
                for pool in leases.renew(&wanted, 2, now) {
                    renewed_at[pool.parse::<usize>().expect("pool names are numbers")] = Some(now);
                }
                let counting = renewed_at.iter().flatten().filter(|at| now < **at + POOL_LEASE_DURATION);
                prop_assert!(counting.count() <= 2);
            }
        }
    }
}
