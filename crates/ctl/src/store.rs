//! Reads and writes the platform's store: the pointer to the version in force, version
//! objects, and the pending tree.

use error_stack::{Report, ResultExt};
use filbert_store::{
    CurrentPointer, PlatformClient, StoreKey, TableRow, WriteCondition, WriteOutcome,
};
use filbert_tree::{SettingsTree, VersionCodec, VersionRecord};
use serde::{Deserialize, Serialize};

use crate::error::CtlError;

/// Result of a step of a command.
pub type CtlResult<T> = Result<T, Report<CtlError>>;

/// The version in force, and what a compare-and-set of its row needs. All fields are
/// `None` before the first version is accepted.
pub struct CurrentVersion {
    /// Version of the `current` row, for compare-and-set.
    pub row_version: Option<u64>,
    /// Content of the `current` row: the pointer to the version object.
    pub pointer: Option<CurrentPointer>,
    /// Content of the version object.
    pub record: Option<VersionRecord>,
}

impl CurrentVersion {
    /// Returns the number of the version in force; 0 before the first.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.pointer.as_ref().map_or(0, |pointer| pointer.number)
    }

    /// Returns the tree in force; empty before the first version.
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
/// [`CtlError::Platform`] if the platform fails or its data cannot be decoded.
pub async fn read_current(platform: &PlatformClient) -> CtlResult<CurrentVersion> {
    let row = platform
        .get(StoreKey::CURRENT)
        .await
        .change_context(CtlError::Platform)?;
    let Some(row) = row else {
        return Ok(CurrentVersion {
            row_version: None,
            pointer: None,
            record: None,
        });
    };
    let pointer: CurrentPointer = serde_json::from_value(row.value)
        .change_context(CtlError::Platform)
        .attach("the `current` row cannot be decoded")?;
    let record = fetch_record(platform, &pointer.object).await?;
    Ok(CurrentVersion {
        row_version: Some(row.version),
        pointer: Some(pointer),
        record: Some(record),
    })
}

/// Fetches and decodes the version object with key `object`.
///
/// # Errors
/// [`CtlError::Platform`] if the object is missing or cannot be decoded.
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

/// Content of the `draft` row: the pending tree.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DraftValue {
    /// The pending tree as TOML.
    pub tree: String,
}

/// Reads the pending tree and the version of the `draft` row. Without such a row,
/// returns the tree in force and `None`.
///
/// # Errors
/// [`CtlError::Platform`] if the platform fails or its data cannot be decoded.
pub async fn read_draft(platform: &PlatformClient) -> CtlResult<(SettingsTree, Option<u64>)> {
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
        None => Ok((read_current(platform).await?.tree(), None)),
    }
}

/// Writes the pending tree, if the `draft` row still has the version `row_version`.
///
/// # Errors
/// [`CtlError::Refused`] if another operator changed the row since it was read;
/// [`CtlError::Platform`] if the platform fails.
pub async fn write_draft(
    platform: &PlatformClient,
    tree: &SettingsTree,
    row_version: Option<u64>,
) -> CtlResult<()> {
    let condition = row_version.map_or(WriteCondition::Absent, WriteCondition::Version);
    let value = serde_json::to_value(DraftValue {
        tree: tree.to_toml(),
    })
    .change_context(CtlError::Platform)?;
    match platform
        .put(StoreKey::DRAFT, condition, value)
        .await
        .change_context(CtlError::Platform)?
    {
        WriteOutcome::Written(_) => Ok(()),
        WriteOutcome::Refused(_) => Err(Report::new(CtlError::Refused).attach(
            "another operator changed the pending tree in the meantime; check it with `filbertctl show --pending` and retry",
        )),
    }
}

/// Parses the path of a branch from the command line.
///
/// # Errors
/// [`CtlError::BadInput`] if `text` is not such a path.
pub fn parse_branch(text: &str) -> CtlResult<filbert_tree::BranchPath> {
    filbert_tree::BranchPath::parse(text).ok_or_else(|| {
        Report::new(CtlError::BadInput).attach(format!(
            "`{text}` is not a branch: use site, site/MEMBER, site/MEMBER/SERVICE or site/MEMBER/SERVICE/ROUTE"
        ))
    })
}

/// Formats `value` as indented JSON.
///
/// # Errors
/// [`CtlError::Platform`] if `value` cannot be represented in JSON.
pub fn to_json<T: serde::Serialize>(value: &T) -> CtlResult<String> {
    serde_json::to_string_pretty(value).change_context(CtlError::Platform)
}
