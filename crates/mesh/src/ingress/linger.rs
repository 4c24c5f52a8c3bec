//! Closes a client's connection behind its last answer, once the client has that answer, or at once
//! if the answer is cut.

use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use super::client_io::{ClientReader, ClientWriter};
use crate::sockets::set_reset_on_close;
use crate::state::MeshShared;
use crate::stop::ActiveCallGuard;

/// Maximum time for which a connection is still read after its last answer has arrived.
/// Closing it with unread input would send a reset, which may discard that answer at the
/// client.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which a client may read what the kernel holds of its last answer, in
/// idle timeouts.
const MAX_DELIVERY_IDLE_TIMEOUTS: u32 = 4;
/// Interval at which the kernel is asked whether the client has the last answer.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);

nix::ioctl_read_bad!(
    /// Reads the number of sent bytes that the peer has not acknowledged.
    read_unacknowledged,
    nix::libc::TIOCOUTQ,
    nix::libc::c_int
);

/// Closes a connection whose last answer has been handed to the kernel.
///
/// Guards against an answer that is cut: the kernel may hold most of it for a client that
/// reads slowly, and resets the connection when input arrives for a socket that is closed.
/// A planned stop therefore waits for the client's side to acknowledge the last byte.
pub(super) async fn close_after_answers(
    shared: &Rc<MeshShared>,
    mut reader: ClientReader,
    mut writer: ClientWriter,
) {
    let undelivered = ActiveCallGuard::new(shared);
    if writer.shutdown().await.is_err() {
        return;
    }
    let delivered = tokio::select! {
        () = wait_for_delivery(shared, &writer) => true,
        () = reader.discard_input() => false,
    };
    drop(undelivered);
    if delivered {
        // If the client is still sending after the timeout, closing the connection
        // resets it. The client has the last answer by then.
        let _ = tokio::time::timeout(LINGER_TIMEOUT, reader.discard_input()).await;
    }
}

/// Makes the close of a connection a reset if it cuts an answer, unless the client's side still
/// lacks a part of an answer before it.
///
/// Guards against an answer that goes on for seconds behind its end: the kernel may hold megabytes of
/// it, and sends them to a client that reads slowly before it says that the connection has ended.
pub(super) fn reset_cut_answer(writer: &ClientWriter) {
    let Some(unfinished) = writer.unfinished_bytes() else {
        return;
    };
    let unacknowledged = unacknowledged_bytes(writer).and_then(|bytes| u64::try_from(bytes).ok());
    if unacknowledged.is_some_and(|bytes| bytes <= unfinished) {
        set_reset_on_close(writer.stream(), true);
    }
}

/// Waits until the client's side has acknowledged all that was sent, or has acknowledged
/// nothing for the idle timeout, or only a little for several of them.
async fn wait_for_delivery(shared: &MeshShared, writer: &ClientWriter) {
    let mut last = None;
    let started = shared.clock.now();
    let mut last_progress = started;
    loop {
        let now = shared.clock.now();
        match unacknowledged_bytes(writer) {
            // Where the kernel cannot tell, the linger timeout has to do.
            None | Some(0) => return,
            current if current != last => {
                last = current;
                last_progress = now;
            }
            _ => {}
        }
        let idle_timeout = shared.current_index().limits().idle_timeout;
        let is_over = now >= started + idle_timeout * MAX_DELIVERY_IDLE_TIMEOUTS;
        if is_over || now >= last_progress + idle_timeout {
            return;
        }
        tokio::time::sleep(DELIVERY_POLL_INTERVAL).await;
    }
}

/// Number of sent bytes that the peer has not acknowledged; `None` if the kernel does not
/// tell.
fn unacknowledged_bytes(writer: &ClientWriter) -> Option<i32> {
    let mut bytes = 0;
    let socket = writer.stream().as_raw_fd();
    // SAFETY: the descriptor is open while `writer` is borrowed, and the call writes one
    // integer to `bytes`.
    let outcome = unsafe { read_unacknowledged(socket, &raw mut bytes) };
    outcome.ok().map(|_| bytes)
}
