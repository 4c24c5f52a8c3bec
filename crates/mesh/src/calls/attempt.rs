//! One attempt to run a call at a target, on this host or over the link to the
//! target's host.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use filbert_policy::admission::LinkTime;
use h2::SendStream;
use http::Request;

use super::pick::{Destination, PickedTarget};
use crate::body::{next_data, AnswerBody, CallBody, LinkBody};
use crate::links::CALL_URL;
use crate::logging::LinePriority;
use crate::messages::{decode_next, encode, AnswerHead, CallHead, ReplyHead};
use crate::metrics::CrossZoneCause;
use crate::peers::{LinkGuard, Peer};
use crate::serve_peers::send_body_data;
use crate::state::MeshShared;

/// Number of bytes of an answer's body that are read before the answer's head is
/// forwarded. If the body is truncated within these bytes, a repeatable call can be
/// retried and get the answer of another attempt. All answers except downloads are shorter.
const READ_AHEAD_BYTES: usize = 32 * 1024;
/// Time after which a call without an answer requests a PING on its link, if
/// nothing else was received over the link in that time either.
const PING_IDLE_TIME: Duration = Duration::from_millis(150);

/// How one attempt ended.
pub(super) enum AttemptOutcome {
    /// The target answered.
    Answer {
        /// Status and headers of the answer.
        head: AnswerHead,
        /// Body of the answer, read ahead.
        body: AnswerBody,
        /// Time from the start of the run to the answer's head.
        time_to_head: Duration,
    },
    /// The call was declined, or could not be sent. It did not reach the target.
    Declined {
        /// Time until the target is expected to have capacity.
        room_in: Duration,
    },
    /// The target rejected the call and stated that it did not run it.
    Rejected,
    /// The quarantine held the call back. It did not reach the target.
    HeldBack {
        /// Time until the hold ends.
        remaining_hold: Duration,
    },
    /// The call may have run, but no complete answer arrived.
    Lost,
}

/// An attempt in progress. Dropping it cancels the call at the target.
pub(super) struct RunningAttempt {
    /// Name of the target's host.
    pub(super) host: String,
    outcome: Pin<Box<dyn Future<Output = AttemptOutcome>>>,
}

impl RunningAttempt {
    /// Waits until the attempt ends.
    pub(super) async fn outcome(&mut self) -> AttemptOutcome {
        (&mut self.outcome).await
    }
}

/// Starts an attempt to run a call at `target`.
pub(super) fn start_attempt(
    shared: &Rc<MeshShared>,
    target: &PickedTarget,
    head: &CallHead,
    body: CallBody,
) -> RunningAttempt {
    let destination = target.destination.clone();
    RunningAttempt {
        host: target.host.clone(),
        outcome: Box::pin(run_attempt(
            Rc::clone(shared),
            destination,
            head.clone(),
            body,
        )),
    }
}

/// Waits for the first of `attempts` to end, removes it and returns its host and
/// outcome. Never completes if `attempts` is empty.
pub(super) async fn first_outcome(attempts: &mut Vec<RunningAttempt>) -> (String, AttemptOutcome) {
    poll_fn(|context| {
        for index in 0..attempts.len() {
            if let Poll::Ready(outcome) = attempts[index].outcome.as_mut().poll(context) {
                let attempt = attempts.swap_remove(index);
                return Poll::Ready((attempt.host, outcome));
            }
        }
        Poll::Pending
    })
    .await
}

/// Runs a call at `destination` and reads ahead in its answer.
async fn run_attempt(
    shared: Rc<MeshShared>,
    destination: Destination,
    head: CallHead,
    body: CallBody,
) -> AttemptOutcome {
    let (reply, body) = match &destination {
        Destination::Local => shared.gate.run(&head, body, LinkTime::default()).await,
        Destination::Peer(peer) => match run_on_peer(&shared, peer, &head, body).await {
            Ok((reply, body)) => {
                update_target_state(peer, &reply, shared.clock.now());
                (reply, body)
            }
            Err(outcome) => return outcome,
        },
    };
    match reply {
        ReplyHead::Declined { room_in_us, .. } => AttemptOutcome::Declined {
            room_in: Duration::from_micros(room_in_us),
        },
        ReplyHead::Rejected { .. } => AttemptOutcome::Rejected,
        ReplyHead::HeldBack { remaining_us, .. } => AttemptOutcome::HeldBack {
            remaining_hold: Duration::from_micros(remaining_us),
        },
        ReplyHead::Lost { crash, .. } => {
            if let Some(crash) = crash {
                shared.quarantine.merge_crash(head.identity, crash);
            }
            AttemptOutcome::Lost
        }
        ReplyHead::Answer {
            head,
            time_to_head_us,
            ..
        } => match body.read_ahead(READ_AHEAD_BYTES).await {
            Ok(body) => AttemptOutcome::Answer {
                head,
                body,
                time_to_head: Duration::from_micros(time_to_head_us),
            },
            Err(_) => AttemptOutcome::Lost,
        },
    }
}

fn cross_zone_cause(reply: &ReplyHead) -> CrossZoneCause {
    match reply {
        ReplyHead::Answer { .. } => CrossZoneCause::Answer,
        ReplyHead::Declined { .. }
        | ReplyHead::HeldBack { .. }
        | ReplyHead::Rejected { .. }
        | ReplyHead::Lost { .. } => CrossZoneCause::Refusal,
    }
}

fn update_target_state(peer: &Peer, reply: &ReplyHead, now: Instant) {
    if let ReplyHead::Answer {
        leaving: Some(instance),
        ..
    } = reply
    {
        peer.record_leaving(instance, now);
    }
    match reply {
        ReplyHead::Declined { closed: true, .. } => peer.mark_closed(),
        ReplyHead::Declined { load, .. }
        | ReplyHead::Rejected { load }
        | ReplyHead::HeldBack { load, .. }
        | ReplyHead::Lost { load, .. }
        | ReplyHead::Answer { load, .. } => peer.set_target_load(*load, now),
    }
}

/// Why a call was not sent to its end.
enum SendFault {
    /// Its body ended early.
    BrokenOff,
    /// The stream takes no more data.
    Refused,
}

/// Why no reply to a call came.
enum ReplyFault {
    /// The other host stated that it has not read the call.
    Unread,
    /// The link or its stream ended, or the reply was invalid.
    Lost,
}

impl ReplyFault {
    /// Classifies the error of a stream on which nothing has been received. A GOAWAY ends
    /// only those streams by itself that are newer than the last one that it names, and a
    /// refused stream was never processed (RFC 9113, sections 6.8 and 8.7).
    fn of_unanswered_stream(error: &h2::Error) -> ReplyFault {
        let is_refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
        if error.is_remote() && (error.is_go_away() || is_refused) {
            ReplyFault::Unread
        } else {
            ReplyFault::Lost
        }
    }
}

/// Sends a call on the stream `outgoing` of the link to `peer`.
async fn send_call(
    shared: &MeshShared,
    peer: &Rc<Peer>,
    outgoing: &mut SendStream<Bytes>,
    head: &CallHead,
    body: CallBody,
) -> Result<(), SendFault> {
    let refused = |_| SendFault::Refused;
    match body {
        CallBody::Whole(whole) => {
            let mut first_data = BytesMut::from(encode(head));
            first_data.extend_from_slice(&whole);
            shared.count_cross_zone_bytes(peer, CrossZoneCause::Call, first_data.len());
            outgoing
                .send_data(first_data.freeze(), true)
                .map_err(refused)
        }
        CallBody::Streamed(mut source) => {
            outgoing.send_data(encode(head), false).map_err(refused)?;
            while let Some(data) = source.next().await.map_err(|_| SendFault::BrokenOff)? {
                shared.count_cross_zone_bytes(peer, CrossZoneCause::Call, data.len());
                let sent = send_body_data(outgoing, data).await;
                sent.map_err(|_| SendFault::Refused)?;
            }
            outgoing.send_data(Bytes::new(), true).map_err(refused)
        }
    }
}

/// Sends a call over the link to `peer` and reads the head of the reply.
///
/// # Errors
/// [`AttemptOutcome::Declined`] if the call could not be sent or was not read,
/// [`AttemptOutcome::Lost`] if the link or the call's body failed afterwards.
async fn run_on_peer(
    shared: &MeshShared,
    peer: &Rc<Peer>,
    head: &CallHead,
    body: CallBody,
) -> Result<(ReplyHead, AnswerBody), AttemptOutcome> {
    let not_sent = || AttemptOutcome::Declined {
        room_in: Duration::ZERO,
    };
    let link = peer.link.borrow().clone().ok_or_else(not_sent)?;
    let link_guard = LinkGuard::new(peer, &shared.clock);
    let mut link = link.ready().await.map_err(|_| not_sent())?;
    let request = Request::post(CALL_URL).body(()).map_err(|_| not_sent())?;
    let (response, mut outgoing) = link.send_request(request, false).map_err(|_| not_sent())?;
    peer.count_sent();
    let lost = |_: h2::Error| ReplyFault::Lost;
    let reply = async {
        let response = response.await;
        let response = response.map_err(|error| ReplyFault::of_unanswered_stream(&error))?;
        let mut incoming = response.into_body();
        let mut buffer = BytesMut::new();
        loop {
            let buffered_before = buffer.len();
            match decode_next::<ReplyHead>(&mut buffer) {
                Ok(Some(reply)) => {
                    let body_length = match &reply {
                        ReplyHead::Answer { head, .. } => head.body_length.unwrap_or(0),
                        _ => 0,
                    };
                    let bytes =
                        buffered_before - buffer.len() + usize::try_from(body_length).unwrap_or(0);
                    shared.count_cross_zone_bytes(peer, cross_zone_cause(&reply), bytes);
                    return Ok((reply, LinkBody::new(incoming, buffer)));
                }
                Ok(None) => {}
                Err(_) => return Err(ReplyFault::Lost),
            }
            match next_data(&mut incoming).await {
                Some(data) => buffer.extend_from_slice(&data.map_err(lost)?),
                None => return Err(ReplyFault::Lost),
            }
        }
    };
    let send = send_call(shared, peer, &mut outgoing, head, body);
    tokio::pin!(reply);
    tokio::pin!(send);
    let mut is_sent = false;
    let result = loop {
        tokio::select! {
            biased;
            result = &mut send, if !is_sent => match result {
                // The other host takes no more of a body when it has replied, for example
                // that it declines the call. If the link is lost, the reply fails too.
                Ok(()) | Err(SendFault::Refused) => is_sent = true,
                Err(SendFault::BrokenOff) => return Err(AttemptOutcome::Lost),
            },
            result = &mut reply => break result,
            () = tokio::time::sleep(PING_IDLE_TIME) => {
                peer.request_ping_if_idle(shared.clock.now(), PING_IDLE_TIME);
            }
        }
    };
    peer.record_received(shared.clock.now());
    match result {
        Ok((reply, body)) => {
            let body = body.with_link_guard(link_guard);
            Ok((reply, AnswerBody::Link(Box::new(body))))
        }
        Err(ReplyFault::Unread) => {
            log_unread(shared, &head.id, peer);
            Err(not_sent())
        }
        Err(ReplyFault::Lost) => Err(AttemptOutcome::Lost),
    }
}

fn log_unread(shared: &MeshShared, id: &str, peer: &Peer) {
    let now = shared.clock.now();
    if shared.log_limiter.allows(LinePriority::Notable, now) {
        let peer = &peer.address.id;
        log::info!("event=call_unread request={id} peer={peer}");
    }
}
