//! Limit on the links whose peers have not sent a message yet.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use filbert_policy::client_budget::{FIRST_MESSAGE_TIMEOUT_STEP, FIRST_MESSAGE_TIMEOUT_STEPS};
use tokio::sync::oneshot;

/// Whether a link's first message has come.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstMessage(Arc<AtomicBool>);

impl FirstMessage {
    /// Records that it has.
    pub(super) fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn has_come(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The links that have been accepted and whose peers have not sent a message, oldest first.
#[derive(Debug)]
pub(super) struct PendingLinks {
    max: usize,
    links: VecDeque<(FirstMessage, oneshot::Sender<()>)>,
}

impl PendingLinks {
    /// No links, of which at most `max` may be pending.
    pub(super) fn new(max: usize) -> PendingLinks {
        PendingLinks {
            max,
            links: VecDeque::new(),
        }
    }

    /// Adds a link. The oldest is rejected if there are too many. Returns where to record the
    /// first message, and a future that resolves if the link is rejected or its first message
    /// is late.
    pub(super) fn add(&mut self) -> (FirstMessage, impl Future<Output = ()>) {
        self.links
            .retain(|(message, rejection)| !message.has_come() && !rejection.is_closed());
        if self.links.len() >= self.max {
            self.links.pop_front();
        }
        let message = FirstMessage::default();
        let (rejection, rejected) = oneshot::channel();
        self.links.push_back((message.clone(), rejection));
        (message.clone(), await_rejection(message, rejected))
    }
}

/// Waits until the sender of `rejected` is dropped, or the first message is late. Never
/// returns if the message comes.
async fn await_rejection(message: FirstMessage, rejected: oneshot::Receiver<()>) {
    let is_late = async {
        for _ in 0..FIRST_MESSAGE_TIMEOUT_STEPS {
            tokio::time::sleep(FIRST_MESSAGE_TIMEOUT_STEP).await;
        }
    };
    tokio::select! {
        _ = rejected => {}
        () = is_late => {}
    }
    if message.has_come() {
        std::future::pending::<()>().await;
    }
}
