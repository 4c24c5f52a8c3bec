//! The one line that says how a call ended.

use std::time::Instant;

use filbert_policy::identity::CallIdentity;

use super::{
    ClientAnswer, ClientCall, FIRST_FAILURE, NOT_ALLOWED, NOT_FOUND, TIMED_OUT, TOO_MANY,
    UNAVAILABLE,
};
use crate::logging::LinePriority;
use crate::state::MeshShared;

/// What is known of a call when it ends.
pub(super) struct CallStory {
    id: String,
    identity: CallIdentity,
    received: Instant,
    version: u64,
    pub(super) route: String,
    pub(super) service: String,
    pub(super) organisation: String,
    pub(super) host: String,
    pub(super) software: String,
    pub(super) attempts: u32,
    pub(super) declines: u32,
    pub(super) aim_ms: u128,
    pub(super) reason: &'static str,
}

impl CallStory {
    pub(super) fn new(call: &ClientCall, version: u64) -> CallStory {
        CallStory {
            id: call.headers.id.clone(),
            identity: call.identity,
            received: call.received,
            version,
            route: String::new(),
            service: String::new(),
            organisation: String::new(),
            host: String::new(),
            software: String::new(),
            attempts: 0,
            declines: 0,
            aim_ms: 0,
            reason: "-",
        }
    }

    pub(super) fn tell(&self, shared: &MeshShared, answer: &ClientAnswer) {
        let now = shared.clock.now();
        let took = now.saturating_duration_since(self.received);
        let (outcome, status, come_back) = match answer {
            ClientAnswer::Target(head, _) if head.status >= FIRST_FAILURE => {
                ("target_failed", head.status, None)
            }
            ClientAnswer::Target(head, _) => ("answered", head.status, None),
            ClientAnswer::Own { status, come_back } => {
                let outcome = match *status {
                    NOT_FOUND => "no_route",
                    NOT_ALLOWED => "unknown_key",
                    TOO_MANY => "over_quota",
                    UNAVAILABLE => "refused",
                    TIMED_OUT => "timed_out",
                    _ => "unknown",
                };
                (outcome, *status, *come_back)
            }
        };
        shared.metrics.record_call(&self.service, outcome, took);
        let is_late = self.aim_ms > 0 && took.as_millis() > self.aim_ms;
        let priority = if outcome == "answered" && !is_late && self.attempts <= 1 {
            LinePriority::Ordinary
        } else {
            LinePriority::Notable
        };
        if !shared.log_limiter.allows(priority, now) {
            return;
        }
        log::info!(
            "event=call_ended request={} call={} outcome={outcome} status={status} reason={} route={} service={} version={:08x} host={} attempts={} declines={} software={} organisation={} took_ms={} aim_ms={} come_back_ms={}",
            self.id,
            self.identity,
            self.reason,
            self.route,
            self.service,
            self.version,
            self.host,
            self.attempts,
            self.declines,
            self.software,
            self.organisation,
            took.as_millis(),
            self.aim_ms,
            come_back.map_or(0, |after| after.as_millis())
        );
    }
}
