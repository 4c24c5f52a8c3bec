//! Planned stop of the machines of one zone, whose clients send further idempotent requests
//! before the first one is answered.
//!
//! Checks the rule LOST around a SIGTERM: a request that the stopping process has read and
//! passed on to a server gets a complete answer.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::client::{request_head, Connection, Ending};
use review_standins_2::daemon::TERMINATE;
use review_standins_2::mesh::{config, has_trouble, route, MachineSpec, Mesh};
use review_standins_2::platform::Readiness;
use review_standins_2::record::Record;

/// Work of a request at a server.
const WORK: Duration = Duration::from_millis(220);
/// Time between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
/// Clients at each machine that is stopped.
const CLIENTS: usize = 4;
/// Time that a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Time-out of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// `grace` of the small deployments.
const GRACE: Duration = Duration::from_secs(6);
/// Time within which a request must be sent for the rule's last excuse.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// Length of the calm before the stop.
const CALM: Duration = Duration::from_secs(4);

/// A request of a client, and how it ended.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Duration,
    ended: Duration,
    ending: String,
    is_answered: bool,
    /// Whether the connection ended, rather than the client giving up.
    is_cut: bool,
}

struct ClientSpec {
    name: String,
    machine: String,
    outbound: std::net::SocketAddr,
}

fn main() {
    let record = Record::create(&std::env::var("REVIEW_RECORD").expect("REVIEW_RECORD"));
    // The daemons end with the mesh, so before the process does.
    let code = run(&record);
    std::process::exit(code);
}

/// Runs the case. Returns 0 if the rule held, 1 if it was broken, 2 if the case could not
/// run.
fn run(record: &Record) -> i32 {
    let machine = |name, zone| MachineSpec {
        name,
        zone,
        service: "desk",
        work: WORK,
        answer_bytes: 5_000,
        send_time: Duration::ZERO,
        slots: 9,
    };
    let specs = [
        machine("a1", "hall-a"),
        machine("a2", "hall-a"),
        machine("b1", "hall-b"),
        machine("b2", "hall-b"),
        machine("b3", "hall-b"),
    ];
    let routes = [route("look", "/look/", "idempotent", "desk", 2_000, 600)];
    let Some(mut mesh) = Mesh::start(&specs, &config(1, &routes, &["desk"]), record) else {
        record.say("the mesh did not start");
        return 2;
    };
    for name in ["a1", "a2"] {
        if !mesh.warm_up(name, "GET /look/warm", 10, Duration::from_secs(15)) {
            record.say("the mesh did not serve");
            return 2;
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let all_sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for name in ["a1", "a2"] {
        for number in 0..CLIENTS {
            let client = ClientSpec {
                name: format!("{name}-c{number}"),
                machine: name.to_owned(),
                outbound: mesh.daemon(name).machine.outbound,
            };
            let (readiness, record) = (mesh.readiness.clone(), record.clone());
            let (is_over, all_sent) = (Arc::clone(&is_over), Arc::clone(&all_sent));
            clients.push(thread::spawn(move || {
                run_client(&client, &readiness, &record, &is_over, &all_sent);
            }));
        }
    }
    thread::sleep(CALM);
    let stopped_at = record.now();
    if has_trouble() {
        for name in ["a1", "a2"] {
            mesh.daemon(name).signal(TERMINATE);
            record.say(&format!("SIGTERM to {name}"));
        }
        for daemon in &mut mesh.daemons[..2] {
            if daemon.wait(GRACE + Duration::from_secs(1)) {
                record.say(&format!("{} has ended", daemon.machine.name));
            }
        }
    } else {
        thread::sleep(GRACE);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let lost = count_lost(&mesh, &all_sent.lock().expect("the requests"), stopped_at);
    if has_trouble() && lost > 0 {
        record.say("LOST is broken");
        return 1;
    }
    if lost > 0 {
        record.say("requests were lost without a stop");
        return 1;
    }
    record.say("LOST held");
    0
}

/// Counts the requests that break the rule.
fn count_lost(mesh: &Mesh, all_sent: &[Sent], stopped_at: Duration) -> usize {
    let runs = mesh.runs.lock().expect("the runs");
    let mut lost = 0;
    let (mut answered, mut unread) = (0, 0);
    for sent in all_sent {
        if sent.is_answered {
            answered += 1;
            continue;
        }
        // Planned work lasts until 1 s after `grace`.
        let is_around_stop = sent.at + DEADLINE >= stopped_at
            && sent.at <= stopped_at + GRACE + Duration::from_secs(1);
        let is_passed_on = runs
            .get(&sent.id)
            .is_some_and(|runs| runs.iter().any(|run| !run.is_rejected));
        if !is_passed_on {
            unread += 1;
            continue;
        }
        let is_in_time = sent.ended < sent.at + ROUTE_TIMEOUT;
        let last_sixth = stopped_at + GRACE * 5 / 6;
        let is_excused = sent.at <= stopped_at + EXCUSED_UNTIL && sent.ended >= last_sixth;
        let counts = sent.is_cut && is_around_stop && is_in_time && !is_excused;
        let since_stop = sent.at.as_secs_f64() - stopped_at.as_secs_f64();
        mesh.record.line(&format!(
            "{} request={} sent {since_stop:.3} s after the stop, {:.3} s before its end; {}",
            if counts { "LOST" } else { "not counted" },
            sent.id,
            (sent.ended - sent.at).as_secs_f64(),
            sent.ending
        ));
        lost += usize::from(counts);
    }
    mesh.record.say(&format!(
        "requests={} answered={answered} not passed on={unread} lost={lost}",
        all_sent.len()
    ));
    lost
}

/// Sends requests on one connection after the other. A request that was sent behind an
/// answer that closes the connection counts as not read, and is sent again.
fn run_client(
    client: &ClientSpec,
    readiness: &Readiness,
    record: &Record,
    is_over: &AtomicBool,
    all_sent: &Mutex<Vec<Sent>>,
) {
    let numbers = AtomicU64::new(0);
    while !is_over.load(Ordering::SeqCst) {
        let Ok(connection) = Connection::open(client.outbound) else {
            thread::sleep(REQUEST_INTERVAL);
            continue;
        };
        use_connection(
            connection, client, readiness, record, is_over, all_sent, &numbers,
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// What the reading and the writing side of a connection share.
#[derive(Default)]
struct Pipeline {
    open: VecDeque<(String, Duration)>,
    is_closing: bool,
}

fn use_connection(
    mut connection: Connection,
    client: &ClientSpec,
    readiness: &Readiness,
    record: &Record,
    is_over: &AtomicBool,
    all_sent: &Mutex<Vec<Sent>>,
    numbers: &AtomicU64,
) {
    let pipeline: Mutex<Pipeline> = Mutex::default();
    let Ok(writer) = connection.writer.try_clone() else {
        return;
    };
    let mut sending = Connection {
        reader: review_standins_2::http::Reader::new(writer.try_clone().expect("the stream")),
        writer,
    };
    thread::scope(|scope| {
        scope.spawn(|| loop {
            let is_closing = pipeline.lock().expect("the pipeline").is_closing;
            if is_closing || is_over.load(Ordering::SeqCst) {
                return;
            }
            if readiness.gives_work(&client.machine) {
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                let id = format!("{}-{number}", client.name);
                let line = format!("GET /look/{id}");
                let deadline = u64::try_from(DEADLINE.as_millis()).unwrap_or(0);
                let at = record.now();
                pipeline
                    .lock()
                    .expect("the pipeline")
                    .open
                    .push_back((id.clone(), at));
                record.line(&format!("sent request={id} machine={}", client.machine));
                if sending
                    .send(&request_head(&line, &id, deadline, None), &[])
                    .is_err()
                {
                    return;
                }
            }
            thread::sleep(REQUEST_INTERVAL);
        });
        let started = Instant::now();
        loop {
            let first = pipeline.lock().expect("the pipeline").open.front().cloned();
            let Some((id, at)) = first else {
                let is_idle = is_over.load(Ordering::SeqCst);
                if is_idle || started.elapsed() > Duration::from_secs(60) {
                    break;
                }
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let ending = connection.answer(DEADLINE);
            let closes = match &ending {
                Ending::Answer(head, _) => head.field("connection").eq_ignore_ascii_case("close"),
                _ => true,
            };
            let is_answered = matches!(ending, Ending::Answer(..));
            let is_cut = matches!(ending, Ending::Closed(_) | Ending::Partial(..));
            let text = ending.text();
            record.line(&format!("got request={id} {text}"));
            let mut pipeline = pipeline.lock().expect("the pipeline");
            pipeline.open.pop_front();
            let mut all_sent = all_sent.lock().expect("the requests");
            all_sent.push(Sent {
                id,
                at,
                ended: record.now(),
                ending: text.clone(),
                is_answered,
                is_cut,
            });
            if closes {
                pipeline.is_closing = true;
                for (id, at) in pipeline.open.drain(..) {
                    record.line(&format!("behind the end of its connection: request={id}"));
                    all_sent.push(Sent {
                        id,
                        at,
                        ended: record.now(),
                        ending: format!("behind: {text}"),
                        is_answered: false,
                        is_cut: true,
                    });
                }
                break;
            }
        }
        pipeline.lock().expect("the pipeline").is_closing = true;
        let _ = connection.writer.shutdown(std::net::Shutdown::Both);
    });
}
