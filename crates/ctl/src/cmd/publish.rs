//! Making a tree the version in force: shared by accept and withdraw.

use std::time::{SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use filbert_store::{
    CurrentPointer, DeltaPointer, PlatformClient, PlatformError, StoreKey, WriteCondition,
    WriteOutcome,
};
use filbert_tree::{SettingsTree, TreeDelta, VersionCodec, VersionRecord};

use crate::error::CtlError;
use crate::store::{self, CtlResult, DraftValue, InForce};

/// Attempts at storing a version object when the platform does not answer.
const OBJECT_ATTEMPTS: u32 = 3;

/// Makes `tree` the next version after `in_force`, by compare-and-set on the
/// `current` row. Returns the new number.
///
/// # Errors
/// [`CtlError::Refused`] when the tree is invalid or another operator
/// accepted first; [`CtlError::Platform`] when the outcome cannot be learned.
pub(super) async fn publish(
    platform: &PlatformClient,
    in_force: &InForce,
    tree: SettingsTree,
    restores: Option<u64>,
) -> CtlResult<u64> {
    tree.validate()
        .map_err(|problems| Report::new(CtlError::Refused).attach(problems.to_string()))?;
    let number = in_force.number() + 1;
    let nonce = nonce();
    let object = StoreKey::version_object(number, nonce);
    let record = VersionRecord {
        number,
        parent: in_force.number(),
        restores,
        parent_object: in_force
            .pointer
            .as_ref()
            .map(|pointer| pointer.object.clone()),
        tree,
    };
    store_object(platform, &object, VersionCodec::encode(&record)).await?;
    let pointer = CurrentPointer {
        number,
        object: object.clone(),
        delta: store_delta(platform, in_force, &record, nonce).await,
    };
    let expect = in_force
        .row_version
        .map_or(WriteCondition::Absent, WriteCondition::Version);
    let value = serde_json::to_value(&pointer).change_context(CtlError::Platform)?;
    match platform.put(StoreKey::CURRENT, expect, value).await {
        Ok(WriteOutcome::Written(_)) => {}
        Ok(WriteOutcome::Refused(_)) => {
            return Err(Report::new(CtlError::Refused).attach(format!(
                "version {number} was accepted by another operator meanwhile; nothing changed, look at `filbertctl diff` and retry"
            )))
        }
        // Guards against a lost reply after the write took effect: the
        // compare-and-set may have won even though no answer came. The object
        // key is unique to this attempt, so reading the row back tells.
        Err(_) => confirm_written(platform, &object).await?,
    }
    reset_draft(platform, &record.tree).await;
    Ok(number)
}

async fn store_object(platform: &PlatformClient, object: &str, bytes: Vec<u8>) -> CtlResult<()> {
    let mut last = None;
    for _ in 0..OBJECT_ATTEMPTS {
        // The key is unique to this attempt, so storing it again is idempotent.
        match platform.put_object(object, bytes.clone()).await {
            Ok(()) => return Ok(()),
            Err(report) if *report.current_context() == PlatformError::Malformed => {
                return Err(report.change_context(CtlError::Platform));
            }
            Err(report) => last = Some(report),
        }
    }
    Err(last
        .map_or_else(
            || Report::new(CtlError::Platform),
            |report| report.change_context(CtlError::Platform),
        )
        .attach("could not store the version object; nothing was accepted"))
}

/// Stores the steps from the version in force to `record`, which spare relays
/// the whole version. Without them a relay fetches it whole, so a failure here
/// does not fail the accept.
async fn store_delta(
    platform: &PlatformClient,
    in_force: &InForce,
    record: &VersionRecord,
    nonce: u64,
) -> Option<DeltaPointer> {
    let base = in_force.record.as_ref()?;
    let delta = TreeDelta::between(&base.tree, &record.tree);
    let object = StoreKey::delta_object(record.number, nonce);
    let stored = platform.put_object(&object, VersionCodec::encode_delta(&delta));
    stored.await.ok()?;
    Some(DeltaPointer {
        base: base.number,
        object,
    })
}

async fn confirm_written(platform: &PlatformClient, object: &str) -> CtlResult<()> {
    let now = store::in_force(platform)
        .await
        .attach("the accept may or may not have taken effect; run `filbertctl show` to see")?;
    match now.pointer {
        Some(pointer) if pointer.object == object => Ok(()),
        _ => Err(Report::new(CtlError::Refused)
            .attach("the accept did not take effect; nothing changed")),
    }
}

/// Sets the pending tree to what is now in force. A failure leaves the old
/// draft, which `diff` then shows; it is not an error of the accept.
async fn reset_draft(platform: &PlatformClient, tree: &SettingsTree) {
    if let Ok(value) = serde_json::to_value(DraftValue {
        tree: tree.to_toml(),
    }) {
        let _ = platform
            .put(StoreKey::DRAFT, WriteCondition::Any, value)
            .await;
    }
}

fn nonce() -> u64 {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_nanos());
    #[allow(clippy::cast_possible_truncation)]
    let low = nanos as u64;
    low ^ (u64::from(std::process::id()) << 40)
}

/// Refuses unless the version in force is `expect`, when one was given.
pub(super) fn check_expected(in_force: &InForce, expect: Option<u64>) -> CtlResult<()> {
    match expect {
        Some(expected) if expected != in_force.number() => Err(Report::new(CtlError::Refused)
            .attach(format!(
                "version {} is in force, not {expected}; nothing changed",
                in_force.number()
            ))),
        _ => Ok(()),
    }
}
