//! Starts, signals, stops and restarts a `filbertd` process on loopback ports.

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

/// Settings of one `filbertd` process and the fault proxy in front of it.
pub struct DaemonSpec {
    /// Settings that are written to the process's settings file.
    pub settings: DaemonSettings,
    /// Fault proxy in front of the daemon's relay port; `None` without
    /// [`MeshSpec::with_fault_proxies()`].
    pub relay_fault_proxy: Option<FaultProxy>,
}

impl DaemonSpec {
    /// Creates the settings of daemon `id` in `zone`: free ports, the platform at
    /// `platform_url`, the rest from the mesh's `spec`. Starts the fault proxy if
    /// the spec asks for one.
    pub async fn new(spec: &MeshSpec, id: &str, zone: &str, platform_url: &str) -> DaemonSpec {
        let free_loopback_address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let relay_listen = free_loopback_address();
        let relay_fault_proxy = if spec.with_fault_proxies {
            Some(FaultProxy::start(relay_listen).await)
        } else {
            None
        };
        let settings = DaemonSettings {
            id: id.to_owned(),
            zone: zone.to_owned(),
            proxy_listen: free_loopback_address(),
            admin_listen: free_loopback_address(),
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

/// One `filbertd` process. Dropping it kills the process.
pub struct DaemonProcess {
    /// Id of the daemon.
    pub id: String,
    /// Zone of the daemon.
    pub zone: String,
    /// Base URL for calls through the daemon, `http://127.0.0.1:PORT`.
    pub proxy_url: String,
    /// Base URL of the daemon's admin endpoint.
    pub admin_url: String,
    /// Address of the daemon's relay port.
    pub relay: SocketAddr,
    /// Fault proxy in front of the daemon's relay port; `None` without
    /// [`MeshSpec::with_fault_proxies()`].
    pub relay_fault_proxy: Option<FaultProxy>,
    /// Path of the daemon's settings file.
    pub config_path: PathBuf,
    /// Path of the daemon's log file.
    pub log_path: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Writes a settings file to `dir` and starts the binary `exe` with it. The
    /// process's output goes to a log file in `dir`.
    ///
    /// # Panics
    /// When a file can't be written or the process can't start.
    #[must_use]
    pub fn spawn(exe: &Path, dir: &Path, spec: DaemonSpec) -> DaemonProcess {
        let config_path = dir.join(format!("{}.toml", spec.settings.id));
        let log_path = dir.join(format!("{}.log", spec.settings.id));
        let text =
            toml::to_string(&spec.settings).expect("failed to encode the daemon settings as TOML");
        std::fs::write(&config_path, text).expect("failed to write the settings file");
        let mut process = DaemonProcess {
            proxy_url: format!("http://{}", spec.settings.proxy_listen),
            admin_url: format!("http://{}", spec.settings.admin_listen),
            relay: spec.settings.relay_listen,
            id: spec.settings.id,
            zone: spec.settings.zone,
            relay_fault_proxy: spec.relay_fault_proxy,
            config_path,
            log_path,
            child: None,
        };
        process.start(exe);
        process
    }

    /// Starts the process with the existing settings file, after it was stopped
    /// or killed. Its output is appended to the log file.
    ///
    /// # Panics
    /// When the log file can't be opened or the process can't start.
    pub fn start(&mut self, exe: &Path) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)
            .expect("failed to open the log file");
        let child = Command::new(exe)
            .arg("--config")
            .arg(&self.config_path)
            .stdin(Stdio::null())
            .stdout(
                log.try_clone()
                    .expect("failed to duplicate the log file handle"),
            )
            .stderr(log)
            .spawn()
            .expect("failed to start filbertd");
        self.child = Some(child);
    }

    /// Returns the process id; `None` once [`DaemonProcess::terminate`] or
    /// [`DaemonProcess::kill`] has seen the process exit.
    #[must_use]
    pub fn pid(&self) -> Option<Pid> {
        self.child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
            .map(Pid::from_raw)
    }

    /// Sends a signal to the process, if it has a process id.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(pid, signal);
        }
    }

    /// Stops the process gracefully: sends SIGTERM and waits for the exit, for at
    /// most `within`. Returns whether the process exited in time.
    pub fn terminate(&mut self, within: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        self.wait_for_exit(within)
    }

    /// Kills the process with SIGKILL and waits at most five seconds for the exit.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.as_mut() {
            let _ = child.kill();
        }
        self.wait_for_exit(Duration::from_secs(5));
    }

    /// Waits for the process's exit, for at most `within`, and returns whether it
    /// has exited. Blocks the thread.
    fn wait_for_exit(&mut self, within: Duration) -> bool {
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

    /// Waits until the admin endpoint responds with success. Makes 1,000 attempts
    /// 10 ms apart (at least ten seconds) and returns whether one succeeded.
    pub async fn wait_until_ready(&self) -> bool {
        let http = crate::http::direct_client();
        let url = format!("{}/status", self.admin_url);
        for _ in 0..1000 {
            if let Ok(response) = http.get(&url).send().await {
                if response.status().is_success() {
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

impl DaemonProcess {
    /// Reads all of the daemon's counters, by name.
    ///
    /// # Panics
    /// When the daemon doesn't respond with counters.
    pub async fn counters(&self) -> BTreeMap<String, u64> {
        let url = format!("{}/metrics", self.admin_url);
        let response = crate::http::direct_client().get(url).send().await;
        let response = response.expect("the daemon did not respond");
        response
            .json()
            .await
            .expect("the daemon's counters are not JSON")
    }

    /// Reads one of the daemon's counters; 0 if the daemon doesn't report it yet.
    ///
    /// # Panics
    /// When the daemon doesn't respond with counters.
    pub async fn counter(&self, name: &str) -> u64 {
        self.counters().await.get(name).copied().unwrap_or(0)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
