//! An order placement runs at most once, and a caller told "not run" can
//! believe it: the history of concurrent callers that place orders, retry
//! through other daemons and look outcomes up, while things fail.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filbert_standin::mesh::LocalMesh;
use filbert_standin::target::{ExecutionRecord, TargetMode};
use filbert_store::InjectedFaults;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::{mesh_in_force, spec, DAEMON_EXE};

/// Callers that place one order each, at the same time.
const CALLERS: usize = 24;
/// Attempts each caller makes before it leaves the order open.
const ATTEMPTS: usize = 12;
/// Pause between a caller's attempts.
const PAUSE: Duration = Duration::from_millis(250);

/// What a caller was told of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Told {
    /// The order ran; the answer as text.
    Ran(String),
    /// This attempt did not run it.
    NotRun,
    /// It may have run.
    Unknown,
    /// No answer came.
    Silence,
}

/// One attempt as the caller recorded it.
#[derive(Clone, Debug)]
struct AttemptRecord {
    key: String,
    request_id: String,
    told: Told,
}

/// What fails while the callers place their orders.
#[derive(Clone, Copy, Debug)]
enum OrderFault {
    Nothing,
    /// Replies to the platform's next writes are lost.
    RepliesLost,
    /// The platform is down for a while.
    PlatformDown,
    /// A target runs orders and never answers.
    AnswersLost,
    /// A target sheds load.
    TargetSheds,
    /// Two daemons are killed and return.
    DaemonsKilled,
    /// A daemon is frozen and resumed.
    DaemonFrozen,
}

async fn place(proxy: &str, key: &str, request_id: &str) -> Told {
    let sent = reqwest::Client::new()
        .post(format!("{proxy}/orders?delay_ms=20"))
        .header("x-filbert-member", "north-signs")
        .header("idempotency-key", key)
        .header("x-request-id", request_id)
        .timeout(Duration::from_secs(3))
        .body(format!("order of {key}"))
        .send()
        .await;
    let Ok(reply) = sent else {
        return Told::Silence;
    };
    let status = reply.status().as_u16();
    let outcome = reply
        .headers()
        .get("x-filbert-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned();
    match (status, outcome.as_str()) {
        (200, "" | "replayed") => reply.text().await.map_or(Told::Silence, Told::Ran),
        (503, "not-run") => Told::NotRun,
        (504, "unknown") => Told::Unknown,
        (status, outcome) => panic!("{request_id}: status {status}, outcome {outcome:?}"),
    }
}

/// One caller: tries through one daemon after another until it knows.
async fn caller(number: usize, proxies: Arc<Vec<String>>) -> Vec<AttemptRecord> {
    let key = format!("order-{number}");
    let mut history = Vec::new();
    for attempt in 0..ATTEMPTS {
        let proxy = &proxies[(number + attempt) % proxies.len()];
        let request_id = format!("{key}-attempt-{attempt}");
        let told = place(proxy, &key, &request_id).await;
        let done = matches!(told, Told::Ran(_));
        history.push(AttemptRecord {
            key: key.clone(),
            request_id,
            told,
        });
        if done {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    history
}

async fn bring_about(mesh: &mut LocalMesh, fault: OrderFault) {
    match fault {
        OrderFault::Nothing => {}
        OrderFault::RepliesLost => mesh.platform.store.set_faults(InjectedFaults {
            lose_replies: 20,
            ..InjectedFaults::default()
        }),
        OrderFault::PlatformDown => {
            mesh.platform.store.set_faults(InjectedFaults {
                down: true,
                ..InjectedFaults::default()
            });
            tokio::time::sleep(Duration::from_millis(700)).await;
            mesh.platform.store.set_faults(InjectedFaults::default());
        }
        OrderFault::AnswersLost => mesh.targets[0].set_mode(TargetMode::Mute),
        OrderFault::TargetSheds => mesh.targets[0].set_mode(TargetMode::Shed),
        OrderFault::DaemonsKilled => {
            for daemon in &mut mesh.daemons[..2] {
                daemon.kill();
            }
            for daemon in &mut mesh.daemons[..2] {
                daemon.start(DAEMON_EXE.as_ref());
            }
        }
        OrderFault::DaemonFrozen => {
            mesh.daemons[0].signal(Signal::SIGSTOP);
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            mesh.daemons[0].signal(Signal::SIGCONT);
        }
    }
}

fn check(history: &[AttemptRecord], executions: &[ExecutionRecord]) {
    let mut runs: BTreeMap<&str, Vec<&ExecutionRecord>> = BTreeMap::new();
    for record in executions {
        let key = record.idempotency_key.as_deref().expect("orders have keys");
        runs.entry(key).or_default().push(record);
    }
    for (key, records) in &runs {
        assert_eq!(records.len(), 1, "{key} ran more than once: {records:?}");
    }
    for attempt in history {
        let run = runs.get(attempt.key.as_str()).map(|records| records[0]);
        match &attempt.told {
            Told::Ran(answer) => {
                assert!(run.is_some(), "{attempt:?} did not run");
                let own = format!("order of {}", attempt.key);
                assert!(answer.contains(&own), "{attempt:?} got another's answer");
            }
            Told::NotRun => {
                let ran = run.and_then(|record| record.request_id.as_deref());
                assert_ne!(ran, Some(attempt.request_id.as_str()), "{attempt:?} ran");
            }
            Told::Unknown | Told::Silence => {}
        }
    }
}

#[rstest]
#[case::nothing(OrderFault::Nothing)]
#[case::replies_lost(OrderFault::RepliesLost)]
#[case::platform_down(OrderFault::PlatformDown)]
#[case::answers_lost(OrderFault::AnswersLost)]
#[case::target_sheds(OrderFault::TargetSheds)]
#[case::daemons_killed(OrderFault::DaemonsKilled)]
#[case::daemon_frozen(OrderFault::DaemonFrozen)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_run_at_most_once_and_not_run_means_not_run(#[case] fault: OrderFault) {
    // Estimators place orders through the daemons of both zones; whoever gets
    // no clear answer tries again with the same key through another daemon.
    // Something fails meanwhile. No order may run twice, each success must be
    // the caller's own, and an attempt told "not run" must not have run.
    let mut mesh = mesh_in_force(spec(&["quoting"])).await;
    let proxies = mesh.daemons.iter().map(|daemon| daemon.proxy_url.clone());
    let proxies = Arc::new(proxies.collect::<Vec<_>>());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(caller(number, Arc::clone(&proxies))))
        .collect();
    bring_about(&mut mesh, fault).await;
    let mut history = Vec::new();
    for caller in callers {
        history.extend(caller.await.expect("a caller ends"));
    }
    check(&history, &mesh.executions.records());
    let ran = history
        .iter()
        .filter(|attempt| matches!(attempt.told, Told::Ran(_)))
        .count();
    // Orders whose answer or daemon was lost may stay unknown; most run.
    assert!(ran * 2 >= CALLERS, "only {ran} of {CALLERS} orders ran");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcome_of_a_keyed_order_can_be_looked_up() {
    // An order runs and its answer is lost. The caller is told that the
    // outcome is unknown and where to look it up; it finds "may have run"
    // there, and a repeated placement does not run it again. Another order
    // that ran is answered from its record, and a key reused for a different
    // order is refused.
    let mesh = mesh_in_force(spec(&["quoting"]).zones(&["zone-a"]).daemons_per_zone(1)).await;
    let proxy = mesh.daemons[0].proxy_url.clone();
    mesh.targets[0].set_mode(TargetMode::Mute);
    assert_eq!(place(&proxy, "lost", "first").await, Told::Unknown);
    assert_eq!(place(&proxy, "lost", "second").await, Told::Unknown);
    let looked_up = support::get(&proxy, "north-signs", "/_filbert/calls/lost").await;
    assert_eq!(looked_up.status(), 504);
    assert_eq!(mesh.executions.records().len(), 1);

    mesh.targets[0].set_mode(TargetMode::Normal);
    let Told::Ran(answer) = place(&proxy, "kept", "third").await else {
        panic!("the order did not run");
    };
    let replayed = support::eventually(support::WAIT_TIMEOUT, || async {
        place(&proxy, "kept", "fourth").await == Told::Ran(answer.clone())
    });
    assert!(replayed.await, "the recorded answer is not replayed");
    let looked_up = support::get(&proxy, "north-signs", "/_filbert/calls/kept").await;
    assert_eq!(looked_up.text().await.expect("an answer"), answer);
    let unknown = support::get(&proxy, "harbour-signs", "/_filbert/calls/kept").await;
    assert_eq!(unknown.status(), 404, "a rival member sees the order");
    let reused = reqwest::Client::new()
        .post(format!("{proxy}/orders"))
        .header("x-filbert-member", "north-signs")
        .header("idempotency-key", "kept")
        .body("another order")
        .send()
        .await
        .expect("the proxy answers");
    assert_eq!(reused.status(), 422);
    assert_eq!(mesh.executions.records().len(), 2);
}
