//! The compiled form of a tree a proxy looks calls up in.

use std::collections::BTreeMap;

use crate::branch::{BranchPath, SettingsTree};
use crate::settings::RouteSettings;

/// One route as a proxy uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// The route's branch.
    pub route: BranchPath,
    /// The path prefix that selects it.
    pub path: String,
    /// The service whose targets take its calls.
    pub service: String,
    /// Settings after inheritance.
    pub settings: RouteSettings,
}

/// Routes per member, longest path first, so the first match is the most specific.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    members: BTreeMap<String, Vec<RouteEntry>>,
}

impl RouteTable {
    /// Compiles a tree that has passed [`SettingsTree::validate`].
    #[must_use]
    pub fn compile(tree: &SettingsTree) -> RouteTable {
        let mut members = BTreeMap::new();
        for (member, member_branch) in &tree.site.members {
            let mut entries = Vec::new();
            for (service, service_branch) in &member_branch.services {
                for (route, route_branch) in &service_branch.routes {
                    let path = BranchPath::Route {
                        member: member.clone(),
                        service: service.clone(),
                        route: route.clone(),
                    };
                    let inherited = tree.resolved_settings(&path).unwrap_or_default();
                    entries.push(RouteEntry {
                        route: path,
                        path: route_branch.path.clone(),
                        service: route_branch
                            .service
                            .clone()
                            .unwrap_or_else(|| service.clone()),
                        settings: RouteSettings::from_branch(&inherited),
                    });
                }
            }
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.path.len()));
            members.insert(member.clone(), entries);
        }
        RouteTable { members }
    }

    /// The most specific route of `member` whose prefix matches `path` at a
    /// segment boundary.
    #[must_use]
    pub fn lookup(&self, member: &str, path: &str) -> Option<&RouteEntry> {
        self.members
            .get(member)?
            .iter()
            .find(|entry| prefix_matches(&entry.path, path))
    }

    /// Every service some route sends to.
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
