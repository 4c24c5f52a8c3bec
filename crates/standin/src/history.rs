//! History of the versions that each daemon applied, read from the daemons'
//! logs. Tests check its order; benchmarks compute convergence times from it.

use chrono::DateTime;

use crate::mesh::LocalMesh;

/// One version that one daemon applied: an `event=applied` line of its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    /// Id of the daemon.
    pub daemon: String,
    /// Time on the daemon's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The version that the daemon had before.
    pub from: u64,
    /// The version that the daemon applied.
    pub to: u64,
}

/// Returns the versions applied so far, grouped by daemon, each daemon's in the
/// order of its log. A daemon whose log can't be read has none.
#[must_use]
pub fn applied_history(mesh: &LocalMesh) -> Vec<AppliedVersion> {
    let mut history = Vec::new();
    for daemon in &mesh.daemons {
        let log = std::fs::read_to_string(&daemon.log_path).unwrap_or_default();
        history.extend(log.lines().filter_map(|line| parse_line(&daemon.id, line)));
    }
    history
}

/// Returns every entry of `history` in which a daemon went to a lower version
/// than one it had applied before, or to one not above its previous version:
/// the daemon's id, the highest version applied before, and the version applied.
///
/// The history of a daemon goes on across restarts: the first version that the
/// new process applies is compared with those of the old process.
#[must_use]
pub fn version_regressions(history: &[AppliedVersion]) -> Vec<(String, u64, u64)> {
    let mut highest: std::collections::BTreeMap<&str, u64> = std::collections::BTreeMap::new();
    let mut regressions = Vec::new();
    for record in history {
        let highest_applied = highest.entry(&record.daemon).or_default();
        if record.to < *highest_applied || record.to <= record.from {
            regressions.push((record.daemon.clone(), *highest_applied, record.to));
        }
        *highest_applied = record.to.max(*highest_applied);
    }
    regressions
}

/// Parses a log line; `None` if the line reports no applied version.
fn parse_line(daemon: &str, line: &str) -> Option<AppliedVersion> {
    if field(line, "event")? != "applied" {
        return None;
    }
    let at = DateTime::parse_from_rfc3339(field(line, "ts")?).ok()?;
    Some(AppliedVersion {
        daemon: daemon.to_owned(),
        at_ms: u64::try_from(at.timestamp_millis()).ok()?,
        from: field(line, "from")?.parse().ok()?,
        to: field(line, "to")?.parse().ok()?,
    })
}

/// Returns the value of `key` in a line of `key=value` pairs.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}
