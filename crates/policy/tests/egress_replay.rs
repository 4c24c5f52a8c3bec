//! Simulates a host that sends answers over a slow link.

use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, DeclineReason, LinkTime, QueueLimits,
};
use filbert_policy::egress::{EgressDecision, EgressQueue, EgressTicket};
use filbert_policy::fair_share::OrganisationShare;
use filbert_policy::run_times::RunTime;

/// Rate of the slowest links in use, in Mbit/s.
const SLOW_LINK_MBPS: f64 = 7.5;
const CHUNK_BYTES: u64 = 16 * 1024;
/// Time that a caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(1);

/// An answer that is being sent.
struct Answer {
    left: u64,
    ticket: Option<EgressTicket>,
    done: Option<Duration>,
    organisation: Option<OrganisationShare>,
}

impl Answer {
    fn of(bytes: u64) -> Answer {
        Answer {
            left: bytes,
            ticket: None,
            done: None,
            organisation: None,
        }
    }
}

/// Sends answers that are all ready at `start`, until the last one is complete.
fn replay(queue: &mut EgressQueue, answers: &mut [Answer], start: Instant) {
    let mut now = start;
    while answers.iter().any(|answer| answer.done.is_none()) {
        for answer in answers.iter_mut().filter(|answer| answer.done.is_none()) {
            let chunk = answer.left.min(CHUNK_BYTES);
            let ticket = *answer.ticket.get_or_insert_with(|| {
                queue.enqueue(
                    chunk,
                    answer.left,
                    start + CALLER_TIMEOUT,
                    answer.organisation,
                )
            });
            if queue.try_send(ticket, now) == EgressDecision::Send {
                answer.ticket = None;
                answer.left -= chunk;
                if answer.left == 0 {
                    answer.done = Some(now - start);
                }
            }
        }
        now += STEP;
        assert!(
            now < start + Duration::from_mins(1),
            "the answers are not sent within a minute"
        );
    }
}

/// Guards against answers that share the link and all finish last. Nine runs of a
/// target end at once, each with an answer of 90 KB, on a link of 7.5 Mbit/s. If
/// written at once, all answers finish after a second, and short answers wait as
/// long. Paced with the shortest first, the answers finish one after another.
#[test]
fn long_answers_are_sent_one_after_another() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW_LINK_MBPS, start);
    let mut answers: Vec<Answer> = (0..9).map(|extra| Answer::of(90_000 + extra)).collect();
    replay(&mut queue, &mut answers, start);
    let mut done: Vec<Duration> = answers.iter().filter_map(|answer| answer.done).collect();
    done.sort();
    let mean = done.iter().sum::<Duration>() / 9;
    let last = done[8];
    assert!(last < Duration::from_millis(1_100), "{done:?}");
    assert!(
        mean < last.mul_f64(0.6),
        "mean {mean:?}, last {last:?}: answers sent in parallel all end last"
    );
}

/// Guards against a short answer that waits behind a long one.
#[test]
fn answer_with_least_remaining_bytes_is_sent_first() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW_LINK_MBPS, start);
    let mut answers = vec![Answer::of(2_000_000), Answer::of(20_000)];
    replay(&mut queue, &mut answers, start);
    assert!(answers[1].done < Some(Duration::from_millis(100)));
    assert!(answers[0].done > Some(Duration::from_secs(2)));
}

/// Guards against starvation of a long answer: while shorter answers keep
/// arriving, it is sent only after its caller has timed out.
#[test]
fn long_answer_is_sent_before_its_caller_times_out() {
    const LONG: u64 = 200_000;
    const SHORTER: u64 = 60_000;
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW_LINK_MBPS, start);
    // For ten seconds, answers arrive a little faster than the link sends them.
    let interval = queue.transmission_time(SHORTER).mul_f64(0.95);
    let mut long = (LONG, None);
    let mut shorter: Vec<(Instant, u64, Option<EgressTicket>)> = Vec::new();
    let mut next = start;
    let mut now = start;
    while long.0 > 0 && now < start + Duration::from_secs(10) {
        if now >= next {
            shorter.push((now, SHORTER, None));
            next += interval;
        }
        for (began, left, ticket) in shorter
            .iter_mut()
            .map(|(began, left, ticket)| (*began, left, ticket))
            .chain(std::iter::once((start, &mut long.0, &mut long.1)))
        {
            let chunk = (*left).min(CHUNK_BYTES);
            if chunk == 0 {
                continue;
            }
            let place = *ticket
                .get_or_insert_with(|| queue.enqueue(chunk, *left, began + CALLER_TIMEOUT, None));
            if queue.try_send(place, now) == EgressDecision::Send {
                *ticket = None;
                *left -= chunk;
            }
        }
        now += STEP;
    }
    let took = now - start;
    assert!(took < CALLER_TIMEOUT, "the answer was sent after {took:?}");
}

/// Guards against a queue that stalls: an answer becomes urgent as time passes,
/// and no sender checks again.
#[test]
fn blocked_answer_is_retried_when_it_becomes_urgent() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW_LINK_MBPS, start);
    let long = queue.enqueue(CHUNK_BYTES, 10 * CHUNK_BYTES, start + CALLER_TIMEOUT, None);
    let short = queue.enqueue(CHUNK_BYTES, CHUNK_BYTES, start + CALLER_TIMEOUT * 2, None);
    queue.record_sent(10 * CHUNK_BYTES, start);
    let EgressDecision::RetryAt(retry_at) = queue.try_send(long, start) else {
        panic!("the decision has no time for the next attempt");
    };
    assert!(retry_at > start && retry_at < start + CALLER_TIMEOUT);
    assert_eq!(queue.try_send(long, retry_at), EgressDecision::Send);
    assert_eq!(
        queue.try_send(short, retry_at + CALLER_TIMEOUT),
        EgressDecision::Send
    );
}

/// Guards against answers that stay queued behind one whose caller has
/// disconnected.
#[test]
fn cancelled_answer_does_not_block_others() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(SLOW_LINK_MBPS, now);
    let first = queue.enqueue(CHUNK_BYTES, CHUNK_BYTES, now + CALLER_TIMEOUT, None);
    let second = queue.enqueue(CHUNK_BYTES, 4 * CHUNK_BYTES, now + CALLER_TIMEOUT, None);
    let decision = queue.try_send(second, now);
    assert!(matches!(decision, EgressDecision::RetryAt(at) if at > now));
    queue.cancel(first);
    assert_eq!(queue.try_send(second, now), EgressDecision::Send);
}

#[test]
fn unlimited_link_is_not_paced() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(0.0, now);
    for _ in 0..100 {
        let ticket = queue.enqueue(CHUNK_BYTES, 100 * CHUNK_BYTES, now + CALLER_TIMEOUT, None);
        assert_eq!(queue.try_send(ticket, now), EgressDecision::Send);
    }
    assert_eq!(queue.backlog(now), Duration::ZERO);
}

/// Guards against admission by free slots alone: all calls would run, and all
/// answers would be late. Calls with answers of 90 KB arrive as fast as the target
/// can run them, five times as fast as the link sends the answers. The admission
/// queue must decline calls that exceed the link's rate, and say when there will
/// be room.
#[test]
fn calls_that_exceed_the_link_rate_are_declined_at_once() {
    const ANSWER: u64 = 90_000;
    const RUN: Duration = Duration::from_millis(180);
    let start = Instant::now();
    let mut link = EgressQueue::new(SLOW_LINK_MBPS, start);
    let mut admission_queue = AdmissionQueue::new(QueueLimits::default());
    admission_queue.set_slots(9);
    admission_queue.set_open(true);
    let mut admitted = 0;
    for call in 0..9 {
        let now = start + Duration::from_millis(20) * call;
        let demand = AdmissionRequest {
            priority: 2,
            soft_deadline: now + Duration::from_millis(800),
            deadline: now + Duration::from_secs(5),
            run: RunTime::exponential(RUN),
            link: LinkTime {
                wait: link.backlog(now).saturating_sub(RUN),
                send: link.transmission_time(ANSWER),
            },
            organisation: None,
        };
        match admission_queue.offer(demand, RUN, now) {
            AdmissionDecision::Run => {
                link.reserve(ANSWER);
                admitted += 1;
            }
            AdmissionDecision::Decline { reason, room_in } => {
                assert_eq!(reason, DeclineReason::Crowded);
                assert!(!room_in.is_zero());
            }
            AdmissionDecision::Wait(_) => panic!("a call waits although slots are free"),
        }
    }
    assert!((3..=6).contains(&admitted), "{admitted} calls admitted");
}

/// Guards against answers that wait behind all answers of an organisation that has many
/// times as many. The answers of the others must be sent first, but for a burst.
#[test]
fn an_organisation_with_many_answers_leaves_the_others_their_part_of_the_link() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(SLOW_LINK_MBPS, start);
    let answer = |organisation, bytes| Answer {
        organisation: Some(OrganisationShare {
            id: organisation,
            weight: 1.0,
        }),
        ..Answer::of(bytes)
    };
    let mut answers: Vec<Answer> = (0..18).map(|_| answer(0, 80 * 1024)).collect();
    answers.extend((1..4).map(|id| answer(id, 90 * 1024)));
    replay(&mut queue, &mut answers, start);
    let last_of_others = answers[18..].iter().filter_map(|answer| answer.done).max();
    let last = answers.iter().filter_map(|answer| answer.done).max();
    let (last_of_others, last) = last_of_others.zip(last).expect("all are sent");
    assert!(last_of_others < last / 3, "{last_of_others:?} of {last:?}");
}
