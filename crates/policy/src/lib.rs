//! The daemon's decision logic, without input or output: each function gets the
//! state and the current time and returns a decision.
//!
//! - [`organisations`] finds the organisation that a call belongs to and checks
//!   whether the organisation may run it.
//! - [`routing`] and [`weights`] choose the service of a call.
//! - [`client_timeouts`] estimates how long ago a call was first tried.
//! - [`zone_load`] shares the load of a service among availability zones, and
//!   [`placement`] chooses a target of the service.
//! - [`admission`] runs, queues or declines the call at the target.
//! - [`fair_share`] shares a scarce target between organisations.
//! - [`attempt`] and [`budget`] decide whether the call is retried, and
//!   [`refusal`] and [`return_schedule`] when a refused caller should retry; [`told_times`]
//!   remembers what it was told.
//! - [`quarantine`] holds back calls that crash their targets, recognised by
//!   their [`identity`].
//! - [`first_report`] decides whether a call waits for the first word of a target.
//! - [`instance`] tracks the lifecycle of the target on the daemon's host,
//!   [`restart_check`] whether it may get calls after a restart of the daemon,
//!   [`target_memory`] what was heard of other targets, and
//!   [`health`] and [`run_times`] its failures and run times.
//! - [`target_limit`] keeps the limit on calls that a target states, and [`pace`]
//!   its momentary pace.
//! - [`egress`] paces answers on a slow network link.
//! - [`membership`] plans the links to other hosts.
//! - [`client_budget`] bounds what is held for all clients together.
//! - [`call_limits`] states how long a call may last and how much may be read for it.
//! - [`planned_stop`] decides which calls a stopping daemon still accepts.
//! - [`store_access`] decides which daemon queries the store, and when.
//! - [`rollout`] moves a service to another software version or rolls it back.

pub mod admission;
pub mod attempt;
pub mod budget;
pub mod call_limits;
pub mod client_budget;
pub mod client_timeouts;
pub mod clock;
pub mod decaying_rate;
pub mod egress;
pub mod fair_share;
pub mod first_report;
pub mod health;
pub mod identity;
pub mod instance;
pub mod membership;
pub mod numbers;
pub mod organisations;
pub mod pace;
pub mod placement;
pub mod planned_stop;
pub mod quarantine;
pub mod refusal;
pub mod restart_check;
pub mod return_schedule;
pub mod rollout;
pub mod routing;
pub mod run_times;
pub mod store_access;
pub mod target_limit;
pub mod target_memory;
pub mod told_times;
pub mod weights;
pub mod zone_load;
