//! Stand-ins for what surrounds filbertladder in tests and the local demo:
//! the platform's table service and object store, and the users' back ends
//! (targets). None of this ships; it is what the tests and the demo run against.

pub mod demo;
pub mod mesh;
pub mod platform;
pub mod ports;
pub mod target;
