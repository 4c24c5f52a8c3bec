//! Brings configuration and membership from the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use filbert_platform::store::{
    FeedAnswer, RowBatch, StoreError, StoreRow, CONFIG_KEY, OPERATOR_TABLE,
};
use rand::Rng;

use crate::messages::PeerAddress;
use crate::state::MeshShared;

/// The table in which daemons say where they are, a row a host.
pub const HOSTS_TABLE: &str = "filbert-hosts";
/// How long the configuration's feed waits for a change before it answers with
/// none.
///
/// Guards against a store that fell silent: a call made then is never
/// answered, also after the store's return, and looks the same as one that
/// waits. A version must be in force two seconds after it was accepted, so the
/// silence has to show about as soon. (With 25 s, ten daemons had the version
/// of before the silence for 14 s.)
const CONFIGURATION_WAIT: Duration = Duration::from_secs(2);
/// The same for the members' feed. It is read anew when the other feed finds
/// the store back, and new hosts say hello besides.
const MEMBERSHIP_WAIT: Duration = Duration::from_secs(25);
/// Pause after a change before the next is asked for. Changes come in storms
/// (a version each 0.2 s, or all hosts at once at a start); read one by one,
/// each costs every daemon a call: with the pause a quiet day of twelve hosts
/// with such a storm makes 393 calls in place of 588. The first of a storm is
/// not delayed, the last by half a second at most.
const GATHER: Duration = Duration::from_millis(500);
/// Pauses while the store gives no answer: the first and the longest. With a
/// call that is given up after a second, its return shows within 1.5 s.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// What a feed is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FeedSubject {
    Configuration,
    Membership,
}

impl FeedSubject {
    fn wait(self) -> Duration {
        match self {
            FeedSubject::Configuration => CONFIGURATION_WAIT,
            FeedSubject::Membership => MEMBERSHIP_WAIT,
        }
    }

    fn label(self) -> &'static str {
        match self {
            FeedSubject::Configuration => "configuration",
            FeedSubject::Membership => "membership",
        }
    }

    fn table(self) -> &'static str {
        match self {
            FeedSubject::Configuration => OPERATOR_TABLE,
            FeedSubject::Membership => HOSTS_TABLE,
        }
    }
}

/// Follows the operator's configuration. Runs for ever.
pub async fn follow_configuration(shared: Rc<MeshShared>) {
    follow(shared, FeedSubject::Configuration).await;
}

/// Follows the members and keeps this daemon's own row there. Runs for ever.
pub async fn follow_members(shared: Rc<MeshShared>) {
    follow(shared, FeedSubject::Membership).await;
}

async fn follow(shared: Rc<MeshShared>, subject: FeedSubject) {
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    let mut position = None;
    loop {
        match step(&shared, subject, position).await {
            Ok((next, has_changed)) => {
                shared.metrics.store_call(subject.label(), "answered");
                if is_lost {
                    log::info!("event=store_regained subject={subject:?}");
                    is_lost = false;
                    shared.store_returned.notify_waiters();
                }
                pause = FIRST_PAUSE;
                position = next;
                if has_changed {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(report) => {
                shared.metrics.store_call(subject.label(), "failed");
                if !is_lost {
                    let cause = report.current_context();
                    log::warn!("event=store_lost subject={subject:?} error=\"{cause}\"");
                    is_lost = true;
                }
                let spread = rand::rng().random_range(0.6..1.0);
                tokio::time::sleep(pause.mul_f64(spread)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                // Rows may have vanished without a trace in the history while
                // the store was away, so the table is read anew. A plain read
                // also shows the store's return sooner than a call that waits.
                position = None;
            }
        }
    }
}

/// One call to the store; the position from which to go on, `None` to read
/// the table anew, and whether something had changed.
async fn step(
    shared: &Rc<MeshShared>,
    subject: FeedSubject,
    position: Option<u64>,
) -> Result<(Option<u64>, bool), Report<StoreError>> {
    let Some(position) = position else {
        let batch = shared.store.read_table(subject.table()).await?;
        let version = batch.version;
        take_table(shared, subject, batch).await?;
        return Ok((Some(version), true));
    };
    let watch = shared
        .store
        .watch_table(subject.table(), position, subject.wait());
    let answer = tokio::select! {
        answer = watch => answer?,
        // Guards against a row that vanished while the store was away for the
        // other feed only, as when this one's call hung all the while: it
        // would be missed for as long as the call waits.
        () = shared.store_returned.notified(), if subject == FeedSubject::Membership => {
            return Ok((None, false));
        }
    };
    match answer {
        FeedAnswer::HistoryGone => {
            log::info!("event=store_history_gone subject={subject:?} position={position}");
            Ok((None, false))
        }
        FeedAnswer::Changes(batch) => {
            let version = batch.version.max(position);
            let has_changed = !batch.rows.is_empty();
            for row in batch.rows {
                take_change(shared, subject, row).await?;
            }
            Ok((Some(version), has_changed))
        }
    }
}

async fn take_table(
    shared: &Rc<MeshShared>,
    subject: FeedSubject,
    batch: RowBatch,
) -> Result<(), Report<StoreError>> {
    match subject {
        FeedSubject::Configuration => {
            for row in batch.rows {
                take_configuration(shared, row);
            }
            Ok(())
        }
        FeedSubject::Membership => {
            let own = shared.own_address();
            let known = shared.peers.addresses();
            let listed: Vec<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
            for gone in known
                .iter()
                .filter(|peer| !listed.contains(&peer.id.as_str()))
            {
                shared.peers.forget(&gone.id);
            }
            let mut is_own_right = false;
            for row in batch.rows {
                let Some(address) = decode_member(&row) else {
                    continue;
                };
                if address.id == own.id {
                    is_own_right = address == own;
                } else {
                    shared.learn_peer(address, "store");
                }
            }
            if !is_own_right {
                write_own_row(shared).await?;
            }
            shared.knows_members.set(true);
            Ok(())
        }
    }
}

async fn take_change(
    shared: &Rc<MeshShared>,
    subject: FeedSubject,
    row: StoreRow,
) -> Result<(), Report<StoreError>> {
    match subject {
        FeedSubject::Configuration => {
            take_configuration(shared, row);
            Ok(())
        }
        FeedSubject::Membership => {
            let own = shared.own_address();
            match decode_member(&row) {
                Some(address) if address == own => Ok(()),
                Some(address) if address.id != own.id => {
                    shared.learn_peer(address, "store");
                    Ok(())
                }
                // This daemon's row vanished or is wrong: it is written back.
                _ if row.key == own.id => write_own_row(shared).await,
                _ => {
                    shared.peers.forget(&row.key);
                    Ok(())
                }
            }
        }
    }
}

fn take_configuration(shared: &Rc<MeshShared>, row: StoreRow) {
    if row.key != CONFIG_KEY {
        return;
    }
    match row.value {
        Some(value) => shared.offer_version(&Bytes::from(value), "store"),
        None => log::error!("event=configuration_missing"),
    }
}

async fn write_own_row(shared: &Rc<MeshShared>) -> Result<(), Report<StoreError>> {
    let own = shared.own_address();
    let value = bincode::serde::encode_to_vec(&own, bincode::config::standard())
        .expect("an address always encodes");
    shared.store.put_row(HOSTS_TABLE, &own.id, &value).await?;
    log::info!("event=own_row_written host={}", own.id);
    Ok(())
}

/// The daemon that a row of [`HOSTS_TABLE`] names.
#[must_use]
pub fn decode_member(row: &StoreRow) -> Option<PeerAddress> {
    let value = row.value.as_ref()?;
    match bincode::serde::decode_from_slice(value, bincode::config::standard()) {
        Ok((address, _)) => Some(address),
        Err(error) => {
            log::error!(
                "event=member_row_malformed key={} error=\"{error}\"",
                row.key
            );
            None
        }
    }
}
