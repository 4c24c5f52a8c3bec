//! filbertctl: the operators' command line. Operators edit a pending tree
//! (the draft), look at it and its diff, accept it as a new version, watch it
//! settle on every proxy, and withdraw it.

pub mod cli;
pub mod cmd;
pub mod error;
pub mod explain;
pub mod fleet;
pub mod mesh;
pub mod report;
pub mod store;

pub use cli::Cli;
pub use error::CtlError;
