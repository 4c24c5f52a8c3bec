//! Size and settings of a local mesh.

use std::path::{Path, PathBuf};
use std::time::Duration;

use filbert_daemon::settings::DistributionMode;

/// Size and settings of a local mesh.
#[derive(Clone, Debug)]
pub struct MeshSpec {
    /// Path of the `filbertd` binary.
    pub daemon_exe: PathBuf,
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Number of daemons in each zone.
    pub daemons_per_zone: usize,
    /// Services of the stand-in targets: each host with targets has one target
    /// for each service.
    pub services: Vec<String>,
    /// Time from a target's receipt of a call to its response.
    pub target_delay: Duration,
    /// How settings versions and target lists are distributed to the daemons.
    pub mode: DistributionMode,
    /// Number of hosts in each zone that have targets; the other hosts have a
    /// daemon only.
    pub target_hosts_per_zone: usize,
    /// Time between two polls of the platform by a daemon that polls it.
    pub poll_interval: Duration,
    /// Whether to put fault proxies in front of the platform, one for each zone,
    /// and in front of each daemon's relay port.
    pub with_fault_proxies: bool,
}

impl MeshSpec {
    /// Returns a spec of two zones with two daemons each. Every host has one
    /// target of each of the `services`.
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

    /// Sets the names of the zones.
    #[must_use]
    pub fn zones(mut self, zones: &[&str]) -> MeshSpec {
        self.zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        self
    }

    /// Sets the number of daemons in each zone.
    #[must_use]
    pub fn daemons_per_zone(mut self, count: usize) -> MeshSpec {
        self.daemons_per_zone = count;
        self
    }

    /// Sets how settings versions and target lists are distributed.
    #[must_use]
    pub fn mode(mut self, mode: DistributionMode) -> MeshSpec {
        self.mode = mode;
        self
    }

    /// Sets the number of hosts in each zone that have targets.
    #[must_use]
    pub fn target_hosts_per_zone(mut self, count: usize) -> MeshSpec {
        self.target_hosts_per_zone = count;
        self
    }

    /// Sets the time between two polls of the platform by a daemon.
    #[must_use]
    pub fn poll_interval(mut self, poll_interval: Duration) -> MeshSpec {
        self.poll_interval = poll_interval;
        self
    }

    /// Puts fault proxies in front of the platform and of every relay port.
    #[must_use]
    pub fn with_fault_proxies(mut self) -> MeshSpec {
        self.with_fault_proxies = true;
        self
    }

    /// Sets the time that each target takes to respond.
    #[must_use]
    pub fn target_delay(mut self, delay: Duration) -> MeshSpec {
        self.target_delay = delay;
        self
    }
}
