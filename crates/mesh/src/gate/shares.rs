//! The share of a call's organisation at the gate.

use filbert_policy::fair_share::OrganisationShare;

use super::Gate;
use crate::messages::CallHead;

impl Gate {
    /// Returns the share of the call's organisation. Logs the first invalid weight; such
    /// a weight counts as 1.
    pub(super) fn organisation_share(&self, call: &CallHead) -> Option<OrganisationShare> {
        let share = call.organisation?;
        if !share.has_valid_weight() && !self.has_logged_invalid_weight.replace(true) {
            log::warn!(
                "event=invalid_share_weight request={} share={:016x} weight={} counted_as=1",
                call.id,
                share.id,
                share.weight
            );
        }
        Some(share)
    }

    /// Log fields on the share of the call's organisation: its id, its weight, and the
    /// run time by which it is ahead of its share.
    pub(super) fn share_text(&self, call: &CallHead) -> String {
        call.organisation.map_or_else(
            || "share=none".to_owned(),
            |share| {
                let ahead = self.state.borrow().queue.run_ahead_of_share(share);
                format!(
                    "share={:016x} weight={} ahead_ms={}",
                    share.id,
                    share.weight,
                    ahead.as_millis()
                )
            },
        )
    }
}
