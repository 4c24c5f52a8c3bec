//! A server falls silent while it sends long answers.
//!
//! Checks the rule CONFIG: of the requests that are unanswered at their route's `timeout`,
//! no more than a half (and not eight and over a quarter) have no final answer half a second
//! later.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::client::{request_head, Connection, Ending};
use review_standins_2::mesh::{config, has_trouble, route, MachineSpec, Mesh};
use review_standins_2::record::Record;

/// Time that a client waits.
const DEADLINE_MS: u64 = 4_000;
/// Time-out of the route.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after the time-out within which a final answer has to come.
const ALLOWED_AFTER: Duration = Duration::from_millis(500);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(92);
/// Time for which requests are sent.
const SENT_FOR: Duration = Duration::from_secs(58);
/// Moments at which the server falls silent, and for how long.
const SILENT_AT: [Duration; 5] = [
    Duration::from_secs(4),
    Duration::from_secs(15),
    Duration::from_secs(26),
    Duration::from_secs(37),
    Duration::from_secs(48),
];
const SILENT_FOR: Duration = Duration::from_millis(4_500);

struct Ended {
    id: String,
    after: Duration,
    text: String,
    is_final: bool,
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
    let machine = |name, zone, service| MachineSpec {
        name,
        zone,
        service,
        work: Duration::from_millis(60),
        answer_bytes: 540_000,
        send_time: Duration::from_millis(1_500),
        slots: 9,
    };
    let specs = [
        machine("a1", "hall-a", "front"),
        machine("a2", "hall-a", "vault"),
        machine("a3", "hall-a", "vault"),
        machine("a4", "hall-a", "vault"),
    ];
    let routes = [route("art", "/art/", "download", "vault", 2_000, 1_500)];
    let text = config(1, &routes, &["front", "vault"]);
    let Some(mesh) = Mesh::start(&specs, &text, record) else {
        record.say("the mesh did not start");
        return 2;
    };
    if !mesh.warm_up("a1", "GET /art/warm", 3, Duration::from_secs(20)) {
        record.say("the mesh did not serve");
        return 2;
    }
    let outbound = mesh.daemon("a1").machine.outbound;
    let all_ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let silent = Arc::clone(&mesh.server("a2").is_silent);
    let trouble_record = record.clone();
    let trouble = thread::spawn(move || {
        let started = Instant::now();
        for at in SILENT_AT {
            thread::sleep(at.saturating_sub(started.elapsed()));
            if has_trouble() {
                silent.store(true, Ordering::SeqCst);
                trouble_record.say("server a2 is silent");
            }
            thread::sleep(SILENT_FOR);
            silent.store(false, Ordering::SeqCst);
            trouble_record.line("server a2 goes on");
        }
    });
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0;
    while started.elapsed() < SENT_FOR {
        number += 1;
        let id = format!("art-{number}");
        let (record, all_ended) = (record.clone(), Arc::clone(&all_ended));
        clients.push(thread::spawn(move || {
            let Ok(mut connection) = Connection::open(outbound) else {
                return;
            };
            let sent = Instant::now();
            let head = request_head(&format!("GET /art/{id}"), &id, DEADLINE_MS, None);
            if connection.send(&head, &[]).is_err() {
                return;
            }
            record.line(&format!("sent request={id}"));
            let left = Duration::from_millis(DEADLINE_MS).saturating_sub(sent.elapsed());
            let ending = connection.answer(left);
            let after = sent.elapsed();
            record.line(&format!(
                "got request={id} after {:.3} s: {}",
                after.as_secs_f64(),
                ending.text()
            ));
            let is_final = matches!(ending, Ending::Answer(..) | Ending::Closed(_));
            all_ended.lock().expect("the requests").push(Ended {
                id,
                after,
                text: ending.text(),
                is_final,
            });
        }));
        thread::sleep(REQUEST_INTERVAL);
    }
    for client in clients {
        let _ = client.join();
    }
    let _ = trouble.join();
    let (mut open_at_timeout, mut without_answer) = (0, 0);
    for Ended {
        id,
        after,
        text,
        is_final,
    } in all_ended.lock().expect("the requests").iter()
    {
        if *after <= TIMEOUT {
            continue;
        }
        open_at_timeout += 1;
        if *after > TIMEOUT + ALLOWED_AFTER {
            without_answer += 1;
            record.line(&format!(
                "no final answer request={id} {:.3} s after it was sent; {text} final={is_final}",
                after.as_secs_f64()
            ));
        }
    }
    record.say(&format!(
        "requests={number} unanswered at the time-out={open_at_timeout} of these without a final answer half a second later={without_answer}"
    ));
    let more_than_half = without_answer >= 8 && 2 * without_answer > open_at_timeout;
    let over_a_quarter = without_answer >= 8 && 4 * without_answer > open_at_timeout;
    if more_than_half || over_a_quarter {
        record.say("CONFIG is broken");
        return 1;
    }
    record.say("CONFIG held");
    0
}
