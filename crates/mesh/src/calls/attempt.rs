//! One attempt at a target: here, or over the link to its host.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use filbert_policy::admission::LinkTime;
use http::Request;

use super::pick::{Candidate, PickedTarget};
use crate::body::{next_data, AnswerBody, CallBody, LinkBody};
use crate::links::CALL_PATH;
use crate::messages::{encode, take, AnswerHead, CallHead, ReplyHead};
use crate::metrics::CrossZoneCause;
use crate::peers::{LinkUse, Peer};
use crate::serve_peers::send_piece;
use crate::state::MeshShared;

/// Bytes of an answer read before its head is passed on: while it is not,
/// a broken answer can still be replaced by another attempt's. Covers whole
/// answers of all but downloads.
const READ_AHEAD: usize = 32 * 1024;
/// A call without an answer for this long, over a link on which nothing else
/// came either, asks whether the link still works.
const DOUBT_AFTER: Duration = Duration::from_millis(150);

/// How one attempt ended.
pub(super) enum AttemptOutcome {
    /// With the target's answer.
    Answer {
        /// Its head.
        head: AnswerHead,
        /// Its body.
        body: AnswerBody,
        /// Time from the start of the run to the head.
        ran: Duration,
    },
    /// The target saw nothing.
    Declined {
        /// When room is expected there.
        room_in: Duration,
    },
    /// The target said that it did not run the call.
    Rejected,
    /// The call is held back, and the target saw nothing.
    HeldBack {
        /// How long.
        left: Duration,
    },
    /// The call may have run.
    Lost,
}

/// An attempt under way; dropping it cancels the call.
pub(super) struct RunningAttempt {
    /// The target's host.
    pub(super) host: String,
    end: Pin<Box<dyn Future<Output = AttemptOutcome>>>,
}

impl RunningAttempt {
    /// Waits for its end.
    pub(super) async fn end(&mut self) -> AttemptOutcome {
        (&mut self.end).await
    }
}

/// Sends a call to `target`.
pub(super) fn start(
    shared: &Rc<MeshShared>,
    target: &PickedTarget,
    head: &CallHead,
    body: CallBody,
) -> RunningAttempt {
    let candidate = target.candidate.clone();
    RunningAttempt {
        host: target.host.clone(),
        end: Box::pin(attempt(Rc::clone(shared), candidate, head.clone(), body)),
    }
}

/// The first of `running` that ends, with its host; it is taken out. Never when
/// there is none.
pub(super) async fn first_end(running: &mut Vec<RunningAttempt>) -> (String, AttemptOutcome) {
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready(outcome) = running[index].end.as_mut().poll(context) {
                let ended = running.swap_remove(index);
                return Poll::Ready((ended.host, outcome));
            }
        }
        Poll::Pending
    })
    .await
}

async fn attempt(
    shared: Rc<MeshShared>,
    candidate: Candidate,
    head: CallHead,
    body: CallBody,
) -> AttemptOutcome {
    let (reply, body) = match &candidate {
        Candidate::Here => shared.gate.run(&head, body, LinkTime::default()).await,
        Candidate::Peer(peer) => match run_at_peer(&shared, peer, &head, body).await {
            Ok((reply, body)) => {
                note_reply(peer, &reply);
                (reply, body)
            }
            Err(outcome) => return outcome,
        },
    };
    match reply {
        ReplyHead::Declined { room_us, .. } => AttemptOutcome::Declined {
            room_in: Duration::from_micros(room_us),
        },
        ReplyHead::Rejected { .. } => AttemptOutcome::Rejected,
        ReplyHead::HeldBack { left_us, .. } => AttemptOutcome::HeldBack {
            left: Duration::from_micros(left_us),
        },
        ReplyHead::Lost { ended, .. } => {
            if let Some(crash) = ended {
                shared.quarantine.hear_crash(head.identity, crash);
            }
            AttemptOutcome::Lost
        }
        ReplyHead::Answer { head, ran_us, .. } => match body.read_ahead(READ_AHEAD).await {
            Ok(body) => AttemptOutcome::Answer {
                head,
                body,
                ran: Duration::from_micros(ran_us),
            },
            Err(_) => AttemptOutcome::Lost,
        },
    }
}

fn cause_of(reply: &ReplyHead) -> CrossZoneCause {
    match reply {
        ReplyHead::Answer { .. } => CrossZoneCause::Answer,
        ReplyHead::Declined { .. }
        | ReplyHead::HeldBack { .. }
        | ReplyHead::Rejected { .. }
        | ReplyHead::Lost { .. } => CrossZoneCause::Refusal,
    }
}

fn note_reply(peer: &Peer, reply: &ReplyHead) {
    match reply {
        ReplyHead::Declined { closed: true, .. } => peer.mark_closed(),
        ReplyHead::Declined { load, .. }
        | ReplyHead::Rejected { load }
        | ReplyHead::HeldBack { load, .. }
        | ReplyHead::Lost { load, .. }
        | ReplyHead::Answer { load, .. } => peer.describe_load(*load),
    }
}

/// Sends a call over the link to `peer` and reads the head of the reply.
async fn run_at_peer(
    shared: &MeshShared,
    peer: &Rc<Peer>,
    head: &CallHead,
    body: CallBody,
) -> Result<(ReplyHead, AnswerBody), AttemptOutcome> {
    let not_sent = || AttemptOutcome::Declined {
        room_in: Duration::ZERO,
    };
    let link = peer.link.borrow().clone().ok_or_else(not_sent)?;
    let in_use = LinkUse::new(peer, &shared.clock);
    let mut link = link.ready().await.map_err(|_| not_sent())?;
    let request = Request::post(CALL_PATH).body(()).map_err(|_| not_sent())?;
    let (answer, mut outgoing) = link.send_request(request, false).map_err(|_| not_sent())?;
    peer.count_sent();
    let lost = |_| AttemptOutcome::Lost;
    let reply = async {
        let mut incoming = answer.await?.into_body();
        let mut buffer = BytesMut::new();
        loop {
            let unread = buffer.len();
            match take::<ReplyHead>(&mut buffer) {
                Ok(Some(reply)) => {
                    let length = match &reply {
                        ReplyHead::Answer { head, .. } => head.body_length.unwrap_or(0),
                        _ => 0,
                    };
                    let bytes = unread - buffer.len() + usize::try_from(length).unwrap_or(0);
                    shared.count_cross_zone_bytes(peer, cause_of(&reply), bytes);
                    return Ok(Some((reply, LinkBody::new(incoming, buffer))));
                }
                Ok(None) => {}
                Err(_) => return Ok(None),
            }
            match next_data(&mut incoming).await {
                Some(piece) => buffer.extend_from_slice(&piece?),
                None => return Ok(None),
            }
        }
    };
    let send = async {
        match body {
            CallBody::Whole(whole) => {
                let mut start = BytesMut::from(encode(head));
                start.extend_from_slice(&whole);
                shared.count_cross_zone_bytes(peer, CrossZoneCause::Call, start.len());
                outgoing.send_data(start.freeze(), true).map_err(|_| ())?;
            }
            CallBody::Pieces(mut pieces) => {
                outgoing.send_data(encode(head), false).map_err(|_| ())?;
                while let Some(piece) = pieces.next().await.map_err(|_| ())? {
                    shared.count_cross_zone_bytes(peer, CrossZoneCause::Call, piece.len());
                    send_piece(&mut outgoing, piece).await.map_err(|_| ())?;
                }
                outgoing.send_data(Bytes::new(), true).map_err(|_| ())?;
            }
        }
        Ok::<(), ()>(())
    };
    tokio::pin!(reply);
    tokio::pin!(send);
    let mut is_sent = false;
    let received: Result<_, h2::Error> = loop {
        tokio::select! {
            biased;
            done = &mut send, if !is_sent => match done {
                Ok(()) => is_sent = true,
                Err(()) => return Err(AttemptOutcome::Lost),
            },
            received = &mut reply => break received,
            () = tokio::time::sleep(DOUBT_AFTER) => {
                peer.doubt(shared.clock.now(), DOUBT_AFTER);
            }
        }
    };
    peer.hear(shared.clock.now());
    match received.map_err(lost)? {
        Some((reply, body)) => Ok((reply, AnswerBody::Link(body.holding(in_use)))),
        None => Err(AttemptOutcome::Lost),
    }
}
