//! Shares the load of a service among availability zones by their capacity.
//!
//! Load pattern: the demand of each zone rises and falls by half, at times that differ
//! from zone to zone, and one zone has a third of the calls but less than a third of the
//! targets. At a peak no target reports a free slot. If calls leave their zone
//! only for a free slot, they wait in one zone while the targets of another have short
//! queues.
//!
//! [`demand`] measures the demand of one daemon's callers. [`sums`] adds up the demand
//! and the capacity by zone and service. [`shares`] computes which part of a zone's calls
//! to place in which other zone. Demand is counted where calls begin, so that the result
//! does not change its own input.

pub mod demand;
pub mod shares;
pub mod sums;
