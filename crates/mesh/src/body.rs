//! Bodies of calls and answers, streamed through the daemon.

mod link;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use filbert_policy::call_limits::AnswerDeadline;
use filbert_policy::clock::Clock;
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit};
use tokio::task::JoinHandle;

use crate::answer_buffer::{AnswerBuffer, BufferShare};
use crate::links::STREAM_WINDOW;
use crate::target::RunBody;
pub use link::{next_data, LinkBody};

/// Why a body ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyTruncated {
    /// Its sender broke it off, or sent what is no body.
    BrokenOff,
    /// The call's deadline passed.
    AtDeadline,
}

/// A call's body.
#[derive(Debug)]
pub enum CallBody {
    /// The complete body. A call with such a body can be sent again.
    Whole(Bytes),
    /// A body that is forwarded while it is read. A call with such a body is
    /// sent only once.
    Streamed(BodySource),
}

impl CallBody {
    /// Length of what is buffered of the body, in bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> u64 {
        match self {
            CallBody::Whole(body) => body.len() as u64,
            CallBody::Streamed(_) => 0,
        }
    }
}

/// Source of the data of a streamed call body.
#[derive(Debug)]
pub enum BodySource {
    /// A client connected to this daemon. An empty buffer marks the end of the body.
    Client(mpsc::Receiver<Bytes>),
    /// Another daemon, over the link to it.
    Link(LinkBody),
}

impl BodySource {
    /// Reads the next data; `None` at the end of the body.
    ///
    /// # Errors
    /// [`BodyTruncated`] if the client's channel closes without the empty buffer that
    /// marks the end, or if the link's stream ends early.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        match self {
            BodySource::Client(queue) => match queue.recv().await {
                Some(data) if data.is_empty() => Ok(None),
                Some(data) => Ok(Some(data)),
                None => Err(BodyTruncated::BrokenOff),
            },
            BodySource::Link(body) => body.next().await,
        }
    }
}

/// An answer's body.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// Streamed from the target on this host.
    Run(Box<RunBody>),
    /// Read from the target on this host into a buffer.
    Buffered(BufferedBody),
    /// Streamed from another daemon.
    Link(Box<LinkBody>),
    /// The data read so far, and the body that the rest is read from.
    Partial(Vec<Bytes>, Box<AnswerBody>),
}

impl AnswerBody {
    /// Reads the next data; `None` at the end of the body.
    ///
    /// # Errors
    /// [`BodyTruncated`] if the body ended early.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        match self {
            AnswerBody::Whole(body) => {
                let data = std::mem::take(body);
                Ok((!data.is_empty()).then_some(data))
            }
            AnswerBody::Run(body) => body.next().await,
            AnswerBody::Buffered(body) => body.next().await,
            AnswerBody::Link(body) => body.next().await,
            AnswerBody::Partial(parts, rest) => {
                if parts.is_empty() {
                    Box::pin(rest.next()).await
                } else {
                    Ok(Some(parts.remove(0)))
                }
            }
        }
    }

    /// Time until which the body is sent on to a client that may be idle for `idle_timeout`.
    /// While it is read from the target it holds a slot there, which a slow client must not
    /// keep beyond the deadline.
    #[must_use]
    pub fn send_until(&self, deadline: AnswerDeadline, idle_timeout: Duration) -> Instant {
        match self {
            AnswerBody::Run(_) => deadline.slot_until(),
            AnswerBody::Partial(_, rest) => rest.send_until(deadline, idle_timeout),
            AnswerBody::Whole(_) | AnswerBody::Buffered(_) | AnswerBody::Link(_) => {
                deadline.send_until(idle_timeout)
            }
        }
    }

    /// Memory that the body may take on this host while it is not read, in bytes; besides
    /// that of [`BufferedBody`], which has a limit of its own.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        match self {
            AnswerBody::Whole(body) => body.len() as u64,
            AnswerBody::Run(_) | AnswerBody::Buffered(_) => 0,
            AnswerBody::Link(_) => u64::from(STREAM_WINDOW),
            AnswerBody::Partial(parts, rest) => {
                let buffered: usize = parts.iter().map(Bytes::len).sum();
                buffered as u64 + rest.held_bytes()
            }
        }
    }

    /// What the body holds of the buffer for answers; `None` if it is not buffered.
    #[must_use]
    pub fn buffer_share(&self) -> Option<Rc<BufferShare>> {
        match self {
            AnswerBody::Buffered(body) => Some(Rc::clone(&body.share)),
            AnswerBody::Partial(_, rest) => rest.buffer_share(),
            AnswerBody::Whole(_) | AnswerBody::Run(_) | AnswerBody::Link(_) => None,
        }
    }

    /// Returns when the body has ended early, though not all of what came before has been
    /// taken. Cancel safe; to be polled while nothing is read.
    pub async fn cut(&mut self) -> BodyTruncated {
        match self {
            AnswerBody::Buffered(body) => body.cut().await,
            AnswerBody::Link(body) => body.cut().await,
            AnswerBody::Partial(_, rest) => Box::pin(rest.cut()).await,
            AnswerBody::Whole(_) | AnswerBody::Run(_) => std::future::pending().await,
        }
    }

    /// Reads ahead until the body is complete or more than `max_bytes` are
    /// buffered. If the body is truncated before that, nothing of the answer has been
    /// forwarded, and a repeatable call can be retried.
    ///
    /// # Errors
    /// [`BodyTruncated`] if the body ended early.
    pub async fn read_ahead(mut self, max_bytes: usize) -> Result<AnswerBody, BodyTruncated> {
        let mut parts = Vec::new();
        let mut buffered = 0;
        while buffered <= max_bytes {
            match self.next().await? {
                Some(data) => {
                    buffered += data.len();
                    parts.push(data);
                }
                None => return Ok(AnswerBody::Whole(concat(parts))),
            }
        }
        Ok(AnswerBody::Partial(parts, Box::new(self)))
    }
}

/// Buffered data and the permit for its share of the buffer.
type BufferedData = (Bytes, OwnedSemaphorePermit);

/// An answer's body that is read from the target as fast as the target sends it,
/// however slowly the body is forwarded to the client.
///
/// This frees the target's slot as soon as the target has finished. Without it,
/// answers that waited for a slow link held their slots: with nine slots and
/// answers of 90 KB on 7.5 Mbit/s, each run seemed to take two to five seconds,
/// and calls with short answers were declined while the target was idle.
pub struct BufferedBody {
    queue: mpsc::UnboundedReceiver<Result<BufferedData, BodyTruncated>>,
    reader: JoinHandle<()>,
    share: Rc<BufferShare>,
    clock: Rc<dyn Clock>,
    /// Whether the deadline has passed before the target had sent all. What is buffered is
    /// not sent on then: the answer cannot be complete.
    is_cut: watch::Receiver<bool>,
}

impl BufferedBody {
    /// Starts to read `body`. Reading pauses while `buffer` has no room.
    #[must_use]
    pub fn start(
        mut body: Box<RunBody>,
        buffer: &Rc<AnswerBuffer>,
        clock: &Rc<dyn Clock>,
    ) -> BufferedBody {
        let (sender, queue) = mpsc::unbounded_channel();
        let share = buffer.share();
        let reader_share = Rc::clone(&share);
        let buffer = Rc::clone(buffer);
        let (cut, is_cut) = watch::channel(false);
        let reader = tokio::task::spawn_local(async move {
            loop {
                let item = match body.next().await {
                    Ok(Some(data)) => {
                        let permit = buffer.reserve(data.len());
                        let until = body.deadline().read_until();
                        match tokio::time::timeout_at(until.into(), permit).await {
                            Ok(Some(permit)) => {
                                reader_share.record_written(data.len());
                                Ok((data, permit))
                            }
                            // The buffer is never closed.
                            Ok(None) => return,
                            Err(_) => Err(BodyTruncated::AtDeadline),
                        }
                    }
                    Ok(None) => return,
                    Err(error) => Err(error),
                };
                let is_last = item.is_err();
                if matches!(item, Err(BodyTruncated::AtDeadline)) {
                    cut.send_replace(true);
                }
                if sender.send(item).is_err() || is_last {
                    return;
                }
            }
        });
        BufferedBody {
            queue,
            reader,
            share,
            clock: Rc::clone(clock),
            is_cut,
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        let next = self.queue.recv().await;
        if *self.is_cut.borrow() {
            return Err(BodyTruncated::AtDeadline);
        }
        match next {
            Some(Ok((data, _permit))) => {
                self.share.record_read(data.len(), self.clock.now());
                Ok(Some(data))
            }
            Some(Err(error)) => Err(error),
            None => Ok(None),
        }
    }

    /// Returns when the deadline has passed before the target had sent all.
    async fn cut(&mut self) -> BodyTruncated {
        // The sender is dropped when all has been read.
        if self.is_cut.wait_for(|is_cut| *is_cut).await.is_err() {
            std::future::pending::<()>().await;
        }
        BodyTruncated::AtDeadline
    }
}

impl std::fmt::Debug for BufferedBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("BufferedBody")
            .field("share", &self.share)
            .finish_non_exhaustive()
    }
}

/// Waits until the answer that holds `share` of a buffer is to end; forever without a share.
pub async fn buffer_ended(share: Option<Rc<BufferShare>>) {
    match share {
        Some(share) if share.ended().await => {}
        _ => std::future::pending().await,
    }
}

impl Drop for BufferedBody {
    /// Closes the connection to the target, so that the target stops a run whose
    /// client has disconnected.
    fn drop(&mut self) {
        self.reader.abort();
        self.share.release();
    }
}

fn concat(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.remove(0);
    }
    let mut joined = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
    for data in parts {
        joined.extend_from_slice(&data);
    }
    joined.freeze()
}
