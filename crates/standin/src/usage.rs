//! CPU time, resident memory and descriptors of a process, read from Linux's `/proc`.

use std::time::Duration;

use nix::unistd::{sysconf, Pid, SysconfVar};

/// CPU time, memory and descriptors that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time since the process started, user and system together. Its
    /// resolution is a clock tick, usually 10 ms.
    pub cpu_time: Duration,
    /// Current resident set size, in KiB.
    pub resident_kib: u64,
    /// Largest resident set size since the process started, in KiB.
    pub peak_resident_kib: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads the usage of process `pid`; `None` if the process has ended or its
    /// `/proc` files can't be parsed.
    #[must_use]
    pub fn read(pid: Pid) -> Option<ProcessUsage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The command name may contain spaces, so fields are counted from the end
        // of it: 11 is utime and 12 is stime, in clock ticks.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let user_ticks: u64 = fields.get(11)?.parse().ok()?;
        let system_ticks: u64 = fields.get(12)?.parse().ok()?;
        let ticks_per_second = sysconf(SysconfVar::CLK_TCK).ok()??;
        let tick_ms = 1_000 / u64::try_from(ticks_per_second).ok()?.max(1);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory_kib = |name: &str| -> Option<u64> {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.trim().trim_end_matches(" kB").parse().ok()
        };
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        Some(ProcessUsage {
            cpu_time: Duration::from_millis((user_ticks + system_ticks) * tick_ms),
            resident_kib: memory_kib("VmRSS:")?,
            peak_resident_kib: memory_kib("VmHWM:")?,
            descriptors,
        })
    }
}
