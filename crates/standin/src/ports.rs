//! Free loopback ports for stand-ins and daemons.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports handed out lie in this range, below the one that Linux gives
/// outgoing connections (from 32768), so that no connection made between
/// [`free_port`] and the listener's start can take the port.
const RANGE: std::ops::Range<u32> = 10_000..32_000;

/// The next port to try, counted up by every call of this process.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// Finds a loopback port that nothing listens on and that this process has
/// not handed out lately.
///
/// # Panics
/// When no loopback port of the range can be bound at all.
#[must_use]
pub fn free_port() -> u16 {
    let width = RANGE.end - RANGE.start;
    // Processes start at different places, so that two at once rarely meet.
    let start = std::process::id().wrapping_mul(641) % width;
    for _ in 0..width {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = RANGE.start + (start + step) % width;
        let port = u16::try_from(port).expect("the range lies within the port numbers");
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    panic!("no loopback port is free");
}
