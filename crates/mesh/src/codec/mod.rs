//! Values in bytes that another process wrote: messages of other daemons ([`bounded`]) and
//! rows of the store ([`rows`]). What cannot be decoded is counted and named ([`skipped`]), what
//! names no host is left out ([`names`]).

pub mod bounded;
pub mod names;
pub mod rows;
pub mod skipped;
