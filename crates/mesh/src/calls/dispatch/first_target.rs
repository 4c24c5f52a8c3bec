//! Waits for the first target of a service, while word of one may be on its way.

use std::time::{Duration, Instant};

use filbert_policy::first_report::TargetNews;

use super::CallDispatch;
use crate::state::MeshShared;

/// Maximum time to wait for the first target of a service. It covers a link's connection
/// and the target's first status, with the retransmissions after a lost packet. Without a
/// target by then, the call is refused.
const FIRST_TARGET_TIMEOUT: Duration = Duration::from_millis(600);

impl CallDispatch<'_> {
    /// Waits for the first target of the call's service, if this daemon has no links to the
    /// service yet (`is_unlinked`), or may hear of a target for the first time since its
    /// start. Returns whether there is a target.
    pub(super) async fn wait_for_first_target(&self, is_unlinked: bool) -> bool {
        let service = self.head.service.as_str();
        let until = self
            .deadline
            .min(self.shared.clock.now() + FIRST_TARGET_TIMEOUT);
        loop {
            let target_updated = self.shared.peers.target_updated.notified();
            let status_changed = self.shared.gate.status_changed.notified();
            if self.pick_target(&[]).is_some() {
                return true;
            }
            let now = self.shared.clock.now();
            if !is_unlinked && !self.shared.expects_target(service, now) {
                return false;
            }
            tokio::select! {
                () = target_updated => {}
                () = status_changed => {}
                () = tokio::time::sleep_until(until.into()) => return false,
            }
        }
    }
}

impl MeshShared {
    /// Whether word of a target of `service` may come soon: of the one on this host, or
    /// over a link that is about to be opened.
    fn expects_target(&self, service: &str, now: Instant) -> bool {
        let settings = self.settings.borrow();
        let report_interval = settings.times.report_every;
        let may_bring_target = |news: TargetNews| news.may_bring_target(report_interval, now);
        if settings.service == service && may_bring_target(self.gate.target_news()) {
            return true;
        }
        let mut peers = self.peers.all();
        peers.retain(|peer| peer.address.service == service);
        if peers.is_empty() {
            // The links are planned as soon as the hosts are known.
            return self.members.has_service(service);
        }
        peers
            .iter()
            .any(|peer| may_bring_target(peer.target_news.get()))
    }
}
