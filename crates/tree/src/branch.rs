//! The branches of the settings tree and the paths that identify them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::parse_error::ParseError;
use crate::settings::BranchSettings;

/// A settings tree. Its root is the site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    /// The root branch.
    pub site: SiteBranch,
}

/// The root branch, whose settings all members inherit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteBranch {
    /// The name of the site, shown to operators.
    pub name: String,
    /// Settings that all other branches inherit.
    #[serde(default)]
    pub settings: BranchSettings,
    /// Members (customers), by name.
    #[serde(default)]
    pub members: BTreeMap<String, MemberBranch>,
}

/// A member (customer) of the site. Its calls are matched only against its own
/// routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberBranch {
    /// Overrides of the site's settings.
    #[serde(default)]
    pub settings: BranchSettings,
    /// The services that the member uses, by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceBranch>,
}

/// A service as one member uses it. Its targets are the ones that announce the
/// name of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceBranch {
    /// Overrides of the member's settings.
    #[serde(default)]
    pub settings: BranchSettings,
    /// Routes of the service, by name.
    #[serde(default)]
    pub routes: BTreeMap<String, RouteBranch>,
}

/// A route, which sends calls with a matching path to the targets of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteBranch {
    /// The path prefix of the calls that the route matches. It starts with `/`.
    pub path: String,
    /// The service that receives the calls; `None` means the parent service.
    #[serde(default)]
    pub service: Option<String>,
    /// Overrides of the service's settings.
    #[serde(default)]
    pub settings: BranchSettings,
}

/// The path of a branch: `site`, `site/MEMBER`, `site/MEMBER/SERVICE` or
/// `site/MEMBER/SERVICE/ROUTE`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BranchPath {
    /// The root.
    Site,
    /// A member.
    Member { member: String },
    /// A member's service.
    Service { member: String, service: String },
    /// A route of a member's service.
    Route {
        member: String,
        service: String,
        route: String,
    },
}

impl BranchPath {
    /// Parses a path of the form `site[/MEMBER[/SERVICE[/ROUTE]]]`. Returns `None`
    /// if `text` has another form or an empty name.
    #[must_use]
    pub fn parse(text: &str) -> Option<BranchPath> {
        let mut parts = text.split('/');
        if parts.next() != Some("site") {
            return None;
        }
        let names: Vec<&str> = parts.collect();
        if names.iter().any(|name| name.is_empty()) {
            return None;
        }
        let owned = |index: usize| names[index].to_owned();
        match names.len() {
            0 => Some(BranchPath::Site),
            1 => Some(BranchPath::Member { member: owned(0) }),
            2 => Some(BranchPath::Service {
                member: owned(0),
                service: owned(1),
            }),
            3 => Some(BranchPath::Route {
                member: owned(0),
                service: owned(1),
                route: owned(2),
            }),
            _ => None,
        }
    }
}

impl fmt::Display for BranchPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BranchPath::Site => write!(formatter, "site"),
            BranchPath::Member { member } => write!(formatter, "site/{member}"),
            BranchPath::Service { member, service } => {
                write!(formatter, "site/{member}/{service}")
            }
            BranchPath::Route {
                member,
                service,
                route,
            } => write!(formatter, "site/{member}/{service}/{route}"),
        }
    }
}

impl SettingsTree {
    /// Parses a tree from TOML text.
    ///
    /// # Errors
    /// [`ParseError`], with line and key where they are known, when the text is
    /// not TOML or does not describe a settings tree.
    pub fn from_toml(text: &str) -> Result<SettingsTree, ParseError> {
        toml::from_str(text).map_err(|error| ParseError::from_toml(text, &error))
    }

    /// Serializes the tree to TOML.
    ///
    /// # Panics
    /// Never: every field has a TOML representation.
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("a settings tree always serializes to TOML")
    }

    /// The settings that the branch at `path` sets itself, without inherited ones;
    /// `None` if there is no such branch.
    #[must_use]
    pub fn own_settings(&self, path: &BranchPath) -> Option<&BranchSettings> {
        match path {
            BranchPath::Site => Some(&self.site.settings),
            BranchPath::Member { member } => self.site.members.get(member).map(|m| &m.settings),
            BranchPath::Service { member, service } => self
                .site
                .members
                .get(member)
                .and_then(|m| m.services.get(service))
                .map(|s| &s.settings),
            BranchPath::Route {
                member,
                service,
                route,
            } => self
                .site
                .members
                .get(member)
                .and_then(|m| m.services.get(service))
                .and_then(|s| s.routes.get(route))
                .map(|r| &r.settings),
        }
    }

    /// The settings in force at the branch at `path`, including those inherited
    /// from its ancestors; `None` if there is no such branch.
    #[must_use]
    pub fn resolved_settings(&self, path: &BranchPath) -> Option<BranchSettings> {
        let own = self.own_settings(path)?.clone();
        let parent = match path {
            BranchPath::Site => return Some(own),
            BranchPath::Member { .. } => BranchPath::Site,
            BranchPath::Service { member, .. } => BranchPath::Member {
                member: member.clone(),
            },
            BranchPath::Route {
                member, service, ..
            } => BranchPath::Service {
                member: member.clone(),
                service: service.clone(),
            },
        };
        let inherited = self.resolved_settings(&parent)?;
        Some(own.inherit_from(&inherited))
    }

    /// The paths of all branches in the tree, each parent before its children.
    #[must_use]
    pub fn branch_paths(&self) -> Vec<BranchPath> {
        let mut paths = vec![BranchPath::Site];
        for (member, member_branch) in &self.site.members {
            paths.push(BranchPath::Member {
                member: member.clone(),
            });
            for (service, service_branch) in &member_branch.services {
                paths.push(BranchPath::Service {
                    member: member.clone(),
                    service: service.clone(),
                });
                for route in service_branch.routes.keys() {
                    paths.push(BranchPath::Route {
                        member: member.clone(),
                        service: service.clone(),
                        route: route.clone(),
                    });
                }
            }
        }
        paths
    }

    /// The number of routes in the tree.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.site
            .members
            .values()
            .flat_map(|member| member.services.values())
            .map(|service| service.routes.len())
            .sum()
    }
}
