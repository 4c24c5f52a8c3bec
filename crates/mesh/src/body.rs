//! Bodies on their way through the daemon, piece by piece.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;

use crate::peers::LinkGuard;
use crate::target::RunBody;

/// The sender of a body went away before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBroken;

/// A call's body.
#[derive(Debug)]
pub enum CallBody {
    /// All of it. Such a call can be sent again.
    Whole(Bytes),
    /// The start, and where the rest comes from. Its call is sent once.
    Pieces(PieceSource),
}

/// Where the pieces of a body come from.
#[derive(Debug)]
pub enum PieceSource {
    /// A client on this host.
    Client(mpsc::Receiver<Bytes>),
    /// Another daemon.
    Link(LinkBody),
}

impl PieceSource {
    /// The next piece; `None` at the end.
    ///
    /// # Errors
    /// [`BodyBroken`] when the sender went away. (A client's pieces end with
    /// an empty one; a channel that closes without was broken off.)
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        match self {
            PieceSource::Client(pieces) => match pieces.recv().await {
                Some(piece) if piece.is_empty() => Ok(None),
                Some(piece) => Ok(Some(piece)),
                None => Err(BodyBroken),
            },
            PieceSource::Link(body) => body.next().await,
        }
    }
}

/// A body that comes over a link.
#[derive(Debug)]
pub struct LinkBody {
    stream: RecvStream,
    ahead: Bytes,
    /// Keeps the link open until the body was read.
    link_guard: Option<LinkGuard>,
}

impl LinkBody {
    /// The rest of `stream`, behind what was read `ahead`.
    #[must_use]
    pub fn new(stream: RecvStream, ahead: BytesMut) -> LinkBody {
        LinkBody {
            stream,
            ahead: ahead.freeze(),
            link_guard: None,
        }
    }

    /// The same, holding the link that it comes over.
    #[must_use]
    pub fn holding(self, link_guard: LinkGuard) -> LinkBody {
        LinkBody {
            link_guard: Some(link_guard),
            ..self
        }
    }

    /// The next piece; `None` at the end.
    ///
    /// # Errors
    /// [`BodyBroken`] when the other daemon broke it off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        if !self.ahead.is_empty() {
            return Ok(Some(std::mem::take(&mut self.ahead)));
        }
        match next_data(&mut self.stream).await {
            Some(Ok(piece)) => {
                if let Some(link) = &self.link_guard {
                    link.record_received();
                }
                Ok(Some(piece))
            }
            Some(Err(_)) => Err(BodyBroken),
            None => Ok(None),
        }
    }
}

/// Reads the next bytes of a stream and gives their window back.
///
/// Guards against an answer that seems to end twice: the frame that ends a
/// stream is often empty, and an empty piece written as a chunk is the mark of
/// a body's end. The client would find the real mark in front of its next
/// answer.
pub async fn next_data(stream: &mut RecvStream) -> Option<Result<Bytes, h2::Error>> {
    loop {
        let piece = match stream.data().await? {
            Ok(piece) => piece,
            Err(error) => return Some(Err(error)),
        };
        if let Err(error) = stream.flow_control().release_capacity(piece.len()) {
            return Some(Err(error));
        }
        if !piece.is_empty() {
            return Some(Ok(piece));
        }
    }
}

/// An answer's body.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// From the target beside this daemon.
    Run(Box<RunBody>),
    /// From the target beside this daemon, read ahead of its taker.
    Ahead(AheadBody),
    /// From another daemon.
    Link(LinkBody),
    /// Some of it, and where the rest comes from.
    Begun(Vec<Bytes>, Box<AnswerBody>),
}

impl AnswerBody {
    /// The next piece; `None` at the end.
    ///
    /// # Errors
    /// [`BodyBroken`] when the body was cut short.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        match self {
            AnswerBody::Whole(body) => {
                let piece = std::mem::take(body);
                Ok((!piece.is_empty()).then_some(piece))
            }
            AnswerBody::Run(body) => body.next().await,
            AnswerBody::Ahead(body) => body.next().await,
            AnswerBody::Link(body) => body.next().await,
            AnswerBody::Begun(pieces, rest) => {
                if pieces.is_empty() {
                    Box::pin(rest.next()).await
                } else {
                    Ok(Some(pieces.remove(0)))
                }
            }
        }
    }

    /// Reads up to `most` bytes ahead. An answer that is whole by then can
    /// still be replaced by another attempt's if it breaks.
    ///
    /// # Errors
    /// [`BodyBroken`] when the body was cut short.
    pub async fn read_ahead(mut self, most: usize) -> Result<AnswerBody, BodyBroken> {
        let mut pieces = Vec::new();
        let mut held = 0;
        while held <= most {
            match self.next().await? {
                Some(piece) => {
                    held += piece.len();
                    pieces.push(piece);
                }
                None => return Ok(AnswerBody::Whole(join(pieces))),
            }
        }
        Ok(AnswerBody::Begun(pieces, Box::new(self)))
    }
}

/// Bytes of answers that a daemon holds ahead of their takers at most, in KiB.
/// A slow link of 7.5 Mbit/s works them off in some 17 s; the smallest hosts
/// give their daemon 88 MB.
pub const MOST_AHEAD_KIB: usize = 16 * 1024;

/// A piece read ahead, and its share of the room for such pieces.
type HeldPiece = (Bytes, OwnedSemaphorePermit);

/// The body of an answer that is read from its target as fast as that gives
/// it, whatever the pace at which it leaves.
///
/// Guards against slots that are held while answers wait for a slow link: with
/// nine slots and answers of 90 KB on 7.5 Mbit/s, each run seemed to take two
/// to five seconds, and calls with short answers were turned away beside a
/// target that had nothing to do.
#[derive(Debug)]
pub struct AheadBody {
    pieces: mpsc::UnboundedReceiver<Result<HeldPiece, BodyBroken>>,
    reader: JoinHandle<()>,
}

impl AheadBody {
    /// Reads `body` ahead, as far as `room` (in KiB) has room.
    #[must_use]
    pub fn start(mut body: Box<RunBody>, room: &Arc<Semaphore>) -> AheadBody {
        const KIB: usize = 1024;
        let (sender, pieces) = mpsc::unbounded_channel();
        let room = Arc::clone(room);
        let reader = tokio::task::spawn_local(async move {
            loop {
                let held = match body.next().await {
                    Ok(Some(piece)) => {
                        let share = u32::try_from(piece.len().div_ceil(KIB)).unwrap_or(u32::MAX);
                        // The room is never closed.
                        let Ok(share) = Arc::clone(&room).acquire_many_owned(share).await else {
                            return;
                        };
                        Ok((piece, share))
                    }
                    Ok(None) => return,
                    Err(broken) => Err(broken),
                };
                let is_end = held.is_err();
                if sender.send(held).is_err() || is_end {
                    return;
                }
            }
        });
        AheadBody { pieces, reader }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        match self.pieces.recv().await {
            Some(Ok((piece, _share))) => Ok(Some(piece)),
            Some(Err(broken)) => Err(broken),
            None => Ok(None),
        }
    }
}

impl Drop for AheadBody {
    /// Guards against work for a caller that has left: the target's connection
    /// closes, and the target drops the run.
    fn drop(&mut self) {
        self.reader.abort();
    }
}

fn join(mut pieces: Vec<Bytes>) -> Bytes {
    if pieces.len() == 1 {
        return pieces.remove(0);
    }
    let mut whole = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
    for piece in pieces {
        whole.extend_from_slice(&piece);
    }
    whole.freeze()
}
