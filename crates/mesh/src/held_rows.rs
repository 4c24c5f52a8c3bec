//! Rows of the calls that are held back. They outlive daemons: when all end at
//! once, none is left that could tell the others.
//!
//! The rows stand in the table of hosts, which is read and followed anyway. The
//! few daemons that ask the store for the fleet write them; others, and
//! operators who let a call go, are heard through them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbert_platform::store::StoreRow;
use filbert_policy::clock::ClockReading;
use filbert_policy::identity::CallIdentity;
use filbert_policy::quarantine::{CallRecord, TargetCrash};
use serde::{Deserialize, Serialize};

use crate::messages::RowChange;
use crate::row_value;
use crate::state::MeshShared;

/// What the keys of these rows begin with; no host's name has a slash.
const KEY_PREFIX: &str = "held/";

/// A call that is held back, or was let go, as its row says it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// Which call.
    pub call: CallIdentity,
    /// The ends of targets under it.
    pub crashes: Vec<StoredCrash>,
    /// Unix millisecond at which it was let go, if it was.
    pub cleared_ms: Option<u64>,
}

/// A [`TargetCrash`] in wall time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    id: u64,
    began_ms: u64,
    ended_ms: u64,
}

/// Wall time of `at`, in Unix milliseconds.
fn wall_ms(at: Instant, clock: &ClockReading) -> u64 {
    let age = clock.now.saturating_duration_since(at);
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    clock.wall_ms().saturating_sub(age_ms)
}

/// The moment of a Unix millisecond; now when this host's clock is behind it.
fn moment_of(wall_ms: u64, clock: &ClockReading) -> Option<Instant> {
    let age_ms = clock.wall_ms().saturating_sub(wall_ms);
    clock.now.checked_sub(Duration::from_millis(age_ms))
}

impl HeldRow {
    /// The row of `call`.
    #[must_use]
    pub fn of(call: CallIdentity, record: &CallRecord, clock: &ClockReading) -> HeldRow {
        let stored_crash = |crash: &TargetCrash| StoredCrash {
            id: crash.id,
            began_ms: wall_ms(crash.began, clock),
            ended_ms: wall_ms(crash.ended, clock),
        };
        HeldRow {
            call,
            crashes: record.crashes().map(stored_crash).collect(),
            cleared_ms: record.cleared().map(|at| wall_ms(at, clock)),
        }
    }

    /// The row that lets `call` go.
    #[must_use]
    pub fn release(call: CallIdentity, clock: &ClockReading) -> HeldRow {
        HeldRow {
            call,
            crashes: Vec::new(),
            cleared_ms: Some(clock.wall_ms()),
        }
    }

    /// The row of `row`; `None` when it is another, or cannot be read.
    #[must_use]
    pub fn read(row: &StoreRow) -> Option<HeldRow> {
        if !is_held_key(&row.key) {
            return None;
        }
        let value = row.value.as_ref()?;
        match row_value::decode(value) {
            Ok(held) if is_own(&held, &row.key) => Some(held),
            _ => {
                log::warn!("event=held_row_malformed key={}", row.key);
                None
            }
        }
    }

    /// Its value.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        row_value::encode(self)
    }

    /// What it says.
    #[must_use]
    pub fn record(&self, clock: &ClockReading) -> CallRecord {
        let crash = |crash: &StoredCrash| {
            Some(TargetCrash {
                id: crash.id,
                began: moment_of(crash.began_ms, clock)?,
                ended: moment_of(crash.ended_ms, clock)?,
            })
        };
        let crashes = self.crashes.iter().filter_map(crash).collect();
        let cleared = self.cleared_ms.and_then(|ms| moment_of(ms, clock));
        CallRecord::new(crashes, cleared, None)
    }
}

/// Guards against a row by another writer whose bytes happen to decode.
fn is_own(held: &HeldRow, key: &str) -> bool {
    key_of(held.call) == key
}

/// The key of the row of `call`.
#[must_use]
pub fn key_of(call: CallIdentity) -> String {
    format!("{KEY_PREFIX}{call}")
}

/// Whether a row with `key` is of a call, not of a host.
#[must_use]
pub fn is_held_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

/// The rows that are in the table, as far as is known, and the marks in each.
pub type WrittenRows = BTreeMap<CallIdentity, usize>;

impl MeshShared {
    /// Takes over rows that were read.
    pub fn take_held_rows<'a>(&self, rows: impl Iterator<Item = &'a StoreRow>) {
        for row in rows.filter(|row| is_held_key(&row.key)) {
            let Some(held) = HeldRow::read(row) else {
                continue;
            };
            let is_remembered = self.quarantine.hear_row(&held);
            if !is_remembered && self.members.is_source() {
                self.members
                    .rows
                    .enqueue_change(RowChange::Remove(key_of(held.call)));
            }
        }
    }

    /// Has the rows of calls of which there is news written or removed, if this
    /// daemon asks the store for the fleet.
    pub(crate) fn see_to_held_rows(&self, calls: &[CallIdentity]) {
        if !self.members.is_source() {
            return;
        }
        for call in calls {
            if let Some(change) = self.quarantine.row_change(*call) {
                self.members.rows.enqueue_change(change);
            }
        }
    }
}

/// What is to become of the row of a call with `record`: it stands while the
/// call is held back.
#[must_use]
pub fn row_change(
    call: CallIdentity,
    record: &CallRecord,
    written: &mut WrittenRows,
    clock: &ClockReading,
) -> Option<RowChange> {
    if record.is_held() {
        let held = HeldRow::of(call, record, clock);
        let crashes = held.crashes.len();
        let is_news = written.insert(call, crashes) != Some(crashes);
        return is_news.then_some(RowChange::Hold(held));
    }
    let was_written = written.remove(&call).is_some();
    was_written.then(|| RowChange::Remove(key_of(call)))
}
