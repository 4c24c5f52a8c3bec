//! Stand-ins for the second review: the platform's store, application servers, the
//! platform's readiness checks, and clients. They need no crate but the standard library.

pub mod client;
pub mod daemon;
pub mod http;
pub mod json;
pub mod mesh;
pub mod platform;
pub mod record;
pub mod server;
pub mod store;
