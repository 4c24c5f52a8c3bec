//! Shares the quarantine between daemons: this daemon's table of the calls that
//! were running as targets crashed, and the updates of it to and from others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::clock::Clock;
use filbert_policy::identity::CallIdentity;
use filbert_policy::quarantine::{
    is_expired, CallRecord, MergeOutcome, QuarantineState, QuarantineTable, TargetCrash,
};
use tokio::sync::Notify;

use crate::held_rows::{self, HeldRow, WrittenRows};
use crate::logging::{LinePriority, LogRateLimiter};
use crate::messages::{encode, AgedCrash, LinkMessage, RowChange, SuspectCall};
use crate::metrics::MeshMetrics;
use crate::state::MeshShared;

/// Delay in which updates are gathered into one message. A target that crashes
/// breaks off all its calls within a few milliseconds.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Number of daemons to which a first strike is sent: up to this many that linked
/// here, and as many to which this daemon linked. As each of them forwards it,
/// nearly all daemons receive it, and a daemon's cost does not grow with the fleet.
const GOSSIP_FANOUT: usize = 6;
/// Most calls that a message holds, and that its receiver reads. Bounds the message
/// when all targets of a zone end at the same moment.
const MAX_CALLS_PER_MESSAGE: usize = 128;

/// Daemons to which an update of a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Recipients {
    /// [`GOSSIP_FANOUT`] daemons, which forward it.
    Few,
    /// All linked daemons.
    All,
}

/// The daemon's quarantine table, with the updates that are still to be sent.
pub struct SharedQuarantine {
    table: RefCell<QuarantineTable>,
    clock: Rc<dyn Clock>,
    metrics: Rc<MeshMetrics>,
    log_limiter: LogRateLimiter,
    /// This daemon's random fraction, which spreads probes over the fleet.
    jitter: f64,
    /// Calls with updates to be sent.
    pending: RefCell<BTreeMap<CallIdentity, Recipients>>,
    has_pending: Notify,
    /// Rows of held calls that are in the store, as far as known.
    written_rows: RefCell<WrittenRows>,
    /// Whether any record was ever merged. On most daemons none ever is, so that
    /// queries can skip the table.
    is_used: Cell<bool>,
}

impl SharedQuarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(metrics: Rc<MeshMetrics>, clock: Rc<dyn Clock>) -> Rc<SharedQuarantine> {
        Rc::new(SharedQuarantine {
            table: RefCell::default(),
            log_limiter: LogRateLimiter::new(clock.now()),
            clock,
            metrics,
            jitter: rand::random(),
            pending: RefCell::default(),
            has_pending: Notify::new(),
            written_rows: RefCell::default(),
            is_used: Cell::new(false),
        })
    }

    /// Records that the local target crashed while it ran `call`, since `began`.
    /// Returns the crash for the reply to the daemon that sent the call.
    pub fn record_crash(&self, call: CallIdentity, began: Instant) -> AgedCrash {
        let now = self.clock.now();
        let crash = TargetCrash {
            id: rand::random(),
            began,
            ended: now,
        };
        self.merge_record(call, &CallRecord::from_crash(crash), "target");
        AgedCrash::from_crash(&crash, now)
    }

    /// Merges a crash that came with the reply to `call`.
    pub fn merge_crash(&self, call: CallIdentity, crash: AgedCrash) {
        if let Some(crash) = crash.to_crash(self.clock.now()) {
            self.merge_record(call, &CallRecord::from_crash(crash), "reply");
        }
    }

    /// Merges records of daemon `from`. A daemon that still counts crashes of a call
    /// that was cleared since is answered by a broadcast of the call.
    pub fn merge_suspects(&self, calls: &[SuspectCall], from: &str) {
        let now = self.clock.now();
        for suspect in calls.iter().take(MAX_CALLS_PER_MESSAGE) {
            let outcome = self.merge_record(suspect.call, &suspect.to_record(now), from);
            if outcome.is_sender_behind {
                self.queue_update(suspect.call, Recipients::All);
            }
        }
    }

    /// Merges a row of the store. Returns false, without a merge, if its record has
    /// expired.
    pub fn merge_row(&self, held: &HeldRow) -> bool {
        let record = held.to_record(&self.clock.reading());
        if is_expired(&record, self.clock.now()) {
            return false;
        }
        let crashes = held.crashes.len();
        self.written_rows.borrow_mut().insert(held.call, crashes);
        self.merge_record(held.call, &record, "store");
        true
    }

    /// Returns the change that brings the store's row of `call` up to date; `None`
    /// if there is none to make.
    #[must_use]
    pub fn row_change(&self, call: CallIdentity) -> Option<RowChange> {
        let table = self.table.borrow();
        let mut written_rows = self.written_rows.borrow_mut();
        let clock = self.clock.reading();
        held_rows::row_change(call, table.record(call)?, &mut written_rows, &clock)
    }

    /// Forgets which rows are in the store, as it may have lost them. Returns the
    /// suspects, whose rows may have to be written again.
    #[must_use]
    pub fn forget_written_rows(&self) -> Vec<CallIdentity> {
        self.written_rows.borrow_mut().clear();
        let table = self.table.borrow();
        table.suspects().into_iter().map(|(call, _)| call).collect()
    }

    /// Merges `record`, and queues an update for other daemons if it changed
    /// anything.
    fn merge_record(&self, call: CallIdentity, record: &CallRecord, from: &str) -> MergeOutcome {
        self.is_used.set(true);
        let now = self.clock.now();
        let outcome = self.table.borrow_mut().merge(call, record, now);
        if outcome.is_new {
            self.log_merge(call, outcome, from);
            let recipients = if outcome.needs_broadcast() {
                Recipients::All
            } else {
                Recipients::Few
            };
            self.queue_update(call, recipients);
        }
        outcome
    }

    fn log_merge(&self, call: CallIdentity, outcome: MergeOutcome, from: &str) {
        let MergeOutcome { before, now, .. } = outcome;
        if outcome.starts_hold() {
            self.metrics.record_quarantine_change("held");
            log::warn!("event=call_held call={call} strikes={now} from={from}");
        } else if now > before {
            self.metrics.record_quarantine_change("suspected");
            if self
                .log_limiter
                .allows(LinePriority::Notable, self.clock.now())
            {
                log::info!("event=call_suspected call={call} strikes={now} from={from}");
            }
        } else if now < before {
            self.log_cleared(call, before, from);
        }
    }

    fn log_cleared(&self, call: CallIdentity, strikes: u32, from: &str) {
        self.metrics.record_quarantine_change("cleared");
        if self
            .log_limiter
            .allows(LinePriority::Notable, self.clock.now())
        {
            log::info!("event=call_cleared call={call} strikes={strikes} from={from}");
        }
    }

    /// Records that a target ran `call` to a full answer, which clears it.
    pub fn record_success(&self, call: CallIdentity) {
        if !self.is_used.get() {
            return;
        }
        let mut table = self.table.borrow_mut();
        let needs_broadcast = table.is_suspect(call);
        let strikes = table.record_success(call, self.clock.now());
        if strikes > 0 {
            self.log_cleared(call, strikes, "target");
        }
        if needs_broadcast {
            self.queue_update(call, Recipients::All);
        }
    }

    /// Returns whether `call` may run now, is to be probed or is held.
    #[must_use]
    pub fn quarantine_state(&self, call: CallIdentity) -> QuarantineState {
        if !self.is_used.get() {
            return QuarantineState::Unrestricted;
        }
        let now = self.clock.now();
        self.table.borrow().quarantine_state(call, self.jitter, now)
    }

    /// Returns the time for which no daemon lets `call` run; zero if it is not held.
    #[must_use]
    pub fn remaining_hold(&self, call: CallIdentity) -> Duration {
        if !self.is_used.get() {
            return Duration::ZERO;
        }
        self.table.borrow().remaining_hold(call, self.clock.now())
    }

    /// Returns whether `call` is a suspect: daemons must not retry it by themselves.
    #[must_use]
    pub fn is_suspect(&self, call: CallIdentity) -> bool {
        self.is_used.get() && self.table.borrow().is_suspect(call)
    }

    /// Starts a probe of `call`, the only run of it in the fleet, and tells all
    /// daemons. The probe lasts until the permit is dropped.
    #[must_use]
    pub fn begin_probe(self: &Rc<Self>, call: CallIdentity) -> ProbePermit {
        self.table.borrow_mut().begin_probe(call, self.clock.now());
        self.queue_update(call, Recipients::All);
        if self
            .log_limiter
            .allows(LinePriority::Notable, self.clock.now())
        {
            log::info!("event=call_tried call={call}");
        }
        ProbePermit {
            quarantine: Rc::clone(self),
            call,
        }
    }

    /// Returns the number of calls that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.borrow().held(self.clock.now())
    }

    /// Queues an update of `call` for `recipients`, or for more of them if it is
    /// queued for more already.
    fn queue_update(&self, call: CallIdentity, recipients: Recipients) {
        let mut pending = self.pending.borrow_mut();
        let queued = pending.entry(call).or_insert(recipients);
        *queued = recipients.max(*queued);
        self.has_pending.notify_one();
    }

    /// Returns the message with the suspects of most strikes, for a daemon to which a
    /// link, in either direction, has just been made; `None` if there are no suspects.
    /// That daemon may have missed them, as it was not running or was cut off.
    #[must_use]
    pub fn suspects(&self) -> Option<LinkMessage> {
        let now = self.clock.now();
        let table = self.table.borrow();
        let calls: Vec<SuspectCall> = table
            .suspects()
            .into_iter()
            .take(MAX_CALLS_PER_MESSAGE)
            .map(|(call, record)| SuspectCall::from_record(call, record, now))
            .collect();
        (!calls.is_empty()).then_some(LinkMessage::Suspects(calls))
    }

    /// Takes the pending updates for `recipients` out of the queue, as many as one
    /// message may hold.
    fn take_pending(&self, recipients: Recipients) -> Vec<SuspectCall> {
        let now = self.clock.now();
        let table = self.table.borrow();
        let mut pending = self.pending.borrow_mut();
        let for_recipients = pending.iter().filter(|(_, queued)| **queued == recipients);
        let calls: Vec<CallIdentity> = for_recipients
            .map(|(call, _)| *call)
            .take(MAX_CALLS_PER_MESSAGE)
            .collect();
        for call in &calls {
            pending.remove(call);
        }
        if !pending.is_empty() {
            self.has_pending.notify_one();
        }
        calls
            .into_iter()
            .filter_map(|call| Some(SuspectCall::from_record(call, table.record(call)?, now)))
            .collect()
    }
}

/// A running probe of a suspect. Dropping the permit ends the probe.
pub struct ProbePermit {
    quarantine: Rc<SharedQuarantine>,
    call: CallIdentity,
}

impl Drop for ProbePermit {
    fn drop(&mut self) {
        self.quarantine.table.borrow_mut().end_probe(self.call);
    }
}

/// Sends pending updates to other daemons. Never returns.
pub async fn send_updates(shared: Rc<MeshShared>) {
    loop {
        shared.quarantine.has_pending.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        send_pending(&shared, Recipients::All, usize::MAX);
        send_pending(&shared, Recipients::Few, GOSSIP_FANOUT);
    }
}

/// Sends one message of pending updates for `recipients`, to at most `max_peers`
/// daemons over links in each direction. Also updates the rows in the store if the
/// message is for all.
fn send_pending(shared: &MeshShared, recipients: Recipients, max_peers: usize) {
    let calls = shared.quarantine.take_pending(recipients);
    if calls.is_empty() {
        return;
    }
    if recipients == Recipients::All {
        let updated: Vec<CallIdentity> = calls.iter().map(|suspect| suspect.call).collect();
        shared.update_held_rows(&updated);
    }
    let message = LinkMessage::Suspects(calls);
    shared
        .peers
        .broadcast_to_random(max_peers, &encode(&message));
    for peer in shared.peers.random_linked(max_peers) {
        // A peer whose link has just ended gets all suspects when it is up again.
        let _ = peer.send_message(message.clone());
    }
}
