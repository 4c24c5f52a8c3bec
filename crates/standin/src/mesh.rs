//! A local mesh for tests, benchmarks and the demo: the platform stand-in and
//! the targets in this process, each daemon a separate `filbertd` process on
//! loopback ports.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_ctl::fleet;
use filbert_daemon::settings::DistributionMode;
use filbert_platform::{DaemonStatus, PlatformClient};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::platform::PlatformHandle;
use crate::ports::free_port;
use crate::target::{ExecutionLog, TargetHandle, TargetSpec};

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
    /// Its relay port's address, `127.0.0.1:PORT`.
    pub relay_address: String,
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
    pub fn spawn(
        exe: &Path,
        dir: &Path,
        id: &str,
        zone: &str,
        mode: DistributionMode,
        platform_url: &str,
    ) -> DaemonProcess {
        let proxy_port = free_port();
        let admin_port = free_port();
        let relay_port = free_port();
        let mode = match mode {
            DistributionMode::Relay => "relay",
            DistributionMode::Direct => "direct",
        };
        let config_path = dir.join(format!("{id}.toml"));
        let log_path = dir.join(format!("{id}.log"));
        let text = format!(
            "id = \"{id}\"\nzone = \"{zone}\"\nproxy_listen = \"127.0.0.1:{proxy_port}\"\n\
             admin_listen = \"127.0.0.1:{admin_port}\"\nrelay_listen = \"127.0.0.1:{relay_port}\"\n\
             distribution = \"{mode}\"\nplatform = \"{platform_url}\"\n\n\
             [timeouts]\npoll_ms = 100\nplatform_ms = 500\ntarget_expiry_ms = 2000\nshutdown_grace_ms = 3000\n"
        );
        std::fs::write(&config_path, text).expect("the mesh directory is writable");
        let mut process = DaemonProcess {
            id: id.to_owned(),
            zone: zone.to_owned(),
            proxy_url: format!("http://127.0.0.1:{proxy_port}"),
            admin_url: format!("http://127.0.0.1:{admin_port}"),
            relay_address: format!("127.0.0.1:{relay_port}"),
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
    pub async fn wait_ready(&self) -> bool {
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

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The shape of a local mesh.
#[derive(Clone, Debug)]
pub struct MeshSpec {
    /// Path of the `filbertd` binary.
    pub daemon_exe: PathBuf,
    /// Zone names.
    pub zones: Vec<String>,
    /// Daemons in each zone.
    pub daemons_per_zone: usize,
    /// Services of the targets beside each daemon, one target per service.
    pub services: Vec<String>,
    /// Time each target takes to answer.
    pub target_delay: Duration,
    /// How versions and targets reach the daemons.
    pub mode: DistributionMode,
}

impl MeshSpec {
    /// Two zones of two daemons, each beside one target of each service.
    #[must_use]
    pub fn new(daemon_exe: &Path, services: &[&str]) -> MeshSpec {
        MeshSpec {
            daemon_exe: daemon_exe.to_owned(),
            zones: vec!["zone-a".to_owned(), "zone-b".to_owned()],
            daemons_per_zone: 2,
            services: services
                .iter()
                .map(|service| (*service).to_owned())
                .collect(),
            target_delay: Duration::ZERO,
            mode: DistributionMode::Relay,
        }
    }

    /// Sets the zones.
    #[must_use]
    pub fn zones(mut self, zones: &[&str]) -> MeshSpec {
        self.zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        self
    }

    /// Sets the daemons per zone.
    #[must_use]
    pub fn daemons_per_zone(mut self, count: usize) -> MeshSpec {
        self.daemons_per_zone = count;
        self
    }

    /// Sets how versions and targets reach the daemons.
    #[must_use]
    pub fn mode(mut self, mode: DistributionMode) -> MeshSpec {
        self.mode = mode;
        self
    }

    /// Sets each target's answer time.
    #[must_use]
    pub fn target_delay(mut self, delay: Duration) -> MeshSpec {
        self.target_delay = delay;
        self
    }
}

/// A running local mesh. Dropping it kills the daemons.
pub struct LocalMesh {
    /// The platform stand-in.
    pub platform: PlatformHandle,
    /// The daemons, zone by zone.
    pub daemons: Vec<DaemonProcess>,
    /// The targets.
    pub targets: Vec<TargetHandle>,
    /// Every execution on every target.
    pub executions: Arc<ExecutionLog>,
    /// Where settings files and daemon logs are.
    pub dir: PathBuf,
    /// The shape it was started with.
    pub spec: MeshSpec,
}

impl LocalMesh {
    /// Starts the platform, the daemons and their targets, and waits until
    /// every daemon answers.
    ///
    /// # Panics
    /// When any part cannot start.
    pub async fn start(spec: MeshSpec) -> LocalMesh {
        let platform = PlatformHandle::start().await;
        let dir = std::env::temp_dir().join(format!(
            "filbert-mesh-{}-{}",
            std::process::id(),
            free_port()
        ));
        std::fs::create_dir_all(&dir).expect("a temporary directory can be made");
        let mut daemons = Vec::new();
        for zone in &spec.zones {
            for index in 0..spec.daemons_per_zone {
                let id = format!("{zone}-d{index}");
                daemons.push(DaemonProcess::spawn(
                    &spec.daemon_exe,
                    &dir,
                    &id,
                    zone,
                    spec.mode,
                    &platform.url,
                ));
            }
        }
        for daemon in &daemons {
            assert!(
                daemon.wait_ready().await,
                "daemon {} did not start; see {}",
                daemon.id,
                daemon.log_path.display()
            );
        }
        let executions = Arc::new(ExecutionLog::default());
        let mut targets = Vec::new();
        for daemon in &daemons {
            for service in &spec.services {
                let target_spec = TargetSpec {
                    service: service.clone(),
                    daemon_admin: daemon.admin_url.clone(),
                    delay: spec.target_delay,
                };
                targets.push(TargetHandle::start(&target_spec, Arc::clone(&executions)).await);
            }
        }
        LocalMesh {
            platform,
            daemons,
            targets,
            executions,
            dir,
            spec,
        }
    }

    /// A client of the platform stand-in.
    #[must_use]
    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(&self.platform.url, Duration::from_secs(2))
    }

    /// The live daemons' statuses, as operators see them.
    pub async fn statuses(&self) -> Vec<DaemonStatus> {
        fleet::read(&self.platform_client())
            .await
            .map(|fleet| fleet.live)
            .unwrap_or_default()
    }

    /// Waits until every daemon's admin status shows `number` in force and
    /// `services` each with at least one serving target; returns the time it
    /// took, or `None` after `within`.
    pub async fn wait_in_force(&self, number: u64, within: Duration) -> Option<Duration> {
        let started = Instant::now();
        let http = reqwest::Client::new();
        while started.elapsed() < within {
            let mut all = true;
            for daemon in &self.daemons {
                let applied = http
                    .get(format!("{}/status", daemon.admin_url))
                    .send()
                    .await
                    .ok();
                let applied = match applied {
                    Some(reply) => reply.json::<serde_json::Value>().await.ok(),
                    None => None,
                };
                let ready = applied.is_some_and(|status| {
                    let targets_ready = self
                        .spec
                        .services
                        .iter()
                        .all(|service| status["targets"][service].as_u64().unwrap_or(0) > 0);
                    status["applied"].as_u64().unwrap_or(0) >= number && targets_ready
                });
                if !ready {
                    all = false;
                    break;
                }
            }
            if all {
                return Some(started.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        None
    }
}

impl Drop for LocalMesh {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
