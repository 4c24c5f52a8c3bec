//! What is told of attempts, and to a caller whose call is not tried again.

use std::time::Duration;

use filbert_policy::attempt::{AttemptEnd, NextStep};
use filbert_policy::refusal::{retry_after, retry_after_shedding};
use filbert_policy::run_times::RunTime;
use rand::Rng;

use super::{Placing, NO_TARGET};
use crate::calls::pick::PickedTarget;
use crate::calls::{refuse, ClientAnswer, BAD_GATEWAY};
use crate::logging::LinePriority;

/// Shortest time to come back after for a call that is held back.
const SHORTEST_HOLD: Duration = Duration::from_millis(40);

impl Placing<'_> {
    /// Writes the line on an attempt that gave no good answer.
    pub(super) fn tell(&self, target: &PickedTarget, end: AttemptEnd, step: NextStep) {
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
            self.arrivals,
            self.declines,
            view.occupancy,
            view.slots,
            view.run_ms,
            view.failure_rate,
            view.in_zone,
            view.link_ms,
            target.candidates
        );
    }

    /// The answer when no further attempt is made: what a target said of its
    /// own failure, or what is known.
    pub(super) fn give_up(self) -> ClientAnswer {
        if let Some((head, body)) = self.failure {
            return ClientAnswer::Target(head, body);
        }
        if self.progress.may_have_run.get() {
            self.story.reason = "answer_lost";
            return ClientAnswer::own(BAD_GATEWAY);
        }
        if let Some(left) = self.held_for {
            self.story.reason = "held_back";
            self.shared.metrics.record_quarantine_change("refused");
            // The whole time, also where the caller will not wait so long: an
            // earlier try would be refused too.
            return refuse(left.max(SHORTEST_HOLD));
        }
        self.story.reason = match (self.last_end, self.room) {
            (Some(AttemptEnd::Rejected), _) => "target_rejected",
            (_, Some(_)) => "no_room",
            (_, None) => "no_target",
        };
        let now = self.shared.clock.now();
        let left = self.limit.saturating_duration_since(now);
        let spread = rand::rng().random::<f64>();
        let come_back = if self.last_end == Some(AttemptEnd::Rejected) {
            let run = self
                .head
                .usual_run
                .map_or(NO_TARGET, |usual| RunTime::from(usual).mean);
            retry_after_shedding(run, left, spread)
        } else {
            retry_after(self.room.unwrap_or(NO_TARGET), left, spread)
        };
        refuse(come_back)
    }
}

/// The ending as metrics name it.
pub(super) fn end_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered => "answered",
        AttemptEnd::AnsweredFailure => "answered_failure",
        AttemptEnd::Declined => "declined",
        AttemptEnd::HeldBack => "held_back",
        AttemptEnd::Rejected => "rejected",
        AttemptEnd::Lost => "lost",
    }
}
