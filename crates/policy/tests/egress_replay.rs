//! Replays answers that want to leave a host with a slow link.

use std::time::{Duration, Instant};

use filbert_policy::admission::{
    CallDemand, DeclineReason, GateQueue, GateVerdict, LinkTime, WaitLimits,
};
use filbert_policy::egress::{EgressDecision, EgressQueue, EgressTicket};
use filbert_policy::run_times::RunTime;

/// Rate of the slowest links of the users, in Mbit/s.
const SLOW: f64 = 7.5;
const PIECE: u64 = 16 * 1024;
/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(1);

/// An answer on its way out.
struct Answer {
    left: u64,
    ticket: Option<EgressTicket>,
    done: Option<Duration>,
}

impl Answer {
    fn of(bytes: u64) -> Answer {
        Answer {
            left: bytes,
            ticket: None,
            done: None,
        }
    }
}

/// Lets answers leave, all at once from the start, until all are out.
fn replay(queue: &mut EgressQueue, answers: &mut [Answer], start: Instant) {
    let mut now = start;
    while answers.iter().any(|answer| answer.done.is_none()) {
        for answer in answers.iter_mut().filter(|answer| answer.done.is_none()) {
            let piece = answer.left.min(PIECE);
            let ticket = *answer
                .ticket
                .get_or_insert_with(|| queue.enqueue(piece, answer.left, start + PATIENCE));
            if queue.try_send(ticket, now) == EgressDecision::Send {
                answer.ticket = None;
                answer.left -= piece;
                if answer.left == 0 {
                    answer.done = Some(now - start);
                }
            }
        }
        now += STEP;
        assert!(now < start + Duration::from_mins(1), "it never ends");
    }
}

/// Nine runs beside one target end at once, each with 90 KB, on a link of 7.5
/// Mbit/s. Written at once, every one of them is out after a second, and all
/// that is short waits as long. Paced, shortest first, they come one by one.
#[test]
fn long_answers_leave_one_by_one() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW, start);
    let mut answers: Vec<Answer> = (0..9).map(|extra| Answer::of(90_000 + extra)).collect();
    replay(&mut queue, &mut answers, start);
    let mut done: Vec<Duration> = answers.iter().filter_map(|answer| answer.done).collect();
    done.sort();
    let mean = done.iter().sum::<Duration>() / 9;
    let last = done[8];
    assert!(last < Duration::from_millis(1_100), "{done:?}");
    assert!(
        mean < last.mul_f64(0.6),
        "mean {mean:?}, last {last:?}: side by side all end last"
    );
}

/// A short answer is made while a long one leaves. It goes past it.
#[test]
fn a_nearly_finished_answer_goes_first() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW, start);
    let mut answers = vec![Answer::of(2_000_000), Answer::of(20_000)];
    replay(&mut queue, &mut answers, start);
    assert!(answers[1].done < Some(Duration::from_millis(100)));
    assert!(answers[0].done > Some(Duration::from_secs(2)));
}

/// Guards against an answer that waits for as long as shorter ones keep coming,
/// and is late for its caller.
#[test]
fn a_longer_answer_is_home_before_its_caller_leaves() {
    const LONG: u64 = 200_000;
    const SHORTER: u64 = 60_000;
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW, start);
    // A little more than the link carries comes for ten seconds.
    let every = queue.transmission_time(SHORTER).mul_f64(0.95);
    let mut long = (LONG, None);
    let mut shorter: Vec<(Instant, u64, Option<EgressTicket>)> = Vec::new();
    let mut next = start;
    let mut now = start;
    while long.0 > 0 && now < start + Duration::from_secs(10) {
        if now >= next {
            shorter.push((now, SHORTER, None));
            next += every;
        }
        for (began, left, ticket) in shorter
            .iter_mut()
            .map(|(began, left, ticket)| (*began, left, ticket))
            .chain(std::iter::once((start, &mut long.0, &mut long.1)))
        {
            let piece = (*left).min(PIECE);
            if piece == 0 {
                continue;
            }
            let place =
                *ticket.get_or_insert_with(|| queue.enqueue(piece, *left, began + PATIENCE));
            if queue.try_send(place, now) == EgressDecision::Send {
                *ticket = None;
                *left -= piece;
            }
        }
        now += STEP;
    }
    let took = now - start;
    assert!(took < PATIENCE, "it left after {took:?}");
}

/// Guards against a line that stands still: an answer becomes due with the time,
/// and nobody looks.
#[test]
fn whoever_waits_looks_again_when_it_is_due() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW, start);
    let long = queue.enqueue(PIECE, 10 * PIECE, start + PATIENCE);
    let short = queue.enqueue(PIECE, PIECE, start + PATIENCE * 2);
    queue.record_sent(10 * PIECE, start);
    let EgressDecision::RetryAt(looks) = queue.try_send(long, start) else {
        panic!("it is not told when to look again");
    };
    assert!(looks > start && looks < start + PATIENCE);
    assert_eq!(queue.try_send(long, looks), EgressDecision::Send);
    assert_eq!(
        queue.try_send(short, looks + PATIENCE),
        EgressDecision::Send
    );
}

/// A caller leaves while its answer is first in line. The next must not wait
/// for it.
#[test]
fn a_cancelled_answer_holds_up_nobody() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(SLOW, now);
    let first = queue.enqueue(PIECE, PIECE, now + PATIENCE);
    let second = queue.enqueue(PIECE, 4 * PIECE, now + PATIENCE);
    let waits = queue.try_send(second, now);
    assert!(matches!(waits, EgressDecision::RetryAt(at) if at > now));
    queue.cancel(first);
    assert_eq!(queue.try_send(second, now), EgressDecision::Send);
}

#[test]
fn a_link_without_a_limit_paces_nothing() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(0.0, now);
    for _ in 0..100 {
        let ticket = queue.enqueue(PIECE, 100 * PIECE, now + PATIENCE);
        assert_eq!(queue.try_send(ticket, now), EgressDecision::Send);
    }
    assert_eq!(queue.backlog(now), Duration::ZERO);
}

/// Calls for 90 KB come as fast as the target could run them, five times as
/// fast as the link carries answers. With an eye on slots alone all would run
/// and all answers be late; the gate must turn away what the link cannot carry
/// and tell when it will be free.
#[test]
fn calls_beyond_the_link_are_turned_away_at_once() {
    const ANSWER: u64 = 90_000;
    const RUN: Duration = Duration::from_millis(180);
    let start = Instant::now();
    let mut link = EgressQueue::new(SLOW, start);
    let mut gate = GateQueue::new(WaitLimits::default());
    gate.set_slots(9);
    gate.set_open(true);
    let mut taken = 0;
    for call in 0..9 {
        let now = start + Duration::from_millis(20) * call;
        let demand = CallDemand {
            priority: 2,
            aim: now + Duration::from_millis(800),
            deadline: now + Duration::from_secs(5),
            run: RunTime::of_unknown_spread(RUN),
            link: LinkTime {
                wait: link.backlog(now).saturating_sub(RUN),
                send: link.transmission_time(ANSWER),
            },
        };
        match gate.offer(demand, RUN, now) {
            GateVerdict::Run => {
                link.reserve(ANSWER);
                taken += 1;
            }
            GateVerdict::Decline { reason, room_in } => {
                assert_eq!(reason, DeclineReason::Crowded);
                assert!(!room_in.is_zero());
            }
            GateVerdict::Wait(_) => panic!("slots are free"),
        }
    }
    assert!((3..=6).contains(&taken), "{taken} taken");
}
