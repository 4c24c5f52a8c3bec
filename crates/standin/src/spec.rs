//! What a local mesh is made of.

use std::path::{Path, PathBuf};
use std::time::Duration;

use filbert_daemon::settings::DistributionMode;

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
    pub target_hosts_per_zone: usize,
    /// How often a daemon that reads the platform does so.
    pub poll_interval: Duration,
    /// Whether pipes stand in front of the platform, zone by zone, and of
    /// every relay port, for tests to cut.
    pub with_fault_proxies: bool,
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
            target_hosts_per_zone: usize::MAX,
            poll_interval: Duration::from_millis(100),
            with_fault_proxies: false,
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
    pub fn target_hosts_per_zone(mut self, count: usize) -> MeshSpec {
        self.target_hosts_per_zone = count;
        self
    }

    /// Sets how often a daemon that reads the platform does so.
    #[must_use]
    pub fn poll_interval(mut self, poll_interval: Duration) -> MeshSpec {
        self.poll_interval = poll_interval;
        self
    }

    /// Puts pipes in front of the platform and of every relay port.
    #[must_use]
    pub fn with_fault_proxies(mut self) -> MeshSpec {
        self.with_fault_proxies = true;
        self
    }

    /// Sets each target's answer time.
    #[must_use]
    pub fn target_delay(mut self, delay: Duration) -> MeshSpec {
        self.target_delay = delay;
        self
    }
}
