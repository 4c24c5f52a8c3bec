//! Free loopback ports for stand-ins and daemons.

use std::net::TcpStream;
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
/// The port is probed by connecting to it, not by binding it: a child process
/// forked meanwhile would hold the bound socket until its exec, and the port
/// would be taken when its real owner binds it a moment later.
///
/// # Panics
/// When something listens on every port of the range.
#[must_use]
pub fn free_port() -> u16 {
    let width = RANGE.end - RANGE.start;
    // Processes start at different places, so that two at once rarely meet.
    let start = std::process::id().wrapping_mul(641) % width;
    for _ in 0..width {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = RANGE.start + (start + step) % width;
        let port = u16::try_from(port).expect("the range lies within the port numbers");
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return port;
        }
    }
    panic!("no loopback port is free");
}
