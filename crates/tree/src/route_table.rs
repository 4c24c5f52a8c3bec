//! The route table that a proxy compiles from a tree to look up the routes of
//! calls.

use std::collections::BTreeMap;

use crate::branch::{BranchPath, SettingsTree};
use crate::settings::RouteSettings;

/// A route with its settings resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// The branch path of the route in the tree.
    pub route: BranchPath,
    /// The path prefix of the calls that the route matches.
    pub path: String,
    /// The service whose targets receive the calls.
    pub service: String,
    /// The resolved settings of the route.
    pub settings: RouteSettings,
}

/// The routes of all members, for lookup by member and call path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Routes by member, longest path prefix first, so that the first match is
    /// the most specific one.
    members: BTreeMap<String, Vec<RouteEntry>>,
}

impl RouteTable {
    /// Compiles `tree`, which must have passed [`SettingsTree::validate`].
    #[must_use]
    pub fn compile(tree: &SettingsTree) -> RouteTable {
        let mut members = BTreeMap::new();
        for (member, member_branch) in &tree.site.members {
            let mut entries = Vec::new();
            for (service, service_branch) in &member_branch.services {
                for (route, route_branch) in &service_branch.routes {
                    let branch_path = BranchPath::Route {
                        member: member.clone(),
                        service: service.clone(),
                        route: route.clone(),
                    };
                    let resolved = tree.resolved_settings(&branch_path).unwrap_or_default();
                    entries.push(RouteEntry {
                        route: branch_path,
                        path: route_branch.path.clone(),
                        service: route_branch
                            .service
                            .clone()
                            .unwrap_or_else(|| service.clone()),
                        settings: RouteSettings::from_resolved(&resolved),
                    });
                }
            }
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.path.len()));
            members.insert(member.clone(), entries);
        }
        RouteTable { members }
    }

    /// Returns the most specific route of `member` whose path prefix matches
    /// `path` at a segment boundary, or `None` if no route matches.
    #[must_use]
    pub fn lookup(&self, member: &str, path: &str) -> Option<&RouteEntry> {
        self.members
            .get(member)?
            .iter()
            .find(|entry| prefix_matches(&entry.path, path))
    }

    /// The services that receive the calls of at least one route, sorted and
    /// without duplicates.
    #[must_use]
    pub fn services(&self) -> Vec<&str> {
        let mut services: Vec<&str> = self
            .members
            .values()
            .flatten()
            .map(|entry| entry.service.as_str())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/') || rest.starts_with('?')
}
