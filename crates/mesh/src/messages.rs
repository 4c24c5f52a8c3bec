//! What daemons say to each other: `bincode` messages, each behind its length.

mod calls;
mod hosts;
mod organisations;

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use filbert_policy::admission::DeclineReason;
use filbert_policy::instance::InstanceKey;
use filbert_policy::run_times::RunTime;
use serde::{Deserialize, Serialize};

use crate::quarantine::SuspectCall;
use crate::rollouts::messages::{RolloutUpdate, TargetReport};
use crate::text_delta::TextDelta;

pub use calls::{AnswerHead, CallHead, ReplyHead, UsualRun};
pub use hosts::{HostChanges, HostList, RowChange};
pub use organisations::VersionAge;

/// Longest message, in bytes: a version of a few thousand routes fits.
const MAX_MESSAGE: usize = 16 * 1024 * 1024;
/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// Where a daemon is found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The host's name.
    pub id: String,
    /// Where its daemon takes links, `IP:PORT`.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// The service of the target beside it, by its settings.
    pub service: String,
}

/// Whether a target takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It does.
    Open,
    /// It is about to leave; only where there is no other.
    Leaving,
    /// It does not.
    Closed,
}

/// A target as the daemon beside it describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Its service.
    pub service: String,
    /// The version of its software.
    pub software: String,
    /// Which start of it.
    pub instance: InstanceKey,
    /// Whether it takes calls.
    pub state: TargetState,
    /// Whether it is still slow from its start.
    pub is_cold: bool,
    /// Its load.
    pub load: TargetLoad,
}

/// How busy and how well a target is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Calls it can run at once.
    pub slots: u32,
    /// Calls it runs.
    pub running: u32,
    /// Calls that wait for it.
    pub waiting: u32,
    /// Mean time of the runs under way, in milliseconds.
    pub run_ms: f64,
    /// How much longer than usual runs of all kinds take; 1 when usual.
    pub slowdown: f64,
    /// Share of its recent runs that ended ill, 0 to 1.
    pub failure_rate: f64,
    /// Time until the host's link is free of the answers that are due, in
    /// milliseconds.
    pub link_ms: f64,
    /// Time that a KiB takes on that link, in milliseconds.
    pub link_ms_per_kib: f64,
}

impl TargetLoad {
    /// Time of a run of any kind.
    #[must_use]
    pub fn mean_run(&self) -> RunTime {
        let mean = Duration::from_secs_f64(self.run_ms.max(0.0) / 1_000.0);
        RunTime::exponential(mean)
    }
}

/// Messages of the long stream that each link has, both ways. The daemon that
/// links says hello and asks; the one that it links to tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Who links.
    Hello {
        /// The daemon that links.
        from: PeerAddress,
        /// The name of the host that it means to reach.
        to: String,
        /// Instances beside the receiver that it heard were leaving.
        left: Vec<InstanceKey>,
    },
    /// The host meant is not here: its address is another's now.
    NotHere(PeerAddress),
    /// The receiver should list the hosts that it knows.
    WantMembers,
    /// All hosts that the sender knows, itself included.
    Members(HostList),
    /// A checksum of them. The list of 400 hosts is 36 KB; told to 60 daemons
    /// whenever the store came back it filled a link of 10 Mbit/s for two
    /// seconds, and calls reached their targets after their callers had left.
    MembersSum(u64),
    /// What became of hosts.
    HostsChanged(HostChanges),
    /// The sender, a reader of its zone, is to be told of hosts like those of
    /// the receiver's own zone.
    Follow,
    /// The receiver should see to a host's row.
    WantRow {
        /// What is to become of it.
        change: RowChange,
        /// Whether the sender was asked for it itself. The receiver then sees
        /// to it by itself, so that it cannot go in circles.
        is_passed_on: bool,
    },
    /// What the sender has of the store.
    Store(StoreState),
    /// The store is giving the sender a version that is too heavy for links.
    HeavyVersion,
    /// The target beside the sender; `None` when there is none.
    Target(Option<TargetStatus>),
    /// The version that the sender has in force.
    InForce {
        /// Its number.
        version: u64,
    },
    /// The receiver should send what leads to its version.
    WantVersion {
        /// The version that the sender has in force.
        have: u64,
        /// Whether the whole text is wanted if steps do not lead there.
        or_whole: bool,
    },
    /// Steps to a version.
    Steps {
        /// The steps, in order.
        steps: Vec<VersionStep>,
    },
    /// Calls that were at work as targets ended, or that ran well since.
    Suspects(Vec<SuspectCall>),
    /// How far roll-outs are.
    Rollouts(Vec<RolloutUpdate>),
    /// What gates counted; for the daemons that decide on roll-outs.
    TargetReports(Vec<TargetReport>),
    /// The sender has no steps to tell.
    NoSteps {
        /// Whether they are too heavy for a link, rather than not known.
        are_heavy: bool,
    },
    /// A whole version, as the operator wrote it.
    Version {
        /// Its text, deflated.
        deflated: Vec<u8>,
    },
    /// How old the newest version is.
    VersionAge(VersionAge),
    /// The receiver should say what the store's clock shows.
    WantClock {
        /// The sender's time, in microseconds since its host's start.
        asked_us: u64,
    },
    /// What the store's clock shows.
    StoreClock {
        /// How often the store had come back from an older copy.
        era: u64,
        /// At most this, in microseconds.
        latest_us: u64,
        /// The time of the question, as the receiver gave it.
        asked_us: u64,
    },
    /// The sender brings its part of the tokens to the pool of the receiver, a reader
    /// of its zone, for a while.
    RenewPool,
    /// The receiver should grant tokens for calls.
    WantTokens {
        /// Names the question.
        ask: u64,
        /// The organisation whose calls they are for.
        organisation: String,
        /// How many at most.
        wanted: u32,
    },
    /// What the sender's pool grants.
    Tokens {
        /// The question.
        ask: u64,
        /// How many.
        granted: u32,
        /// Microseconds until the next one, when there is none.
        dry_us: u64,
    },
}

/// What a daemon has of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// It does not ask it and tells nobody of it.
    #[default]
    Unused,
    /// It asks it, and it answers.
    Answers,
    /// It asks in vain.
    Lost,
    /// It passes on what daemons that ask tell it.
    Told,
}

impl StoreState {
    /// Whether a daemon in this state tells others what lies in the store, be
    /// it that it asks in vain just now: with some that do, others would too.
    #[must_use]
    pub fn tells(self) -> bool {
        self != StoreState::Unused
    }

    /// Whether what a daemon in this state knows of the hosts is up to date.
    #[must_use]
    pub fn is_current(self) -> bool {
        matches!(self, StoreState::Answers | StoreState::Told)
    }
}

/// The step from one version to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionStep {
    /// The version before.
    pub from: u64,
    /// The version after.
    pub to: u64,
    /// How their texts differ.
    pub delta: TextDelta,
}

/// A time in microseconds, as messages carry it.
#[must_use]
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Whether a decline means that the gate was closed.
#[must_use]
pub fn is_closed(reason: DeclineReason) -> bool {
    matches!(reason, DeclineReason::Closed)
}

/// Bytes that are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadMessage;

/// Encodes a message behind its length.
///
/// # Panics
/// Never: messages hold only plain data that bincode always encodes.
#[must_use]
pub fn encode<M: Serialize>(message: &M) -> Bytes {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("a message always encodes");
    let mut framed = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    let length = u32::try_from(body.len()).expect("messages are shorter than 4 GiB");
    framed.extend_from_slice(&length.to_be_bytes());
    framed.extend_from_slice(&body);
    framed.freeze()
}

/// Takes the next message out of `buffer`; `None` when it is not there whole.
///
/// # Errors
/// [`BadMessage`] when the bytes are not such a message.
pub fn take<M: for<'de> Deserialize<'de>>(buffer: &mut BytesMut) -> Result<Option<M>, BadMessage> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_MESSAGE {
        return Err(BadMessage);
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    let (message, used) = bincode::serde::decode_from_slice(&body, bincode::config::standard())
        .map_err(|_| BadMessage)?;
    if used == length {
        Ok(Some(message))
    } else {
        Err(BadMessage)
    }
}
