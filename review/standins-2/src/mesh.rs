//! A small mesh: the store, servers, their daemons and the platform's readiness checks.

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{request_head, Connection, Ending};
use crate::daemon::{Daemon, Machine};
use crate::platform::{wait_until_ready, Readiness};
use crate::record::Record;
use crate::server::{Runs, Server, ServerSpec};
use crate::store::{Store, StorePort};

/// Longest time for all daemons to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One machine of a mesh.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// Name of the machine.
    pub name: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// Service of its server.
    pub service: &'static str,
    /// Time of a request's work at its server.
    pub work: Duration,
    /// Length of its server's answers.
    pub answer_bytes: usize,
    /// Time over which the server sends an answer.
    pub send_time: Duration,
    /// Slots of its server.
    pub slots: usize,
}

/// A running mesh.
pub struct Mesh {
    /// The store.
    pub store: Store,
    /// The address at which the store answers.
    pub port: StorePort,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The servers, in the order of the daemons.
    pub servers: Vec<Server>,
    /// What reached the servers.
    pub runs: Runs,
    /// The platform's readiness checks.
    pub readiness: Readiness,
    /// The record of the case.
    pub record: Record,
    folder: PathBuf,
}

impl Mesh {
    /// Starts a mesh and waits until it serves. `None` if it does not.
    ///
    /// # Panics
    /// If a process cannot be started.
    pub fn start(specs: &[MachineSpec], config: &str, record: &Record) -> Option<Mesh> {
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT"));
        let folder = PathBuf::from(std::env::var("REVIEW_FOLDER").expect("REVIEW_FOLDER"));
        let store = Store::new();
        store.operator_writes("config", config);
        let port = store.serve();
        let mut zones: Vec<&str> = specs.iter().map(|spec| spec.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let runs = Runs::default();
        let mut daemons = Vec::new();
        let mut servers = Vec::new();
        for spec in specs {
            let machine = Machine::new(spec.name, spec.zone, spec.service, &zones, port.address);
            let server = ServerSpec {
                name: spec.name.to_owned(),
                id: format!("i-{}", spec.name),
                service: spec.service.to_owned(),
                zone: spec.zone.to_owned(),
                address: machine.app,
                control: machine.control,
                slots: spec.slots,
                queue: 36,
                work: spec.work,
                answer_bytes: spec.answer_bytes,
                send_time: spec.send_time,
            };
            daemons.push(Daemon::start(machine, &root, &folder));
            servers.push(Server::start(server, Arc::clone(&runs), record.clone()));
        }
        let addresses: Vec<_> = daemons.iter().map(|daemon| daemon.machine.ready).collect();
        if !wait_until_ready(&addresses, START_LIMIT) {
            for daemon in &daemons {
                let log = folder.join(format!("{}.log", daemon.machine.name));
                let log = std::fs::read_to_string(log).unwrap_or_default();
                let last = log.lines().last().unwrap_or("no line").to_owned();
                record.line(&format!("last line of {}: {last}", daemon.machine.name));
            }
            return None;
        }
        let checked: Vec<_> = daemons
            .iter()
            .map(|daemon| {
                let machine = &daemon.machine;
                (machine.name.clone(), machine.zone.clone(), machine.ready)
            })
            .collect();
        let readiness = Readiness::start(&checked, record.clone());
        record.line("all daemons are ready");
        Some(Mesh {
            store,
            port,
            daemons,
            servers,
            runs,
            readiness,
            record: record.clone(),
            folder,
        })
    }

    /// The daemon of the machine `name`.
    ///
    /// # Panics
    /// If there is none.
    pub fn daemon(&self, name: &str) -> &Daemon {
        let mut daemons = self.daemons.iter();
        daemons
            .find(|daemon| daemon.machine.name == name)
            .expect("a machine")
    }

    /// The server of the machine `name`.
    ///
    /// # Panics
    /// If there is none.
    pub fn server(&self, name: &str) -> &Server {
        let mut servers = self.servers.iter();
        servers
            .find(|server| server.spec.name == name)
            .expect("a machine")
    }

    /// The folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Sends requests `line` at the machine `name` until `count` in a row are answered with
    /// 200. Returns whether that was so within `limit`.
    pub fn warm_up(&self, name: &str, line: &str, count: usize, limit: Duration) -> bool {
        let outbound = self.daemon(name).machine.outbound;
        let until = Instant::now() + limit;
        let mut served = 0;
        let mut number = 0;
        while served < count && Instant::now() < until {
            number += 1;
            let id = format!("warm-{name}-{number}");
            let answered = Connection::open(outbound).ok().and_then(|mut connection| {
                connection
                    .send(&request_head(line, &id, 5_000, None), &[])
                    .ok()?;
                match connection.answer(Duration::from_secs(5)) {
                    Ending::Answer(head, _) => Some(head.status()),
                    _ => None,
                }
            });
            if answered == Some(200) {
                served += 1;
            } else {
                served = 0;
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record
            .line(&format!("warmed up machine={name} served={served}"));
        served >= count
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for server in &self.servers {
            server.beats.store(false, Ordering::SeqCst);
        }
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Route of a configuration.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    aim_ms: u64,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\"target_latency\":\"{aim_ms}ms\",\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}"
    )
}

/// A configuration with the limits of the small deployments.
pub fn config(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\"header\":\"3000ms\",\"idle\":\"15000ms\"}}}}",
        routes.join(","),
        services.join(",")
    )
}
