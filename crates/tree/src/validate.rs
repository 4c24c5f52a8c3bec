//! Validation of trees. A tree with any problem is rejected as a whole.

use std::collections::BTreeMap;
use std::fmt;

use crate::branch::{BranchPath, SettingsTree};
use crate::settings::BranchSettings;

/// A reason why a tree cannot be accepted or put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TreeProblem {
    /// A route refers to a service that its member does not have.
    UnknownService { route: BranchPath, service: String },
    /// The path of a route does not start with `/`.
    BadPath { route: BranchPath, path: String },
    /// Two routes of one member have the same path.
    DuplicatePath {
        first: BranchPath,
        second: BranchPath,
    },
    /// The value of a setting is outside its valid range.
    OutOfRange {
        branch: BranchPath,
        key: &'static str,
        value: u64,
        low: u64,
        high: u64,
    },
}

impl fmt::Display for TreeProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TreeProblem::UnknownService { route, service } => {
                write!(
                    formatter,
                    "{route}: route names unknown service `{service}`"
                )
            }
            TreeProblem::BadPath { route, path } => {
                write!(formatter, "{route}: path `{path}` must start with `/`")
            }
            TreeProblem::DuplicatePath { first, second } => {
                write!(formatter, "{second}: same path as {first}")
            }
            TreeProblem::OutOfRange {
                branch,
                key,
                value,
                low,
                high,
            } => write!(
                formatter,
                "{branch}: {key} = {value} is outside {low}..={high}"
            ),
        }
    }
}

/// All problems found in a tree: values out of range first, then problems of
/// routes, each in branch order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreeProblems(pub Vec<TreeProblem>);

impl fmt::Display for TreeProblems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        write!(formatter, "{}", lines.join("; "))
    }
}

impl std::error::Error for TreeProblems {}

/// The key, lowest value and highest value of each numeric setting, in the order
/// in which `check_ranges` lists the values.
const SETTING_RANGES: [(&str, u64, u64); 3] = [
    ("timeout_ms", 1, 60_000),
    ("retries", 0, 5),
    ("slots_per_target", 1, 1_000),
];

impl SettingsTree {
    /// Checks the whole tree.
    ///
    /// # Errors
    /// [`TreeProblems`] with all problems, if there are any.
    pub fn validate(&self) -> Result<(), TreeProblems> {
        let mut problems = Vec::new();
        for path in self.branch_paths() {
            if let Some(settings) = self.own_settings(&path) {
                check_ranges(&path, settings, &mut problems);
            }
        }
        for (member, member_branch) in &self.site.members {
            let mut route_by_path: BTreeMap<&str, BranchPath> = BTreeMap::new();
            for (service, service_branch) in &member_branch.services {
                for (route, route_branch) in &service_branch.routes {
                    let branch_path = BranchPath::Route {
                        member: member.clone(),
                        service: service.clone(),
                        route: route.clone(),
                    };
                    let destination = route_branch.service.as_deref().unwrap_or(service);
                    if !member_branch.services.contains_key(destination) {
                        problems.push(TreeProblem::UnknownService {
                            route: branch_path.clone(),
                            service: destination.to_owned(),
                        });
                    }
                    if !route_branch.path.starts_with('/') {
                        problems.push(TreeProblem::BadPath {
                            route: branch_path.clone(),
                            path: route_branch.path.clone(),
                        });
                    }
                    if let Some(first) =
                        route_by_path.insert(&route_branch.path, branch_path.clone())
                    {
                        problems.push(TreeProblem::DuplicatePath {
                            first,
                            second: branch_path,
                        });
                    }
                }
            }
        }
        if problems.is_empty() {
            Ok(())
        } else {
            Err(TreeProblems(problems))
        }
    }
}

fn check_ranges(path: &BranchPath, settings: &BranchSettings, problems: &mut Vec<TreeProblem>) {
    let values = [
        settings.timeout_ms,
        settings.retries.map(u64::from),
        settings.slots_per_target.map(u64::from),
    ];
    for ((key, low, high), value) in SETTING_RANGES.iter().zip(values) {
        if let Some(value) = value {
            if value < *low || value > *high {
                problems.push(TreeProblem::OutOfRange {
                    branch: path.clone(),
                    key,
                    value,
                    low: *low,
                    high: *high,
                });
            }
        }
    }
}
