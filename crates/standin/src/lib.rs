//! Stand-ins for what surrounds filbertladder in tests and the local demo:
//! the platform's table service and object store, and the users' back ends
//! (targets). None of this ships; it is what the tests and the demo run against.

pub mod demo;
pub mod fault_proxy;
pub mod history;
pub mod mesh;
pub mod platform;
pub mod ports;
pub mod process;
pub mod serving;
pub mod spec;
pub mod target;
pub mod trees;
pub mod usage;

/// Keeps rocket's request lines out of a process that hosts stand-ins: a
/// logger that passes only errors is set first, so rocket does not set its
/// own. Call once, before starting any stand-in; later calls do nothing.
pub fn init_error_logger() {
    let _ = flexi_logger::Logger::try_with_str("error,rocket=off,_=off")
        .map(flexi_logger::Logger::start);
}
