//! Messages on the load of hosts and zones.

use filbert_policy::zone_load::sums::ServiceLoad;
use serde::{Deserialize, Serialize};

/// Load of the services that a host calls or runs, for the readers of its zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Demand of the host's callers and capacity of its target.
    pub loads: Vec<ServiceLoad>,
}
