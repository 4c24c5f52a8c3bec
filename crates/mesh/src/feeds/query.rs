//! One call of a feed to the store.

use std::rc::Rc;

use error_stack::Report;
use filbert_platform::store::{RowBatch, SnapshotTime, StoreError, StoreRow, WatchResponse};

use super::apply::{apply_partial_table, apply_row, apply_table, is_usable};
use super::{FeedState, FeedSubject};
use crate::state::MeshShared;

/// Makes one call to the store and applies the result. Returns the position
/// from which to go on, `None` to read the whole table, and whether anything
/// had changed. A call that is pending when the store moves is dropped: its
/// answer may come from an address that is no longer kept up to date.
pub(super) async fn query(
    shared: &Rc<MeshShared>,
    state: &mut FeedState,
) -> Result<(Option<u64>, bool), Report<StoreError>> {
    let address = shared.store.address();
    if state.address != address {
        state.address = address;
        state.position = None;
    }
    let moved = shared.store_move.done.notified();
    tokio::select! {
        result = query_address(shared, state) => result,
        () = moved => Ok((None, false)),
    }
}

/// Makes one call to the store at the address in force, like [`query`].
async fn query_address(
    shared: &Rc<MeshShared>,
    state: &mut FeedState,
) -> Result<(Option<u64>, bool), Report<StoreError>> {
    let subject = state.subject;
    log::info!(
        "event=store_asked subject={subject:?} is_new={} is_source={} failures={}",
        state.position.is_none(),
        shared.members.is_source(),
        state.backoff.failures()
    );
    let Some(position) = state.position else {
        let batch = read_table(shared, state).await?;
        let (version, snapshot_time) = (batch.version, batch.snapshot_time);
        apply_table(shared, subject, batch);
        confirm_version(shared, subject, snapshot_time);
        return Ok((Some(version), true));
    };
    let watch = shared
        .store
        .watch_table(subject.table(), position, subject.watch_timeout());
    let answer = tokio::select! {
        answer = watch => answer?,
        // A row may have lapsed while the store was unreachable for the other
        // feed only, for instance because this feed's call was pending all the
        // time. Without the abort, the change would be missed until the watch
        // times out.
        () = shared.store_returned.notified(), if subject == FeedSubject::Membership => {
            return Ok((None, false));
        }
    };
    if state.update_era(shared) {
        // The position in the earlier history may exist in the restored one
        // too, after rows that were lost or written since.
        return Ok((None, false));
    }
    match answer {
        WatchResponse::HistoryGone => {
            log::info!("event=store_history_gone subject={subject:?} position={position}");
            Ok((None, false))
        }
        WatchResponse::Changes(batch) => {
            let version = batch.version.max(position);
            let has_changed = batch.received > 0;
            for row in batch.rows {
                apply_row(shared, subject, row);
            }
            confirm_version(shared, subject, batch.snapshot_time);
            Ok((Some(version), has_changed))
        }
    }
}

/// Reads the whole table of a feed. The rows before a page that cannot be read are applied,
/// so that what stands in the table cannot keep a daemon from all hosts.
async fn read_table(
    shared: &Rc<MeshShared>,
    state: &mut FeedState,
) -> Result<RowBatch, Report<StoreError>> {
    let subject = state.subject;
    let keep = |row: &StoreRow| subject == FeedSubject::Configuration || is_usable(shared, row);
    let read = shared.store.read_table_rows(subject.table(), keep).await;
    state.update_era(shared);
    match read {
        Ok(batch) => {
            let (received, kept) = (batch.received, batch.rows.len());
            log::info!("event=table_read subject={subject:?} rows={received} kept={kept}");
            Ok(batch)
        }
        Err(partial) => {
            if !partial.rows.is_empty() {
                log::warn!("event=table_partly_read subject={subject:?} error=\"{partial}\"");
            }
            Err(apply_partial_table(shared, subject, partial))
        }
    }
}

/// Records that the version in force was the newest in the store at
/// `snapshot_time`.
fn confirm_version(shared: &MeshShared, subject: FeedSubject, snapshot_time: Option<SnapshotTime>) {
    if let (FeedSubject::Configuration, Some(snapshot_time)) = (subject, snapshot_time) {
        shared.record_store_confirmation(snapshot_time);
    }
}
