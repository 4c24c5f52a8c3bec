//! Reports for operators, made from the daemons' counters.

pub mod burn;
pub mod plot;
pub mod sample;
