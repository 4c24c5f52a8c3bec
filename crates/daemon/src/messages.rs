//! What daemons of one zone say to each other over an `h2` stream, and its
//! `bincode` encoding: a peer's messages to its relay, and the relay's to a peer.

use bytes::{BufMut, Bytes, BytesMut};
use filbert_store::TargetRecord;
use filbert_tree::{TreeDelta, VersionRecord};
use serde::{Deserialize, Serialize};

/// A peer's message to its relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The first message on a link.
    Hello(PeerHello),
    /// What the peer has in force now.
    Report {
        /// The version in force (0 before the first).
        applied: u64,
        /// The newest version refused, with the reason.
        rejected: Option<(u64, String)>,
    },
    /// The targets on the peer's host changed.
    Targets(TargetChange),
    /// The last delta did not fit; send the whole version.
    RequestFullVersion,
    /// The peer leaves for another relay, which holds the lease.
    Moved { relay: String },
    /// Nothing changed; the peer is alive.
    Heartbeat,
}

/// Who a peer is and what it already has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// The peer's daemon id.
    pub id: String,
    /// Where its own relay port is, `host:port`.
    pub address: String,
    /// The version it has in force (0 for none).
    pub applied: u64,
    /// The newest version it refused, with the reason.
    pub rejected: Option<(u64, String)>,
    /// The targets on its host.
    pub targets: Vec<TargetRecord>,
}

/// A relay's message to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// The link is accepted.
    Welcome(RelayWelcome),
    /// This daemon is not a relay now; ask the one named, if any.
    Refused { relay: Option<String> },
    /// A newer version.
    Version(VersionUpdate),
    /// The zone's targets changed.
    Targets(TargetChange),
    /// The zone's membership changed.
    Zone(ZoneShape),
    /// Whether the relay reaches the platform.
    Platform { reachable: bool },
    /// The answer to a peer's beat: the newest version the relay has.
    Heartbeat { newest: u64 },
    /// The relay is going away; link to the one named, if any.
    Goodbye { relay: Option<String> },
}

/// How a link starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayWelcome {
    /// The fencing token of the lease the relay holds or last saw.
    pub token: u64,
    /// No version below this may be applied: the highest one the relay knows
    /// any daemon of the zone has had in force.
    pub floor: u64,
    /// Whether the relay reaches the platform.
    pub platform_reachable: bool,
    /// The zone's membership.
    pub zone: ZoneShape,
}

/// The membership facts every daemon of a zone keeps for when its relay is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneShape {
    /// Relay addresses to try in this order when the relay is lost.
    pub successors: Vec<String>,
    /// Daemons in the zone, for pacing fallback reads.
    pub size: u32,
}

/// A version on its way to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionUpdate {
    /// The whole version.
    Full(VersionRecord),
    /// The steps from a version the peer acknowledged.
    Delta {
        /// The version the steps start from.
        base: u64,
        /// The version they produce.
        number: u64,
        /// The steps.
        delta: TreeDelta,
    },
}

/// A change to the targets of one host (peer to relay) or zone (relay to peer).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChange {
    /// Set when `upserts` is everything there is.
    pub is_snapshot: bool,
    /// Targets that joined or changed.
    pub upserts: Vec<TargetRecord>,
    /// Addresses of targets that are gone.
    pub removed: Vec<String>,
    /// Reported loads that moved, by address.
    pub loads: Vec<(String, u32)>,
}

impl TargetChange {
    /// Whether the change says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.is_snapshot
            && self.upserts.is_empty()
            && self.removed.is_empty()
            && self.loads.is_empty()
    }
}

/// Largest frame either side accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Bytes of the length that precedes each frame's body.
const LENGTH_BYTES: usize = 4;

/// Encodes one message as a frame: a big-endian length, then `bincode`.
///
/// # Panics
/// Never for this crate's messages, which hold only plain data.
#[must_use]
pub fn encode_frame<T: Serialize>(message: &T) -> Bytes {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("a message always encodes");
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(u32::try_from(body.len()).unwrap_or(u32::MAX));
    frame.put_slice(&body);
    frame.freeze()
}

/// Why a link's bytes are not messages; the link is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame's length is over [`MAX_FRAME_BYTES`].
    TooLong,
    /// The body is not a message.
    Undecodable,
}

/// Cuts a byte stream into messages.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole message, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// [`FrameError`] when the bytes cannot be a message.
    pub fn decode_next<T: serde::de::DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let frame = self.buffer.split_to(LENGTH_BYTES + length);
        let (message, used) =
            bincode::serde::decode_from_slice(&frame[LENGTH_BYTES..], bincode::config::standard())
                .map_err(|_| FrameError::Undecodable)?;
        if used == length {
            Ok(Some(message))
        } else {
            Err(FrameError::Undecodable)
        }
    }
}
