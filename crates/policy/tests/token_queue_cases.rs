//! Single decisions on calls that wait for a token.

use std::time::{Duration, Instant};

use filbert_policy::organisations::quota::TokenGrant;
use filbert_policy::organisations::token_queue::{TokenDecision, TokenQueue, WaitingId};
use filbert_policy::organisations::token_request::{QuotaRefusal, TokenRequest};
use filbert_policy::run_times::RunTime;
use filbert_policy::told_times::RetryTiming;
use rstest::rstest;

const RUN: Duration = Duration::from_millis(60);
const EMPTY_GRANT: TokenGrant = TokenGrant {
    tokens: 0,
    next_token_in: Duration::from_millis(50),
};

fn tokens(tokens: u32) -> TokenGrant {
    TokenGrant {
        tokens,
        next_token_in: Duration::ZERO,
    }
}

/// A new call of priority 1 with 250 ms to its soft deadline.
fn in_time(now: Instant) -> TokenRequest {
    TokenRequest {
        priority: 1,
        soft_deadline: now + Duration::from_millis(250),
        deadline: now + Duration::from_millis(1_500),
        run: RunTime {
            mean: RUN,
            mean_deviation: RUN / 4,
        },
        timing: RetryTiming::New,
    }
}

fn late(now: Instant) -> TokenRequest {
    TokenRequest {
        priority: 0,
        soft_deadline: now,
        ..in_time(now)
    }
}

/// A queue that has been granted 100 tokens per second until tokens became short.
fn short_queue(now: Instant) -> TokenQueue {
    let mut queue = TokenQueue::default();
    for _ in 0..200 {
        queue.granted(tokens(1), 0.0, now);
        queue.offer(&in_time(now), now);
    }
    queue.granted(EMPTY_GRANT, 0.0, now);
    queue
}

fn wait(queue: &mut TokenQueue, request: &TokenRequest, now: Instant) -> WaitingId {
    match queue.offer(request, now) {
        TokenDecision::Wait(id, _) => id,
        decision => panic!("{decision:?} instead of a wait"),
    }
}

/// Guards against a token that goes to the call of less value.
#[rstest]
#[case::priority(TokenRequest { priority: 0, ..in_time(now()) })]
#[case::as_told(TokenRequest { timing: RetryTiming::AsTold, ..in_time(now()) })]
#[case::soft_deadline(TokenRequest { soft_deadline: now() + Duration::from_millis(240), ..in_time(now()) })]
fn the_call_of_most_value_is_first(#[case] preferred: TokenRequest) {
    let now = now();
    let mut queue = short_queue(now);
    let early = TokenRequest {
        timing: RetryTiming::TooEarly,
        ..in_time(now)
    };
    wait(&mut queue, &early, now);
    wait(&mut queue, &in_time(now), now);
    let first = wait(&mut queue, &preferred, now);
    queue.refund(now);
    let settled = queue.take_settled();
    assert_eq!(settled.len(), 1, "{settled:?}");
    assert_eq!((settled[0].id, settled[0].outcome), (first, Ok(())));
}

/// The same start of all cases and tests of this process.
fn now() -> Instant {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *START.get_or_init(Instant::now)
}

/// Guards against a call that is refused only because it came too early.
#[test]
fn a_call_that_came_too_early_waits_behind_new_calls() {
    let now = now();
    let mut queue = short_queue(now);
    let early = TokenRequest {
        timing: RetryTiming::TooEarly,
        ..in_time(now)
    };
    let early = wait(&mut queue, &early, now);
    let new = wait(&mut queue, &in_time(now), now);
    queue.granted(tokens(2), 0.0, now + EMPTY_GRANT.next_token_in);
    let settled = queue.take_settled();
    let order: Vec<WaitingId> = settled.iter().map(|call| call.id).collect();
    assert_eq!(order, [new, early]);
}

/// Guards against a late call that takes the token of a call in time, and against tokens
/// that stay unused while only late calls want them.
#[test]
fn late_calls_get_the_tokens_that_no_call_in_time_wants() {
    let now = now();
    let mut queue = short_queue(now);
    let waiting = wait(&mut queue, &in_time(now), now);
    let refused = TokenDecision::Refused(QuotaRefusal::Late);
    assert_eq!(queue.offer(&late(now), now), refused);
    assert!(queue.cancel(waiting));
    queue.refund(now);
    assert_eq!(queue.offer(&late(now), now), TokenDecision::Taken);
}

/// Guards against late calls that get tokens shortly after calls in time got none.
#[test]
fn late_calls_get_no_tokens_after_a_call_in_time_was_refused() {
    let start = now();
    let mut queue = short_queue(start);
    wait(&mut queue, &in_time(start), start);
    let waited = start + Duration::from_millis(200);
    queue.expire(waited);
    let settled = queue.take_settled();
    assert_eq!(settled[0].outcome, Err(QuotaRefusal::NoToken));
    queue.refund(waited);
    let refused = TokenDecision::Refused(QuotaRefusal::Late);
    assert_eq!(queue.offer(&late(waited), waited), refused);
    let after = waited + Duration::from_millis(500);
    assert_eq!(queue.offer(&late(after), after), TokenDecision::Taken);
}

/// Guards against calls that wait although no token is expected before they are late.
#[test]
fn calls_beyond_the_expected_tokens_are_refused_at_once() {
    let now = now();
    let mut queue = short_queue(now);
    let decisions = (0..40).map(|_| queue.offer(&in_time(now), now));
    let decisions: Vec<TokenDecision> = decisions.collect();
    // 100 tokens per second from 50 ms on, and a wait of 160 ms at most.
    let waiting = decisions
        .iter()
        .take_while(|decision| matches!(decision, TokenDecision::Wait(..)));
    assert!((8..=12).contains(&waiting.count()), "{decisions:?}");
    let refused = TokenDecision::Refused(QuotaRefusal::LimitReached);
    assert_eq!(decisions[39], refused);
    let urgent = TokenRequest {
        priority: 0,
        ..in_time(now)
    };
    wait(&mut queue, &urgent, now);
    let displaced = queue.take_settled();
    assert_eq!(displaced.len(), 1, "{displaced:?}");
    assert_eq!(displaced[0].outcome, Err(QuotaRefusal::LimitReached));
}

/// Guards against a change of the order of calls that no shortage requires.
#[test]
fn calls_without_shortage_are_served_in_order() {
    let now = now();
    let mut queue = TokenQueue::default();
    let calls = [
        late(now),
        in_time(now),
        TokenRequest {
            priority: 0,
            ..in_time(now)
        },
    ];
    let waiting = calls.map(|request| wait(&mut queue, &request, now));
    assert_eq!(queue.wanted(), 3);
    queue.granted(tokens(2), 0.0, now);
    queue.granted(tokens(1), 0.0, now);
    let settled = queue.take_settled();
    let order: Vec<WaitingId> = settled.iter().map(|call| call.id).collect();
    assert_eq!(order, waiting);
}
