//! Identifies the organisation that a call belongs to, and limits the calls that
//! each organisation may run.
//!
//! The key of a call identifies its organisation ([`keys`]). A withdrawn key must
//! be rejected on all hosts within a bounded time, so a daemon tracks how recent
//! its version of the configuration is ([`freshness`]). The calls of an
//! organisation on all daemons together are limited by tokens ([`quota`]), a few
//! of which each daemon holds in advance ([`token_cache`]). Calls wait for them in order
//! ([`token_queue`], [`token_request`]), and refused calls are told when to retry
//! ([`quota_retries`]).

pub mod freshness;
pub mod keys;
pub mod quota;
pub mod quota_retries;
pub mod token_cache;
pub mod token_queue;
pub mod token_request;
