//! One `filbertd` process on loopback ports: started, signalled, restarted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use filbert_daemon::settings::{DaemonTimeouts, RelaySettings};
use filbert_daemon::DaemonSettings;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::fault_proxy::FaultProxy;
use crate::ports::free_port;
use crate::spec::MeshSpec;

/// What a `filbertd` process is started with.
pub struct DaemonSpec {
    /// Its settings.
    pub settings: DaemonSettings,
    /// The pipe in front of its relay port, in a piped mesh.
    pub relay_fault_proxy: Option<FaultProxy>,
}

impl DaemonSpec {
    /// Plans daemon `id` of `zone` for the mesh `spec`, on free ports, with
    /// the platform at `platform_url`.
    pub async fn new(spec: &MeshSpec, id: &str, zone: &str, platform_url: &str) -> DaemonSpec {
        let loopback = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let relay_listen = loopback();
        let relay_fault_proxy = if spec.with_fault_proxies {
            Some(FaultProxy::start(relay_listen).await)
        } else {
            None
        };
        let settings = DaemonSettings {
            id: id.to_owned(),
            zone: zone.to_owned(),
            proxy_listen: loopback(),
            admin_listen: loopback(),
            relay_listen,
            relay_advertise: relay_fault_proxy
                .as_ref()
                .map(|fault_proxy| fault_proxy.address),
            platform: platform_url.to_owned(),
            distribution: spec.mode,
            timeouts: DaemonTimeouts {
                poll_ms: u64::try_from(spec.poll_interval.as_millis()).unwrap_or(u64::MAX),
                platform_ms: 500,
                target_expiry_ms: 2_000,
                shutdown_grace_ms: 3_000,
                ..DaemonTimeouts::default()
            },
            relay: RelaySettings {
                zone_size_hint: u32::try_from(spec.daemons_per_zone).unwrap_or(u32::MAX),
                ..RelaySettings::default()
            },
        };
        DaemonSpec {
            settings,
            relay_fault_proxy,
        }
    }
}

/// One `filbertd` process.
pub struct DaemonProcess {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Where callers reach its proxy, `http://127.0.0.1:PORT`.
    pub proxy_url: String,
    /// Its admin URL.
    pub admin_url: String,
    /// The pipe in front of its relay port, in a piped mesh.
    pub relay_fault_proxy: Option<FaultProxy>,
    /// Its settings file.
    pub config_path: PathBuf,
    /// Its log file.
    pub log_path: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Starts `filbertd` with a settings file written into `dir`.
    ///
    /// # Panics
    /// When the file cannot be written or the process cannot start.
    #[must_use]
    pub fn spawn(exe: &Path, dir: &Path, plan: DaemonSpec) -> DaemonProcess {
        let config_path = dir.join(format!("{}.toml", plan.settings.id));
        let log_path = dir.join(format!("{}.log", plan.settings.id));
        let text = toml::to_string(&plan.settings).expect("daemon settings are TOML");
        std::fs::write(&config_path, text).expect("the mesh directory is writable");
        let mut process = DaemonProcess {
            proxy_url: format!("http://{}", plan.settings.proxy_listen),
            admin_url: format!("http://{}", plan.settings.admin_listen),
            id: plan.settings.id,
            zone: plan.settings.zone,
            relay_fault_proxy: plan.relay_fault_proxy,
            config_path,
            log_path,
            child: None,
        };
        process.start(exe);
        process
    }

    /// Starts the process again with the same settings, after a stop or kill.
    ///
    /// # Panics
    /// When the process cannot start.
    pub fn start(&mut self, exe: &Path) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)
            .expect("the mesh directory is writable");
        let child = Command::new(exe)
            .arg("--config")
            .arg(&self.config_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file handle clones"))
            .stderr(log)
            .spawn()
            .expect("filbertd starts");
        self.child = Some(child);
    }

    /// The process id, while running.
    #[must_use]
    pub fn pid(&self) -> Option<Pid> {
        self.child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
            .map(Pid::from_raw)
    }

    /// Sends a signal to the process, if running.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(pid, signal);
        }
    }

    /// A planned stop: SIGTERM, then waits for the exit (at most `within`).
    /// Returns whether it exited in time.
    pub fn terminate(&mut self, within: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        self.wait_exit(within)
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.as_mut() {
            let _ = child.kill();
        }
        self.wait_exit(Duration::from_secs(5));
    }

    fn wait_exit(&mut self, within: Duration) -> bool {
        let Some(child) = self.child.as_mut() else {
            return true;
        };
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Waits until the admin endpoint answers, for at most ten seconds.
    /// Returns whether it did.
    pub async fn wait_until_ready(&self) -> bool {
        let http = reqwest::Client::new();
        let url = format!("{}/status", self.admin_url);
        for _ in 0..1000 {
            if let Ok(reply) = http.get(&url).send().await {
                if reply.status().is_success() {
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

impl DaemonProcess {
    /// Its counters, by name.
    ///
    /// # Panics
    /// When the daemon does not answer.
    pub async fn counters(&self) -> BTreeMap<String, u64> {
        let reply = reqwest::get(format!("{}/metrics", self.admin_url)).await;
        let reply = reply.expect("the daemon answers");
        reply.json().await.expect("counters are JSON")
    }

    /// One of its counters; 0 until it first counts.
    ///
    /// # Panics
    /// When the daemon does not answer.
    pub async fn counter(&self, name: &str) -> u64 {
        self.counters().await.get(name).copied().unwrap_or(0)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
