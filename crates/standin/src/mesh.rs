//! A local mesh for tests, benchmarks and the demo: the platform stand-in and
//! the targets in this process, each daemon a separate `filbertd` process on
//! loopback ports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use filbert_ctl::fleet;
use filbert_daemon::settings::{DaemonTimeouts, DistributionMode, RelaySettings};
use filbert_daemon::DaemonSettings;
use filbert_platform::{
    CurrentPointer, DaemonStatus, DeltaPointer, PlatformClient, RowExpect, TableKey,
};
use filbert_tree::{SettingsTree, TreeDelta, VersionCodec, VersionRecord};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::pipe::FaultPipe;
use crate::platform::PlatformHandle;
use crate::ports::free_port;
use crate::target::{ExecutionLog, TargetHandle, TargetSpec};

/// What a `filbertd` process is started with.
pub struct DaemonPlan {
    /// Its settings.
    pub settings: DaemonSettings,
    /// The pipe in front of its relay port, in a piped mesh.
    pub link_pipe: Option<FaultPipe>,
}

impl DaemonPlan {
    /// Plans daemon `id` of `zone` for the mesh `spec`, on free ports, with
    /// the platform at `platform_url`.
    async fn new(spec: &MeshSpec, id: &str, zone: &str, platform_url: &str) -> DaemonPlan {
        let loopback = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let relay_listen = loopback();
        let link_pipe = if spec.piped {
            Some(FaultPipe::start(relay_listen).await)
        } else {
            None
        };
        let settings = DaemonSettings {
            id: id.to_owned(),
            zone: zone.to_owned(),
            proxy_listen: loopback(),
            admin_listen: loopback(),
            relay_listen,
            relay_advertise: link_pipe.as_ref().map(|pipe| pipe.address),
            platform: platform_url.to_owned(),
            distribution: spec.mode,
            timeouts: DaemonTimeouts {
                poll_ms: u64::try_from(spec.poll.as_millis()).unwrap_or(u64::MAX),
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
        DaemonPlan {
            settings,
            link_pipe,
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
    pub link_pipe: Option<FaultPipe>,
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
    pub fn spawn(exe: &Path, dir: &Path, plan: DaemonPlan) -> DaemonProcess {
        let config_path = dir.join(format!("{}.toml", plan.settings.id));
        let log_path = dir.join(format!("{}.log", plan.settings.id));
        let text = toml::to_string(&plan.settings).expect("daemon settings are TOML");
        std::fs::write(&config_path, text).expect("the mesh directory is writable");
        let mut process = DaemonProcess {
            proxy_url: format!("http://{}", plan.settings.proxy_listen),
            admin_url: format!("http://{}", plan.settings.admin_listen),
            id: plan.settings.id,
            zone: plan.settings.zone,
            link_pipe: plan.link_pipe,
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
    /// Hosts of each zone that have targets; the others have a daemon only.
    pub target_hosts: usize,
    /// How often a daemon that reads the platform does so.
    pub poll: Duration,
    /// Whether pipes stand in front of the platform, zone by zone, and of
    /// every relay port, for tests to cut.
    pub piped: bool,
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
            target_hosts: usize::MAX,
            poll: Duration::from_millis(100),
            piped: false,
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

    /// Sets how many hosts of each zone have targets.
    #[must_use]
    pub fn target_hosts(mut self, count: usize) -> MeshSpec {
        self.target_hosts = count;
        self
    }

    /// Sets how often a daemon that reads the platform does so.
    #[must_use]
    pub fn poll(mut self, poll: Duration) -> MeshSpec {
        self.poll = poll;
        self
    }

    /// Puts pipes in front of the platform and of every relay port.
    #[must_use]
    pub fn piped(mut self) -> MeshSpec {
        self.piped = true;
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
    /// The pipes to the platform by zone, in a piped mesh.
    pub platform_pipes: BTreeMap<String, FaultPipe>,
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
        let mut platform_pipes = BTreeMap::new();
        for zone in &spec.zones {
            let mut platform_url = platform.url.clone();
            if spec.piped {
                let pipe = FaultPipe::start(platform.address).await;
                platform_url = format!("http://{}", pipe.address);
                platform_pipes.insert(zone.clone(), pipe);
            }
            for index in 0..spec.daemons_per_zone {
                let id = format!("{zone}-d{index}");
                let plan = DaemonPlan::new(&spec, &id, zone, &platform_url).await;
                daemons.push(DaemonProcess::spawn(&spec.daemon_exe, &dir, plan));
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
        let per_zone = spec.daemons_per_zone.max(1);
        for (index, daemon) in daemons.iter().enumerate() {
            if index % per_zone >= spec.target_hosts {
                continue;
            }
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
            platform_pipes,
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

    /// Publishes `tree` as version `number` straight into the platform, with
    /// the steps from `base` (version `number - 1`) when given; without
    /// filbertctl's checks, as a faulty or older operator tool might. Returns
    /// the wall time just before it became the version in force.
    ///
    /// # Panics
    /// When the platform stand-in does not take it.
    pub async fn publish(
        &self,
        number: u64,
        tree: &SettingsTree,
        base: Option<&SettingsTree>,
    ) -> SystemTime {
        let platform = self.platform_client();
        let record = VersionRecord {
            number,
            parent: number - 1,
            restores: None,
            parent_object: None,
            tree: tree.clone(),
        };
        let object = TableKey::version_object(number, 0);
        store_object(&platform, &object, VersionCodec::encode(&record)).await;
        let mut delta = None;
        if let Some(base) = base {
            let object = TableKey::delta_object(number, 0);
            let steps = VersionCodec::encode_delta(&TreeDelta::between(base, tree));
            store_object(&platform, &object, steps).await;
            delta = Some(DeltaPointer {
                base: number - 1,
                object,
            });
        }
        let pointer = CurrentPointer {
            number,
            object,
            delta,
        };
        let value = serde_json::to_value(pointer).expect("a pointer encodes");
        let accepted = SystemTime::now();
        for _ in 0..PUBLISH_ATTEMPTS {
            let written = platform.put(TableKey::CURRENT, RowExpect::Any, value.clone());
            if written.await.is_ok() {
                return accepted;
            }
        }
        panic!("the current row is not written");
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

/// Writes made again when their reply is lost; the same write is idempotent.
const PUBLISH_ATTEMPTS: u32 = 20;

async fn store_object(platform: &PlatformClient, key: &str, bytes: Vec<u8>) {
    for _ in 0..PUBLISH_ATTEMPTS {
        if platform.put_object(key, bytes.clone()).await.is_ok() {
            return;
        }
    }
    panic!("object {key} is not stored");
}

impl Drop for LocalMesh {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
