//! Starts daemons with the command of the deploy file, and sends them signals.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// SIGHUP.
pub const HANGUP: i32 = 1;
/// SIGKILL.
pub const KILL: i32 = 9;
/// SIGTERM.
pub const TERMINATE: i32 = 15;
/// SIGCONT.
pub const CONTINUE: i32 = 18;
/// SIGSTOP.
pub const STOP: i32 = 19;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Ports that are tried: below those that the kernel gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// Number of ports that were tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns a free loopback address.
///
/// # Panics
/// If there is none.
pub fn free_address() -> SocketAddr {
    let count = PORTS.end - PORTS.start;
    // Cases that run at the same time begin at different ports.
    let first = std::process::id().wrapping_mul(7_919) % count;
    for _ in 0..count {
        let tried = TRIED.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + (first + tried) % count;
        let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or(0)));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free address");
}

/// A machine's settings.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Service of the server beside the daemon.
    pub service: String,
    /// Address of that server.
    pub app: SocketAddr,
    /// Address for clients.
    pub outbound: SocketAddr,
    /// Address for other daemons.
    pub inbound: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for the server's heartbeats.
    pub control: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// All zones.
    pub zones: Vec<String>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Further tables of the settings.
    pub tables: String,
}

impl Machine {
    /// A machine with free addresses.
    pub fn new(
        name: &str,
        zone: &str,
        service: &str,
        zones: &[&str],
        store: SocketAddr,
    ) -> Machine {
        Machine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            app: free_address(),
            outbound: free_address(),
            inbound: free_address(),
            ready: free_address(),
            control: free_address(),
            metrics: free_address(),
            store,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            bootstrap: true,
            tables: String::new(),
        }
    }

    /// The settings file, as the template `platform/settings.toml.in` gives it with the
    /// figures of the small deployments.
    pub fn settings(&self) -> String {
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\""))
            .collect();
        format!(
            "id = \"{}\"\nzone = \"{}\"\nservice = \"{}\"\ntarget = \"{}\"\nstore = \"{}\"\nfirst_start = {}\nzones = [{}]\n\n\
             [listen]\ncalls = \"{}\"\npeers = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\nmetrics = \"{}\"\n\n\
             [times]\nreport_every = \"1500ms\"\ndrain = \"2000ms\"\ngrace = \"6s\"\n\n\
             [retry]\nratio = 0.2\nslack = 56\nwindow = \"10s\"\n\n[link]\nmbps = 1000.0\n{}",
            self.name,
            self.zone,
            self.service,
            self.app,
            self.store,
            self.bootstrap,
            zones.join(","),
            self.outbound,
            self.inbound,
            self.ready,
            self.control,
            self.metrics,
            self.tables
        )
    }
}

/// A running daemon.
pub struct Daemon {
    /// Its machine.
    pub machine: Machine,
    /// Path of its settings file.
    pub settings_path: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts the daemon of `machine`. `root` is the repository, `folder` a temporary
    /// folder for its settings and its log.
    ///
    /// # Panics
    /// If it cannot be started.
    pub fn start(machine: Machine, root: &Path, folder: &Path) -> Daemon {
        let settings_path = folder.join(format!("{}.toml", machine.name));
        fs::write(&settings_path, machine.settings()).expect("the settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", machine.name)))
            .expect("the log file");
        let errors = log.try_clone().expect("the log file");
        // The command of `deploy/system.toml`.
        let child = Command::new(root.join("target/release/filbertd"))
            .arg("mesh")
            .env("FILBERTLADDER_CONFIG", &settings_path)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon starts");
        // For `run.sh`, which ends what a broken-off case leaves behind.
        let mut started = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("processes"))
            .expect("the list of processes");
        let _ = writeln!(started, "{}", child.id());
        Daemon {
            machine,
            settings_path,
            child,
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes two integers; the process is a child that has not been
        // waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended, `limit` at most.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.has_ended() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
