//! Acknowledged shutdowns of the target on this host, in rows of the store: a restarted
//! daemon must keep to those that its earlier processes acknowledged.
//!
//! [`recorder`] writes a shutdown before it is acknowledged, [`restore`] reads the rows
//! after a restart, and [`expiry`] removes the rows of targets that are long gone.

pub mod expiry;
pub mod recorder;
pub mod restore;
pub mod row;
