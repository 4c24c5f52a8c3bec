//! A local mesh for tests, benchmarks and the demo: the platform stand-in and
//! the targets in this process, each daemon a process of its own.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use filbert_ctl::fleet;
use filbert_store::{
    CurrentPointer, DaemonStatus, DeltaPointer, PlatformClient, StoreKey, WriteCondition,
};
use filbert_tree::{SettingsTree, TreeDelta, VersionCodec, VersionRecord};

use crate::fault_proxy::FaultProxy;
use crate::platform::PlatformHandle;
use crate::ports::free_port;
use crate::process::{DaemonProcess, DaemonSpec};
use crate::spec::MeshSpec;
use crate::target::{ExecutionLog, TargetHandle, TargetSpec};

/// A running local mesh. Dropping it kills the daemons.
pub struct LocalMesh {
    /// The platform stand-in.
    pub platform: PlatformHandle,
    /// The pipes to the platform by zone, in a piped mesh.
    pub platform_fault_proxies: BTreeMap<String, FaultProxy>,
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
        let mut platform_fault_proxies = BTreeMap::new();
        for zone in &spec.zones {
            let mut platform_url = platform.url.clone();
            if spec.with_fault_proxies {
                let fault_proxy = FaultProxy::start(platform.address).await;
                platform_url = format!("http://{}", fault_proxy.address);
                platform_fault_proxies.insert(zone.clone(), fault_proxy);
            }
            for index in 0..spec.daemons_per_zone {
                let id = format!("{zone}-d{index}");
                let plan = DaemonSpec::new(&spec, &id, zone, &platform_url).await;
                daemons.push(DaemonProcess::spawn(&spec.daemon_exe, &dir, plan));
            }
        }
        for daemon in &daemons {
            assert!(
                daemon.wait_until_ready().await,
                "daemon {} did not start; see {}",
                daemon.id,
                daemon.log_path.display()
            );
        }
        let executions = Arc::new(ExecutionLog::default());
        let mut targets = Vec::new();
        let per_zone = spec.daemons_per_zone.max(1);
        for (index, daemon) in daemons.iter().enumerate() {
            if index % per_zone >= spec.target_hosts_per_zone {
                continue;
            }
            for service in &spec.services {
                let target_spec = TargetSpec {
                    service: service.clone(),
                    daemon_admin_url: daemon.admin_url.clone(),
                    delay: spec.target_delay,
                };
                targets.push(TargetHandle::start(&target_spec, Arc::clone(&executions)).await);
            }
        }
        LocalMesh {
            platform,
            platform_fault_proxies,
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
        let object = StoreKey::version_object(number, 0);
        store_object(&platform, &object, VersionCodec::encode(&record)).await;
        let mut delta = None;
        if let Some(base) = base {
            let object = StoreKey::delta_object(number, 0);
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
            let written = platform.put(StoreKey::CURRENT, WriteCondition::Any, value.clone());
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
    pub async fn wait_until_applied(&self, number: u64, within: Duration) -> Option<Duration> {
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
