//! The daemon's decisions, apart from input and output: state in, verdict out,
//! the clock handed in.
//!
//! A call is routed ([`routing`], [`weights`]), its time judged ([`patience`]), placed on a target
//! ([`placement`]), admitted, made to wait or declined there ([`admission`]),
//! sent again or given up ([`attempt`],
//! [`budget`]), and refused with a time
//! to come back ([`refusal`]). A call that ends the targets that run it is held
//! back by its [`identity`] ([`quarantine`]). [`instance`] follows the life of the target
//! beside the daemon, [`health`] and [`run_times`] what its calls say about
//! it, [`egress`] paces answers on a slow link. [`membership`] plans which other
//! hosts a daemon links to, and [`store_access`] who asks the store when.
//! [`organisations`] tells whose call it is, and whether it may run.
//! [`rollout`] moves a service to another software version, or takes it back.

pub mod admission;
pub mod attempt;
pub mod budget;
pub mod clock;
pub mod egress;
pub mod health;
pub mod identity;
pub mod instance;
pub mod membership;
pub mod numbers;
pub mod organisations;
pub mod patience;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod rollout;
pub mod routing;
pub mod run_times;
pub mod store_access;
pub mod weights;
