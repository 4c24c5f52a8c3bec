//! filbertd: the daemon that runs beside every target. It proxies callers'
//! calls to the targets of the right service in its availability zone, and
//! applies accepted settings versions from the platform: whole, validated,
//! never older than what it applied.
//!
//! Layout: [`control`] is the one reducer over all control events and returns
//! effects as data; [`runner`] executes them: platform calls through
//! [`platform_calls`], links between daemons through [`links`]. [`proxy`] and
//! [`admin`] are the HTTP edges, and [`shell`] starts it all.

pub mod admin;
pub use filbert_policy::clock;
pub mod budget;
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
