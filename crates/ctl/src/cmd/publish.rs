//! Publishes a tree as the version in force, for `accept` and `withdraw`.

use std::time::{SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use filbert_store::{
    CurrentPointer, DeltaPointer, PlatformClient, PlatformError, StoreKey, WriteCondition,
    WriteOutcome,
};
use filbert_tree::{SettingsTree, TreeDelta, VersionCodec, VersionRecord};

use crate::error::CtlError;
use crate::store::{self, CtlResult, CurrentVersion, DraftValue};

/// Maximum number of attempts to store a version object if the platform does not answer.
const MAX_STORE_ATTEMPTS: u32 = 3;

/// Publishes `tree` as the version after `current`, by compare-and-set on the `current`
/// row, and returns its number. `restores` is the number of the version whose content
/// a withdrawal restores.
///
/// # Errors
/// [`CtlError::Refused`] if the tree is invalid or another operator accepted a version
/// first; [`CtlError::Platform`] if the platform fails or the outcome is unknown.
pub(super) async fn publish(
    platform: &PlatformClient,
    current: &CurrentVersion,
    tree: SettingsTree,
    restores: Option<u64>,
) -> CtlResult<u64> {
    tree.validate()
        .map_err(|problems| Report::new(CtlError::Refused).attach(problems.to_string()))?;
    let number = current.number() + 1;
    let nonce = nonce();
    let object = StoreKey::version_object(number, nonce);
    let record = VersionRecord {
        number,
        parent: current.number(),
        restores,
        parent_object: current
            .pointer
            .as_ref()
            .map(|pointer| pointer.object.clone()),
        tree,
    };
    store_object(platform, &object, VersionCodec::encode(&record)).await?;
    let pointer = CurrentPointer {
        number,
        object: object.clone(),
        delta: store_delta(platform, current, &record, nonce).await,
    };
    let condition = current
        .row_version
        .map_or(WriteCondition::Absent, WriteCondition::Version);
    let value = serde_json::to_value(&pointer).change_context(CtlError::Platform)?;
    match platform.put(StoreKey::CURRENT, condition, value).await {
        Ok(WriteOutcome::Written(_)) => {}
        Ok(WriteOutcome::Refused(_)) => {
            return Err(Report::new(CtlError::Refused).attach(format!(
                "version {number} was accepted by another operator in the meantime; nothing changed, check `filbertctl diff` and retry"
            )))
        }
        // The write may have taken effect although its reply was lost. The object
        // key is unique to this attempt, so the row shows whether it did.
        Err(_) => confirm_written(platform, &object).await?,
    }
    reset_draft(platform, &record.tree).await;
    Ok(number)
}

/// Stores a version object, with up to [`MAX_STORE_ATTEMPTS`] attempts.
async fn store_object(platform: &PlatformClient, object: &str, bytes: Vec<u8>) -> CtlResult<()> {
    let mut last_error = None;
    for _ in 0..MAX_STORE_ATTEMPTS {
        // The key is unique to this attempt, so storing it again is idempotent.
        match platform.put_object(object, bytes.clone()).await {
            Ok(()) => return Ok(()),
            Err(report) if *report.current_context() == PlatformError::Malformed => {
                return Err(report.change_context(CtlError::Platform));
            }
            Err(report) => last_error = Some(report),
        }
    }
    Err(last_error
        .map_or_else(
            || Report::new(CtlError::Platform),
            |report| report.change_context(CtlError::Platform),
        )
        .attach("could not store the version object; nothing was accepted"))
}

/// Stores the delta from the version in force to `record`, so that relays need not
/// fetch the full version. Returns `None` if the delta cannot be stored: relays then
/// fetch the full version, so the accept does not fail.
async fn store_delta(
    platform: &PlatformClient,
    current: &CurrentVersion,
    record: &VersionRecord,
    nonce: u64,
) -> Option<DeltaPointer> {
    let base = current.record.as_ref()?;
    let delta = TreeDelta::between(&base.tree, &record.tree);
    let object = StoreKey::delta_object(record.number, nonce);
    let stored = platform.put_object(&object, VersionCodec::encode_delta(&delta));
    stored.await.ok()?;
    Some(DeltaPointer {
        base: base.number,
        object,
    })
}

/// Reads back whether the `current` row points to `object`, after a write of the row
/// without a reply.
async fn confirm_written(platform: &PlatformClient, object: &str) -> CtlResult<()> {
    let current = store::read_current(platform)
        .await
        .attach("it is unknown whether the version was accepted; check with `filbertctl show`")?;
    match current.pointer {
        Some(pointer) if pointer.object == object => Ok(()),
        _ => {
            Err(Report::new(CtlError::Refused)
                .attach("the version was not accepted; nothing changed"))
        }
    }
}

/// Sets the pending tree to `tree`, which is now in force. A failure is ignored, as the
/// version is accepted: the old draft stays, and `diff` shows it.
async fn reset_draft(platform: &PlatformClient, tree: &SettingsTree) {
    if let Ok(value) = serde_json::to_value(DraftValue {
        tree: tree.to_toml(),
    }) {
        let _ = platform
            .put(StoreKey::DRAFT, WriteCondition::Any, value)
            .await;
    }
}

/// Returns a number from the time and the process id that makes the keys of this
/// attempt's objects unique.
fn nonce() -> u64 {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_nanos());
    #[allow(clippy::cast_possible_truncation)]
    let low = nanos as u64;
    low ^ (u64::from(std::process::id()) << 40)
}

/// Checks that the version in force has the number `expect`, if that is given.
///
/// # Errors
/// [`CtlError::Refused`] if it has another number.
pub(super) fn check_expected(current: &CurrentVersion, expect: Option<u64>) -> CtlResult<()> {
    match expect {
        Some(expected) if expected != current.number() => Err(Report::new(CtlError::Refused)
            .attach(format!(
                "version {} is in force, not {expected}; nothing changed",
                current.number()
            ))),
        _ => Ok(()),
    }
}
