//! Log lines on attempts, and the answer to a call for which no further attempt is
//! made.

use std::time::{Duration, Instant};

use filbert_policy::attempt::{AttemptEnd, NextStep};
use filbert_policy::refusal::{retry_after, retry_after_shedding};
use filbert_policy::run_times::RunTime;
use filbert_policy::told_times::ToldTime;
use rand::Rng;

use super::{CallDispatch, NO_TARGET_RETRY_AFTER};
use crate::calls::pick::PickedTarget;
use crate::calls::{service_unavailable, ClientAnswer, BAD_GATEWAY, UNKNOWN_RUN_TIME};
use crate::logging::LinePriority;

/// Minimum time after which a client should retry a call that is held back.
const MIN_HOLD_RETRY_AFTER: Duration = Duration::from_millis(40);

impl CallDispatch<'_> {
    /// Logs an attempt that did not end with a successful answer.
    pub(super) fn log_attempt(&self, target: &PickedTarget, end: AttemptEnd, step: NextStep) {
        let now = self.shared.clock.now();
        if end == AttemptEnd::Answered
            || !self.shared.log_limiter.allows(LinePriority::Notable, now)
        {
            return;
        }
        let view = &target.view;
        log::info!(
            "event=attempt_ended request={} call={} route={} host={} end={end:?} next={step:?} arrivals={} declines={} occupancy={:.0} slots={} run_ms={:.0} ill_share={:.2} in_zone={} link_ms={:.0} candidates={}",
            self.head.id,
            self.head.identity,
            self.route.name,
            target.host,
            self.delivered_attempts,
            self.declines,
            view.occupancy,
            view.slots,
            view.run_ms,
            view.failure_rate,
            view.in_zone,
            view.link_ms,
            target.candidate_count
        );
    }

    /// The answer if no further attempt is made: a target's own failure answer if
    /// there is one, otherwise a local reply that states whether the call may have
    /// run.
    pub(super) fn final_answer(mut self) -> ClientAnswer {
        if let Some((head, body)) = self.failed_answer.take() {
            return self.target_answer(head, body);
        }
        if self.progress.may_have_run.get() {
            self.log_entry.reason = "answer_lost";
            return ClientAnswer::local(BAD_GATEWAY);
        }
        if let Some(remaining_hold) = self.remaining_hold {
            self.log_entry.reason = "held_back";
            self.shared.metrics.record_quarantine_change("refused");
            // Not capped to the time that the client has left: an earlier retry would be
            // refused as well.
            return service_unavailable(remaining_hold.max(MIN_HOLD_RETRY_AFTER));
        }
        self.log_entry.reason = match (self.last_end, self.min_room_in) {
            (Some(AttemptEnd::Rejected), _) => "target_rejected",
            (_, Some(_)) => "no_room",
            (_, None) => "no_target",
        };
        let now = self.shared.clock.now();
        let time_left = self.deadline.saturating_duration_since(now);
        if let ("no_room", Some(client_deadline)) =
            (self.log_entry.reason, self.limited_client_deadline)
        {
            return service_unavailable(self.reserve_retry(client_deadline, time_left, now));
        }
        let jitter = rand::rng().random::<f64>();
        let delay = if self.last_end == Some(AttemptEnd::Rejected) {
            let run_time = self
                .head
                .expected_run_time
                .map_or(UNKNOWN_RUN_TIME, |expected_run_time| {
                    RunTime::from(expected_run_time).mean
                });
            retry_after_shedding(run_time, time_left, jitter)
        } else {
            retry_after(
                self.min_room_in.unwrap_or(NO_TARGET_RETRY_AFTER),
                time_left,
                jitter,
            )
        };
        service_unavailable(delay)
    }
}

impl CallDispatch<'_> {
    /// Counts an accepted call of an organisation with a rate limit. The rate of these
    /// calls is that of the retries of their refused ones.
    pub(super) fn record_accepted(&self, end: AttemptEnd) {
        let is_accepted = matches!(end, AttemptEnd::Answered | AttemptEnd::AnsweredFailure);
        if is_accepted && self.limited_client_deadline.is_some() {
            let now = self.shared.clock.now();
            let return_times = &self.shared.return_times;
            return_times.record_accepted(&self.head.service, now);
        }
    }

    /// Reserves the time of the retry of a call for which the service has no capacity.
    fn reserve_retry(
        &self,
        client_deadline: Instant,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        let return_times = &self.shared.return_times;
        let call = self.head.identity;
        let retry_after = return_times.remaining(call, now).unwrap_or_else(|| {
            let room_in = self.min_room_in.unwrap_or(NO_TARGET_RETRY_AFTER);
            return_times.retry_after_no_room(&self.head.service, room_in, time_left, now)
        });
        let told = ToldTime {
            retry_at: now + retry_after,
            soft_deadline: self.soft_deadline,
            deadline: client_deadline,
        };
        return_times.record_told(call, told, now);
        retry_after
    }
}

/// Metric label of an attempt's end.
pub(super) fn attempt_end_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered => "answered",
        AttemptEnd::AnsweredFailure => "answered_failure",
        AttemptEnd::Declined => "declined",
        AttemptEnd::HeldBack => "held_back",
        AttemptEnd::Rejected => "rejected",
        AttemptEnd::Lost => "lost",
    }
}
