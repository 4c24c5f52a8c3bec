//! The calls held back because their targets ended: this daemon's book of
//! them, and what daemons tell each other of it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::clock::Clock;
use filbert_policy::identity::CallIdentity;
use filbert_policy::quarantine::{
    is_expired, CallRecord, MergeOutcome, QuarantineState, QuarantineTable, TargetCrash,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::held_rows::{self, HeldRow, WrittenRows};
use crate::logging::{LinePriority, LogRateLimiter};
use crate::messages::{encode, LinkMessage, RowChange};
use crate::metrics::MeshMetrics;
use crate::state::MeshShared;

/// Pause in which news gather: a target that ends takes all its calls with it
/// within a few milliseconds.
const GATHER: Duration = Duration::from_millis(20);
/// Daemons, each way, that are told of a first mark. As each passes it on,
/// nearly all hear of it, at the same cost in a fleet of any size.
const TOLD_OF_FIRST: usize = 6;
/// Calls in one message. Bounds what is told at a time when a zone's targets end
/// at one moment.
const MOST_TOLD: usize = 128;

/// A call that was at work as targets ended, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCall {
    /// Which call.
    pub call: CallIdentity,
    /// The ends that count.
    pub crashes: Vec<AgedCrash>,
    /// Milliseconds since it last ran well, if it did.
    pub cleared_ago_ms: Option<u64>,
    /// Milliseconds since a try went that has not ended.
    pub probe_started_ago_ms: Option<u64>,
}

/// A [`TargetCrash`] with ages in place of times: clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedCrash {
    id: u64,
    began_ago_ms: u64,
    ended_ago_ms: u64,
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// The time `age_ms` before `now`; `None` when that is before this host's start.
fn time_of(age_ms: u64, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}

impl AgedCrash {
    fn of(crash: &TargetCrash, now: Instant) -> AgedCrash {
        AgedCrash {
            id: crash.id,
            began_ago_ms: age_ms(crash.began, now),
            ended_ago_ms: age_ms(crash.ended, now),
        }
    }

    fn to_crash(self, now: Instant) -> Option<TargetCrash> {
        Some(TargetCrash {
            id: self.id,
            began: time_of(self.began_ago_ms, now)?,
            ended: time_of(self.ended_ago_ms, now)?,
        })
    }
}

impl SuspectCall {
    /// What `record` says of `call`, in ages at `now`.
    #[must_use]
    pub fn of(call: CallIdentity, record: &CallRecord, now: Instant) -> SuspectCall {
        SuspectCall {
            call,
            crashes: record
                .crashes()
                .map(|crash| AgedCrash::of(crash, now))
                .collect(),
            cleared_ago_ms: record.cleared().map(|at| age_ms(at, now)),
            probe_started_ago_ms: record.probe_started().map(|at| age_ms(at, now)),
        }
    }

    fn record(&self, now: Instant) -> CallRecord {
        let crashes = self.crashes.iter().filter_map(|crash| crash.to_crash(now));
        let cleared = self.cleared_ago_ms.and_then(|age| time_of(age, now));
        let probe_started = self.probe_started_ago_ms.and_then(|age| time_of(age, now));
        CallRecord::new(crashes.collect(), cleared, probe_started)
    }
}

/// Who is to hear of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ToldCircle {
    /// Some daemons, which pass it on.
    Few,
    /// All that are linked.
    All,
}

/// The book that the daemon's parts share.
pub struct SharedQuarantine {
    table: RefCell<QuarantineTable>,
    clock: Rc<dyn Clock>,
    metrics: Rc<MeshMetrics>,
    log_limiter: LogRateLimiter,
    /// A random fraction of this daemon's.
    jitter: f64,
    untold: RefCell<BTreeMap<CallIdentity, ToldCircle>>,
    has_untold: Notify,
    /// Rows of held calls in the store.
    written: RefCell<WrittenRows>,
    /// Whether anything was ever noted: most daemons never do.
    is_used: Cell<bool>,
}

impl SharedQuarantine {
    /// An empty book.
    #[must_use]
    pub fn new(metrics: Rc<MeshMetrics>, clock: Rc<dyn Clock>) -> Rc<SharedQuarantine> {
        Rc::new(SharedQuarantine {
            table: RefCell::default(),
            log_limiter: LogRateLimiter::new(clock.now()),
            clock,
            metrics,
            jitter: rand::random(),
            untold: RefCell::default(),
            has_untold: Notify::new(),
            written: RefCell::default(),
            is_used: Cell::new(false),
        })
    }

    /// Notes that the target beside this daemon ended while it ran `call`,
    /// begun at `began`; the mark for the call's own daemon.
    pub fn target_ended(&self, call: CallIdentity, began: Instant) -> AgedCrash {
        let now = self.clock.now();
        let crash = TargetCrash {
            id: rand::random(),
            began,
            ended: now,
        };
        self.note(call, &CallRecord::from_crash(crash), "target");
        AgedCrash::of(&crash, now)
    }

    /// Takes over the mark that came with the reply to `call`.
    pub fn hear_crash(&self, call: CallIdentity, crash: AgedCrash) {
        if let Some(crash) = crash.to_crash(self.clock.now()) {
            self.note(call, &CallRecord::from_crash(crash), "reply");
        }
    }

    /// Takes over what daemon `from` tells.
    pub fn hear(&self, calls: &[SuspectCall], from: &str) {
        let now = self.clock.now();
        for told in calls.iter().take(MOST_TOLD) {
            let change = self.note(told.call, &told.record(now), from);
            if change.is_sender_behind {
                self.tell(told.call, ToldCircle::All);
            }
        }
    }

    /// Takes over a row of the store, unless it is long over; whether it is not.
    pub fn hear_row(&self, held: &HeldRow) -> bool {
        let record = held.record(&self.clock.reading());
        if is_expired(&record, self.clock.now()) {
            return false;
        }
        let crashes = held.crashes.len();
        self.written.borrow_mut().insert(held.call, crashes);
        self.note(held.call, &record, "store");
        true
    }

    /// What is to become of the row of `call`, now that there is news of it.
    #[must_use]
    pub fn row_change(&self, call: CallIdentity) -> Option<RowChange> {
        let table = self.table.borrow();
        let mut written = self.written.borrow_mut();
        let clock = self.clock.reading();
        held_rows::row_change(call, table.record(call)?, &mut written, &clock)
    }

    /// Takes all rows for lost; the calls whose rows may have to be written again.
    #[must_use]
    pub fn forget_rows(&self) -> Vec<CallIdentity> {
        self.written.borrow_mut().clear();
        let table = self.table.borrow();
        table.suspects().into_iter().map(|(call, _)| call).collect()
    }

    fn note(&self, call: CallIdentity, record: &CallRecord, from: &str) -> MergeOutcome {
        self.is_used.set(true);
        let now = self.clock.now();
        let change = self.table.borrow_mut().merge(call, record, now);
        if change.is_new {
            self.say_change(call, change, from);
            let circle = if change.needs_broadcast() {
                ToldCircle::All
            } else {
                ToldCircle::Few
            };
            self.tell(call, circle);
        }
        change
    }

    fn say_change(&self, call: CallIdentity, change: MergeOutcome, from: &str) {
        let MergeOutcome { before, now, .. } = change;
        if change.starts_hold() {
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
            self.say_cleared(call, before, from);
        }
    }

    fn say_cleared(&self, call: CallIdentity, strikes: u32, from: &str) {
        self.metrics.record_quarantine_change("cleared");
        if self
            .log_limiter
            .allows(LinePriority::Notable, self.clock.now())
        {
            log::info!("event=call_cleared call={call} strikes={strikes} from={from}");
        }
    }

    /// Notes that a target ran `call` and answered in full.
    pub fn ran_well(&self, call: CallIdentity) {
        if !self.is_used.get() {
            return;
        }
        let mut table = self.table.borrow_mut();
        let needs_broadcast = table.is_suspect(call);
        let strikes = table.record_success(call, self.clock.now());
        if strikes > 0 {
            self.say_cleared(call, strikes, "target");
        }
        if needs_broadcast {
            self.tell(call, ToldCircle::All);
        }
    }

    /// What may be done with `call` here.
    #[must_use]
    pub fn quarantine_state(&self, call: CallIdentity) -> QuarantineState {
        if !self.is_used.get() {
            return QuarantineState::Unrestricted;
        }
        let now = self.clock.now();
        self.table.borrow().quarantine_state(call, self.jitter, now)
    }

    /// Time for which no daemon lets `call` go.
    #[must_use]
    pub fn remaining_hold(&self, call: CallIdentity) -> Duration {
        if !self.is_used.get() {
            return Duration::ZERO;
        }
        self.table.borrow().remaining_hold(call, self.clock.now())
    }

    /// Whether `call` is not to be sent to another target by itself.
    #[must_use]
    pub fn is_suspect(&self, call: CallIdentity) -> bool {
        self.is_used.get() && self.table.borrow().is_suspect(call)
    }

    /// Lets the one try of `call` go.
    #[must_use]
    pub fn begin_probe(self: &Rc<Self>, call: CallIdentity) -> ProbePermit {
        self.table.borrow_mut().begin_probe(call, self.clock.now());
        self.tell(call, ToldCircle::All);
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

    /// Calls held back now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.borrow().held(self.clock.now())
    }

    fn tell(&self, call: CallIdentity, circle: ToldCircle) {
        let mut untold = self.untold.borrow_mut();
        let wanted = untold.entry(call).or_insert(circle);
        *wanted = circle.max(*wanted);
        self.has_untold.notify_one();
    }

    /// What a daemon that has just linked here, or that was just linked to, is
    /// to know. It may have started later, or have been cut off.
    #[must_use]
    pub fn suspects(&self) -> Option<LinkMessage> {
        let now = self.clock.now();
        let table = self.table.borrow();
        let calls: Vec<SuspectCall> = table
            .suspects()
            .into_iter()
            .take(MOST_TOLD)
            .map(|(call, record)| SuspectCall::of(call, record, now))
            .collect();
        (!calls.is_empty()).then_some(LinkMessage::Suspects(calls))
    }

    /// Takes out what `circle` is to hear, as much as one message holds.
    fn take_untold(&self, circle: ToldCircle) -> Vec<SuspectCall> {
        let now = self.clock.now();
        let table = self.table.borrow();
        let mut untold = self.untold.borrow_mut();
        let of_circle = untold.iter().filter(|(_, wanted)| **wanted == circle);
        let calls: Vec<CallIdentity> = of_circle.map(|(call, _)| *call).take(MOST_TOLD).collect();
        for call in &calls {
            untold.remove(call);
        }
        if !untold.is_empty() {
            self.has_untold.notify_one();
        }
        calls
            .into_iter()
            .filter_map(|call| Some(SuspectCall::of(call, table.record(call)?, now)))
            .collect()
    }
}

/// The right of a suspect's one try; dropping it ends the try.
pub struct ProbePermit {
    quarantine: Rc<SharedQuarantine>,
    call: CallIdentity,
}

impl Drop for ProbePermit {
    fn drop(&mut self) {
        self.quarantine.table.borrow_mut().end_probe(self.call);
    }
}

/// Tells other daemons what is new. Runs for ever.
pub async fn keep_told(shared: Rc<MeshShared>) {
    loop {
        shared.quarantine.has_untold.notified().await;
        tokio::time::sleep(GATHER).await;
        tell(&shared, ToldCircle::All, usize::MAX);
        tell(&shared, ToldCircle::Few, TOLD_OF_FIRST);
    }
}

fn tell(shared: &MeshShared, circle: ToldCircle, most: usize) {
    let calls = shared.quarantine.take_untold(circle);
    if calls.is_empty() {
        return;
    }
    if circle == ToldCircle::All {
        let news: Vec<CallIdentity> = calls.iter().map(|told| told.call).collect();
        shared.see_to_held_rows(&news);
    }
    let message = LinkMessage::Suspects(calls);
    shared.peers.broadcast_to(most, &encode(&message));
    for peer in shared.peers.some_linked(most) {
        // A link that has ended by now is told of it when it is up again.
        let _ = peer.say(message.clone());
    }
}
