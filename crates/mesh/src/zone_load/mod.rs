//! Shares the load of services among availability zones.
//!
//! Each daemon measures the demand of its own callers ([`demand`]). Where a service uses
//! most of its capacity, the daemons report to the readers of their zone, which add up the
//! reports and send the sums to all daemons ([`reports`]). From the sums, each daemon
//! computes which part of its calls to place in which other zone ([`placement`]).

pub mod demand;
pub mod messages;
pub mod metrics;
pub mod placement;
pub mod reports;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::zone_load::demand::DemandAverage;
use filbert_policy::zone_load::shares::ZoneShares;
use filbert_policy::zone_load::sums::{HostReports, ServiceLoad, ZoneSums};

use crate::state::MeshShared;
use demand::ServicePressure;

/// Interval at which a daemon checks whether to report, and computes its parts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State of the sharing of load at one daemon. Everything but the demand is empty while no
/// service uses most of its capacity.
#[derive(Default)]
pub struct ZoneLoadState {
    /// Demand of this daemon's callers, by service.
    demands: RefCell<BTreeMap<String, DemandAverage>>,
    /// How much of their capacity the services use in this zone.
    pressures: RefCell<BTreeMap<String, ServicePressure>>,
    /// The latest report of this daemon, and when it was sent.
    last_report: RefCell<Option<(Instant, Vec<ServiceLoad>)>>,
    /// Reports of the hosts of this zone, if this daemon is a reader.
    reports: RefCell<HostReports>,
    /// Number of the latest sum of this reader.
    sequence: Cell<u64>,
    summed_at: Cell<Option<Instant>>,
    /// Sums of all zones.
    sums: RefCell<ZoneSums>,
    /// When this reader last relayed a sum, by zone.
    relayed: RefCell<BTreeMap<String, Instant>>,
    /// Parts in use, by service.
    shares: RefCell<BTreeMap<String, ZoneShares>>,
    /// Parts as last logged, by service.
    logged: RefCell<BTreeMap<String, ZoneShares>>,
}

/// Reports the load of this host, adds up the reports of others and computes the parts.
/// Never returns.
pub async fn share_load(shared: Rc<MeshShared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = shared.clock.now();
        shared.update_pressures(now);
        shared.report_load(now);
        shared.send_zone_sum(now);
        shared.zone_load.sums.borrow_mut().remove_old(now);
        shared.update_zone_shares(now);
    }
}
