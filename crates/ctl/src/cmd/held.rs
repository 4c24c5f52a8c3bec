//! `filbertctl mesh held` and `mesh release`: lists the calls that are held back
//! because they crashed targets, and releases one.

use error_stack::ResultExt;
use filbert_mesh::held_rows::{held_row_key, HeldRow};
use filbert_mesh::rows::HOSTS_TABLE;
use filbert_platform::store::{RowEdit, StoreClient};
use filbert_policy::clock::{Clock, ClockReading, SystemClock};
use filbert_policy::identity::CallIdentity;
use filbert_policy::quarantine::hold_duration;
use serde::Serialize;

use crate::cli::OutputFormat;
use crate::error::CtlError;
use crate::store::{to_json, CtlResult};

/// A call that is held back, as listed.
#[derive(Debug, Serialize)]
struct HeldCall {
    /// Identity of the call, `call=` in the daemons' logs.
    call: String,
    /// Number of targets that crashed while running it.
    ends: usize,
    /// Seconds since the last of these crashes.
    last_end_ago_s: u64,
    /// Seconds until a daemon may probe it; 0 if one may now.
    tried_in_s: u64,
}

impl HeldCall {
    fn from_row(row: &HeldRow, clock: &ClockReading) -> HeldCall {
        let record = row.to_record(clock);
        let hold = hold_duration(record.strikes(), 0.0);
        let age = record
            .crashes()
            .last()
            .map(|crash| clock.now.saturating_duration_since(crash.ended))
            .unwrap_or_default();
        HeldCall {
            call: row.call.to_string(),
            ends: record.crashes().count(),
            last_end_ago_s: age.as_secs(),
            tried_in_s: hold.saturating_sub(age).as_secs(),
        }
    }
}

/// Lists the calls that are held back.
pub(super) async fn list(store: &StoreClient, output: OutputFormat) -> CtlResult<()> {
    let batch = store
        .read_table(HOSTS_TABLE)
        .await
        .change_context(CtlError::Platform)?;
    let clock = SystemClock.reading();
    let held: Vec<HeldCall> = batch
        .rows
        .iter()
        .filter_map(|row| HeldRow::decode(row).ok().flatten())
        .filter(|row| row.to_record(&clock).is_held())
        .map(|row| HeldCall::from_row(&row, &clock))
        .collect();
    if output == OutputFormat::Json {
        println!("{}", to_json(&held)?);
        return Ok(());
    }
    if held.is_empty() {
        println!("no call is held back");
        return Ok(());
    }
    println!(
        "{:<32} {:>5} {:>12} {:>9}",
        "call", "ends", "last end", "tried in"
    );
    for call in held {
        println!(
            "{:<32} {:>5} {:>8} s ago {:>7} s",
            call.call, call.ends, call.last_end_ago_s, call.tried_in_s
        );
    }
    Ok(())
}

/// Releases a call, for instance because its targets are fixed or it was held back by
/// mistake.
pub(super) async fn release(store: &StoreClient, call: CallIdentity) -> CtlResult<()> {
    let row = HeldRow::released(call, &SystemClock.reading());
    let edit = RowEdit {
        table: HOSTS_TABLE,
        key: &held_row_key(call),
        value: Some(row.value()),
    };
    store
        .edit_rows(&[edit])
        .await
        .change_context(CtlError::Platform)?;
    println!("call {call} is released; the daemons learn of it from the store");
    Ok(())
}
