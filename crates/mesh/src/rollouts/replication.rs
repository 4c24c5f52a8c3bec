//! Sends records of roll-outs to all daemons, and reports on targets to the daemons
//! that decide on stages.

use std::rc::Rc;
use std::time::Duration;

use crate::messages::{encode, LinkMessage};
use crate::state::MeshShared;

use super::messages::{RolloutUpdate, TargetReport};

/// Interval at which a daemon reports on its target, and a reader forwards reports.
/// Reports reach the deciding daemons through one reader at most, so within twice
/// this time.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of reports in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 64;

impl MeshShared {
    /// Returns the message with all roll-outs, sent on a new link; `None` if no
    /// roll-out is known.
    #[must_use]
    pub fn all_rollouts(&self) -> Option<LinkMessage> {
        self.rollout_updates(&self.rollouts.services())
    }

    fn rollout_updates(&self, services: &[String]) -> Option<LinkMessage> {
        let now = self.clock.now();
        let updates: Vec<RolloutUpdate> = services
            .iter()
            .filter_map(|service| self.rollouts.entry(service))
            .map(|entry| RolloutUpdate {
                elapsed: now.saturating_duration_since(entry.ordered_at),
                confirmed_after: entry.confirmed_after,
                record: entry.record,
            })
            .collect();
        (!updates.is_empty()).then_some(LinkMessage::Rollouts(updates))
    }

    /// Merges the records that daemon `from` sent.
    pub fn merge_rollouts(&self, updates: &[RolloutUpdate], from: &str) {
        for update in updates {
            self.rollouts
                .merge(&update.record, update.elapsed, update.confirmed_after, from);
        }
    }

    /// Records reports on targets.
    pub fn record_reports(&self, reports: Vec<TargetReport>) {
        let now = self.clock.now();
        for report in reports {
            self.rollouts.reports.record(report, now);
        }
    }

    /// Returns the report on this daemon's target; `None` if there is no target or
    /// its service has no live roll-out.
    fn local_report(&self) -> Option<TargetReport> {
        let status = self.gate.status()?;
        if !self.rollouts.has_live_rollout(&status.service) {
            return None;
        }
        let (sequence, kinds) = self.rollouts.run_counters.snapshot();
        let settings = self.settings.borrow();
        Some(TargetReport {
            host: settings.id.clone(),
            incarnation: self.seed,
            sequence,
            zone: settings.zone.clone(),
            known_step: self.rollouts.known_step(&status.service),
            accepts_calls: self.gate.is_open_without_rollouts(),
            calls_in_progress: self.gate.calls_in_progress(),
            software: status.software,
            service: status.service,
            kinds,
        })
    }

    /// Sends the reports that arrived since the last time, and the one on this
    /// daemon's own target, to the upstreams of this daemon. Readers thereby forward
    /// them to the sources, which decide.
    fn forward_reports(&self) {
        let local = self.local_report();
        if let Some(local) = local {
            self.record_reports(vec![local]);
        }
        let reports = self.rollouts.reports.take_unforwarded();
        if self.members.is_source() || reports.is_empty() {
            return;
        }
        for upstream in self.linked_upstreams() {
            for chunk in reports.chunks(MAX_REPORTS_PER_MESSAGE) {
                upstream.send_message(LinkMessage::TargetReports(chunk.to_vec()));
            }
        }
    }
}

/// Sends changed records to all daemons linked in either direction. Never returns.
pub async fn send_updates(shared: Rc<MeshShared>) {
    loop {
        let services = shared.rollouts.next_unsent().await;
        let Some(message) = shared.rollout_updates(&services) else {
            continue;
        };
        shared.peers.broadcast(&encode(&message));
        for peer in shared.peers.all() {
            peer.send_message(message.clone());
        }
        // The set of canaries, which every daemon links to, may have changed.
        shared.members.changed.notify_one();
    }
}

/// Opens or closes the gate of this daemon's target as stages change. Never returns.
pub async fn apply_stages_to_gate(shared: Rc<MeshShared>) {
    loop {
        shared.rollouts.stage_changed.notified().await;
        shared.gate.apply_rollout_change();
    }
}

/// Sends reports on targets while any roll-out is live. Never returns.
pub async fn report_run_counts(shared: Rc<MeshShared>) {
    loop {
        shared.rollouts.wait_until_any_live().await;
        while shared.rollouts.has_any_live() {
            tokio::time::sleep(REPORT_INTERVAL).await;
            shared.forward_reports();
        }
        shared.rollouts.reports.clear();
    }
}
