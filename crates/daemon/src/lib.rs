//! filbertd: the daemon that runs on the host of each target. It proxies calls to
//! targets of the requested service in its availability zone. It also applies settings
//! versions from the platform. A version is validated and applied as a whole, and only
//! if it is newer than the applied one.
//!
//! [`control`] is a reducer: it takes all control events and returns effects as data.
//! [`runner`] executes the effects, with [`platform_calls`] for calls to the platform
//! and [`links`] for connections between daemons. [`proxy`] and [`admin`] serve HTTP.
//! [`shell`] starts the daemon and shuts it down.

pub mod admin;
mod allocator;
pub use filbert_policy::clock;
pub mod budget;
pub mod clients;
pub mod control;
pub mod counters;
pub mod links;
pub mod messages;
pub mod platform_calls;
pub mod proxy;
pub mod runner;
pub mod settings;
pub mod shell;
pub mod targets;

pub use settings::{DaemonSettings, SettingsError};
pub use shell::{run, DaemonError};
