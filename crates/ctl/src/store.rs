//! What the command line reads and writes in the platform: the pointer to the
//! version in force, version objects, and the pending tree.

use error_stack::{Report, ResultExt};
use filbert_store::{
    CurrentPointer, PlatformClient, StoreKey, TableRow, WriteCondition, WriteOutcome,
};
use filbert_tree::{SettingsTree, VersionCodec, VersionRecord};
use serde::{Deserialize, Serialize};

use crate::error::CtlError;

/// The result type of platform steps.
pub type CtlResult<T> = Result<T, Report<CtlError>>;

/// The version in force: the row (for compare-and-set), the pointer, the record.
pub struct InForce {
    /// The `current` row's version, for compare-and-set; `None` before the first accept.
    pub row_version: Option<u64>,
    /// The pointer, when a version exists.
    pub pointer: Option<CurrentPointer>,
    /// The record, when a version exists.
    pub record: Option<VersionRecord>,
}

impl InForce {
    /// The number in force, 0 before the first.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.pointer.as_ref().map_or(0, |pointer| pointer.number)
    }

    /// The tree in force; empty before the first.
    #[must_use]
    pub fn tree(&self) -> SettingsTree {
        self.record
            .as_ref()
            .map(|record| record.tree.clone())
            .unwrap_or_default()
    }
}

/// Reads the version in force.
///
/// # Errors
/// [`CtlError::Platform`] when the platform fails or its data is unreadable.
pub async fn in_force(platform: &PlatformClient) -> CtlResult<InForce> {
    let row = platform
        .get(StoreKey::CURRENT)
        .await
        .change_context(CtlError::Platform)?;
    let Some(row) = row else {
        return Ok(InForce {
            row_version: None,
            pointer: None,
            record: None,
        });
    };
    let pointer: CurrentPointer = serde_json::from_value(row.value)
        .change_context(CtlError::Platform)
        .attach("the current row is unreadable")?;
    let record = fetch_record(platform, &pointer.object).await?;
    Ok(InForce {
        row_version: Some(row.version),
        pointer: Some(pointer),
        record: Some(record),
    })
}

/// Fetches and decodes a version object.
///
/// # Errors
/// [`CtlError::Platform`] when it is missing or undecodable.
pub async fn fetch_record(platform: &PlatformClient, object: &str) -> CtlResult<VersionRecord> {
    let bytes = platform
        .get_object(object)
        .await
        .change_context(CtlError::Platform)?
        .ok_or_else(|| {
            Report::new(CtlError::Platform).attach(format!("version object {object} is missing"))
        })?;
    VersionCodec::decode(&bytes).map_err(|reason| Report::new(CtlError::Platform).attach(reason))
}

/// The pending tree as kept in the `draft` row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DraftValue {
    /// The tree, as TOML.
    pub tree: String,
}

/// Reads the pending tree: the draft row's tree and row version, or the tree
/// in force when there is no draft.
///
/// # Errors
/// [`CtlError::Platform`] on platform failure.
pub async fn draft(platform: &PlatformClient) -> CtlResult<(SettingsTree, Option<u64>)> {
    let row: Option<TableRow> = platform
        .get(StoreKey::DRAFT)
        .await
        .change_context(CtlError::Platform)?;
    match row {
        Some(row) => {
            let value: DraftValue =
                serde_json::from_value(row.value).change_context(CtlError::Platform)?;
            let tree = SettingsTree::from_toml(&value.tree).change_context(CtlError::Platform)?;
            Ok((tree, Some(row.version)))
        }
        None => Ok((in_force(platform).await?.tree(), None)),
    }
}

/// Writes the pending tree, refusing if another operator changed it since it
/// was read at `row_version`.
///
/// # Errors
/// [`CtlError::Refused`] on a lost race; [`CtlError::Platform`] on failure.
pub async fn write_draft(
    platform: &PlatformClient,
    tree: &SettingsTree,
    row_version: Option<u64>,
) -> CtlResult<()> {
    let expect = row_version.map_or(WriteCondition::Absent, WriteCondition::Version);
    let value = serde_json::to_value(DraftValue {
        tree: tree.to_toml(),
    })
    .change_context(CtlError::Platform)?;
    match platform
        .put(StoreKey::DRAFT, expect, value)
        .await
        .change_context(CtlError::Platform)?
    {
        WriteOutcome::Written(_) => Ok(()),
        WriteOutcome::Refused(_) => Err(Report::new(CtlError::Refused).attach(
            "another operator changed the pending tree meanwhile; read it again and retry",
        )),
    }
}

/// Parses a branch path given on the command line.
///
/// # Errors
/// [`CtlError::BadInput`] when malformed.
pub fn parse_branch(text: &str) -> CtlResult<filbert_tree::BranchPath> {
    filbert_tree::BranchPath::parse(text).ok_or_else(|| {
        Report::new(CtlError::BadInput).attach(format!(
            "`{text}` is not a branch: use site, site/MEMBER, site/MEMBER/SERVICE or site/MEMBER/SERVICE/ROUTE"
        ))
    })
}

/// A value as JSON for programs.
///
/// # Errors
/// [`CtlError::Platform`] when what the platform gave cannot be written so.
pub fn json<T: serde::Serialize>(value: &T) -> CtlResult<String> {
    serde_json::to_string_pretty(value).change_context(CtlError::Platform)
}
