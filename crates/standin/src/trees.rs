//! Settings trees of any size, for benchmarks and generated tests.

use filbert_tree::{BranchPath, SettingsTree};

/// The shape of a generated tree.
#[derive(Clone, Copy, Debug)]
pub struct TreeShape {
    /// Members of the site.
    pub members: usize,
    /// Services of each member.
    pub services: usize,
    /// Routes of each service.
    pub routes: usize,
}

impl TreeShape {
    /// Routes in the whole tree.
    #[must_use]
    pub fn route_count(self) -> usize {
        self.members * self.services * self.routes
    }

    /// Builds the tree: members `m0..`, services `s0..`, routes `r0..` with
    /// paths `/sN/rN`.
    ///
    /// # Panics
    /// Never: every edit it makes is valid.
    #[must_use]
    pub fn build(self) -> SettingsTree {
        let mut tree = SettingsTree::default();
        tree.set(&BranchPath::Site, "name", "generated")
            .expect("a site takes a name");
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
                        .expect("a route takes a path");
                }
            }
        }
        tree
    }
}

/// `tree`, as [`TreeShape::build`] makes it, with one key of one route set to
/// a value of this change's own: the small edit that benchmarks accept.
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
        .expect("the route exists");
    tree
}
