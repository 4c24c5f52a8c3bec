//! The history of applied versions, as recorded by the daemons' own logs:
//! what history checks and convergence figures are made from.

use chrono::DateTime;

use crate::mesh::LocalMesh;

/// One version put in force on one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    /// The daemon.
    pub daemon: String,
    /// Its wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The version in force before.
    pub from: u64,
    /// The version put in force.
    pub to: u64,
}

/// Every application of a version so far, daemon by daemon, each in order.
#[must_use]
pub fn applied_history(mesh: &LocalMesh) -> Vec<AppliedVersion> {
    let mut history = Vec::new();
    for daemon in &mesh.daemons {
        let log = std::fs::read_to_string(&daemon.log_path).unwrap_or_default();
        history.extend(log.lines().filter_map(|line| parse_line(&daemon.id, line)));
    }
    history
}

/// Daemons whose history moves to a version not above all earlier ones, with
/// the two versions. Restarts of a daemon append to the same history: what a
/// new process applies first counts against what the old one had in force.
#[must_use]
pub fn version_regressions(history: &[AppliedVersion]) -> Vec<(String, u64, u64)> {
    let mut highest: std::collections::BTreeMap<&str, u64> = std::collections::BTreeMap::new();
    let mut moves = Vec::new();
    for record in history {
        let known = highest.entry(&record.daemon).or_default();
        if record.to < *known || record.to <= record.from {
            moves.push((record.daemon.clone(), *known, record.to));
        }
        *known = record.to.max(*known);
    }
    moves
}

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

/// The value of `key` in a `key=value` line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}
