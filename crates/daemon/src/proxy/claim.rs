//! At most once: a keyed call on an at-most-once route is claimed in the
//! platform's table before it is sent, so that no other attempt with the same
//! key, on any daemon, sends it too.

use std::time::Duration;

use filbert_store::{PlatformClient, StoreKey, TableRow, WriteCondition, WriteOutcome};
use serde::{Deserialize, Serialize};

/// Answers larger than this are not kept for replay, in bytes.
const KEPT_ANSWER_LIMIT: usize = 16 * 1024;
/// Longest idempotency key accepted, in bytes.
pub const KEY_LIMIT: usize = 200;
/// Attempts to settle a claim after the call, while the platform fails.
const SETTLE_ATTEMPTS: u32 = 30;
/// Pause between them.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);
/// Times a claim is looked at again when the row changes under it.
const CLAIM_ROUNDS: u32 = 3;

/// What the table says of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the call, so that a key is not used for two different calls.
    pub digest: u64,
    /// Which attempt holds the claim, unique among all.
    pub nonce: u64,
    /// How far the call is.
    pub state: ClaimState,
}

/// How far a keyed call is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may have been sent to a target; its outcome is not known.
    Sent,
    /// It was certainly not run; another attempt may claim it.
    NotRun,
    /// It ran; its answer.
    Done(KeptAnswer),
}

/// The answer of a call that ran, kept for replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, when the target gave one.
    pub content_type: Option<String>,
    /// The body, unless it was too large to keep.
    pub body: Option<Vec<u8>>,
}

impl KeptAnswer {
    /// Keeps what fits.
    #[must_use]
    pub fn new(status: u16, content_type: Option<&str>, body: &[u8]) -> KeptAnswer {
        KeptAnswer {
            status,
            content_type: content_type.map(str::to_owned),
            body: (body.len() <= KEPT_ANSWER_LIMIT).then(|| body.to_vec()),
        }
    }
}

/// A claim this daemon holds.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    key: String,
    digest: u64,
    nonce: u64,
}

/// The outcome of trying to claim a call.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// This attempt holds the claim and may send the call.
    Held(HeldClaim),
    /// The call ran before.
    Done(KeptAnswer),
    /// Another attempt may have sent it; its outcome is not known.
    InDoubt,
    /// The key belongs to a different call.
    OtherCall,
    /// The platform did not answer; the call must not be sent.
    Unavailable,
}

/// Claims keyed calls in the platform's table.
#[derive(Clone, Debug)]
pub struct ClaimBook {
    platform: PlatformClient,
}

/// One look at the claim's row.
enum ClaimLook {
    Decided(ClaimOutcome),
    /// Nobody holds it; claim it under this condition.
    Free(WriteCondition),
}

impl ClaimBook {
    /// A book kept in `platform`.
    #[must_use]
    pub fn new(platform: PlatformClient) -> ClaimBook {
        ClaimBook { platform }
    }

    /// Claims the call `key` of `member`; `digest` identifies the call.
    ///
    /// Guards against an order that runs twice: the claim is one conditional
    /// write, so of all attempts with a key only one holds it, whichever
    /// daemon they go through and whenever those daemons die.
    pub async fn claim(&self, member: &str, key: &str, digest: u64) -> ClaimOutcome {
        let claim = HeldClaim {
            key: StoreKey::call_claim(member, key),
            digest,
            nonce: rand::random(),
        };
        let mut expect = WriteCondition::Absent;
        for _ in 0..CLAIM_ROUNDS {
            let written = self.write(&claim, expect, ClaimState::Sent).await;
            let row = match written {
                Ok(WriteOutcome::Written(_)) => return ClaimOutcome::Held(claim),
                Ok(WriteOutcome::Refused(row)) => row,
                // Guards against a lost reply after the write took effect:
                // reading the row back shows whether this attempt holds it.
                Err(_) => {
                    let Ok(row) = self.platform.get(&claim.key).await else {
                        self.settle(claim, ClaimState::NotRun);
                        return ClaimOutcome::Unavailable;
                    };
                    row
                }
            };
            match look(row.as_ref(), &claim) {
                ClaimLook::Decided(outcome) => return outcome,
                ClaimLook::Free(next) => expect = next,
            }
        }
        self.settle(claim, ClaimState::NotRun);
        ClaimOutcome::Unavailable
    }

    /// Records how the claimed call ended, in the background: the caller does
    /// not wait for it. While the record is missing, the call stays in doubt
    /// to others, which is safe.
    pub fn settle(&self, claim: HeldClaim, state: ClaimState) {
        let book = self.clone();
        tokio::spawn(async move {
            for _ in 0..SETTLE_ATTEMPTS {
                if book.settle_once(&claim, &state).await {
                    return;
                }
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
        });
    }

    /// One try at settling; true when nothing is left to do.
    async fn settle_once(&self, claim: &HeldClaim, state: &ClaimState) -> bool {
        let Ok(row) = self.platform.get(&claim.key).await else {
            return false;
        };
        let expect = match &row {
            // The claim's own write may still be on its way: with this row
            // in its place it will be refused.
            None => WriteCondition::Absent,
            Some(row) => match record_of(row) {
                Some(record) if record.nonce == claim.nonce && record.state == ClaimState::Sent => {
                    WriteCondition::Version(row.version)
                }
                _ => return true,
            },
        };
        let written = self.write(claim, expect, state.clone()).await;
        matches!(written, Ok(WriteOutcome::Written(_)))
    }

    async fn write(
        &self,
        claim: &HeldClaim,
        expect: WriteCondition,
        state: ClaimState,
    ) -> Result<WriteOutcome, error_stack::Report<filbert_store::PlatformError>> {
        let record = ClaimRecord {
            digest: claim.digest,
            nonce: claim.nonce,
            state,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.platform.put(&claim.key, expect, value).await
    }

    /// What the table says of the call `key` of `member`; `None` when nothing.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn look_up(
        &self,
        member: &str,
        key: &str,
    ) -> Result<Option<ClaimState>, error_stack::Report<filbert_store::PlatformError>> {
        let row = self
            .platform
            .get(&StoreKey::call_claim(member, key))
            .await?;
        Ok(row.as_ref().and_then(record_of).map(|record| record.state))
    }
}

fn record_of(row: &TableRow) -> Option<ClaimRecord> {
    serde_json::from_value(row.value.clone()).ok()
}

fn look(row: Option<&TableRow>, claim: &HeldClaim) -> ClaimLook {
    let Some(row) = row else {
        return ClaimLook::Free(WriteCondition::Absent);
    };
    let Some(record) = record_of(row) else {
        return ClaimLook::Decided(ClaimOutcome::InDoubt);
    };
    let outcome = match record.state {
        _ if record.digest != claim.digest => ClaimOutcome::OtherCall,
        ClaimState::Sent if record.nonce == claim.nonce => ClaimOutcome::Held(claim.clone()),
        ClaimState::Sent => ClaimOutcome::InDoubt,
        ClaimState::Done(answer) => ClaimOutcome::Done(answer),
        ClaimState::NotRun => return ClaimLook::Free(WriteCondition::Version(row.version)),
    };
    ClaimLook::Decided(outcome)
}
