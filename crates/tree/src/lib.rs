//! The settings tree that operators edit: a site, its members, their services
//! and the routes of the services.
//!
//! Each branch inherits the settings of its parent and may override them. This
//! crate holds the tree, its validation, the resolution of inherited settings,
//! the route table, diffs and deltas between trees, and accepted versions.

mod branch;
mod delta;
mod diff;
mod edit;
mod parse_error;
mod route_table;
mod settings;
mod validate;
mod version;

pub use branch::{BranchPath, MemberBranch, RouteBranch, ServiceBranch, SettingsTree, SiteBranch};
pub use delta::{DeltaError, TreeDelta, TreeEdit};
pub use diff::{diff_trees, DiffLine};
pub use edit::EditError;
pub use parse_error::ParseError;
pub use route_table::{RouteEntry, RouteTable};
pub use settings::{BranchSettings, RouteSettings, SETTING_KEYS};
pub use validate::{TreeProblem, TreeProblems};
pub use version::{VersionCodec, VersionRecord};
