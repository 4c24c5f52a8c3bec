//! filbertctl: the command line for operators.
//!
//! Operators edit a pending settings tree (the draft), inspect it and its diff, accept
//! it as a new version, wait until every daemon has applied that version, and withdraw
//! it if need be. On the users' platform, they inspect the configuration, the hosts
//! and the calls that are held back.

pub mod cli;
pub mod cmd;
pub mod error;
pub mod explain;
pub mod fleet;
pub mod mesh;
pub mod organisations;
pub mod report;
pub mod services;
pub mod store;

pub use cli::Cli;
pub use error::CtlError;
