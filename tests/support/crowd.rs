//! What crowds of clients may cost a daemon, and how tests with them run.

#![allow(dead_code, unused_imports)] // Each test binary uses only some of the helpers.

pub use filbert_platform_standin::crowd::{Crowd, CrowdKind};
use filbert_standin::usage::ProcessUsage;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::unistd::Pid;
use tokio::sync::{Mutex, MutexGuard};

/// The most memory that a daemon may have used, in KiB: that which one daemon gets at the
/// size that the system is designed for.
pub const MAX_RESIDENT_KIB: u64 = 128 * 1024;
/// Held by the test that runs: one crowd at a time.
static RUNNING_TEST: Mutex<()> = Mutex::const_new(());

/// Waits until no other crowd of this test binary runs.
pub async fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING_TEST.lock().await
}

/// The most that a daemon may use.
#[derive(Clone, Copy, Debug)]
pub struct UsageBounds {
    /// Memory at its peak, in KiB.
    pub resident_kib: u64,
    /// Descriptors at the moment of the check.
    pub descriptors: usize,
}

impl UsageBounds {
    /// Memory of [`MAX_RESIDENT_KIB`], and `descriptors`.
    pub const fn with_descriptors(descriptors: usize) -> UsageBounds {
        UsageBounds {
            resident_kib: MAX_RESIDENT_KIB,
            descriptors,
        }
    }
}

/// Asserts that process `pid` runs, within `bounds`.
pub fn check_usage(pid: Pid, name: &str, bounds: UsageBounds) {
    let usage = ProcessUsage::read(pid);
    let usage = usage.unwrap_or_else(|| panic!("{name} has ended"));
    println!(
        "{name}: peak {} KiB, now {} KiB, {} descriptors",
        usage.peak_resident_kib, usage.resident_kib, usage.descriptors
    );
    let peak = usage.peak_resident_kib;
    assert!(peak <= bounds.resident_kib, "{name} used {peak} KiB");
    assert!(usage.descriptors <= bounds.descriptors, "{usage:?}");
}

/// Limits the descriptors of the processes that are started until it is dropped.
pub struct DescriptorLimit {
    former: (u64, u64),
}

impl DescriptorLimit {
    /// Sets the limit of this process, which its children inherit.
    pub fn set(descriptors: u64) -> DescriptorLimit {
        let former = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
        setrlimit(Resource::RLIMIT_NOFILE, descriptors, former.1).expect("set");
        DescriptorLimit { former }
    }
}

impl Drop for DescriptorLimit {
    fn drop(&mut self) {
        setrlimit(Resource::RLIMIT_NOFILE, self.former.0, self.former.1).expect("reset");
    }
}

/// Allows this process as many descriptors as the system does.
pub fn raise_descriptor_limit() {
    let (_, most) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    setrlimit(Resource::RLIMIT_NOFILE, most, most).expect("set");
}
