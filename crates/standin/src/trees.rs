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
