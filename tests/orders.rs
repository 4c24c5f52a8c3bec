//! An order runs at most once, and an attempt that is reported as not run has not
//! run. Concurrent callers place orders and retry through other daemons while a fault
//! is injected; the history of their attempts is checked at the end.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filbert_standin::mesh::LocalMesh;
use filbert_standin::target::{ExecutionRecord, TargetMode};
use filbert_store::InjectedFaults;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::{mesh_spec, start_mesh_with_example, DAEMON_EXE};

/// Concurrent callers, each of which places one order.
const CALLER_COUNT: usize = 24;
/// Largest number of attempts of a caller; after them, the outcome of its order stays unknown.
const MAX_ATTEMPTS: usize = 12;
/// Delay between a caller's attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Outcome of one attempt, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReportedOutcome {
    /// The order ran; holds the text of the response.
    Ran(String),
    /// This attempt did not run the order.
    NotRun,
    /// The order may have run.
    Unknown,
    /// No whole response arrived.
    NoResponse,
}

/// One attempt, as recorded by its caller.
#[derive(Clone, Debug)]
struct AttemptRecord {
    key: String,
    request_id: String,
    reported: ReportedOutcome,
}

/// A fault that is injected while the callers place their orders.
#[derive(Clone, Copy, Debug)]
enum OrderFault {
    NoFault,
    /// The next writes to the platform take effect, but their responses are lost.
    RepliesLost,
    /// The platform is down for a while.
    PlatformDown,
    /// A target runs orders and never responds.
    AnswersLost,
    /// A target sheds load.
    TargetSheds,
    /// Two daemons are killed and restarted.
    DaemonsKilled,
    /// A daemon is paused (SIGSTOP) and resumed.
    DaemonFrozen,
}

/// Places an order with idempotency key `key` through `proxy`.
///
/// # Panics
/// When the status and the outcome header don't belong together.
async fn place_order(proxy: &str, key: &str, request_id: &str) -> ReportedOutcome {
    let sent = filbert_standin::http::direct_client()
        .post(format!("{proxy}/orders?delay_ms=20"))
        .header("x-filbert-member", "north-signs")
        .header("idempotency-key", key)
        .header("x-request-id", request_id)
        .timeout(Duration::from_secs(3))
        .body(format!("order of {key}"))
        .send()
        .await;
    let Ok(response) = sent else {
        return ReportedOutcome::NoResponse;
    };
    let status = response.status().as_u16();
    let outcome = response
        .headers()
        .get("x-filbert-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned();
    match (status, outcome.as_str()) {
        (200, "" | "replayed") => response
            .text()
            .await
            .map_or(ReportedOutcome::NoResponse, ReportedOutcome::Ran),
        (503, "not-run") => ReportedOutcome::NotRun,
        (504, "unknown") => ReportedOutcome::Unknown,
        (status, outcome) => panic!("{request_id}: status {status}, outcome {outcome:?}"),
    }
}

/// Places one order through one daemon after another until a response says that it
/// ran, for at most [`MAX_ATTEMPTS`] attempts; returns all of them.
async fn run_caller(number: usize, proxies: Arc<Vec<String>>) -> Vec<AttemptRecord> {
    let key = format!("order-{number}");
    let mut history = Vec::new();
    for attempt in 0..MAX_ATTEMPTS {
        let proxy = &proxies[(number + attempt) % proxies.len()];
        let request_id = format!("{key}-attempt-{attempt}");
        let reported = place_order(proxy, &key, &request_id).await;
        let done = matches!(reported, ReportedOutcome::Ran(_));
        history.push(AttemptRecord {
            key: key.clone(),
            request_id,
            reported,
        });
        if done {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    history
}

async fn inject_fault(mesh: &mut LocalMesh, fault: OrderFault) {
    match fault {
        OrderFault::NoFault => {}
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
        OrderFault::AnswersLost => mesh.targets[0].set_mode(TargetMode::NeverResponds),
        OrderFault::TargetSheds => mesh.targets[0].set_mode(TargetMode::ShedsLoad),
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

/// Checks the callers' history against the runs that the targets recorded.
fn check_history(history: &[AttemptRecord], executions: &[ExecutionRecord]) {
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
        match &attempt.reported {
            ReportedOutcome::Ran(response) => {
                assert!(run.is_some(), "{attempt:?} did not run");
                let own_order = format!("order of {}", attempt.key);
                assert!(
                    response.contains(&own_order),
                    "{attempt:?} got another order's response"
                );
            }
            ReportedOutcome::NotRun => {
                let ran = run.and_then(|record| record.request_id.as_deref());
                assert_ne!(ran, Some(attempt.request_id.as_str()), "{attempt:?} ran");
            }
            ReportedOutcome::Unknown | ReportedOutcome::NoResponse => {}
        }
    }
}

#[rstest]
#[case::nothing(OrderFault::NoFault)]
#[case::replies_lost(OrderFault::RepliesLost)]
#[case::platform_down(OrderFault::PlatformDown)]
#[case::answers_lost(OrderFault::AnswersLost)]
#[case::target_sheds(OrderFault::TargetSheds)]
#[case::daemons_killed(OrderFault::DaemonsKilled)]
#[case::daemon_frozen(OrderFault::DaemonFrozen)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_run_at_most_once_and_not_run_reports_are_true(#[case] fault: OrderFault) {
    // Callers place orders through the daemons of both zones while a fault is
    // injected; a caller without a definite outcome retries with the same key
    // through another daemon. No order may run twice, each caller must get the
    // response to its own order, and an attempt that is reported as not run must
    // not have run.
    let mut mesh = start_mesh_with_example(mesh_spec(&["quoting"])).await;
    let proxies = mesh.daemons.iter().map(|daemon| daemon.proxy_url.clone());
    let proxies = Arc::new(proxies.collect::<Vec<_>>());
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| tokio::spawn(run_caller(number, Arc::clone(&proxies))))
        .collect();
    inject_fault(&mut mesh, fault).await;
    let mut history = Vec::new();
    for caller in callers {
        history.extend(caller.await.expect("a caller ends"));
    }
    check_history(&history, &mesh.executions.records());
    let ran = history
        .iter()
        .filter(|attempt| matches!(attempt.reported, ReportedOutcome::Ran(_)))
        .count();
    // The outcome of an order may stay unknown if its response or its daemon was
    // lost, but at least half of the orders must be known to have run.
    assert!(
        ran * 2 >= CALLER_COUNT,
        "only {ran} of {CALLER_COUNT} orders ran"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcome_of_an_order_with_a_key_can_be_looked_up() {
    // An order runs and its response is lost. The caller is told that the outcome
    // is unknown, a lookup by its key says that it may have run, and placing it
    // again does not run it again. A second order runs: placing it again and a
    // lookup return the recorded response, another member can't look it up, and
    // its key is rejected for a different order.
    let mesh = start_mesh_with_example(
        mesh_spec(&["quoting"])
            .zones(&["zone-a"])
            .daemons_per_zone(1),
    )
    .await;
    let proxy = mesh.daemons[0].proxy_url.clone();
    mesh.targets[0].set_mode(TargetMode::NeverResponds);
    assert_eq!(
        place_order(&proxy, "lost", "first").await,
        ReportedOutcome::Unknown
    );
    assert_eq!(
        place_order(&proxy, "lost", "second").await,
        ReportedOutcome::Unknown
    );
    let looked_up = support::get(&proxy, "north-signs", "/_filbert/calls/lost").await;
    assert_eq!(looked_up.status(), 504);
    assert_eq!(mesh.executions.records().len(), 1);

    mesh.targets[0].set_mode(TargetMode::Normal);
    let ReportedOutcome::Ran(response) = place_order(&proxy, "kept", "third").await else {
        panic!("the order did not run");
    };
    let replayed = support::eventually(support::WAIT_TIMEOUT, || async {
        place_order(&proxy, "kept", "fourth").await == ReportedOutcome::Ran(response.clone())
    });
    assert!(replayed.await, "the recorded response is not replayed");
    let looked_up = support::get(&proxy, "north-signs", "/_filbert/calls/kept").await;
    assert_eq!(looked_up.text().await.expect("a response"), response);
    let unknown = support::get(&proxy, "harbour-signs", "/_filbert/calls/kept").await;
    assert_eq!(unknown.status(), 404, "another member sees the order");
    let reused = filbert_standin::http::direct_client()
        .post(format!("{proxy}/orders"))
        .header("x-filbert-member", "north-signs")
        .header("idempotency-key", "kept")
        .body("another order")
        .send()
        .await
        .expect("the proxy responds");
    assert_eq!(reused.status(), 422);
    assert_eq!(mesh.executions.records().len(), 2);
}
