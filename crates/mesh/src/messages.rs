//! Messages between daemons: `bincode` bodies, each prefixed with its length.

mod calls;
mod hosts;
mod organisations;
mod suspects;

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use filbert_policy::admission::DeclineReason;
use filbert_policy::instance::InstanceKey;
use filbert_policy::organisations::quota::LeaseClaim;
use filbert_policy::pace::TargetPace;
use filbert_policy::run_times::RunTime;
use filbert_policy::target_limit::{CallAllowance, CallRate};
use filbert_policy::zone_load::sums::ZoneSum;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::codec::bounded::{self, MAX_VALUE_BYTES};
use crate::rollouts::messages::{RolloutUpdate, TargetReport};
use crate::text_delta::TextDelta;
use crate::zone_load::messages::LoadReport;

pub use crate::codec::bounded::DecodeError;
pub use calls::{AnswerHead, CallHead, ExpectedRunTime, ReplyHead};
pub use hosts::{HostChanges, HostList, KnownHosts, RowChange};
pub use organisations::VersionConfirmation;
pub use suspects::{AgedCrash, SuspectCall};

/// Highest figure of a target's load that is taken over.
const MAX_LOAD_FIGURE: f64 = 1e9;
/// Size of the length prefix of each message, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Identity and address of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the daemon's host.
    pub id: String,
    /// Address at which the daemon accepts links, as `IP:PORT`.
    pub address: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Service of the target on the host, according to the daemon's settings.
    pub service: String,
}

/// Whether a target accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts calls.
    Open,
    /// The target is about to shut down. It is only used if no open target is
    /// available.
    Leaving,
    /// The target accepts no calls.
    Closed,
}

/// Status of a target, as reported by the daemon on the same host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Service that the target provides.
    pub service: String,
    /// Version of the target's software.
    pub software: String,
    /// Instance of the target; each start of the target is a new instance.
    pub instance: InstanceKey,
    /// Whether the target accepts calls.
    pub state: TargetState,
    /// Whether the target is still warming up after its start.
    pub is_cold: bool,
    /// Load of the target.
    pub load: TargetLoad,
}

/// Load and health of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Maximum number of calls that the target runs concurrently.
    pub slots: u32,
    /// Number of calls that the target is running.
    pub running: u32,
    /// Number of calls queued for the target.
    pub waiting: u32,
    /// Mean run time of the calls at the target at its pace now, in milliseconds.
    pub run_ms: f64,
    /// Ratio of the target's long-term run times to the usual ones of all targets, over
    /// all routes; 1 is usual. Without the pace, if the target states one.
    pub slowdown: f64,
    /// Fraction of the target's recent runs that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Time until the host's network link has sent the answers that are queued
    /// for it, in milliseconds.
    pub link_ms: f64,
    /// Transmission time of one KiB on the host's network link, in milliseconds.
    pub link_ms_per_kib: f64,
    /// What is left of the target's limit on the rate of calls; `None` without a limit.
    pub allowance: Option<CallAllowance>,
    /// The target's momentary pace; `None` if it is the usual one or the target states
    /// none.
    pub pace: Option<TargetPace>,
}

impl TargetLoad {
    /// Whether the figures can be used: placement computes times from them.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let figures = [
            self.run_ms,
            self.slowdown,
            self.failure_rate,
            self.link_ms,
            self.link_ms_per_kib,
        ];
        let ready = self.allowance.map_or(0.0, |allowance| allowance.ready);
        ready.is_finite()
            && self.pace.is_none_or(TargetPace::is_valid)
            && figures
                .iter()
                .all(|figure| (0.0..=MAX_LOAD_FIGURE).contains(figure))
    }

    /// The load after `elapsed` without news: the allowance is refilled, and the pace and
    /// the mean run time approach their usual values.
    #[must_use]
    pub fn after(self, elapsed: Duration) -> TargetLoad {
        let pace = self.pace.map(|pace| pace.after(elapsed));
        let pace_ratio = match (self.pace, pace) {
            (Some(before), Some(after)) => after.factor() / before.factor(),
            _ => 1.0,
        };
        TargetLoad {
            run_ms: self.run_ms * pace_ratio,
            allowance: self.allowance.map(|allowance| allowance.after(elapsed)),
            pace,
            ..self
        }
    }

    /// Run time to expect of a call whose route is not known.
    #[must_use]
    pub fn mean_run(&self) -> RunTime {
        let mean = Duration::from_secs_f64(self.run_ms.max(0.0) / 1_000.0);
        RunTime::exponential(mean)
    }
}

/// Messages on the news stream, a long-lived stream in both directions that each
/// link has. The dialing daemon opens it with `Hello`. It sends most of the requests,
/// and the listening daemon sends most of the updates; `RequestMembers`, `Members`,
/// `Suspects`, `Rollouts` and `ZoneLoads` go both ways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// First message of the dialing daemon.
    Hello {
        /// The dialing daemon.
        from: PeerAddress,
        /// Name of the host that the dialing daemon expects at this address.
        to: String,
        /// Instances on the receiver's host that the dialing daemon has seen in
        /// state `Leaving`.
        leaving_instances: Vec<InstanceKey>,
        /// Instance on the receiver's host and its limit on the rate of calls, as the
        /// dialing daemon remembers it.
        limit: Option<(InstanceKey, CallRate)>,
    },
    /// The expected host is not at this address. Carries the daemon that uses the
    /// address now.
    WrongHost(PeerAddress),
    /// Requests the list of all hosts that the receiver knows.
    RequestMembers,
    /// All hosts that the sender knows, including its own.
    Members(HostList),
    /// Checksum of the sender's list of hosts. A receiver whose own checksum
    /// differs requests the list. Sending the list itself delayed calls: with 400
    /// hosts it has 36 KB, and sending it to 60 daemons whenever the store came
    /// back filled a link of 10 Mbit/s for two seconds, so that calls reached
    /// their targets after their callers had left.
    MembersChecksum(u64),
    /// Hosts that were added, removed or registered.
    HostsChanged(HostChanges),
    /// Requests updates of the list of hosts. Daemons of the receiver's own zone get
    /// them without a request; the sender is a reader of another zone.
    RequestHostUpdates,
    /// Requests a change of a row in the table of hosts.
    RequestRowChange {
        /// The change.
        change: RowChange,
        /// Whether the sender forwards the request of another daemon. The receiver
        /// then makes the change itself, so that a request cannot be forwarded in
        /// a loop.
        is_forwarded: bool,
    },
    /// State of the sender's access to the store.
    Store(StoreState),
    /// The sender is downloading a version from the store that is too large to be
    /// sent over links.
    OversizedVersion,
    /// Status of the target on the sender's host; `None` if there is no target.
    Target(Option<TargetStatus>),
    /// The sender's version in force.
    InForce {
        /// Number of the version; 0 if the sender has none.
        version: u64,
    },
    /// Requests the receiver's version in force.
    RequestVersion {
        /// Number of the sender's version in force; 0 if it has none.
        have: u64,
        /// Whether the receiver should respond with the whole text if it has no
        /// steps from the sender's version.
        or_whole: bool,
    },
    /// Deltas that lead to the sender's version in force.
    Steps {
        /// The deltas, in the order of their versions.
        steps: Vec<VersionStep>,
    },
    /// Calls that were running when a target crashed, or that have succeeded since.
    Suspects(Vec<SuspectCall>),
    /// State of the roll-outs.
    Rollouts(Vec<RolloutUpdate>),
    /// Counts from gates, for the daemons that decide on roll-outs.
    TargetReports(Vec<TargetReport>),
    /// The sender has no steps that it can send.
    NoSteps {
        /// Whether the steps are too large for a link. Otherwise the sender does not
        /// have them.
        are_too_large: bool,
    },
    /// A whole version, as written by the operator.
    Version {
        /// Text of the version, compressed with DEFLATE.
        deflated: Vec<u8>,
    },
    /// When the store last confirmed its newest version.
    VersionConfirmation(VersionConfirmation),
    /// Requests a sample of the store's clock.
    RequestClock {
        /// Time of the request on the sender's clock, in microseconds since the
        /// boot of its host.
        asked_us: u64,
    },
    /// A sample of the store's clock.
    StoreClock {
        /// Number of times that the store had been restored from an older copy.
        era: u64,
        /// Upper bound of the time on the store's clock, in microseconds.
        latest_us: u64,
        /// The `asked_us` of the request.
        asked_us: u64,
    },
    /// Leases the sender's share of the tokens to the receiver's pool for a limited
    /// time. The receiver is a reader of the sender's zone.
    RenewPoolLease {
        /// Where the share was counted before.
        claim: LeaseClaim,
    },
    /// Requests tokens for calls from the receiver's pool.
    RequestTokens {
        /// Number of the request, chosen by the sender.
        request_id: u64,
        /// Organisation whose calls use the tokens.
        organisation: String,
        /// Maximum number of tokens to grant.
        wanted: u32,
    },
    /// Requests that the receiver's pool lends tokens to the pool of the sender, a
    /// reader of another zone. The response is `GrantTokens`.
    BorrowTokens {
        /// Number of the request, chosen by the sender.
        request_id: u64,
        /// Organisation whose calls use the tokens.
        organisation: String,
        /// Maximum number of tokens to lend.
        wanted: u32,
    },
    /// Response to `RequestTokens` and `BorrowTokens`.
    GrantTokens {
        /// Number of the request.
        request_id: u64,
        /// Number of tokens granted.
        granted: u32,
        /// Time until the pool has its next token, in microseconds, if none was
        /// granted.
        next_token_in_us: u64,
    },
    /// Load of the sender's host, for a reader of its zone.
    ReportLoad(LoadReport),
    /// Load of a zone, as one of its readers has added it up.
    ZoneLoads(ZoneSum),
}

/// State of a daemon's access to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// The daemon neither queries the store nor relays its contents.
    #[default]
    Unused,
    /// The daemon queries the store, and the store responds.
    Connected,
    /// The daemon queries the store, and the store does not respond.
    Disconnected,
    /// The daemon relays the store's contents, which it gets from upstreams.
    Relayed,
}

impl StoreState {
    /// Whether a daemon in this state relays the store's contents to others. This
    /// includes a daemon that cannot reach the store at present: where some
    /// daemons get no response, others would get none either.
    #[must_use]
    pub fn relays_store(self) -> bool {
        self != StoreState::Unused
    }

    /// Whether the list of hosts of a daemon in this state is up to date.
    #[must_use]
    pub fn is_current(self) -> bool {
        matches!(self, StoreState::Connected | StoreState::Relayed)
    }
}

/// Delta between two versions that were in force one after the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionStep {
    /// Number of the version to which the delta applies.
    pub from: u64,
    /// Number of the version that results.
    pub to: u64,
    /// Difference between the texts of the two versions.
    pub delta: TextDelta,
}

/// Converts a duration to the microseconds that messages carry; saturates at
/// [`u64::MAX`].
#[must_use]
pub fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Whether a call was declined because the gate is closed.
#[must_use]
pub fn is_closed(reason: DeclineReason) -> bool {
    matches!(reason, DeclineReason::Closed)
}

/// Encodes a message with its length prefix.
///
/// # Panics
/// Panics if the message is 4 GiB or longer. Encoding itself does not fail:
/// messages hold only plain data.
#[must_use]
pub fn encode<M: Serialize>(message: &M) -> Bytes {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("a message always encodes");
    let mut framed = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    let length = u32::try_from(body.len()).expect("messages are shorter than 4 GiB");
    framed.extend_from_slice(&length.to_be_bytes());
    framed.extend_from_slice(&body);
    framed.freeze()
}

/// Decodes the next message and removes it from `buffer`. Returns `None`, and
/// leaves `buffer` as it is, while the message is incomplete.
///
/// # Errors
/// [`DecodeError`] if the message is too long or its bytes are not an `M`.
pub fn decode_next<M: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<M>, DecodeError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_VALUE_BYTES {
        return Err(DecodeError);
    }
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    let body = buffer.split_to(length);
    bounded::decode(&body).map(Some)
}
