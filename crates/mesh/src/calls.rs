//! The caller's side: routes a client's call, places it, sends it again where
//! that is right, and answers for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use filbert_http1::RequestHead;
use filbert_platform::headers::{self, CallHeaders};
use filbert_policy::attempt::{next_step, AttemptEnd, CallAllowance, NextStep};
use filbert_policy::placement::{choose, CallShape, TargetView};
use filbert_policy::refusal::come_back_after;
use filbert_policy::routing::RouteRule;
use http::Request;
use rand::Rng;

use crate::body::{next_data, AnswerBody, CallBody, LinkBody};
use crate::links::CALL_PATH;
use crate::messages::{encode, take, AnswerHead, CallHead, ReplyHead, TargetState, TargetStatus};
use crate::peers::Peer;
use crate::serve_peers::send_piece;
use crate::state::MeshShared;

/// Bytes of an answer read before its head is passed on: while it is not,
/// a broken answer can still be replaced by another attempt's. Covers whole
/// answers of all but downloads.
const READ_AHEAD: usize = 32 * 1024;
/// Gates asked before a call is refused. Each costs a round trip and no work;
/// when the best few have no room, the others have none either.
const MOST_DECLINES: u32 = 4;
/// Time on the way from and to a client: its wait began before its call was
/// read, and an answer must reach it before the wait ends. The farthest
/// clients are 8 ms away one way.
const CLIENT_WAY: Duration = Duration::from_millis(20);
/// A call without an answer for this long, over a link on which nothing else
/// came either, asks whether the link still works.
const DOUBT_AFTER: Duration = Duration::from_millis(150);
/// When to come back to a daemon that knows no configuration yet.
const NOT_YET: Duration = Duration::from_millis(250);
/// When to come back for a service without any open target.
const NO_TARGET: Duration = Duration::from_millis(300);

/// A client's call.
#[derive(Debug)]
pub struct ClientCall {
    /// Its head.
    pub head: RequestHead,
    /// What its headers say.
    pub headers: CallHeaders,
    /// Its body.
    pub body: CallBody,
    /// When it was read.
    pub received: Instant,
}

/// What a client gets.
#[derive(Debug)]
pub enum ClientAnswer {
    /// The target's answer.
    Target(AnswerHead, AnswerBody),
    /// One of our own, without a body.
    Own {
        /// Its status.
        status: u16,
        /// When to come back.
        come_back: Option<Duration>,
    },
}

impl ClientAnswer {
    /// An answer of our own without a time to come back.
    #[must_use]
    pub fn own(status: u16) -> ClientAnswer {
        ClientAnswer::Own {
            status,
            come_back: None,
        }
    }
}

const NOT_FOUND: u16 = 404;
const BAD_GATEWAY: u16 = 502;
const UNAVAILABLE: u16 = 503;
const TIMED_OUT: u16 = 504;
/// From this status on an answer is the target's failure.
const FIRST_FAILURE: u16 = 500;

/// How one attempt ended.
enum AttemptOutcome {
    Answer(AnswerHead, AnswerBody),
    Declined { room_in: Duration },
    Rejected,
    Lost,
}

/// Where a call can go.
enum Candidate {
    Here,
    Peer(Rc<Peer>),
}

/// What has happened to a call so far; read when its time is up.
#[derive(Default)]
struct CallProgress {
    maybe_run: Cell<bool>,
    in_attempt: Cell<bool>,
}

/// Answers a client's call.
pub async fn answer(shared: &Rc<MeshShared>, call: ClientCall) -> ClientAnswer {
    let index = shared.current_index();
    if !shared.is_serving() {
        return refuse(&call.headers.id, "not_serving", NOT_YET);
    }
    let Some(route) = index.lookup(&call.headers.host, &call.head.target) else {
        log::info!(
            "event=no_route request={} version={:08x}",
            call.headers.id,
            index.number()
        );
        return ClientAnswer::own(NOT_FOUND);
    };
    let route = Rc::new(RouteRule::clone(route));
    let id = call.headers.id.clone();
    let received = call.received;
    let left = call.headers.time_left.map_or(route.timeout, |left| {
        left.saturating_sub(CLIENT_WAY).min(route.timeout)
    });
    let limit = received + left;
    let progress = CallProgress::default();
    let placed = place(shared, &route, call, limit, &progress);
    match tokio::time::timeout_at(limit.into(), placed).await {
        Ok(answer) => answer,
        Err(_) if progress.maybe_run.get() || progress.in_attempt.get() => {
            log::info!("event=timed_out request={id} route={}", route.name);
            ClientAnswer::own(TIMED_OUT)
        }
        Err(_) => refuse(&id, "no_time_left", NOT_YET),
    }
}

fn refuse(id: &str, reason: &str, come_back: Duration) -> ClientAnswer {
    log::info!(
        "event=refused request={id} reason={reason} come_back_ms={}",
        come_back.as_millis()
    );
    ClientAnswer::Own {
        status: UNAVAILABLE,
        come_back: Some(come_back),
    }
}

/// Tries targets until one answers or nothing is left to try.
async fn place(
    shared: &Rc<MeshShared>,
    route: &RouteRule,
    call: ClientCall,
    limit: Instant,
    progress: &CallProgress,
) -> ClientAnswer {
    let service = shared.dealer.borrow_mut().deal(route, shared.seed).to_owned();
    let now = shared.clock.now();
    shared.budget.borrow_mut().earn(&service, now);
    let aim = aim_of(shared, route, &call);
    let repeatable = route.kind.is_repeatable();
    let (mut head, body) = into_message(shared, route, &service, call);
    let mut bodies = BodyCopies::new(body);
    let mut tried: Vec<String> = Vec::new();
    let mut arrivals = 0;
    let mut declines = 0;
    let mut room: Option<Duration> = None;
    let mut failure: Option<(AnswerHead, AnswerBody)> = None;
    loop {
        let now = shared.clock.now();
        head.left_us = micros(limit.saturating_duration_since(now));
        head.aim_us = micros(aim.saturating_duration_since(now));
        let Some((candidate, host)) = pick(shared, route, &head, &tried) else {
            return match failure {
                Some((head, body)) => ClientAnswer::Target(head, body),
                None if progress.maybe_run.get() => ClientAnswer::own(BAD_GATEWAY),
                None => refuse_spread(shared, &head.id, limit, room.unwrap_or(NO_TARGET)),
            };
        };
        progress.in_attempt.set(true);
        let outcome = attempt(shared, &candidate, &head, bodies.next(), repeatable).await;
        progress.in_attempt.set(false);
        tried.push(host.clone());
        let end = match &outcome {
            AttemptOutcome::Answer(answer, _) if answer.status >= FIRST_FAILURE => {
                arrivals += 1;
                AttemptEnd::AnsweredFailure
            }
            AttemptOutcome::Answer(..) => AttemptEnd::Answered,
            AttemptOutcome::Declined { room_in } => {
                declines += 1;
                room = Some(room.map_or(*room_in, |least| least.min(*room_in)));
                AttemptEnd::Declined
            }
            AttemptOutcome::Rejected => {
                arrivals += 1;
                AttemptEnd::Rejected
            }
            AttemptOutcome::Lost => {
                arrivals += 1;
                progress.maybe_run.set(true);
                AttemptEnd::Lost
            }
        };
        let allowance = CallAllowance {
            repeatable,
            maybe_run: progress.maybe_run.get(),
            other_target: declines < MOST_DECLINES && bodies.is_copyable(),
            arrivals_left: route.max_attempts.saturating_sub(arrivals),
        };
        let step = next_step(end, allowance, || spend(shared, &service));
        if end != AttemptEnd::Answered {
            log::info!(
                "event=attempt_ended request={} route={} host={host} end={end:?} next={step:?} arrivals={arrivals} declines={declines}",
                head.id,
                route.name
            );
        }
        match (step, outcome) {
            (NextStep::PassOn, AttemptOutcome::Answer(head, body)) => {
                shared.note_answer(&route.name, head.body_length.unwrap_or(0));
                return ClientAnswer::Target(head, body);
            }
            (NextStep::SendAgain, AttemptOutcome::Answer(head, body)) => {
                failure = Some((head, body));
            }
            (NextStep::SendAgain, _) => {}
            (NextStep::SayNotRun, _) => {
                if let Some((head, body)) = failure {
                    return ClientAnswer::Target(head, body);
                }
                return refuse_spread(shared, &head.id, limit, room.unwrap_or(NO_TARGET));
            }
            (NextStep::PassOn | NextStep::SayUnknown, _) => {
                return match failure {
                    Some((head, body)) => ClientAnswer::Target(head, body),
                    None => ClientAnswer::own(BAD_GATEWAY),
                }
            }
        }
    }
}

fn spend(shared: &MeshShared, service: &str) -> bool {
    let daemons = shared.daemons();
    shared
        .budget
        .borrow_mut()
        .spend(service, daemons, shared.clock.now())
}

fn refuse_spread(shared: &MeshShared, id: &str, limit: Instant, room_in: Duration) -> ClientAnswer {
    let left = limit.saturating_duration_since(shared.clock.now());
    let spread = rand::rng().random::<f64>();
    refuse(id, "no_room", come_back_after(room_in, left, spread))
}

/// Until when an answer is worth most, counted from the client's first try:
/// what it waits less than others on the route has passed before.
fn aim_of(shared: &MeshShared, route: &RouteRule, call: &ClientCall) -> Instant {
    let wait = call.headers.time_left.unwrap_or(Duration::ZERO);
    let history = shared.note_wait(&route.name, wait);
    let passed = history.longest_wait.saturating_sub(wait);
    call.received + route.aim.saturating_sub(passed)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn into_message(
    shared: &MeshShared,
    route: &RouteRule,
    service: &str,
    call: ClientCall,
) -> (CallHead, CallBody) {
    let settings = Rc::clone(&shared.settings.borrow());
    let body_length = match &call.body {
        CallBody::Whole(body) => Some(body.len() as u64),
        CallBody::Pieces(_) => call.head.framing.length(),
    };
    let head = CallHead {
        lines: headers::lines_for_target(&call.head, &settings.service),
        id: call.headers.id,
        service: service.to_owned(),
        has_body: call.head.framing != filbert_http1::BodyFraming::Empty
            || body_length.is_some_and(|length| length > 0),
        method: call.head.method,
        target: call.head.target,
        body_length,
        left_us: 0,
        aim_us: 0,
        priority: route.priority,
    };
    (head, call.body)
}

/// Gives each attempt its copy of a body, as long as there is one.
struct BodyCopies {
    whole: Option<Bytes>,
    pieces: Option<CallBody>,
}

impl BodyCopies {
    fn new(body: CallBody) -> BodyCopies {
        match body {
            CallBody::Whole(whole) => BodyCopies {
                whole: Some(whole),
                pieces: None,
            },
            pieces @ CallBody::Pieces(_) => BodyCopies {
                whole: None,
                pieces: Some(pieces),
            },
        }
    }

    fn is_copyable(&self) -> bool {
        self.whole.is_some()
    }

    fn next(&mut self) -> CallBody {
        match (&self.whole, self.pieces.take()) {
            (_, Some(pieces)) => pieces,
            (Some(whole), None) => CallBody::Whole(whole.clone()),
            (None, None) => CallBody::Whole(Bytes::new()),
        }
    }
}

/// The best target for a call that was not tried yet.
fn pick(
    shared: &Rc<MeshShared>,
    route: &RouteRule,
    head: &CallHead,
    tried: &[String],
) -> Option<(Candidate, String)> {
    let settings = Rc::clone(&shared.settings.borrow());
    let service = head.service.as_str();
    let mut views = Vec::new();
    let mut candidates = Vec::new();
    if !tried.contains(&settings.id) {
        if let Some(status) = shared.gate.status() {
            if let Some(view) = view_of(&status, service, true, 0) {
                views.push(view);
                candidates.push((Candidate::Here, settings.id.clone()));
            }
        }
    }
    for peer in shared.peers.all() {
        if tried.contains(&peer.address.id) {
            continue;
        }
        let Some((status, sent)) = peer.target() else {
            continue;
        };
        let in_zone = peer.address.zone == settings.zone;
        if let Some(view) = view_of(&status, service, in_zone, sent) {
            views.push(view);
            let id = peer.address.id.clone();
            candidates.push((Candidate::Peer(peer), id));
        }
    }
    let shape = CallShape {
        answer_kib: shared
            .routes
            .borrow()
            .get(&route.name)
            .map_or(0.0, |history| history.answer_kib),
        aim_ms: head.aim_us as f64 / 1_000.0,
        left_ms: head.left_us as f64 / 1_000.0,
    };
    let index = choose(&views, &shape, &settings.crossing_cost(), &mut rand::rng())?;
    Some(candidates.swap_remove(index))
}

fn view_of(status: &TargetStatus, service: &str, in_zone: bool, sent: u32) -> Option<TargetView> {
    if status.service != service || status.state == TargetState::Closed {
        return None;
    }
    let load = &status.load;
    Some(TargetView {
        in_zone,
        slots: load.slots,
        occupancy: f64::from(load.running + load.waiting + sent),
        run_ms: f64::from(load.run_ms),
        ill_share: f64::from(load.ill_share),
        is_cold: status.is_cold,
        is_leaving: status.state == TargetState::Leaving,
    })
}

async fn attempt(
    shared: &Rc<MeshShared>,
    candidate: &Candidate,
    head: &CallHead,
    body: CallBody,
    repeatable: bool,
) -> AttemptOutcome {
    let (reply, body) = match candidate {
        Candidate::Here => shared.gate.run(head, body).await,
        Candidate::Peer(peer) => match run_at_peer(shared, peer, head, body, repeatable).await {
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
        ReplyHead::Lost { .. } => AttemptOutcome::Lost,
        ReplyHead::Answer { head, .. } => match body.read_ahead(READ_AHEAD).await {
            Ok(body) => AttemptOutcome::Answer(head, body),
            Err(_) => AttemptOutcome::Lost,
        },
    }
}

fn note_reply(peer: &Peer, reply: &ReplyHead) {
    match reply {
        ReplyHead::Declined { closed: true, .. } => peer.mark_closed(),
        ReplyHead::Declined { load, .. }
        | ReplyHead::Rejected { load }
        | ReplyHead::Lost { load }
        | ReplyHead::Answer { load, .. } => peer.describe_load(*load),
    }
}

/// Sends a call over the link to `peer` and reads the head of the reply.
async fn run_at_peer(
    shared: &MeshShared,
    peer: &Peer,
    head: &CallHead,
    body: CallBody,
    repeatable: bool,
) -> Result<(ReplyHead, AnswerBody), AttemptOutcome> {
    let not_sent = || AttemptOutcome::Declined {
        room_in: Duration::ZERO,
    };
    let link = peer.link.borrow().clone().ok_or_else(not_sent)?;
    let mut link = link.ready().await.map_err(|_| not_sent())?;
    let request = Request::post(CALL_PATH).body(()).map_err(|_| not_sent())?;
    let (answer, mut outgoing) = link.send_request(request, false).map_err(|_| not_sent())?;
    peer.count_sent();
    let lost = |_| AttemptOutcome::Lost;
    let reply = async {
        let mut incoming = answer.await?.into_body();
        let mut buffer = BytesMut::new();
        loop {
            match take::<ReplyHead>(&mut buffer) {
                Ok(Some(reply)) => return Ok(Some((reply, LinkBody::new(incoming, buffer)))),
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
                outgoing.send_data(start.freeze(), true).map_err(|_| ())?;
            }
            CallBody::Pieces(mut pieces) => {
                outgoing.send_data(encode(head), false).map_err(|_| ())?;
                while let Some(piece) = pieces.next().await.map_err(|_| ())? {
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
            sent = &mut send, if !is_sent => match sent {
                Ok(()) => is_sent = true,
                Err(()) => return Err(AttemptOutcome::Lost),
            },
            received = &mut reply => break received,
            () = peer.fell_silent.notified(), if repeatable => return Err(AttemptOutcome::Lost),
            () = tokio::time::sleep(DOUBT_AFTER) => {
                peer.doubt(shared.clock.now(), DOUBT_AFTER);
            }
        }
    };
    peer.hear(shared.clock.now());
    match received.map_err(lost)? {
        Some((reply, body)) => Ok((reply, AnswerBody::Link(body))),
        None => Err(AttemptOutcome::Lost),
    }
}
