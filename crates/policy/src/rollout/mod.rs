//! Moving a service's calls to targets of another software version.
//!
//! [`record`] says what daemons hold true of a roll-out and which of two such
//! notes wins; [`schedule`] decides on the next stage; [`judge`] compares the
//! new version with the old by what their targets made of their calls.

pub mod judge;
pub mod record;
pub mod schedule;
