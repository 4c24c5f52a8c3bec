//! Processor time and memory of a process, from Linux's `/proc`.

use std::time::Duration;

use nix::unistd::{sysconf, Pid, SysconfVar};

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time, user and system together, in steps of a clock tick
    /// (10 ms as a rule).
    pub cpu_time: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of process `pid`; `None` when it is gone.
    #[must_use]
    pub fn read(pid: Pid) -> Option<ProcessUsage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // Fields are counted from behind the command name, which may hold spaces.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        let per_second = sysconf(SysconfVar::CLK_TCK).ok()??;
        let ticks_ms = 1_000 / u64::try_from(per_second).ok()?.max(1);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let resident_kib = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .ok()?;
        Some(ProcessUsage {
            cpu_time: Duration::from_millis((user + system) * ticks_ms),
            resident_kib,
        })
    }
}
