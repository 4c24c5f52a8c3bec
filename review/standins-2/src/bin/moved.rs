//! The platform's store moves to another address. The settings files of all machines name
//! the new address, and a share of the daemons gets SIGHUP.
//!
//! Checks the rule CONFIG: a request that is sent later than `apply` after the
//! acknowledgement of a version is not handled as only an older version allows.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::client::{request_head, Connection, Ending};
use review_standins_2::daemon::HANGUP;
use review_standins_2::mesh::{config, has_trouble, route, MachineSpec, Mesh};
use review_standins_2::record::Record;

/// Daemons that get SIGHUP: a share of 0.3 of four.
const SIGNALLED: usize = 1;
/// Time for which the store answers at both addresses after the settings have changed.
const BOTH_ADDRESSES: Duration = Duration::from_secs(5);
/// Time without any disruption before the new version is written, `stable_window` at least.
const CALM: Duration = Duration::from_secs(4);
/// `apply` of the small deployments.
const APPLY: Duration = Duration::from_secs(2);
/// `stretch_max` of the small deployments. The store answers all the time, so that the rule
/// does not allow it; it is added nevertheless.
const STRETCH: Duration = Duration::from_secs(5);
/// Time for which the requests are sent that the rule covers.
const WATCHED: Duration = Duration::from_secs(5);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

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
        work: Duration::from_millis(30),
        answer_bytes: 2_000,
        send_time: Duration::ZERO,
        slots: 9,
    };
    let specs = [
        machine("a1", "hall-a", "old-desk"),
        machine("a2", "hall-a", "new-desk"),
        machine("b1", "hall-b", "old-desk"),
        machine("b2", "hall-b", "new-desk"),
    ];
    let services = ["old-desk", "new-desk"];
    let to = |service: &str| [route("look", "/look/", "idempotent", service, 2_000, 600)];
    let Some(mesh) = Mesh::start(&specs, &config(1, &to("old-desk"), &services), record) else {
        record.say("the mesh did not start");
        return 2;
    };
    for spec in &specs {
        if !mesh.warm_up(spec.name, "GET /look/warm", 5, Duration::from_secs(15)) {
            record.say("the mesh did not serve");
            return 2;
        }
    }
    if has_trouble() {
        let new_port = mesh.store.serve();
        for (index, daemon) in mesh.daemons.iter().enumerate() {
            let mut machine = daemon.machine.clone();
            machine.store = new_port.address;
            machine.bootstrap = false;
            fs::write(&daemon.settings_path, machine.settings()).expect("the settings file");
            // A share of the machines gets SIGHUP, the others no signal.
            let is_signalled = index < SIGNALLED;
            if is_signalled {
                daemon.signal(HANGUP);
            }
            record.line(&format!(
                "settings of {}: the store is at {} instead of {}; SIGHUP={is_signalled}",
                machine.name, new_port.address, mesh.port.address
            ));
        }
        thread::sleep(BOTH_ADDRESSES);
        mesh.port.close();
        record.say("the store has left its old address");
    }
    thread::sleep(CALM);
    mesh.store
        .operator_writes("config", &config(9, &to("new-desk"), &services));
    record.say("version 00000009 is acknowledged: the route leads to new-desk");
    thread::sleep(APPLY + STRETCH);
    let until = Instant::now() + WATCHED;
    let (mut sent, mut by_old, mut by_new) = (0, 0, 0);
    while Instant::now() < until {
        for name in ["a1", "a2", "b1", "b2"] {
            sent += 1;
            let id = format!("look-{sent}");
            let ending = send(&mesh, name, &id);
            let runs = mesh.runs.lock().expect("the runs");
            let servers: Vec<String> = runs
                .get(&id)
                .map(|runs| runs.iter().filter(|run| run.began.is_some()))
                .into_iter()
                .flatten()
                .map(|run| run.server.clone())
                .collect();
            drop(runs);
            record.line(&format!(
                "request={id} at={name} {ending} ran at {servers:?}"
            ));
            let runs_at = |name: &str| servers.iter().any(|server| server == name);
            by_old += usize::from(runs_at("a1") || runs_at("b1"));
            by_new += usize::from(runs_at("a2") || runs_at("b2"));
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    record.say(&format!(
        "requests sent later than {:?} after the acknowledgement={sent} run by the old service={by_old} run by the new service={by_new}",
        APPLY + STRETCH
    ));
    if by_old > 0 {
        record.say("CONFIG is broken");
        return 1;
    }
    record.say("CONFIG held");
    0
}

fn send(mesh: &Mesh, name: &str, id: &str) -> String {
    let Ok(mut connection) = Connection::open(mesh.daemon(name).machine.outbound) else {
        return "no connection".to_owned();
    };
    let head = request_head(&format!("GET /look/{id}"), id, 4_000, None);
    if connection.send(&head, &[]).is_err() {
        return "not sent".to_owned();
    }
    let ending: Ending = connection.answer(Duration::from_secs(4));
    ending.text()
}
