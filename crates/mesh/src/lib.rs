//! The mesh daemon, which runs on each host of the platform, beside its target.
//!
//! A call passes through two daemons. The daemon on the caller's host ([`ingress`],
//! [`calls`]) routes the call, picks the host of a target and returns the answer to the
//! caller. The daemon on the target's host ([`gate`], [`target`]) is the only one that
//! sends calls to this target, and decides which calls run, wait or are declined.
//!
//! [`links`] connect the daemons, and [`version_fetch`] fetches versions of the configuration
//! over them. [`feeds`] read the configuration and the members of the fleet from the
//! store. [`control`] receives the reports of the target on the host, and [`shutdowns`] keeps
//! the shutdowns that it announces. [`rollouts`] moves
//! services to other software versions. [`organisations`] checks API keys and quotas.
//! [`zone_load`] shares the load of services among availability zones. [`stop`] performs a
//! planned stop. [`supervision`] restarts tasks that panic.

pub mod answer_buffer;
pub mod body;
pub mod calls;
pub mod clients;
pub mod codec;
pub mod connection_limit;
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
pub mod return_times;
pub mod rollouts;
pub mod rows;
pub mod serve_peers;
pub mod settings;
pub mod shell;
pub mod shutdowns;
pub mod small_server;
pub mod sockets;
pub mod state;
pub mod status;
pub mod stop;
pub mod supervision;
pub mod target;
pub mod text_delta;
pub mod version_fetch;
pub mod versions;
pub mod zone_load;

pub use settings::{MeshSettings, MeshSettingsError};
pub use shell::{run, MeshError};
