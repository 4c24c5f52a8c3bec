//! Setting of the memory allocator.

use nix::libc::{c_int, mallopt, M_MMAP_THRESHOLD};

/// Size from which a block is mapped by itself, in bytes: less than the buffer of a body that takes
/// longer to read than one part.
const MAPPED_BLOCK_BYTES: c_int = 32 * 1024;

/// Makes the allocator give each block of [`MAPPED_BLOCK_BYTES`] and more back to the system when it
/// is dropped. By default it learns from such blocks to keep them, for each thread apart, and the
/// process keeps many times what it holds.
pub fn return_large_blocks() {
    // SAFETY: the call changes a parameter of the allocator and takes no pointer.
    let is_set = unsafe { mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) } == 1;
    if !is_set {
        log::warn!("event=allocator_option_refused");
    }
}
