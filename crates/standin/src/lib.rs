//! Stand-ins for the services that filbertladder depends on, for tests,
//! benchmarks and the local demo: the platform's table service and object store,
//! and the users' back ends (targets). Also starts local meshes of real daemons
//! and proxies that inject network faults. Nothing in this crate is shipped.

pub mod demo;
pub mod fault_proxy;
pub mod history;
pub mod http;
pub mod http2_frames;
pub mod mesh;
pub mod platform;
pub mod ports;
pub mod process;
pub mod rocket_server;
pub mod spec;
pub mod target;
pub mod trees;
pub mod usage;

/// Installs a global logger that prints errors only and nothing from rocket.
///
/// Call this before starting a stand-in: otherwise rocket installs its own
/// logger, which prints a line for every request. Later calls do nothing.
pub fn init_error_logger() {
    let _ = flexi_logger::Logger::try_with_str("error,rocket=off,_=off")
        .map(flexi_logger::Logger::start);
}
