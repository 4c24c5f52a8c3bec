//! Reports for operators, computed from the daemons' call counters.

pub mod burn;
pub mod plot;
pub mod sample;
