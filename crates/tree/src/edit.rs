//! Edits of a tree by operators: setting a key of a branch and removing a branch.

use std::fmt;
use std::str::FromStr;

use crate::branch::{BranchPath, SettingsTree};
use crate::settings::{BranchSettings, SETTING_KEYS};

/// Why an edit could not be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The branch has no setting with this key.
    UnknownKey { key: String },
    /// The value cannot be parsed as the type of the setting.
    BadValue { key: String, value: String },
    /// The route does not exist; setting its `path` creates it.
    RouteWithoutPath { route: BranchPath },
    /// The branch to remove does not exist.
    NoSuchBranch { branch: BranchPath },
}

impl fmt::Display for EditError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::UnknownKey { key } => {
                write!(
                    formatter,
                    "unknown key `{key}`; valid keys: {}; on routes also path, service",
                    SETTING_KEYS.join(", ")
                )
            }
            EditError::BadValue { key, value } => {
                write!(formatter, "`{value}` is not a valid value for `{key}`")
            }
            EditError::RouteWithoutPath { route } => {
                write!(formatter, "{route}: set `path` first to create the route")
            }
            EditError::NoSuchBranch { branch } => write!(formatter, "{branch}: no such branch"),
        }
    }
}

impl std::error::Error for EditError {}

impl SettingsTree {
    /// Sets `key` to `value` on the branch at `path`. Creates the member and the
    /// service in `path` if they do not exist, and the route if `key` is `path`.
    ///
    /// # Errors
    /// [`EditError`] when the key is unknown, the value cannot be parsed, or the
    /// route does not exist and `key` is not `path`. Members and services
    /// that were created before the error remain in the tree.
    pub fn set(&mut self, path: &BranchPath, key: &str, value: &str) -> Result<(), EditError> {
        match path {
            BranchPath::Site if key == "name" => {
                value.clone_into(&mut self.site.name);
                Ok(())
            }
            BranchPath::Site => set_setting(&mut self.site.settings, key, value),
            BranchPath::Member { member } => {
                let branch = self.site.members.entry(member.clone()).or_default();
                set_setting(&mut branch.settings, key, value)
            }
            BranchPath::Service { member, service } => {
                let branch = self
                    .site
                    .members
                    .entry(member.clone())
                    .or_default()
                    .services
                    .entry(service.clone())
                    .or_default();
                set_setting(&mut branch.settings, key, value)
            }
            BranchPath::Route {
                member,
                service,
                route,
            } => {
                let routes = &mut self
                    .site
                    .members
                    .entry(member.clone())
                    .or_default()
                    .services
                    .entry(service.clone())
                    .or_default()
                    .routes;
                if key == "path" {
                    value.clone_into(&mut routes.entry(route.clone()).or_default().path);
                    return Ok(());
                }
                let Some(branch) = routes.get_mut(route) else {
                    return Err(EditError::RouteWithoutPath {
                        route: path.clone(),
                    });
                };
                if key == "service" {
                    branch.service = Some(value.to_owned());
                    return Ok(());
                }
                set_setting(&mut branch.settings, key, value)
            }
        }
    }

    /// Removes the branch at `path` and all its descendants.
    ///
    /// # Errors
    /// [`EditError::NoSuchBranch`] when the branch does not exist or is the site,
    /// which cannot be removed.
    pub fn remove(&mut self, path: &BranchPath) -> Result<(), EditError> {
        let no_such_branch = || EditError::NoSuchBranch {
            branch: path.clone(),
        };
        let removed = match path {
            BranchPath::Site => false,
            BranchPath::Member { member } => self.site.members.remove(member).is_some(),
            BranchPath::Service { member, service } => self
                .site
                .members
                .get_mut(member)
                .is_some_and(|branch| branch.services.remove(service).is_some()),
            BranchPath::Route {
                member,
                service,
                route,
            } => self
                .site
                .members
                .get_mut(member)
                .and_then(|branch| branch.services.get_mut(service))
                .is_some_and(|branch| branch.routes.remove(route).is_some()),
        };
        if removed {
            Ok(())
        } else {
            Err(no_such_branch())
        }
    }
}

fn set_setting(settings: &mut BranchSettings, key: &str, value: &str) -> Result<(), EditError> {
    match key {
        "timeout_ms" => settings.timeout_ms = Some(parse_value(key, value)?),
        "retries" => settings.retries = Some(parse_value(key, value)?),
        "slots_per_target" => settings.slots_per_target = Some(parse_value(key, value)?),
        "at_most_once" => settings.at_most_once = Some(parse_value(key, value)?),
        _ => {
            return Err(EditError::UnknownKey {
                key: key.to_owned(),
            })
        }
    }
    Ok(())
}

fn parse_value<T: FromStr>(key: &str, value: &str) -> Result<T, EditError> {
    value.parse().map_err(|_| EditError::BadValue {
        key: key.to_owned(),
        value: value.to_owned(),
    })
}
