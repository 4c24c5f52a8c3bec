//! Setting of the memory allocator.

use nix::libc::{c_int, mallopt, M_MMAP_THRESHOLD};

/// Size from which a block is mapped by itself, in bytes: that of the parts of most bodies.
const MAPPED_BLOCK_BYTES: c_int = 32 * 1024;

/// Makes the allocator give the memory of each long body back to the system when the body is
/// dropped. By default it learns from such blocks to keep them, for each thread apart, and the
/// process keeps many times what it holds.
pub fn return_large_blocks() {
    // SAFETY: the call changes a parameter of the allocator and takes no pointer.
    let is_set = unsafe { mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) } == 1;
    if !is_set {
        log::warn!("event=allocator_option_refused");
    }
}
