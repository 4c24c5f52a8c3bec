//! Allocates free loopback ports for stand-ins and daemons.

use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};

/// Range of the ports that [`free_port`] returns. It lies below Linux's
/// ephemeral ports (from 32768), so that no outgoing connection made between
/// [`free_port`] and the start of the listener can take the port.
const PORT_RANGE: std::ops::Range<u32> = 10_000..32_000;

/// Offset of the next port to probe from this process's first one. Every probe
/// increments it, so a port is not probed twice until the range is used up.
static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback port that nothing listens on and that this process has
/// not probed since it last went through the whole range.
///
/// The port is probed by connecting to it, not by binding it: a child process
/// forked during the probe would inherit the bound socket and hold it until its
/// exec, and the port would be in use when the intended listener binds it.
///
/// # Panics
/// When something listens on every port of the range.
#[must_use]
pub fn free_port() -> u16 {
    let width = PORT_RANGE.end - PORT_RANGE.start;
    // Each process starts at its own place in the range, so that processes that
    // run at once rarely probe the same port.
    let start = std::process::id().wrapping_mul(641) % width;
    for _ in 0..width {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = PORT_RANGE.start + (start + offset) % width;
        let port = u16::try_from(port).expect("PORT_RANGE lies within the port numbers");
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return port;
        }
    }
    panic!("no free loopback port in {PORT_RANGE:?}");
}
