//! The daemon on the users' platform.
//!
//! A call crosses two daemons. The one on the caller's host ([`ingress`],
//! [`calls`]) routes it, picks a target's host and answers for it. The one on
//! the target's host ([`gate`], [`target`]) is the only way to that target
//! and decides what runs, waits or is declined. [`links`] join the daemons, and
//! [`version_fetch`] gets versions over them; [`feeds`] bring configuration and
//! membership from the store; [`control`] hears the target beside the daemon;
//! [`stop`] sees a planned stop through. [`rollouts`] moves services to other
//! software versions, [`organisations`] tells whose a call is and whether it may run.

pub mod body;
pub mod calls;
pub mod control;
pub mod deflate;
pub mod egress;
pub mod feeds;
pub mod gate;
pub mod held_rows;
pub mod ingress;
pub mod links;
pub mod logging;
pub mod members;
pub mod messages;
pub mod metrics;
pub mod news;
pub mod organisations;
pub mod peers;
pub mod plan;
pub mod quarantine;
pub mod ready;
pub mod reload;
pub mod rollouts;
pub mod row_value;
pub mod rows;
pub mod serve_peers;
pub mod settings;
pub mod shell;
pub mod small_server;
pub mod sockets;
pub mod state;
pub mod status;
pub mod stop;
pub mod target;
pub mod text_delta;
pub mod version_fetch;
pub mod versions;

pub use settings::{MeshSettings, MeshSettingsError};
pub use shell::{run, MeshError};
