//! Reads the bodies of callers' calls.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use filbert_policy::client_budget::{CallSize, MemoryFull};
use rocket::data::{Data, ToByteUnit};
use rocket::request::Request;
use rocket::tokio::io::AsyncReadExt;

use super::ProxyAnswer;
use crate::clients::ClientCall;

/// Maximum size of a forwarded call's body, in MiB.
const MAX_BODY_MIB: u64 = 8;
/// Maximum size of a forwarded call's body, in bytes.
const MAX_BODY_BYTES: u64 = MAX_BODY_MIB * 1024 * 1024;
/// Maximum length of a short body, in bytes.
const MAX_SHORT_BODY_BYTES: usize = 64 * 1024;
/// Buffer of the HTTP server for a long body, in bytes.
const SERVER_BUFFER_BYTES: usize = 400 * 1024;
/// Least space of the buffer for the next part of a body, in bytes.
const PART_BYTES: usize = 16 * 1024;
/// Factor by which a buffer that grows may be larger than what it holds.
const MAX_BUFFER_GROWTH: usize = 2;
/// Longest pause of a caller inside a body.
const MAX_PAUSE: Duration = Duration::from_secs(15);

/// Why a call's body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFault {
    /// It is cut, or its caller pauses for too long.
    Unreadable,
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLarge,
    /// No memory is left for it.
    NoMemory,
}

impl BodyFault {
    /// The answer to the call.
    pub(super) fn answer(self, request_id: &str) -> ProxyAnswer {
        match self {
            BodyFault::Unreadable => ProxyAnswer::local(400, request_id, "call body unreadable"),
            BodyFault::TooLarge => ProxyAnswer::local(413, request_id, "call body too large"),
            BodyFault::NoMemory => ProxyAnswer::not_run(request_id, &MemoryFull.to_string()),
        }
    }
}

/// Reads the body of a call, which is charged to `client`: as it is stated, before it is read,
/// or as it comes.
///
/// # Errors
/// [`BodyFault`] if it is not read to its end.
pub(super) async fn read_body(
    request: &Request<'_>,
    data: Data<'_>,
    client: &ClientCall,
) -> Result<Bytes, BodyFault> {
    let stated: Option<u64> = request
        .headers()
        .get_one("content-length")
        .and_then(|length| length.parse().ok());
    // What cannot be served is not read at all.
    if stated.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(BodyFault::TooLarge);
    }
    let capacity = stated.and_then(|length| usize::try_from(length).ok());
    let size = call_size(capacity);
    let charge = |bytes| {
        let charged = client.charge(size, bytes);
        charged.map_err(|MemoryFull| BodyFault::NoMemory)
    };
    if size == CallSize::Long {
        charge(SERVER_BUFFER_BYTES)?;
    }
    if let Some(length) = capacity {
        charge(length)?;
    }
    let mut stream = data.open((MAX_BODY_BYTES + 1).bytes());
    // A buffer that need not grow is never copied. What is not written of it takes no memory.
    let mut body = BytesMut::with_capacity(capacity.map_or(PART_BYTES, |length| length + 1));
    loop {
        if body.len() == body.capacity() {
            body.reserve(PART_BYTES);
        }
        client.set_waiting(true);
        let read = tokio::time::timeout(MAX_PAUSE, stream.read_buf(&mut body)).await;
        client.set_waiting(false);
        match read {
            Ok(Ok(0)) => return Ok(body.freeze()),
            Ok(Ok(bytes)) => {
                client.record_read(bytes);
                if capacity.is_none() {
                    charge(bytes * MAX_BUFFER_GROWTH)?;
                }
            }
            Ok(Err(_)) | Err(_) => return Err(BodyFault::Unreadable),
        }
        if body.len() as u64 > MAX_BODY_BYTES {
            return Err(BodyFault::TooLarge);
        }
    }
}

/// Size of a call whose body has this length. One that states none counts as short: a call
/// without a body does not either.
fn call_size(length: Option<usize>) -> CallSize {
    if length.is_some_and(|length| length > MAX_SHORT_BODY_BYTES) {
        CallSize::Long
    } else {
        CallSize::Short
    }
}
