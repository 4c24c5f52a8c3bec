//! A local mesh for tests, benchmarks and the demo. The platform stand-in and
//! the targets run in this process, each daemon in a process of its own.

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

/// A running local mesh. Dropping it kills the daemons and deletes [`LocalMesh::dir`].
pub struct LocalMesh {
    /// The platform stand-in.
    pub platform: PlatformHandle,
    /// Fault proxies between the daemons of a zone and the platform, by zone;
    /// empty without [`MeshSpec::with_fault_proxies()`].
    pub platform_fault_proxies: BTreeMap<String, FaultProxy>,
    /// The daemons, in the order of the zones in the spec.
    pub daemons: Vec<DaemonProcess>,
    /// The stand-in targets, in the order of their daemons.
    pub targets: Vec<TargetHandle>,
    /// Calls that the targets received and executed.
    pub executions: Arc<ExecutionLog>,
    /// Temporary directory with the daemons' settings files and logs.
    pub dir: PathBuf,
    /// The spec that the mesh was started with.
    pub spec: MeshSpec,
}

impl LocalMesh {
    /// Starts the platform, the daemons and their targets. Returns once every
    /// daemon's admin endpoint responds; the targets may not be known to all
    /// daemons by then.
    ///
    /// # Panics
    /// When a server or a daemon does not start.
    pub async fn start(spec: MeshSpec) -> LocalMesh {
        let platform = PlatformHandle::start().await;
        let dir = std::env::temp_dir().join(format!(
            "filbert-mesh-{}-{}",
            std::process::id(),
            free_port()
        ));
        std::fs::create_dir_all(&dir).expect("failed to create a temporary directory");
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
                let daemon_spec = DaemonSpec::new(&spec, &id, zone, &platform_url).await;
                daemons.push(DaemonProcess::spawn(&spec.daemon_exe, &dir, daemon_spec));
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
        let daemons_per_zone = spec.daemons_per_zone.max(1);
        for (index, daemon) in daemons.iter().enumerate() {
            if index % daemons_per_zone >= spec.target_hosts_per_zone {
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

    /// Returns a client of the platform stand-in, with a timeout of 2 seconds.
    #[must_use]
    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(&self.platform.url, Duration::from_secs(2))
    }

    /// Writes `tree` to the platform as version `number` and makes it the current
    /// version, without filbertctl's checks, as a faulty or older operator tool
    /// might. If `base`, the tree of version `number - 1`, is given, the delta
    /// from it is written too. Returns the wall-clock time just before the first
    /// attempt to write the current row.
    ///
    /// # Panics
    /// When a write still fails after `PUBLISH_ATTEMPTS` attempts.
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
        put_object_with_retries(&platform, &object, VersionCodec::encode(&record)).await;
        let mut delta = None;
        if let Some(base) = base {
            let object = StoreKey::delta_object(number, 0);
            let encoded_delta = VersionCodec::encode_delta(&TreeDelta::between(base, tree));
            put_object_with_retries(&platform, &object, encoded_delta).await;
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
        let value = serde_json::to_value(pointer).expect("failed to encode the current pointer");
        let accepted = SystemTime::now();
        for _ in 0..PUBLISH_ATTEMPTS {
            let written = platform.put(StoreKey::CURRENT, WriteCondition::Any, value.clone());
            if written.await.is_ok() {
                return accepted;
            }
        }
        panic!("failed to write the current row in {PUBLISH_ATTEMPTS} attempts");
    }

    /// Returns the statuses of the live daemons as filbertctl reads them from the
    /// platform; empty if the read fails.
    pub async fn statuses(&self) -> Vec<DaemonStatus> {
        fleet::read(&self.platform_client())
            .await
            .map(|fleet| fleet.live)
            .unwrap_or_default()
    }

    /// Waits until the admin status of every daemon shows version `number` or a
    /// later one as applied and at least one target of each service in the spec.
    /// Returns the time this took, or `None` if it takes longer than `within`.
    pub async fn wait_until_applied(&self, number: u64, within: Duration) -> Option<Duration> {
        let started = Instant::now();
        let http = crate::http::direct_client();
        while started.elapsed() < within {
            let mut all_ready = true;
            for daemon in &self.daemons {
                let response = http
                    .get(format!("{}/status", daemon.admin_url))
                    .send()
                    .await
                    .ok();
                let status = match response {
                    Some(response) => response.json::<serde_json::Value>().await.ok(),
                    None => None,
                };
                let ready = status.is_some_and(|status| {
                    let targets_ready = self
                        .spec
                        .services
                        .iter()
                        .all(|service| status["targets"][service].as_u64().unwrap_or(0) > 0);
                    status["applied"].as_u64().unwrap_or(0) >= number && targets_ready
                });
                if !ready {
                    all_ready = false;
                    break;
                }
            }
            if all_ready {
                return Some(started.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        None
    }
}

/// Attempts for each write to the platform. A write whose response was lost is
/// repeated, which is safe because the writes are idempotent.
const PUBLISH_ATTEMPTS: u32 = 20;

/// Writes an object to the platform's object store.
///
/// # Panics
/// When the write still fails after `PUBLISH_ATTEMPTS` attempts.
async fn put_object_with_retries(platform: &PlatformClient, key: &str, bytes: Vec<u8>) {
    for _ in 0..PUBLISH_ATTEMPTS {
        if platform.put_object(key, bytes.clone()).await.is_ok() {
            return;
        }
    }
    panic!("failed to store object {key} in {PUBLISH_ATTEMPTS} attempts");
}

impl Drop for LocalMesh {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
