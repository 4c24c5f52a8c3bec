//! Claims for keyed calls, that is, calls with an idempotency key on an
//! at-most-once route. A keyed call is claimed in the platform's table before
//! it is sent, so that no other call with the same key is sent by any daemon.

use std::time::Duration;

use filbert_store::{PlatformClient, StoreKey, TableRow, WriteCondition, WriteOutcome};
use serde::{Deserialize, Serialize};

/// Maximum size of an answer's body that is recorded for replay, in bytes.
const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;
/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;
/// Maximum number of attempts to record the state of a claimed call while the
/// platform does not accept the write.
const MAX_STATE_WRITE_ATTEMPTS: u32 = 30;
/// Delay between attempts to record the state of a claimed call.
const STATE_WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of attempts to claim a call. A further attempt is made when
/// the row shows that the call can be claimed under another write condition,
/// for example because an earlier call with the key did not run.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// The row of a keyed call in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the call, by which a key that is reused for a different call is
    /// detected.
    pub digest: u64,
    /// Random number that identifies the claim's holder.
    pub nonce: u64,
    /// The state of the call.
    pub state: ClaimState,
}

/// The state of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The call may have been sent to a target, and its outcome is not known.
    Sent,
    /// The call certainly did not run and may be claimed again.
    NotRun,
    /// The call ran and got this answer.
    Done(RecordedAnswer),
}

/// The answer to a call that ran, recorded for replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Value of the `Content-Type` header, if the target sent one.
    pub content_type: Option<String>,
    /// The answer's body; `None` if it was too large to record.
    pub body: Option<Vec<u8>>,
}

impl RecordedAnswer {
    /// Creates a record of an answer, without `body` if it exceeds 16 KiB.
    #[must_use]
    pub fn new(status: u16, content_type: Option<&str>, body: &[u8]) -> RecordedAnswer {
        RecordedAnswer {
            status,
            content_type: content_type.map(str::to_owned),
            body: (body.len() <= MAX_RECORDED_BODY_BYTES).then(|| body.to_vec()),
        }
    }
}

/// A daemon's claim of a keyed call, with the nonce that identifies the holder.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    key: String,
    digest: u64,
    nonce: u64,
}

/// The outcome of an attempt to claim a keyed call.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// The claim was acquired, and its holder may send the call.
    Held(HeldClaim),
    /// The call ran before and got this answer.
    Done(RecordedAnswer),
    /// Another holder may have sent the call, and the outcome is not known.
    InDoubt,
    /// The key was used before for a different call.
    KeyReused,
    /// The claim could not be acquired, because the platform did not answer or
    /// no claim attempt succeeded. The call must not be sent.
    Unavailable,
}

/// Stores the claims of keyed calls in the platform's table.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    platform: PlatformClient,
}

/// What a claim's row means for a call that is to be claimed.
enum RowCheck {
    /// No further claim attempt is needed.
    Decided(ClaimOutcome),
    /// The call is not claimed, or it was claimed and certainly did not run. A
    /// write with this condition claims the call.
    Claimable(WriteCondition),
}

impl ClaimStore {
    /// Creates a claim store over the table of `platform`.
    #[must_use]
    pub fn new(platform: PlatformClient) -> ClaimStore {
        ClaimStore { platform }
    }

    /// Claims the call with the idempotency key `key` of `member`. `digest`
    /// identifies the call's content.
    ///
    /// The claim is a single conditional write, so only one of the calls with
    /// the same key acquires the claim, whichever daemons receive the calls and
    /// whenever those daemons crash. Otherwise an order could run twice.
    pub async fn claim(&self, member: &str, key: &str, digest: u64) -> ClaimOutcome {
        let claim = HeldClaim {
            key: StoreKey::call_claim(member, key),
            digest,
            nonce: rand::random(),
        };
        let mut condition = WriteCondition::Absent;
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let written = self.write(&claim, condition, ClaimState::Sent).await;
            let row = match written {
                Ok(WriteOutcome::Written(_)) => return ClaimOutcome::Held(claim),
                Ok(WriteOutcome::Refused(row)) => row,
                // The write may have taken effect although its reply was lost.
                // The row's nonce shows whether this call holds the claim.
                Err(_) => {
                    let Ok(row) = self.platform.get(&claim.key).await else {
                        self.record_state(claim, ClaimState::NotRun);
                        return ClaimOutcome::Unavailable;
                    };
                    row
                }
            };
            match check_row(row.as_ref(), &claim) {
                RowCheck::Decided(outcome) => return outcome,
                RowCheck::Claimable(row_condition) => condition = row_condition,
            }
        }
        self.record_state(claim, ClaimState::NotRun);
        ClaimOutcome::Unavailable
    }

    /// Records the state of a claimed call in a background task, so that the
    /// caller does not wait for the write. Until the state is recorded, other
    /// calls with the key get [`ClaimOutcome::InDoubt`] and are not sent.
    pub fn record_state(&self, claim: HeldClaim, state: ClaimState) {
        let store = self.clone();
        tokio::spawn(async move {
            for _ in 0..MAX_STATE_WRITE_ATTEMPTS {
                if store.try_record_state(&claim, &state).await {
                    return;
                }
                tokio::time::sleep(STATE_WRITE_RETRY_DELAY).await;
            }
        });
    }

    /// Tries once to record the state of a claimed call. Returns true if the
    /// state was written or the row no longer has this claim as sent.
    async fn try_record_state(&self, claim: &HeldClaim, state: &ClaimState) -> bool {
        let Ok(row) = self.platform.get(&claim.key).await else {
            return false;
        };
        let condition = match &row {
            // The write of the claim may still be in flight. Once this row is
            // written, the platform refuses that write.
            None => WriteCondition::Absent,
            Some(row) => match decode_record(row) {
                Some(record) if record.nonce == claim.nonce && record.state == ClaimState::Sent => {
                    WriteCondition::Version(row.version)
                }
                _ => return true,
            },
        };
        let written = self.write(claim, condition, state.clone()).await;
        matches!(written, Ok(WriteOutcome::Written(_)))
    }

    async fn write(
        &self,
        claim: &HeldClaim,
        condition: WriteCondition,
        state: ClaimState,
    ) -> Result<WriteOutcome, error_stack::Report<filbert_store::PlatformError>> {
        let record = ClaimRecord {
            digest: claim.digest,
            nonce: claim.nonce,
            state,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.platform.put(&claim.key, condition, value).await
    }

    /// Reads the state of the call with the idempotency key `key` of `member`.
    /// Returns `None` if the table has no readable record of the call.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn look_up_state(
        &self,
        member: &str,
        key: &str,
    ) -> Result<Option<ClaimState>, error_stack::Report<filbert_store::PlatformError>> {
        let row = self
            .platform
            .get(&StoreKey::call_claim(member, key))
            .await?;
        Ok(row
            .as_ref()
            .and_then(decode_record)
            .map(|record| record.state))
    }
}

fn decode_record(row: &TableRow) -> Option<ClaimRecord> {
    serde_json::from_value(row.value.clone()).ok()
}

fn check_row(row: Option<&TableRow>, claim: &HeldClaim) -> RowCheck {
    let Some(row) = row else {
        return RowCheck::Claimable(WriteCondition::Absent);
    };
    let Some(record) = decode_record(row) else {
        return RowCheck::Decided(ClaimOutcome::InDoubt);
    };
    let outcome = match record.state {
        _ if record.digest != claim.digest => ClaimOutcome::KeyReused,
        ClaimState::Sent if record.nonce == claim.nonce => ClaimOutcome::Held(claim.clone()),
        ClaimState::Sent => ClaimOutcome::InDoubt,
        ClaimState::Done(answer) => ClaimOutcome::Done(answer),
        ClaimState::NotRun => return RowCheck::Claimable(WriteCondition::Version(row.version)),
    };
    RowCheck::Decided(outcome)
}
