//! State that the reader and the writer of a client's connection share, and the answers to
//! its calls in their order.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use filbert_policy::client_budget::RefusalPause;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::calls::ClientAnswer;
use crate::clients::CallCharge;
use crate::state::MeshShared;
use crate::stop::{ActiveCallGuard, StopPhase, UnusedConnection};

/// Answer to a call whose task panicked.
const BAD_GATEWAY: u16 = 502;

/// What an answer needs to know of its call.
pub(super) struct CallInfo {
    /// Value of the call's `Request-Id` header.
    pub(super) id: String,
    /// Whether the client speaks HTTP/1.1.
    pub(super) is_http11: bool,
    /// Whether the connection is closed behind the answer.
    pub(super) closes_connection: bool,
}

/// A call whose answer has not been written yet.
pub(super) struct PendingAnswer {
    pub(super) call: CallInfo,
    task: JoinHandle<ClientAnswer>,
    /// Memory of the call and its answer, until the answer is written.
    _charge: Option<Rc<CallCharge>>,
    _active_call_guard: ActiveCallGuard,
}

impl Drop for PendingAnswer {
    /// Aborts the task, which is still running only if the connection has ended
    /// before the answer was written.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// State shared by the reader and the writer of a connection.
pub(super) struct ConnectionState {
    /// Calls of which not even the head of the answer is written. As long as there is one,
    /// an answer can still announce that the connection is closed.
    pending: RefCell<VecDeque<PendingAnswer>>,
    /// Wakes the writer when a call has been added or the input was closed.
    call_added: Notify,
    /// Wakes the reader when an answer has been written.
    answer_written: Notify,
    /// Time at which the last head was read or the last answer was written.
    last_active: Cell<Instant>,
    /// Whether an answer is being written.
    is_writing: Cell<bool>,
    /// Whether no further call will be read.
    is_input_closed: Cell<bool>,
    /// How many of the connection's calls the daemon has refused.
    refusals: Cell<RefusalPause>,
    /// Phase of a planned stop in which the connection was opened.
    opened_in: StopPhase,
    /// Present until the first call.
    unused: Cell<Option<UnusedConnection>>,
}

impl ConnectionState {
    /// State of a connection that was just opened.
    pub(super) fn new(shared: &Rc<MeshShared>) -> ConnectionState {
        ConnectionState {
            pending: RefCell::default(),
            call_added: Notify::new(),
            answer_written: Notify::new(),
            last_active: Cell::new(shared.clock.now()),
            is_writing: Cell::new(false),
            is_input_closed: Cell::new(false),
            refusals: Cell::default(),
            opened_in: shared.stop.phase(),
            unused: Cell::new(Some(UnusedConnection::new(shared))),
        }
    }

    /// Spawns the task that produces the answer to a call, and queues the answer for the
    /// writer.
    pub(super) fn spawn_answer(
        &self,
        shared: &Rc<MeshShared>,
        call: CallInfo,
        charge: Option<Rc<CallCharge>>,
        answer: impl Future<Output = ClientAnswer> + 'static,
    ) {
        self.unused.take();
        let answer_charge = charge.clone();
        let charged_answer = async move {
            let answer = answer.await;
            if let Some(charge) = answer_charge {
                charge.add_answer(&answer);
            }
            answer
        };
        self.pending.borrow_mut().push_back(PendingAnswer {
            call,
            task: tokio::task::spawn_local(charged_answer),
            _charge: charge,
            _active_call_guard: ActiveCallGuard::new(shared),
        });
        self.call_added.notify_one();
    }

    /// Number of calls of which not even the head of the answer is written.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Whether no call is in progress, from its head to the end of its answer.
    pub(super) fn is_idle(&self) -> bool {
        self.pending_count() == 0 && !self.is_writing.get()
    }

    /// Time at which the last head was read or the last answer was written.
    pub(super) fn last_active(&self) -> Instant {
        self.last_active.get()
    }

    /// Records that a head was read or an answer was written.
    pub(super) fn record_activity(&self, now: Instant) {
        self.last_active.set(now);
    }

    /// Waits until an answer has been written.
    pub(super) async fn answer_written(&self) {
        self.answer_written.notified().await;
    }

    /// Whether the connection reads a further call in `phase` of a planned stop.
    ///
    /// A connection is closed once, when the stop begins to close connections. Clients that
    /// have nowhere else to go open another one then; it is kept while its calls can be
    /// served, as each close makes clients send pipelined calls again.
    pub(super) fn reads_next_call(&self, phase: StopPhase) -> bool {
        let closes = match phase {
            StopPhase::Serving | StopPhase::NotReady => false,
            StopPhase::Closing => self.opened_in < StopPhase::Closing,
            StopPhase::Ending => true,
        };
        // Some answer has to announce the close: that to the last call that was read.
        !closes || self.pending_count() == 0
    }

    /// Records whether an answer is one of the daemon itself.
    pub(super) fn record_refusal(&self, is_refusal: bool) {
        self.refusals.set(self.refusals.get().after(is_refusal));
    }

    /// Time for which a call is left unread that was sent ahead.
    pub(super) fn refusal_pause(&self) -> Duration {
        self.refusals.get().pause()
    }

    /// Records that no further call will be read. The last answer announces the close if
    /// its head has not been written.
    pub(super) fn close_input(&self) {
        self.is_input_closed.set(true);
        self.call_added.notify_one();
    }

    /// Waits for the answer to the next call. Returns `None` after the last one. The answer
    /// counts as being written until [`ConnectionState::finish_answer`].
    pub(super) async fn next_answer(&self) -> Option<(PendingAnswer, ClientAnswer)> {
        loop {
            if self.pending_count() > 0 {
                return Some(self.first_answer().await);
            }
            if self.is_input_closed.get() {
                return None;
            }
            self.call_added.notified().await;
        }
    }

    /// Waits for the answer to the first pending call. The call stays pending meanwhile, so
    /// that the reader knows that its answer can still announce the close.
    async fn first_answer(&self) -> (PendingAnswer, ClientAnswer) {
        let outcome = poll_fn(|context| match self.pending.borrow_mut().front_mut() {
            Some(first) => Pin::new(&mut first.task).poll(context),
            None => Poll::Pending,
        })
        .await;
        let first = self.pending.borrow_mut().pop_front();
        let mut first = first.expect("only the writer removes pending calls");
        self.is_writing.set(true);
        first.call.closes_connection |= self.is_input_closed.get() && self.pending_count() == 0;
        let answer = outcome.unwrap_or_else(|error| {
            let id = &first.call.id;
            log::error!("event=call_task_failed request={id} error=\"{error}\"");
            ClientAnswer::local(BAD_GATEWAY)
        });
        (first, answer)
    }

    /// Records that the answer from [`ConnectionState::next_answer`] was written.
    pub(super) fn finish_answer(&self, now: Instant) {
        self.is_writing.set(false);
        self.record_activity(now);
        self.answer_written.notify_one();
    }

    /// Aborts the calls that are still running: the client has disconnected, or writing an
    /// answer failed.
    pub(super) fn abort_calls(&self) {
        self.pending.borrow_mut().clear();
    }
}
