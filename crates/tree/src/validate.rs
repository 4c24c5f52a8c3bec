//! Whole-tree validation: a tree with any problem is refused whole.

use std::collections::BTreeMap;
use std::fmt;

use crate::branch::{BranchPath, SettingsTree};
use crate::settings::BranchSettings;

/// One reason a tree cannot be accepted or applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TreeProblem {
    /// A route names a service its member does not have.
    UnknownService { route: BranchPath, service: String },
    /// A route's path does not start with `/`.
    BadPath { route: BranchPath, path: String },
    /// Two routes of one member claim the same path.
    DuplicatePath {
        first: BranchPath,
        second: BranchPath,
    },
    /// A setting is outside its allowed range.
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

/// Every problem found in a tree, in branch order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreeProblems(pub Vec<TreeProblem>);

impl fmt::Display for TreeProblems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        write!(formatter, "{}", lines.join("; "))
    }
}

impl std::error::Error for TreeProblems {}

/// Allowed ranges of numeric settings: key, lowest, highest.
const RANGES: [(&str, u64, u64); 3] = [
    ("timeout_ms", 1, 60_000),
    ("retries", 0, 5),
    ("slots_per_target", 1, 1_000),
];

impl SettingsTree {
    /// Checks the whole tree.
    ///
    /// # Errors
    /// [`TreeProblems`] listing every problem when there is at least one.
    pub fn validate(&self) -> Result<(), TreeProblems> {
        let mut problems = Vec::new();
        for path in self.branch_paths() {
            if let Some(settings) = self.own_settings(&path) {
                check_ranges(&path, settings, &mut problems);
            }
        }
        for (member, member_branch) in &self.site.members {
            let mut paths: BTreeMap<&str, BranchPath> = BTreeMap::new();
            for (service, service_branch) in &member_branch.services {
                for (route, route_branch) in &service_branch.routes {
                    let here = BranchPath::Route {
                        member: member.clone(),
                        service: service.clone(),
                        route: route.clone(),
                    };
                    let target = route_branch.service.as_deref().unwrap_or(service);
                    if !member_branch.services.contains_key(target) {
                        problems.push(TreeProblem::UnknownService {
                            route: here.clone(),
                            service: target.to_owned(),
                        });
                    }
                    if !route_branch.path.starts_with('/') {
                        problems.push(TreeProblem::BadPath {
                            route: here.clone(),
                            path: route_branch.path.clone(),
                        });
                    }
                    if let Some(first) = paths.insert(&route_branch.path, here.clone()) {
                        problems.push(TreeProblem::DuplicatePath {
                            first,
                            second: here,
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
    for ((key, low, high), value) in RANGES.iter().zip(values) {
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
