//! Canary roll-outs: moving a service's calls to targets of a new software version.
//!
//! [`record`] holds the replicated state of a roll-out and the order in which one
//! record supersedes another; [`schedule`] decides on the next stage; [`judge`]
//! compares the new version with the old one by how their calls ended.

pub mod judge;
pub mod record;
pub mod schedule;
