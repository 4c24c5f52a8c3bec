//! Settings of the size of the host.

use filbert_policy::client_budget::MachineSize;
use nix::sys::resource::{getrlimit, Resource};
use serde::Deserialize;

/// Memory of a host whose settings state none, in MiB.
const DEFAULT_MEMORY_MB: u64 = 128;
/// Least memory with which the daemon runs, in MiB.
const MIN_MEMORY_MB: u64 = 32;
/// Least number of descriptors with which the daemon runs.
const MIN_DESCRIPTORS: u64 = 64;

/// Size of the host, from which the limits on clients follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineSettings {
    /// Memory that the daemon may use, in MiB.
    pub memory_mb: u64,
    /// Number of descriptors that the daemon may use; without it, the process's limit.
    pub descriptors: Option<u64>,
}

impl Default for MachineSettings {
    fn default() -> Self {
        MachineSettings {
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: None,
        }
    }
}

impl MachineSettings {
    /// Size of the machine, whose descriptors the process's own limit bounds too.
    #[must_use]
    pub fn size(&self) -> MachineSize {
        const MIB: u64 = 1024 * 1024;
        let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        MachineSize {
            memory_bytes: self.memory_mb.saturating_mul(MIB),
            descriptors: self.descriptors.unwrap_or(limit).min(limit),
        }
    }

    /// Whether the daemon can run with this memory.
    pub(super) fn has_enough_memory(self) -> bool {
        self.memory_mb >= MIN_MEMORY_MB
    }

    /// Whether the daemon can run with these descriptors.
    pub(super) fn has_enough_descriptors(self) -> bool {
        self.descriptors
            .is_none_or(|descriptors| descriptors >= MIN_DESCRIPTORS)
    }
}
