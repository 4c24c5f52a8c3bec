//! Canary roll-outs: moving a service's calls to targets of a new software version.
//!
//! [`record`] holds the replicated state of a roll-out and the order in which one
//! record supersedes another; [`schedule`] decides on the next stage; [`judge`]
//! compares the new version with the old one by how their calls ended, and
//! [`slow_runs`] finds the runs that are slow compared with the old version's.

pub mod judge;
pub mod record;
pub mod schedule;
pub mod slow_runs;
