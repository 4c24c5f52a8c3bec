//! Access log: one line for each call that ends.

use std::time::Instant;

use filbert_policy::identity::CallIdentity;
use filbert_policy::organisations::token_request::QuotaRefusal;

use super::{
    ClientAnswer, ClientCall, GATEWAY_TIMEOUT, MIN_SERVER_ERROR_STATUS, NOT_FOUND,
    SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS, UNAUTHORIZED,
};
use crate::logging::LinePriority;
use crate::state::MeshShared;

/// The access log line of a call, filled in while the call is handled.
pub(super) struct AccessLogEntry {
    id: String,
    identity: CallIdentity,
    received: Instant,
    /// Number of the configuration version by which the call was routed.
    config_version: u64,
    pub(super) route: String,
    pub(super) service: String,
    pub(super) organisation: String,
    pub(super) host: String,
    /// Zone that took the call instead of this one; empty if none did.
    pub(super) other_zone: String,
    /// Version of the target's software.
    pub(super) software: String,
    pub(super) attempts: u32,
    pub(super) declines: u32,
    /// Time from the receipt of the call to its soft deadline; 0 until the call is
    /// dispatched.
    pub(super) soft_deadline_ms: u128,
    pub(super) reason: &'static str,
    /// Why the call got no token, if it was refused for that.
    pub(super) quota_refusal: Option<QuotaRefusal>,
}

impl AccessLogEntry {
    pub(super) fn new(call: &ClientCall, config_version: u64) -> AccessLogEntry {
        AccessLogEntry {
            id: call.headers.id.clone(),
            identity: call.identity,
            received: call.received,
            config_version,
            route: String::new(),
            service: String::new(),
            organisation: String::new(),
            host: String::new(),
            other_zone: String::new(),
            software: String::new(),
            attempts: 0,
            declines: 0,
            soft_deadline_ms: 0,
            reason: "-",
            quota_refusal: None,
        }
    }

    /// Counts the call in the metrics and writes its line, unless the limit on log
    /// lines is reached. A late, failed or retried call is logged as notable.
    pub(super) fn write(&self, shared: &MeshShared, answer: &ClientAnswer) {
        let now = shared.clock.now();
        let elapsed = now.saturating_duration_since(self.received);
        let (outcome, status, retry_after) = match answer {
            ClientAnswer::Target(answer) if answer.head.status >= MIN_SERVER_ERROR_STATUS => {
                ("target_failed", answer.head.status, None)
            }
            ClientAnswer::Target(answer) => ("answered", answer.head.status, None),
            ClientAnswer::Local {
                status,
                retry_after,
            } => {
                let outcome = match *status {
                    NOT_FOUND => "no_route",
                    UNAUTHORIZED => "unknown_key",
                    TOO_MANY_REQUESTS => "over_quota",
                    SERVICE_UNAVAILABLE => "refused",
                    GATEWAY_TIMEOUT => "timed_out",
                    _ => "unknown",
                };
                (outcome, *status, *retry_after)
            }
        };
        shared.metrics.record_call(&self.service, outcome, elapsed);
        let is_late = self.soft_deadline_ms > 0 && elapsed.as_millis() > self.soft_deadline_ms;
        let priority = if outcome == "answered" && !is_late && self.attempts <= 1 {
            LinePriority::Ordinary
        } else {
            LinePriority::Notable
        };
        if !shared.log_limiter.allows(priority, now) {
            return;
        }
        let quota = self.quota_refusal.map_or(String::new(), |refusal| {
            format!(" quota={}", refusal.label())
        });
        let to_zone = if self.other_zone.is_empty() {
            String::new()
        } else {
            format!(" to_zone={}", self.other_zone)
        };
        log::info!(
            "event=call_ended request={} call={} outcome={outcome} status={status} reason={} route={} service={} version={:08x} host={} attempts={} declines={} software={} organisation={} took_ms={} aim_ms={} come_back_ms={}{quota}{to_zone}",
            self.id,
            self.identity,
            self.reason,
            self.route,
            self.service,
            self.config_version,
            self.host,
            self.attempts,
            self.declines,
            self.software,
            self.organisation,
            elapsed.as_millis(),
            self.soft_deadline_ms,
            retry_after.map_or(0, |retry_after| retry_after.as_millis())
        );
    }
}
