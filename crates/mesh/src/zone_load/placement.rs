//! Computes the parts of this zone's calls that other zones take, and draws the zone of
//! each call.

use std::collections::BTreeSet;
use std::time::Instant;

use filbert_policy::zone_load::shares::{ZoneLoad, ZoneShares};
use rand::Rng;

use crate::logging::LinePriority;
use crate::metrics::ZoneCallDirection;
use crate::state::MeshShared;

/// Change of a part from which it is logged.
const LOGGED_CHANGE: f64 = 0.05;

impl MeshShared {
    /// Computes the parts from the sums of the zones that this daemon has links to.
    pub(super) fn update_zone_shares(&self, now: Instant) {
        let state = &self.zone_load;
        let mut services = state.sums.borrow().services();
        let mut shares = state.shares.borrow_mut();
        services.extend(shares.keys().cloned());
        // The end of a part is logged later if the limit on log lines is reached.
        services.extend(state.logged.borrow().keys().cloned());
        if services.is_empty() {
            return;
        }
        let own = self.settings.borrow().zone.clone();
        let mut zones: BTreeSet<String> = self
            .peers
            .all()
            .iter()
            .filter(|peer| peer.is_linked())
            .map(|peer| peer.address.zone.clone())
            .collect();
        zones.insert(own.clone());
        for service in services {
            let (mut loads, _) = state.sums.borrow().loads_of(&service, now);
            loads.retain(|zone, _| zones.contains(zone));
            let before = shares.remove(&service).unwrap_or_default();
            let after = before.after(&loads);
            let load = loads.get(&own).copied().unwrap_or_default();
            self.log_share_changes(&service, &own, &after, load);
            if after != ZoneShares::default() {
                shares.insert(service, after);
            }
        }
    }

    /// Logs each part of this zone's calls that has changed enough since it was last
    /// logged.
    fn log_share_changes(&self, service: &str, own: &str, after: &ZoneShares, load: ZoneLoad) {
        let mut logged = self.zone_load.logged.borrow_mut();
        let before = logged.get(service).cloned().unwrap_or_default();
        let has_ended = before.sends(own) && !after.sends(own);
        if before.max_change(after, own) <= LOGGED_CHANGE && !has_ended {
            return;
        }
        let now = self.clock.now();
        if !self.log_limiter.allows(LinePriority::Notable, now) {
            return;
        }
        let zones: BTreeSet<&String> = before
            .parts_of(own)
            .iter()
            .chain(after.parts_of(own))
            .map(|(zone, _)| zone)
            .collect();
        for to in zones {
            log::info!(
                "event=zone_share service={service} from={own} to={to} part={:.2} before={:.2} demand={:.1} capacity={:.1}",
                after.part(own, to),
                before.part(own, to),
                load.demand,
                load.capacity
            );
        }
        if after.sends(own) {
            logged.insert(service.to_owned(), after.clone());
        } else {
            logged.remove(service);
        }
    }

    /// Counts a call that came from `zone`, if that is another zone.
    pub fn count_received_call(&self, zone: &str) {
        if self.settings.borrow().zone != zone {
            self.metrics
                .record_zone_call(ZoneCallDirection::Received, zone);
        }
    }

    /// Draws the other zone in which to place a call to `service`; `None` if the call
    /// stays in its own zone. No random number is used while no other zone takes a part.
    #[must_use]
    pub fn draw_zone(&self, service: &str) -> Option<String> {
        let shares = self.zone_load.shares.borrow();
        let shares = shares.get(service)?;
        let settings = self.settings.borrow();
        if !shares.sends(&settings.zone) {
            return None;
        }
        let random = rand::rng().random();
        shares.draw(&settings.zone, random).map(str::to_owned)
    }
}
