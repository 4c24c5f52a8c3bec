//! Generated settings trees of a given size, for benchmarks and tests.

use filbert_tree::{BranchPath, SettingsTree};

/// The dimensions of a generated tree.
#[derive(Clone, Copy, Debug)]
pub struct TreeShape {
    /// Number of members of the site.
    pub members: usize,
    /// Number of services of each member.
    pub services: usize,
    /// Number of routes of each service.
    pub routes: usize,
}

impl TreeShape {
    /// Returns the number of routes in the whole tree.
    #[must_use]
    pub fn route_count(self) -> usize {
        self.members * self.services * self.routes
    }

    /// Builds the tree. Members are named `m0`, `m1` and so on, services `s0`
    /// and on, routes `r0` and on; route `rR` of service `sS` has the path
    /// `/sS/rR`.
    ///
    /// # Panics
    /// Never: every setting that it writes is valid.
    #[must_use]
    pub fn build(self) -> SettingsTree {
        let mut tree = SettingsTree::default();
        tree.set(&BranchPath::Site, "name", "generated")
            .expect("failed to set the site's name");
        for member in 0..self.members {
            for service in 0..self.services {
                for route in 0..self.routes {
                    let branch = BranchPath::Route {
                        member: format!("m{member}"),
                        service: format!("s{service}"),
                        route: format!("r{route}"),
                    };
                    let path = format!("/s{service}/r{route}");
                    tree.set(&branch, "path", &path)
                        .expect("failed to set the route's path");
                }
            }
        }
        tree
    }
}

/// Returns a copy of `tree` in which `timeout_ms` of the route `site/m0/s1/r2`
/// is 1,000 plus `change`: a minimal edit that differs for each `change`, for
/// benchmarks to publish. `tree` comes from [`TreeShape::build`].
///
/// # Panics
/// When the tree has no route `site/m0/s1/r2`.
#[must_use]
pub fn with_small_edit(tree: &SettingsTree, change: u64) -> SettingsTree {
    let mut tree = tree.clone();
    let branch = BranchPath::Route {
        member: "m0".to_owned(),
        service: "s1".to_owned(),
        route: "r2".to_owned(),
    };
    tree.set(&branch, "timeout_ms", &(1_000 + change).to_string())
        .expect("failed to set the route's timeout");
    tree
}
