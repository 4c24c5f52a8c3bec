//! The platform's readiness checks, and where its clients receive new work.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

/// Time between two readiness checks of a daemon.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

struct Checked {
    zone: String,
    ready: SocketAddr,
    misses: u32,
}

/// Checks the daemons once a second.
#[derive(Clone)]
pub struct Readiness {
    daemons: Arc<Mutex<BTreeMap<String, Checked>>>,
}

/// Whether a daemon answers a readiness check with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let check = || -> Option<u16> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(900)))
            .ok()?;
        let mut writer = stream.try_clone().ok()?;
        writer
            .write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            .ok()?;
        Some(Reader::new(stream).head().ok()??.status())
    };
    check() == Some(200)
}

/// Waits until all daemons at `addresses` are ready, `limit` at most.
pub fn wait_until_ready(addresses: &[SocketAddr], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if addresses.iter().all(|address| is_ready(*address)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

impl Readiness {
    /// Starts to check the daemons: name, zone and address of each.
    pub fn start(daemons: &[(String, String, SocketAddr)], record: Record) -> Readiness {
        let checked = daemons
            .iter()
            .map(|(name, zone, ready)| {
                let entry = Checked {
                    zone: zone.clone(),
                    ready: *ready,
                    misses: 0,
                };
                (name.clone(), entry)
            })
            .collect();
        let readiness = Readiness {
            daemons: Arc::new(Mutex::new(checked)),
        };
        let checks = readiness.clone();
        thread::spawn(move || loop {
            thread::sleep(CHECK_INTERVAL);
            checks.check_all(&record);
        });
        readiness
    }

    fn check_all(&self, record: &Record) {
        let addresses: Vec<(String, SocketAddr)> = {
            let daemons = self.daemons.lock().expect("the daemons");
            daemons
                .iter()
                .map(|(name, daemon)| (name.clone(), daemon.ready))
                .collect()
        };
        let answers: Vec<(String, bool)> = addresses
            .into_iter()
            .map(|(name, address)| (name, is_ready(address)))
            .collect();
        let mut daemons = self.daemons.lock().expect("the daemons");
        for (name, is_ready) in answers {
            if let Some(daemon) = daemons.get_mut(&name) {
                daemon.misses = if is_ready { 0 } else { daemon.misses + 1 };
                if !is_ready {
                    record.line(&format!("readiness daemon={name} misses={}", daemon.misses));
                }
            }
        }
    }

    /// Whether the clients on the machine `name` receive new work: the daemon has not
    /// missed two checks in a row, or fewer than half of its zone's daemons are in.
    pub fn gives_work(&self, name: &str) -> bool {
        let daemons = self.daemons.lock().expect("the daemons");
        let Some(own) = daemons.get(name) else {
            return false;
        };
        if own.misses < 2 {
            return true;
        }
        let zone = daemons.values().filter(|daemon| daemon.zone == own.zone);
        let total = zone.clone().count();
        let in_count = zone.filter(|daemon| daemon.misses < 2).count();
        2 * in_count < total
    }
}
