//! An organisation that sends many times its usual, on hosts that are cut off,
//! start anew and lose grants: never more runs than its limit allows.

use std::time::{Duration, Instant};

use filbert_policy::numbers::count_of;
use filbert_policy::organisations::keys::RateLimit;
use filbert_policy::organisations::quota::{
    PoolLeases, PoolTopology, QuotaPolicy, TokenGrant, TokenPool, POOL_LEASE_DURATION,
};
use filbert_policy::organisations::token_cache::{TakeOutcome, TokenCache};
use proptest::prelude::*;

const ZONES: usize = 3;
const READERS: usize = 2;
const HOSTS: usize = 6;
/// Calls beyond a burst that do no harm.
const SLACK: f64 = 20.0;
/// Time between two steps of a replay.
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(5);
const TERMS: QuotaPolicy = QuotaPolicy {
    window: Some(WINDOW),
    slack: SLACK,
};

/// What happens to a zone of the fleet while a replay runs.
#[derive(Clone, Debug)]
struct ZoneTrouble {
    zone: usize,
    host: usize,
    from: u64,
    steps: u64,
    kind: TroubleKind,
}

#[derive(Clone, Copy, Debug)]
enum TroubleKind {
    /// The host is alone: it takes itself for the only reader.
    Alone,
    /// Its daemon starts anew, empty, and is away meanwhile.
    Restart,
    /// What its pool grants is lost on the way.
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
    troubles: Vec<ZoneTrouble>,
    start: Instant,
    runs: Vec<Duration>,
    refused: u64,
}

impl Replay {
    fn new(limit: RateLimit, troubles: Vec<ZoneTrouble>) -> Replay {
        let hosts = (0..ZONES * HOSTS).map(|_| ReplayHost::default());
        Replay {
            limit,
            hosts: hosts.collect(),
            troubles,
            start: Instant::now(),
            runs: Vec::new(),
            refused: 0,
        }
    }

    fn trouble(&self, host: usize, step: u64) -> Option<TroubleKind> {
        let troubles = self.troubles.iter();
        troubles
            .filter(|one| one.zone * HOSTS + one.host == host)
            .find(|one| (one.from..one.from + one.steps).contains(&step))
            .map(|one| one.kind)
    }

    /// A call at `host`.
    fn call(&mut self, host: usize, step: u64) {
        let now = self.start + STEP * u32::try_from(step).expect("few steps");
        let trouble = self.trouble(host, step);
        if matches!(trouble, Some(TroubleKind::Restart)) {
            self.hosts[host] = ReplayHost::default();
            return;
        }
        let taken = match self.hosts[host].token_cache.take(now) {
            TakeOutcome::RequestMore => {
                self.ask(host, step, now);
                self.hosts[host].token_cache.take(now)
            }
            verdict => verdict,
        };
        match taken {
            TakeOutcome::Taken => self.runs.push(now - self.start),
            TakeOutcome::RequestMore | TakeOutcome::Exhausted(_) => self.refused += 1,
        }
    }

    fn ask(&mut self, host: usize, step: u64, now: Instant) {
        let zone = host / HOSTS;
        let is_alone = matches!(self.trouble(host, step), Some(TroubleKind::Alone));
        let wanted = self.hosts[host].token_cache.wanted(1);
        let readers: Vec<usize> = if is_alone {
            vec![host]
        } else {
            (zone * HOSTS..zone * HOSTS + READERS).collect()
        };
        let mut dry = TokenGrant {
            tokens: 0,
            next_token_in: STEP,
        };
        for reader in readers {
            let trouble = self.trouble(reader, step);
            let is_away = matches!(trouble, Some(TroubleKind::Restart));
            if is_away || (trouble.is_some() && reader != host) {
                if matches!(trouble, Some(TroubleKind::LosesGrants)) {
                    self.grant(reader, step, wanted, now);
                }
                continue;
            }
            let grant = self.grant(reader, step, wanted, now);
            if grant.tokens > 0 {
                self.hosts[host].token_cache.granted(grant, now);
                return;
            }
            dry = grant;
        }
        self.hosts[host].token_cache.granted(dry, now);
    }

    fn grant(&mut self, reader: usize, step: u64, wanted: u32, now: Instant) -> TokenGrant {
        let is_alone = matches!(self.trouble(reader, step), Some(TroubleKind::Alone));
        let part = PoolTopology {
            zones: ZONES,
            pools: READERS,
            hosts: HOSTS,
            leased_by: if is_alone { 1 } else { HOSTS },
        };
        let pool = self.hosts[reader]
            .pool
            .get_or_insert_with(|| TokenPool::new(TERMS));
        pool.grant("one", self.limit, part.share(), wanted, now)
    }

    /// The most calls that ran in any window.
    fn most_in_window(&self) -> usize {
        let ends = self.runs.iter().enumerate();
        ends.map(|(index, end)| {
            let begun = self.runs.partition_point(|at| *at + WINDOW <= *end);
            index + 1 - begun
        })
        .max()
        .unwrap_or(0)
    }
}

fn allowed(limit: RateLimit) -> f64 {
    (limit.per_s * WINDOW.as_secs_f64() + limit.burst) * 1.1 + SLACK
}

fn troubles() -> impl Strategy<Value = Vec<ZoneTrouble>> {
    let kind = prop_oneof![
        Just(TroubleKind::Alone),
        Just(TroubleKind::Restart),
        Just(TroubleKind::LosesGrants),
    ];
    let one = (0..ZONES, 0..HOSTS, 0_u64..500, 1_u64..300, kind);
    let one = one.prop_map(|(zone, host, from, steps, kind)| ZoneTrouble {
        zone,
        host,
        from,
        steps,
        kind,
    });
    prop::collection::vec(one, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against more runs than the limit while hosts are alone, start anew
    /// or lose grants.
    #[test]
    fn an_organisation_never_runs_more_than_its_limit(
        per_s in 2.0_f64..300.0,
        burst in 0.0_f64..300.0,
        calls in prop::collection::vec(0_usize..ZONES * HOSTS, 12),
        troubles in troubles(),
    ) {
        let limit = RateLimit { per_s, burst };
        let mut replay = Replay::new(limit, troubles);
        for step in 0..600 {
            for host in &calls {
                replay.call((host + usize::try_from(step).expect("few") * 7) % (ZONES * HOSTS), step);
            }
        }
        let most = replay.most_in_window();
        prop_assert!(count_of(most) <= allowed(limit), "{most} of {}", allowed(limit));
    }
}

/// Guards against a limit that small organisations cannot use: 3 calls a second
/// over 18 hosts and 6 pools.
#[test]
fn a_small_organisation_runs_nearly_all_that_it_may() {
    let limit = RateLimit {
        per_s: 5.0,
        burst: 5.0,
    };
    let mut replay = Replay::new(limit, Vec::new());
    // The pools begin to fill before anybody calls, as a daemon's do.
    for host in 0..ZONES * HOSTS {
        replay.ask(host, 0, replay.start);
    }
    let mut sent = 0;
    for step in 100..3_100 {
        // Three calls a second, at a host that changes each time.
        if step % 17 == 0 {
            sent += 1;
            replay.call(
                usize::try_from(step * 31).expect("few") % (ZONES * HOSTS),
                step,
            );
        }
    }
    assert!(replay.refused * 20 < sent, "{} of {sent}", replay.refused);
}

/// Guards against an organisation at its limit that gets much less than that.
#[test]
fn a_busy_organisation_gets_its_rate() {
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
    let per_s = count_of(replay.runs.len()) / 30.0;
    // In every window of five seconds the burst is there anew.
    assert!((200.0..=240.0).contains(&per_s), "{per_s} a second");
}

proptest! {
    /// Guards against a host whose part counts at more than two pools at once, as it
    /// turns from one to another and back.
    #[test]
    fn a_part_counts_at_two_pools_at_most(
        turns in prop::collection::vec((0_usize..5, 0_usize..5, 1_u64..30), 1..20),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut leases = PoolLeases::default();
        // When each pool was last told, as the pools know it.
        let mut told: Vec<Option<Instant>> = vec![None; 5];
        for (one, other, looks) in turns {
            let wanted = [format!("{one}"), format!("{other}")];
            for _ in 0..looks {
                now += Duration::from_millis(100);
                for pool in leases.renew(&wanted, 2, now) {
                    told[pool.parse::<usize>().expect("a number")] = Some(now);
                }
                let counting = told.iter().flatten().filter(|at| now < **at + POOL_LEASE_DURATION);
                prop_assert!(counting.count() <= 2);
            }
        }
    }
}
