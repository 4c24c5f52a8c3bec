//! Messages between the daemons of an availability zone: from a peer to its relay, and
//! from a relay to a peer. They are encoded with `bincode` and sent as frames, each
//! with a length prefix, on an HTTP/2 stream.

use bytes::{BufMut, Bytes, BytesMut};
use filbert_store::TargetRecord;
use filbert_tree::{TreeDelta, VersionRecord};
use serde::{Deserialize, Serialize};

/// Message from a peer to its relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message on a link.
    Hello(PeerHello),
    /// The peer's applied or rejected version changed.
    Report {
        /// Applied version; 0 if there is none.
        applied: u64,
        /// Newest rejected version and the reason.
        rejected: Option<(u64, String)>,
    },
    /// The targets on the peer's host changed.
    Targets(TargetChange),
    /// Asks for the newest version in full, because a delta could not be applied or the
    /// peer has missed a version.
    RequestFullVersion,
    /// The peer moves to `relay`, which holds the lease.
    Moved { relay: String },
    /// Shows that the peer is alive while it has nothing else to send.
    Heartbeat,
    /// The peer's newest version, which the relay asked for.
    Version(VersionRecord),
}

/// Identity and state of a peer at the start of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Daemon id of the peer.
    pub id: String,
    /// Address of the peer's own relay port, `host:port`.
    pub address: String,
    /// Applied version; 0 if there is none.
    pub applied: u64,
    /// Newest rejected version and the reason.
    pub rejected: Option<(u64, String)>,
    /// Targets on the peer's host.
    pub targets: Vec<TargetRecord>,
}

/// Message from a relay to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// The relay accepts the link.
    Welcome(RelayWelcome),
    /// The daemon is not a relay. `relay` is the address of the relay, if it is known.
    Refused { relay: Option<String> },
    /// A newer settings version.
    Version(VersionUpdate),
    /// Targets of the zone changed.
    Targets(TargetChange),
    /// The membership of the zone changed.
    Zone(ZoneMembership),
    /// The relay can or cannot reach the platform now.
    Platform { reachable: bool },
    /// Reply to a peer's heartbeat, with the number of the relay's newest version.
    Heartbeat { newest: u64 },
    /// The relay shuts down or gives up its role. `relay` is the address of the next
    /// relay, if it is known.
    Goodbye { relay: Option<String> },
    /// Asks for the peer's newest version: the relay has none as new, and the store does not
    /// name one.
    RequestVersion,
}

/// State of the relay and of its zone at the start of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayWelcome {
    /// Fencing token of the lease that the relay holds or saw last.
    pub token: u64,
    /// Lowest version that the peer may apply. It is the highest version that, as far
    /// as the relay knows, any daemon of the zone has applied.
    pub floor: u64,
    /// Whether the relay can reach the platform.
    pub platform_reachable: bool,
    /// Membership of the zone.
    pub zone: ZoneMembership,
}

/// Membership of a zone. Each daemon keeps it for the case that it loses its relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneMembership {
    /// Addresses of the daemons to try as the next relay, in this order.
    pub successors: Vec<String>,
    /// Number of daemons in the zone. Without a relay they share the limit on platform
    /// reads.
    pub size: u32,
}

/// A settings version that a relay sends to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionUpdate {
    /// The version in full.
    Full(VersionRecord),
    /// The difference from a version that the peer has applied.
    Delta {
        /// Number of the version that the delta starts from.
        base: u64,
        /// Number of the version that the delta produces.
        number: u64,
        delta: TreeDelta,
    },
}

/// Change to the targets of a host (from a peer) or of the zone (from a relay).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChange {
    /// Whether `upserts` is the complete list of targets, not a change to an earlier list.
    pub is_snapshot: bool,
    /// Targets that were added or changed.
    pub upserts: Vec<TargetRecord>,
    /// Addresses of removed targets.
    pub removed: Vec<String>,
    /// Changed loads, as pairs of target address and reported load.
    pub loads: Vec<(String, u32)>,
}

impl TargetChange {
    /// Returns whether the receiver has nothing to update.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.is_snapshot
            && self.upserts.is_empty()
            && self.removed.is_empty()
            && self.loads.is_empty()
    }
}

/// Maximum length of a frame's body that either side accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Encodes a message as a frame: its length in bytes as a big-endian `u32`, then its
/// `bincode` encoding.
///
/// # Panics
/// Panics if the message cannot be encoded. Messages of this crate hold only plain data
/// and can always be encoded.
#[must_use]
pub fn encode_frame<T: Serialize>(message: &T) -> Bytes {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("messages hold only plain data");
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.put_u32(u32::try_from(body.len()).unwrap_or(u32::MAX));
    frame.put_slice(&body);
    frame.freeze()
}

/// Why received bytes cannot be decoded. The link is closed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix is above [`MAX_FRAME_BYTES`].
    TooLong,
    /// The body is not one message of the expected type.
    Undecodable,
}

/// Decodes messages from a stream of received bytes.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next message from the buffer. Returns `None` while its frame is
    /// incomplete.
    ///
    /// # Errors
    /// Returns a [`FrameError`] if the frame is too long or its body is not a message.
    pub fn decode_next<T: serde::de::DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        let frame = self.buffer.split_to(LENGTH_PREFIX_BYTES + length);
        let (message, used) = bincode::serde::decode_from_slice(
            &frame[LENGTH_PREFIX_BYTES..],
            bincode::config::standard(),
        )
        .map_err(|_| FrameError::Undecodable)?;
        if used == length {
            Ok(Some(message))
        } else {
            Err(FrameError::Undecodable)
        }
    }
}
