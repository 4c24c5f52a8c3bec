//! Chooses the zone of a call by the parts that other zones take of this zone's calls.

use filbert_policy::run_times::RunTime;

use super::CallDispatch;
use crate::calls::pick::{pick_target, Destination, PickedTarget};
use crate::metrics::ZoneCallDirection;

impl CallDispatch<'_> {
    /// Counts the call in the demand of this zone, and chooses the zone that takes it.
    pub(super) fn choose_zone(&mut self) {
        let service = self.head.service.as_str();
        let expected_run_time = self.head.expected_run_time.map(RunTime::from);
        self.shared
            .record_demand(service, expected_run_time.map(|run| run.mean));
        self.other_zone = self.shared.draw_zone(service);
    }

    /// Counts the call's first attempt, if it is made in the zone that takes the call
    /// instead of this one.
    pub(super) fn count_sent_to_zone(&mut self, target: &PickedTarget) {
        let Destination::Peer(peer) = &target.destination else {
            return;
        };
        if self.other_zone.as_ref() == Some(&peer.address.zone) {
            self.shared
                .metrics
                .record_zone_call(ZoneCallDirection::Sent, &peer.address.zone);
            self.log_entry.other_zone.clone_from(&peer.address.zone);
        }
    }

    /// Chooses the best target for the call; targets on `tried_hosts` are left out.
    pub(super) fn pick_target(&self, tried_hosts: &[String]) -> Option<PickedTarget> {
        let other_zone = self.other_zone.as_deref();
        pick_target(self.shared, self.route, &self.head, tried_hosts, other_zone)
    }
}
