//! Whose call it is, and what each organisation may ask for.
//!
//! A call's key names its organisation ([`keys`]). A key that was withdrawn is
//! refused everywhere within a bound, so a daemon has to know how old its
//! knowledge is ([`freshness`]). What all daemons together may run for an
//! organisation is bounded by tokens ([`quota`]), of which each daemon keeps a few
//! ([`token_cache`]).

pub mod freshness;
pub mod keys;
pub mod quota;
pub mod token_cache;
