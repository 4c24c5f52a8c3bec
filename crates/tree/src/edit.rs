//! Edits of single keys on a branch, as `filbertctl set` makes them.

use std::fmt;
use std::str::FromStr;

use crate::branch::{BranchPath, SettingsTree};
use crate::settings::{BranchSettings, SETTING_KEYS};

/// Why an edit could not be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The key is not a setting of that kind of branch.
    UnknownKey { key: String },
    /// The value does not parse as the key's type.
    BadValue { key: String, value: String },
    /// A route must be given its `path` before other keys.
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
                    "unknown key `{key}`; known: {}, and on routes path, service",
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
    /// Sets `key` to `value` on the branch at `path`, creating missing
    /// members and services on the way.
    ///
    /// # Errors
    /// [`EditError`] when the key is unknown, the value does not parse, or a
    /// new route is given a key before its `path`.
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

    /// Removes the branch at `path` and everything below it.
    ///
    /// # Errors
    /// [`EditError::NoSuchBranch`] when it does not exist; the site cannot be removed.
    pub fn remove(&mut self, path: &BranchPath) -> Result<(), EditError> {
        let missing = || EditError::NoSuchBranch {
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
            Err(missing())
        }
    }
}

fn set_setting(settings: &mut BranchSettings, key: &str, value: &str) -> Result<(), EditError> {
    match key {
        "timeout_ms" => settings.timeout_ms = Some(parse(key, value)?),
        "retries" => settings.retries = Some(parse(key, value)?),
        "slots_per_target" => settings.slots_per_target = Some(parse(key, value)?),
        "at_most_once" => settings.at_most_once = Some(parse(key, value)?),
        _ => {
            return Err(EditError::UnknownKey {
                key: key.to_owned(),
            })
        }
    }
    Ok(())
}

fn parse<T: FromStr>(key: &str, value: &str) -> Result<T, EditError> {
    value.parse().map_err(|_| EditError::BadValue {
        key: key.to_owned(),
        value: value.to_owned(),
    })
}
