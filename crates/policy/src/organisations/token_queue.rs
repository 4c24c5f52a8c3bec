//! Orders the calls of one organisation that wait for a token at a daemon, and refuses
//! those that cannot get one in time.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::quota::TokenGrant;
use super::token_cache::{TakeOutcome, TokenCache};
use super::token_request::{CallClass, QuotaRefusal, TokenRequest};
use crate::decaying_rate::DecayingRate;
use crate::numbers::count_to_f64;
use crate::told_times::RetryTiming;

/// Time after an empty grant for which tokens count as short.
const SHORTAGE_DURATION: Duration = Duration::from_secs(1);
/// Time after the refusal of a call in time for which late calls get no tokens. Half of
/// the time for which a cached token is kept, so that none expires for want of a call in
/// time.
const IN_TIME_PREFERENCE: Duration = Duration::from_millis(500);
/// Maximum number of calls that wait under shortage.
const MAX_WAITING_CALLS: usize = 512;
/// Longest random delay of a request after an empty grant, and the delay for each class
/// of calls that precedes the waiting ones: the shortest time that an empty pool states.
const REQUEST_DELAY_STEP: Duration = Duration::from_millis(20);
/// Maximum number of classes for which a request is delayed.
const MAX_DELAY_STEPS: usize = 2;
/// Lowest rate at which a class of calls counts as present, per second.
const MIN_CLASS_RATE_PER_S: f64 = 0.1;
/// Lowest rate of grants that the expected wait is computed with, per second.
const MIN_GRANT_RATE_PER_S: f64 = 1.0;

/// Number of a waiting call, unique within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingId(u64);

/// Decision on a call that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The call has a token.
    Taken,
    /// The call waits, until this time at most.
    Wait(WaitingId, Instant),
    /// The call gets no token.
    Refused(QuotaRefusal),
}

/// The end of a call's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettledCall {
    /// The call that waited.
    pub id: WaitingId,
    /// Whether it has a token now, or why it gets none.
    pub outcome: Result<(), QuotaRefusal>,
}

/// Order in which waiting calls get tokens; the least is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallRank {
    is_late: bool,
    priority: u8,
    timing: RetryTiming,
    soft_deadline: Instant,
    id: WaitingId,
}

impl CallRank {
    fn new(id: WaitingId, request: &TokenRequest, now: Instant) -> CallRank {
        CallRank {
            is_late: request.is_late(now),
            priority: request.priority,
            timing: request.timing,
            soft_deadline: request.soft_deadline,
            id,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    rank: CallRank,
    request: TokenRequest,
    wait_until: Instant,
}

/// The tokens of one organisation at a daemon and the calls that wait for one.
///
/// Load pattern: an organisation sends several times its limit. First come, first served,
/// 40% of the tokens of its most urgent calls go to second and third tries that are late.
///
/// Without shortage, calls take tokens in the order of their arrival. Tokens are short
/// from an empty grant on. Then calls in time are first, by priority; a call that no
/// token is expected for in time is refused at once, and late calls get only tokens that
/// no call in time wants.
#[derive(Clone, Debug, Default)]
pub struct TokenQueue {
    token_cache: TokenCache,
    /// Waiting calls; under shortage in the order of their ranks.
    waiting: VecDeque<WaitingCall>,
    next_id: u64,
    /// Tokens that the pools granted to this daemon.
    grants: DecayingRate,
    /// Calls that got tokens, by class.
    class_rates: BTreeMap<CallClass, DecayingRate>,
    /// Time of the last empty grant.
    empty_grant_at: Option<Instant>,
    /// Time at which a call in time was last refused.
    refused_in_time_at: Option<Instant>,
    settled: Vec<SettledCall>,
}

impl TokenQueue {
    /// Takes a token for a call, or decides whether the call waits for one. The wait of
    /// other calls may end, see [`TokenQueue::take_settled`].
    pub fn offer(&mut self, request: &TokenRequest, now: Instant) -> TokenDecision {
        if self.is_short(now) {
            return self.offer_under_shortage(request, now);
        }
        match self.token_cache.take(now) {
            TakeOutcome::Taken => {
                self.record_taken(request, now);
                TokenDecision::Taken
            }
            TakeOutcome::RequestMore | TakeOutcome::Exhausted(_) => {
                let position = self.waiting.len();
                self.insert(position, request, request.longest_wait(now), now)
            }
        }
    }

    fn offer_under_shortage(&mut self, request: &TokenRequest, now: Instant) -> TokenDecision {
        let is_late = request.is_late(now);
        if is_late && self.is_wanted_in_time(now) {
            return TokenDecision::Refused(QuotaRefusal::Late);
        }
        let rank = CallRank::new(WaitingId(self.next_id), request, now);
        let position = self.waiting.partition_point(|other| other.rank < rank);
        if position == 0 && self.take(request, now) {
            return TokenDecision::Taken;
        }
        let wait_until = if is_late {
            request.longest_wait(now)
        } else {
            request.wait_under_shortage(now)
        };
        if !self.expects_token(position, is_late, wait_until, now) {
            return TokenDecision::Refused(self.refuse(is_late, now));
        }
        let decision = self.insert(position, request, wait_until, now);
        self.displace(now);
        decision
    }

    /// Records the response of the pools and gives its tokens to waiting calls. `jitter`
    /// is a random number between 0 and 1.
    pub fn granted(&mut self, grant: TokenGrant, jitter: f64, now: Instant) {
        let was_short = self.is_short(now);
        let grant = TokenGrant {
            next_token_in: grant.next_token_in + self.request_delay(jitter, now),
            ..grant
        };
        self.token_cache.granted(grant, now);
        if grant.tokens > 0 {
            self.grants.record(grant.tokens, now);
        } else {
            self.empty_grant_at = Some(now);
            if !was_short {
                self.rank_waiting(now);
            }
        }
        self.expire(now);
        self.distribute(now);
    }

    /// Returns the token of a call that did not run, for the next waiting call.
    pub fn refund(&mut self, now: Instant) {
        self.token_cache.refund(now);
        self.distribute(now);
    }

    /// Ends the wait of calls whose time is up.
    pub fn expire(&mut self, now: Instant) {
        let mut index = 0;
        while let Some(call) = self.waiting.get(index) {
            if now < call.wait_until {
                index += 1;
                continue;
            }
            let call = *call;
            self.waiting.remove(index);
            if !call.rank.is_late {
                self.refused_in_time_at = Some(now);
            }
            self.settle(&call, Err(QuotaRefusal::NoToken));
        }
    }

    /// Removes a call whose client has cancelled it. Returns whether it still waited.
    pub fn cancel(&mut self, id: WaitingId) -> bool {
        let index = self.waiting.iter().position(|call| call.rank.id == id);
        index.and_then(|index| self.waiting.remove(index)).is_some()
    }

    /// Returns the calls whose wait has ended since this was last called.
    #[must_use]
    pub fn take_settled(&mut self) -> Vec<SettledCall> {
        std::mem::take(&mut self.settled)
    }

    /// Number of tokens to request now.
    #[must_use]
    pub fn wanted(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.token_cache.wanted(waiting)
    }

    /// Whether tokens should be requested before the next call needs one.
    #[must_use]
    pub fn needs_refill(&self, now: Instant) -> bool {
        self.token_cache.needs_refill(now)
    }

    /// Whether any call waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether the pools had no tokens recently.
    #[must_use]
    pub fn is_short(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now < at + SHORTAGE_DURATION;
        self.empty_grant_at.is_some_and(is_recent)
            || self.token_cache.exhausted_for(now) > Duration::ZERO
    }

    /// Returns the time of the next request while calls wait, or of the next end of a wait.
    #[must_use]
    pub fn next_event(&self, now: Instant) -> Instant {
        let next_request = now + self.token_cache.exhausted_for(now);
        let waits = self.waiting.iter().map(|call| call.wait_until);
        waits.fold(next_request, Instant::min).max(now)
    }

    /// Time until the pools may have tokens; zero if they may have some now.
    #[must_use]
    pub fn exhausted_for(&self, now: Instant) -> Duration {
        self.token_cache.exhausted_for(now)
    }

    /// Time until a token is expected that is not needed for a waiting call.
    #[must_use]
    pub fn free_token_in(&self, now: Instant) -> Duration {
        self.expected_wait(self.waiting.len(), now)
    }

    /// Returns the recent rate at which calls of `class` got tokens, per second.
    #[must_use]
    pub fn class_rate(&self, class: CallClass, now: Instant) -> f64 {
        let rate = self.class_rates.get(&class);
        rate.map_or(0.0, |rate| rate.per_s(now))
    }

    /// Returns the time by which the next request after an empty grant is delayed.
    ///
    /// Load pattern: all daemons request tokens again at the time that the pool stated,
    /// in the same order each time, and the first takes all tokens. With random delays
    /// they take turns. A daemon delays its request for each class of calls that precedes
    /// its first waiting call, so that daemons with more valuable calls get tokens first.
    fn request_delay(&self, jitter: f64, now: Instant) -> Duration {
        let Some(first) = self.waiting.front() else {
            return Duration::ZERO;
        };
        let first_class = first.request.class(now);
        let classes = self.class_rates.range(..first_class);
        let preceding = classes.filter(|(_, rate)| rate.per_s(now) >= MIN_CLASS_RATE_PER_S);
        let steps = count_to_f64(preceding.count().min(MAX_DELAY_STEPS));
        REQUEST_DELAY_STEP.mul_f64(steps + jitter.clamp(0.0, 1.0))
    }

    /// Whether a call in time waits for a token or was recently refused one.
    fn is_wanted_in_time(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now < at + IN_TIME_PREFERENCE;
        self.waiting.front().is_some_and(|call| !call.rank.is_late)
            || self.refused_in_time_at.is_some_and(is_recent)
    }

    fn take(&mut self, request: &TokenRequest, now: Instant) -> bool {
        let is_taken = self.token_cache.take(now) == TakeOutcome::Taken;
        if is_taken {
            self.record_taken(request, now);
        }
        is_taken
    }

    fn record_taken(&mut self, request: &TokenRequest, now: Instant) {
        let rate = self.class_rates.entry(request.class(now)).or_default();
        rate.record(1, now);
    }

    /// Whether a call may wait at `position` until `wait_until`. A response of the pools
    /// that has not come yet is awaited.
    fn expects_token(
        &self,
        position: usize,
        is_late: bool,
        wait_until: Instant,
        now: Instant,
    ) -> bool {
        if self.token_cache.exhausted_for(now).is_zero() {
            return now < wait_until;
        }
        !is_late && now + self.expected_wait(position, now) < wait_until
    }

    fn expected_wait(&self, position: usize, now: Instant) -> Duration {
        let grants_per_s = self.grants.per_s(now).max(MIN_GRANT_RATE_PER_S);
        let ahead = Duration::from_secs_f64(count_to_f64(position) / grants_per_s);
        self.token_cache.exhausted_for(now) + ahead
    }

    fn insert(
        &mut self,
        position: usize,
        request: &TokenRequest,
        wait_until: Instant,
        now: Instant,
    ) -> TokenDecision {
        let id = WaitingId(self.next_id);
        self.next_id += 1;
        let call = WaitingCall {
            rank: CallRank::new(id, request, now),
            request: *request,
            wait_until,
        };
        self.waiting.insert(position, call);
        TokenDecision::Wait(id, wait_until)
    }

    /// Orders the waiting calls by rank as tokens become short.
    fn rank_waiting(&mut self, now: Instant) {
        for call in &mut self.waiting {
            call.rank.is_late = call.request.is_late(now);
            if !call.rank.is_late {
                let wait_until = call.request.wait_under_shortage(now);
                call.wait_until = call.wait_until.min(wait_until);
            }
        }
        self.waiting
            .make_contiguous()
            .sort_unstable_by_key(|call| call.rank);
    }

    /// Gives the cached tokens to waiting calls.
    fn distribute(&mut self, now: Instant) {
        let is_short = self.is_short(now);
        while let Some(call) = self.waiting.front().copied() {
            let is_kept = is_short && call.rank.is_late && self.is_wanted_in_time(now);
            if is_kept || !self.take(&call.request, now) {
                break;
            }
            self.waiting.pop_front();
            self.settle(&call, Ok(()));
        }
        if is_short {
            self.displace(now);
        }
    }

    /// Refuses the last calls in the queue while no token is expected for them in time.
    fn displace(&mut self, now: Instant) {
        while let Some(call) = self.waiting.back().copied() {
            let is_late = call.rank.is_late;
            let position = self.waiting.len() - 1;
            let is_expected = position < MAX_WAITING_CALLS
                && !(is_late && self.is_wanted_in_time(now))
                && self.expects_token(position, is_late, call.wait_until, now);
            if is_expected {
                break;
            }
            self.waiting.pop_back();
            let refusal = self.refuse(is_late, now);
            self.settle(&call, Err(refusal));
        }
    }

    fn refuse(&mut self, is_late: bool, now: Instant) -> QuotaRefusal {
        if is_late && self.is_wanted_in_time(now) {
            return QuotaRefusal::Late;
        }
        if !is_late {
            self.refused_in_time_at = Some(now);
        }
        QuotaRefusal::LimitReached
    }

    fn settle(&mut self, call: &WaitingCall, outcome: Result<(), QuotaRefusal>) {
        let id = call.rank.id;
        self.settled.push(SettledCall { id, outcome });
    }
}
