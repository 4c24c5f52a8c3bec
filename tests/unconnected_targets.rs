//! Calls beside targets to which no connection can be opened: they certainly did not run.

mod support;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use filbert_daemon::settings::DistributionMode;
use filbert_standin::mesh::LocalMesh;
use filbert_tree::BranchPath;
use rstest::rstest;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use support::{known_target_count, mesh_spec, start_mesh_with_example, WAIT_TIMEOUT};

const LOOKUP: (&str, &str) = ("GET", "/quotes/1");
const ORDER: (&str, &str) = ("POST", "/orders/1");
/// Longest time of an answer: the timeout of the example's routes, and a margin.
const ANSWER_TIME: Duration = Duration::from_millis(2_500);
/// Connections that fill the queue of a listener that accepts none.
const QUEUE_FILLERS: usize = 8;

/// A port of a target at which no call can run or end.
enum DeadPort {
    /// Nobody listens.
    Closed(u16),
    /// Connections are neither accepted nor refused.
    Full {
        port: u16,
        _listener: Socket,
        _fillers: Vec<Socket>,
    },
    /// Connections are accepted, and no answer comes.
    Silent(TcpListener),
}

impl DeadPort {
    fn closed() -> DeadPort {
        DeadPort::Closed(filbert_standin::ports::free_port())
    }

    fn full() -> DeadPort {
        let stream = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let listener = stream();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        listener.bind(&any.into()).expect("a port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().expect("its address");
        let port = address.as_socket_ipv4().expect("an address").port();
        let fill = |_| {
            let filler = stream();
            filler.set_nonblocking(true).expect("non-blocking");
            let _ = filler.connect(&address);
            filler
        };
        DeadPort::Full {
            port,
            _fillers: (0..QUEUE_FILLERS).map(fill).collect(),
            _listener: listener,
        }
    }

    fn silent() -> DeadPort {
        DeadPort::Silent(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port"))
    }

    fn port(&self) -> u16 {
        match self {
            DeadPort::Closed(port) | DeadPort::Full { port, .. } => *port,
            DeadPort::Silent(listener) => listener.local_addr().expect("an address").port(),
        }
    }
}

/// One daemon with `target_count` targets of `quoting` that serve, or none, beside those at
/// the `dead` ports.
async fn mesh_beside(target_count: usize, dead: &[DeadPort]) -> LocalMesh {
    let services: &[&str] = if target_count == 0 { &[] } else { &["quoting"] };
    let spec = mesh_spec(services)
        .zones(&["zone-a"])
        .daemons_per_zone(target_count.max(1))
        .mode(DistributionMode::Direct);
    let mesh = start_mesh_with_example(spec).await;
    for port in dead.iter().map(DeadPort::port) {
        let row = json!({"service": "quoting", "address": format!("127.0.0.1:{port}"),
            "zone": "zone-a", "daemon": "x", "load": 0, "leaving": false,
            "heard_at_ms": u64::MAX});
        let key = format!("targets/zone-a/quoting/{port}");
        mesh.platform.store.write_row(&key, row);
    }
    let count = u64::try_from(target_count + dead.len()).expect("a small number");
    let knows_all = || async { known_target_count(&mesh.daemons[0], "quoting").await == count };
    assert!(support::eventually(WAIT_TIMEOUT, knows_all).await);
    mesh
}

async fn call(mesh: &LocalMesh, (method, path): (&str, &str)) -> reqwest::Response {
    let method = reqwest::Method::from_bytes(method.as_bytes()).expect("a method");
    filbert_standin::http::direct_client()
        .request(method, format!("{}{path}", mesh.daemons[0].proxy_url))
        .header("x-filbert-member", "north-signs")
        .send()
        .await
        .expect("the proxy responds")
}

/// Guards against targets that nobody is behind and that cost the calls of a service that
/// others serve.
#[rstest]
#[case::lookups(LOOKUP)]
#[case::orders(ORDER)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn twenty_closed_ports_cost_no_call(#[case] request: (&str, &str)) {
    let dead: Vec<DeadPort> = (0..20).map(|_| DeadPort::closed()).collect();
    let mesh = mesh_beside(2, &dead).await;
    let mut statuses = Vec::new();
    for _ in 0..100 {
        statuses.push(call(&mesh, request).await.status().as_u16());
    }
    let failed = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(failed, 0, "{statuses:?}");
}

/// The targets of a service that has no other, and the answer to a call.
struct DeadService {
    ports: fn() -> DeadPort,
    request: (&'static str, &'static str),
    status: u16,
    outcome: &'static str,
}

/// Guards against a call that reached no connection and whose caller is told that it may have
/// run, and against the reverse.
#[rstest]
#[case::closed_lookup(DeadService { ports: DeadPort::closed, request: LOOKUP, status: 503, outcome: "not-run" })]
#[case::closed_order(DeadService { ports: DeadPort::closed, request: ORDER, status: 503, outcome: "not-run" })]
#[case::full_lookup(DeadService { ports: DeadPort::full, request: LOOKUP, status: 503, outcome: "not-run" })]
#[case::full_order(DeadService { ports: DeadPort::full, request: ORDER, status: 503, outcome: "not-run" })]
#[case::silent_lookup(DeadService { ports: DeadPort::silent, request: LOOKUP, status: 504, outcome: "unknown" })]
#[case::silent_order(DeadService { ports: DeadPort::silent, request: ORDER, status: 504, outcome: "unknown" })]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_that_reached_no_connection_did_not_run(#[case] case: DeadService) {
    let dead: Vec<DeadPort> = (0..3).map(|_| (case.ports)()).collect();
    let mesh = mesh_beside(0, &dead).await;
    for round in 0..3 {
        let started = Instant::now();
        let answer = call(&mesh, case.request).await;
        assert!(started.elapsed() < ANSWER_TIME, "round {round}");
        assert_eq!(answer.status(), case.status, "round {round}");
        assert_eq!(answer.headers()["x-filbert-outcome"], case.outcome);
        let has_return_time = answer.headers().contains_key("retry-after");
        assert_eq!(has_return_time, case.status == 503, "round {round}");
    }
}

/// Guards against a hedged call of which neither attempt reached a connection, and whose caller
/// is told that it may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hedged_call_that_reached_no_connection_did_not_run() {
    let dead: Vec<DeadPort> = (0..2).map(|_| DeadPort::full()).collect();
    let mesh = mesh_beside(0, &dead).await;
    let mut tree = support::example_tree();
    let quotes = BranchPath::parse("site/north-signs/quoting/quotes").expect("a branch");
    // A third of the timeout, after which an attempt is hedged, is shorter than the time to
    // open a connection, and two thirds are longer.
    for (key, value) in [("retries", "2"), ("timeout_ms", "1200")] {
        tree.set(&quotes, key, value).expect("an edit");
    }
    mesh.publish(2, &tree, None).await;
    assert!(support::wait_until_applied_on(&mesh, &[0], 2).await);
    let answer = call(&mesh, LOOKUP).await;
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()["x-filbert-outcome"], "not-run");
}
