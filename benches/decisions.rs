//! Measures the cost of the pure decision functions, in nanoseconds per decision.
//! The figures are printed, never asserted.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_mesh::text_delta::TextDelta;
use filbert_platform::operator::{decode_config, ConfigDecoder};
use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, LinkTime, QueueLimits,
};
use filbert_policy::budget::{BudgetAccount, RetryBudget, RetryBudgetLimits, RetryCause};
use filbert_policy::fair_share::{FairShares, OrganisationShare, MAX_TRACKED_ORGANISATIONS};
use filbert_policy::identity::{CallIdentity, IdentityParts};
use filbert_policy::organisations::keys::{KeyHash, KeyIndex, OrganisationRule, RateLimit};
use filbert_policy::organisations::quota::{PoolTopology, QuotaPolicy, TokenGrant, TokenPool};
use filbert_policy::organisations::quota_retries::QuotaRetries;
use filbert_policy::organisations::token_cache::TokenCache;
use filbert_policy::organisations::token_queue::{TokenDecision, TokenQueue};
use filbert_policy::organisations::token_request::TokenRequest;
use filbert_policy::pace::{slowdown_at_pace, PaceStatement, PaceTracker, TargetPace};
use filbert_policy::placement::{choose_target, CrossZoneCost, PlacementRequest, TargetView};
use filbert_policy::quarantine::{CallRecord, QuarantineTable, TargetCrash};
use filbert_policy::rollout::judge::{CallCounts, CanaryJudge, TargetCounts, VersionSide};
use filbert_policy::rollout::record::{OrderId, RolloutRecord, RolloutStage};
use filbert_policy::routing::{
    ClientLimits, ConfigVersion, RouteIndex, RouteKind, RoutePart, RouteRule,
};
use filbert_policy::run_times::{RunTime, RunTimeEstimator};
use filbert_policy::target_limit::{CallRate, LimitStatement};
use filbert_policy::told_times::{ToldTime, ToldTimes};
use filbert_policy::weights::WeightedRoundRobin;

/// Measured decisions per figure.
const ROUNDS: u32 = 100_000;

/// Prints the average time of `decide` under `name`, after a warm-up of a tenth of
/// the rounds. Skips the figure if the command line has a word that `name` lacks.
fn measure(name: &str, mut decide: impl FnMut(u32)) {
    let words = std::env::args()
        .skip(1)
        .filter(|word| !word.starts_with('-'));
    if words.into_iter().any(|word| !name.contains(&word)) {
        return;
    }
    for round in 0..ROUNDS / 10 {
        decide(round);
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        decide(round);
    }
    println!(
        "{name:<44} {:>8.0} ns",
        started.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
    );
}

/// A route that splits its calls 90 to 10 between two services.
fn route(number: usize) -> RouteRule {
    RouteRule {
        name: format!("r-{number}"),
        host: "shop.example".to_owned(),
        prefix: format!("/p{number}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        soft_deadline: Duration::from_millis(600),
        max_attempts: 2,
        priority: 1,
        parts: vec![
            RoutePart {
                service: "one".to_owned(),
                weight: 90,
            },
            RoutePart {
                service: "two".to_owned(),
                weight: 10,
            },
        ],
        is_public: false,
    }
}

/// Text of configuration version `number` with `count` routes, of which only the
/// first depends on the version.
fn config_text(number: usize, count: usize) -> String {
    let routes: Vec<String> = (0..count)
        .map(|route| {
            let revision = if route == 0 { number } else { 0 };
            format!(
                r#"{{"name":"r{route}","host":"h{route}.example","prefix":"/p{route}/{revision}/","route_type":"idempotent","timeout":"2s","target_latency":"600ms","priority":2,"service":"s","max_attempts":3}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":"{number:08x}","routes":[{}],"services":[{{"name":"s"}}]}}"#,
        routes.join(",")
    )
}

/// Cost of decoding one version after another, from scratch and by reusing what the
/// previous version shares with it, and of computing and applying their delta.
fn measure_versions() {
    const ROUTES: usize = 2_400;
    let texts: Vec<String> = (1..=2).map(|number| config_text(number, ROUTES)).collect();
    let text = |round: u32| texts[usize::from(round.is_multiple_of(2))].as_bytes();
    measure("a version of 2,400 routes read anew", |round| {
        black_box(decode_config(text(round)).expect("a version"));
    });
    let mut decoder = ConfigDecoder::default();
    measure("a version of 2,400 routes read after another", |round| {
        black_box(decoder.decode(text(round)).expect("a version"));
    });
    let delta = TextDelta::between(text(0), text(1));
    measure("its delta made", |_| {
        black_box(TextDelta::between(text(0), text(1)));
    });
    measure("its delta applied", |_| {
        black_box(delta.apply(text(0)).expect("the right base"));
    });
}

const PLACEMENT_REQUEST: PlacementRequest = PlacementRequest {
    transfer_kib: 5.0,
    soft_deadline_ms: 600.0,
    deadline_ms: 2_000.0,
    zone_has_target: true,
    is_above_lowest_priority: false,
};
const CROSS_ZONE_COST: CrossZoneCost = CrossZoneCost {
    base: 0.01,
    per_kib: 0.006,
    most: 0.9,
};

/// State of the target with this number.
fn placement_view(target: u32) -> TargetView {
    TargetView {
        in_zone: target.is_multiple_of(3),
        slots: 9,
        occupancy: f64::from(target % 9),
        run_ms: 150.0 + f64::from(target),
        mean_deviation_ms: 60.0,
        queue_run_ms: 150.0,
        failure_rate: 0.0,
        is_cold: false,
        is_leaving: false,
        link_ms: 0.0,
        link_ms_per_kib: 0.0,
        limit_wait_ms: 0.0,
    }
}

/// Cost of choosing the target of a call.
fn measure_placement() {
    for count in [9, 70] {
        let views: Vec<TargetView> = (0..count).map(placement_view).collect();
        let mut rng = rand::rng();
        measure(&format!("placement among {count} targets"), |_| {
            black_box(choose_target(
                &views,
                &PLACEMENT_REQUEST,
                &CROSS_ZONE_COST,
                &mut rng,
            ));
        });
    }
}

/// Cost of estimating the run time of a call at 50 targets and of choosing one of them,
/// without and with a pace at each.
fn measure_placement_by_pace() {
    let pace = TargetPace::from_percent(250.0).map(|pace| pace.after(Duration::from_millis(80)));
    let usual = RunTime::exponential(Duration::from_millis(150));
    for (name, pace) in [("without a pace", None), ("with a pace", pace)] {
        let mut rng = rand::rng();
        measure(&format!("placement among 50 targets {name}"), |_| {
            let views: Vec<TargetView> = (0..50)
                .map(|target| {
                    let slowdown = 0.7 + f64::from(target) / 50.0;
                    let run = usual.slowed_by(slowdown_at_pace(slowdown, black_box(pace)));
                    TargetView {
                        run_ms: run.mean.as_secs_f64() * 1_000.0,
                        mean_deviation_ms: run.mean_deviation.as_secs_f64() * 1_000.0,
                        ..placement_view(target)
                    }
                })
                .collect();
            black_box(choose_target(
                &views,
                &PLACEMENT_REQUEST,
                &CROSS_ZONE_COST,
                &mut rng,
            ));
        });
    }
}

/// Cost of recording a run time and of estimating the next one of its kind.
fn measure_run_times() {
    let mut tracker = PaceTracker::default();
    let pace = TargetPace::from_percent(250.0).expect("a pace");
    let start = Instant::now();
    measure("the pace of a run", |round| {
        let now = start + Duration::from_millis(u64::from(round));
        let mark = tracker.mark(now);
        tracker.record(PaceStatement::Stated(pace), now);
        black_box(tracker.usual_run(mark, Duration::from_millis(30), now));
    });
    let mut estimator = RunTimeEstimator::default();
    let expected = RunTime::exponential(Duration::from_millis(30));
    let kinds = ["lookup", "order", "report"];
    measure("a run noted and judged, by kind", |round| {
        let kind = kinds[round as usize % kinds.len()];
        estimator.record(kind, Some(expected), expected.mean);
        black_box(estimator.expect(kind, Some(expected)));
    });
}

fn identity(path: &str, body: &[u8]) -> CallIdentity {
    CallIdentity::of(&IdentityParts {
        method: "POST",
        host: "shop.example",
        target: path,
        caller: &["", "", ""],
        body_prefix: body,
        body_length: Some(body.len() as u64),
    })
}

/// Cost of computing the identity of a call, by length of its body, and of looking a
/// call up in a quarantine table that holds many.
fn measure_quarantine() {
    for length in [0, 1_000, 64 * 1024] {
        let body = vec![b'x'; length];
        measure(&format!("identity of a call with {length} bytes"), |_| {
            black_box(identity("/p7/a/b/c?d=e", &body));
        });
    }
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    for number in 0..2_000 {
        let crash = TargetCrash {
            id: number,
            began: now,
            ended: now,
        };
        let call = identity(&format!("/p/{number}"), b"");
        table.merge(call, &CallRecord::from_crash(crash), now);
    }
    let other = identity("/p/other", b"");
    measure("standing of a call, 2,000 suspected", |_| {
        black_box(table.quarantine_state(other, 0.5, now));
    });
}

/// Cost of evaluating a canary on 114 targets with eight kinds of call, and of
/// choosing the version preference of one call.
fn measure_rollout() {
    let names: Vec<String> = (0..114).map(|target| format!("host-{target}")).collect();
    let kinds: Vec<String> = (0..8).map(|kind| format!("r-{kind}")).collect();
    let counts_at = |round: u32| -> Vec<TargetCounts<'_>> {
        let of_target = |target: usize| TargetCounts {
            target_id: names[target].as_str(),
            zone: ["a", "b", "c"][target % 3],
            side: if target >= 100 {
                VersionSide::New
            } else {
                VersionSide::Old
            },
            kinds: kinds
                .iter()
                .map(|kind| {
                    let ended = u64::from(round) * 3;
                    (kind.as_str(), CallCounts { ended, bad: 0 })
                })
                .collect(),
        };
        (0..names.len()).map(of_target).collect()
    };
    let start = Instant::now();
    let mut judge = CanaryJudge::default();
    let evaluations = 60;
    let began = Instant::now();
    for round in 0..evaluations {
        let now = start + Duration::from_millis(200) * round;
        black_box(judge.evaluate(&counts_at(round), now));
    }
    println!(
        "{:<44} {:>8.0} ns",
        "judge's look, 114 targets, 8 kinds",
        began.elapsed().as_secs_f64() * 1e9 / f64::from(evaluations)
    );
    let order = OrderId { era: 0, version: 5 };
    let record = RolloutRecord {
        stage: RolloutStage::Trial { per_mille: 60 },
        ..RolloutRecord::ordered("quotes", "v2", Duration::from_secs(15), order)
    };
    measure("lane of a call during a trial", |_| {
        black_box(record.version_preference("9c41d07be2a35f68", true));
    });
}

/// Cost of looking a key up among many, and of handing a token from its pool to a
/// call.
fn measure_organisations() {
    const ORGANISATIONS: usize = 10_000;
    const KEYS_EACH: usize = 10;
    let key = |organisation: usize, key: usize| format!("key-{organisation}-{key}");
    let limit = RateLimit {
        per_s: 1e9,
        burst: 1e9,
    };
    let organisations = (0..ORGANISATIONS).map(|number| {
        let keys = (0..KEYS_EACH).map(|index| KeyHash::of(&key(number, index)));
        let rule = OrganisationRule {
            name: format!("organisation-{number}"),
            keys: keys.collect(),
            priority: None,
            limit: Some(limit),
        };
        Arc::new(rule)
    });
    let index = KeyIndex::compile(organisations.collect());
    let known_key = key(ORGANISATIONS / 2, 3);
    measure("holder of a key, 100,000 keys", |_| {
        black_box(index.holder(&known_key));
    });
    measure("holder of a key that is not known", |_| {
        black_box(index.holder("no key at all"));
    });
    let now = Instant::now();
    let topology = PoolTopology {
        zones: 3,
        pools: 2,
        hosts: 20,
        leased_by: 20,
    };
    let mut pool = TokenPool::new(QuotaPolicy::default(), now);
    pool.apply_limits(std::iter::once(("one", limit)), now);
    let mut token_cache = TokenCache::default();
    measure("a token from pool to call", |round| {
        let now = now + Duration::from_millis(u64::from(round));
        pool.update_share(topology.share(), now);
        let grant = pool.grant("one", 1, now).expect("a limit");
        token_cache.granted(grant, now);
        black_box(token_cache.take(now));
    });
}

/// Cost of deciding on a call while tokens are short, and of its retry time if it is
/// refused.
fn measure_token_queue() {
    let start = Instant::now();
    let grant = |tokens| TokenGrant {
        tokens,
        next_token_in: Duration::from_millis(20),
    };
    let mut told_times = ToldTimes::default();
    let calls: Vec<CallIdentity> = (0..5_000)
        .map(|call| identity(&format!("/p/{call}"), b""))
        .collect();
    let mut queue = TokenQueue::default();
    let mut retries = QuotaRetries::default();
    measure("a call offered while tokens are short", |round| {
        // 7,000 calls and 1,000 tokens a second.
        let now = start + Duration::from_micros(u64::from(round) * 1_000 / 7);
        if round.is_multiple_of(70) {
            queue.granted(grant(10), 0.5, now);
            queue.granted(grant(0), 0.5, now);
        }
        let call = calls[round as usize % calls.len()];
        let request = TokenRequest {
            priority: u8::from(round.is_multiple_of(2)),
            soft_deadline: now + Duration::from_millis(250),
            deadline: now + Duration::from_millis(1_500),
            run: RunTime::exponential(Duration::from_millis(60)),
            timing: told_times.timing(call, now),
        };
        if let TokenDecision::Refused(_) = queue.offer(&request, now) {
            let retry_after = retries.retry_after(&request, &queue, Duration::ZERO, now);
            let told = ToldTime {
                retry_at: now + retry_after,
                soft_deadline: request.soft_deadline,
                deadline: request.deadline,
            };
            told_times.record(call, told, now);
        }
        black_box(queue.take_settled());
    });
}

fn main() {
    measure_versions();
    measure_organisations();
    measure_token_queue();
    measure_rollout();
    measure_quarantine();
    let routes: Vec<Arc<RouteRule>> = (0..2_000).map(route).map(Arc::new).collect();
    let split_route = Arc::clone(&routes[0]);
    let index = RouteIndex::compile(ConfigVersion {
        number: 1,
        routes,
        services: Vec::new(),
        limits: ClientLimits::default(),
        organisations: Vec::new(),
    });
    measure("route lookup, 2,000 routes, depth 4", |_| {
        black_box(index.lookup("shop.example", "/p1999/a/b/c?d=e"));
    });
    let mut round_robin = WeightedRoundRobin::default();
    measure("deal of a split route", |_| {
        black_box(round_robin.next_service(&split_route, 7));
    });
    measure_placement();
    measure_placement_by_pace();
    measure_run_times();
    measure_admission();
    measure_fair_share();
    let now = Instant::now();
    let limits = RetryBudgetLimits {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::new(limits, now);
    let account = BudgetAccount {
        service: "one",
        organisation: Some(1),
    };
    measure("retry budget, earn and spend", |_| {
        budget.record_call(account, now);
        black_box(budget.try_spend(account, RetryCause::NoAnswer, 10, now));
    });
}

/// Cost of sharing a target between as many organisations as are tracked.
fn measure_fair_share() {
    /// Burst that keeps virtual time from advancing, so that all stay tracked.
    const ENDLESS_BURST: f64 = 1e9;
    let mut shares = FairShares::default();
    let mut start = |id: usize| {
        let organisation = OrganisationShare {
            id: id as u64,
            weight: 1.0,
        };
        let claim = shares.claim(Some(organisation));
        let earliest = shares.time_with_burst(&claim, ENDLESS_BURST);
        shares.record_start(&claim, 0.2, earliest);
    };
    (0..MAX_TRACKED_ORGANISATIONS).for_each(&mut start);
    measure("fair share of one start, 10,000 organisations", |round| {
        start(round as usize * 7_919 % MAX_TRACKED_ORGANISATIONS);
    });
}

/// Cost of admitting a call at a target, without and with a limit on the rate of calls.
fn measure_admission() {
    let now = Instant::now();
    let run = Duration::from_millis(200);
    let request = |round: u32| AdmissionRequest {
        priority: u8::from(round.is_multiple_of(2)),
        soft_deadline: now + Duration::from_secs(2),
        deadline: now + Duration::from_secs(4),
        run: RunTime::exponential(run),
        link: LinkTime::default(),
        organisation: None,
    };
    for (name, limit) in [
        ("offer, settle and finish, some 30 waiting", None),
        ("the same at a limited target", CallRate::new(100.0)),
    ] {
        let mut queue = AdmissionQueue::new(QueueLimits::default());
        queue.set_slots(9);
        queue.set_open(true);
        if let Some(rate) = limit {
            queue.record_statement(LimitStatement::Limited(rate), now, now);
        }
        for round in 0..40 {
            queue.offer(request(round), run, now);
        }
        measure(name, |round| {
            let decision = queue.offer(request(round), run, now);
            if !matches!(decision, AdmissionDecision::Decline { .. }) {
                queue.finish_run();
                black_box(queue.dispatch(run, now));
            }
        });
    }
}
