//! Reports the load of this host to the readers of its zone. Readers add up the reports
//! and send the sums to the daemons of their zone and to the readers of others.

use std::time::{Duration, Instant};

use filbert_policy::zone_load::sums::{remove_unusable, ServiceLoad, ZoneSum};

use super::messages::LoadReport;
use crate::logging::LinePriority;
use crate::messages::LinkMessage;
use crate::state::MeshShared;

/// Minimum time between two reports of a host, and between two sums of a reader.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a report is repeated although nothing has changed, so that it does not
/// count as absent.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two sums of a zone that a reader relays. Somewhat less than
/// [`MIN_SEND_INTERVAL`], so that all sums of the reader that is used are relayed.
const MIN_RELAY_INTERVAL: Duration = Duration::from_millis(400);
/// Relative change of a load from which it is reported.
const REPORTED_CHANGE: f64 = 0.1;

impl MeshShared {
    /// Sends the load of this host to the readers of its zone, if a value has changed
    /// enough or the last report is old.
    pub(super) fn report_load(&self, now: Instant) {
        let loads = self.own_load(now);
        let mut last_report = self.zone_load.last_report.borrow_mut();
        if loads.is_empty() {
            *last_report = None;
            return;
        }
        let is_due = last_report.as_ref().is_none_or(|(at, before)| {
            let elapsed = now.saturating_duration_since(*at);
            elapsed >= REFRESH_INTERVAL
                || (elapsed >= MIN_SEND_INTERVAL && has_changed(before, &loads))
        });
        if !is_due {
            return;
        }
        let settings = self.settings.borrow();
        let report = LoadReport {
            host: settings.id.clone(),
            zone: settings.zone.clone(),
            loads: loads.clone(),
        };
        let plan = self.members.plan.borrow();
        for reader in plan.readers.iter().filter_map(|id| self.peers.get(id)) {
            reader.send_message(LinkMessage::ReportLoad(report.clone()));
        }
        if plan.is_reader {
            self.record_load_report(report);
        }
        *last_report = Some((now, loads));
    }

    /// Records the report of a host of this zone.
    pub fn record_load_report(&self, mut report: LoadReport) {
        if report.zone != self.settings.borrow().zone {
            self.log_unusable(&report.host, &report.zone, "the host is in another zone");
            return;
        }
        if let Some(fault) = remove_unusable(&mut report.loads) {
            self.log_unusable(&report.host, &report.zone, fault);
        }
        let now = self.clock.now();
        let mut reports = self.zone_load.reports.borrow_mut();
        reports.record(&report.host, report.loads, now);
    }

    /// Sends the sum of the reports of this zone, if this daemon is a reader and there are
    /// any.
    pub(super) fn send_zone_sum(&self, now: Instant) {
        let state = &self.zone_load;
        let is_recent = |at: Instant| now < at + MIN_SEND_INTERVAL;
        let mut reports = state.reports.borrow_mut();
        if reports.is_empty() || state.summed_at.get().is_some_and(is_recent) {
            return;
        }
        let loads = reports.sum(now);
        if loads.is_empty() || !self.members.is_reader() {
            return;
        }
        state.summed_at.set(Some(now));
        state.sequence.set(state.sequence.get() + 1);
        let settings = self.settings.borrow();
        let sum = ZoneSum {
            zone: settings.zone.clone(),
            reader: settings.id.clone(),
            sequence: (self.seed, state.sequence.get()),
            age: Duration::ZERO,
            loads,
        };
        state.sums.borrow_mut().record(sum.clone(), now);
        let message = LinkMessage::ZoneLoads(sum);
        self.send_to_followers(&message);
        self.send_to_sources(&message);
    }

    /// Records a sum that daemon `from` sent. A reader relays it if it is new, and of the
    /// reader whose sums are used.
    pub fn merge_zone_sum(&self, mut sum: ZoneSum, from: &str) {
        if let Some(fault) = remove_unusable(&mut sum.loads) {
            self.log_unusable(from, &sum.zone, fault);
        }
        let now = self.clock.now();
        if !self.zone_load.sums.borrow_mut().record(sum.clone(), now) {
            return;
        }
        self.update_zone_shares(now);
        let is_used = self.zone_load.sums.borrow().used_reader(&sum.zone, now) == Some(&sum.reader);
        if !(is_used && self.members.is_reader() && self.may_relay(&sum.zone, now)) {
            return;
        }
        let message = LinkMessage::ZoneLoads(sum);
        self.send_to_followers(&message);
        if self.members.is_source() {
            self.send_to_sources(&message);
        }
    }

    /// Whether a sum of `zone` may be relayed now; if so, the next may be only after
    /// [`MIN_RELAY_INTERVAL`].
    fn may_relay(&self, zone: &str, now: Instant) -> bool {
        let mut relayed = self.zone_load.relayed.borrow_mut();
        relayed.retain(|_, at| now < *at + MIN_RELAY_INTERVAL);
        let may_relay = !relayed.contains_key(zone);
        if may_relay {
            relayed.insert(zone.to_owned(), now);
        }
        may_relay
    }

    /// Sends `message` to the sources of the fleet, through which it reaches the readers of
    /// other zones.
    fn send_to_sources(&self, message: &LinkMessage) {
        let plan = self.members.plan.borrow();
        for source in plan.sources.iter().filter_map(|id| self.peers.get(id)) {
            source.send_message(message.clone());
        }
    }

    fn log_unusable(&self, from: &str, zone: &str, fault: &str) {
        let now = self.clock.now();
        if self.log_limiter.allows(LinePriority::Notable, now) {
            log::warn!("event=zone_load_ignored from={from:?} zone={zone:?} reason=\"{fault}\"");
        }
    }
}

/// Whether any load differs enough from the last report.
fn has_changed(before: &[ServiceLoad], after: &[ServiceLoad]) -> bool {
    let differs = |before: f64, after: f64| {
        (before - after).abs() > REPORTED_CHANGE * before.abs().max(after.abs())
    };
    before.len() != after.len()
        || before.iter().zip(after).any(|(before, after)| {
            before.service != after.service
                || before.is_pressed != after.is_pressed
                || before.load.open_targets != after.load.open_targets
                || differs(before.load.demand, after.load.demand)
                || differs(before.load.capacity, after.load.capacity)
        })
}
