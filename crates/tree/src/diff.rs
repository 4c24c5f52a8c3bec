//! Differences between two trees, for operators to review before they accept a
//! version.

use std::collections::BTreeMap;
use std::fmt;

use crate::branch::SettingsTree;

/// One difference between an older and a newer tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiffLine {
    /// A key that is set only in the newer tree.
    Added { key: String, value: String },
    /// A key that is set only in the older tree.
    Removed { key: String, value: String },
    /// A key that is set to different values in the two trees.
    Changed {
        key: String,
        old: String,
        new: String,
    },
}

impl fmt::Display for DiffLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiffLine::Added { key, value } => write!(formatter, "+ {key} = {value}"),
            DiffLine::Removed { key, value } => write!(formatter, "- {key} = {value}"),
            DiffLine::Changed { key, old, new } => write!(formatter, "~ {key} = {old} -> {new}"),
        }
    }
}

/// Lists the differences from `old` to `new`, in key order.
#[must_use]
pub fn diff_trees(old: &SettingsTree, new: &SettingsTree) -> Vec<DiffLine> {
    let old_keys = flatten(old);
    let new_keys = flatten(new);
    let mut lines = Vec::new();
    for (key, old_value) in &old_keys {
        match new_keys.get(key) {
            None => lines.push(DiffLine::Removed {
                key: key.clone(),
                value: old_value.clone(),
            }),
            Some(new_value) if new_value != old_value => lines.push(DiffLine::Changed {
                key: key.clone(),
                old: old_value.clone(),
                new: new_value.clone(),
            }),
            Some(_) => {}
        }
    }
    for (key, new_value) in &new_keys {
        if !old_keys.contains_key(key) {
            lines.push(DiffLine::Added {
                key: key.clone(),
                value: new_value.clone(),
            });
        }
    }
    lines.sort_by(|left, right| sort_key(left).cmp(sort_key(right)));
    lines
}

fn sort_key(line: &DiffLine) -> &str {
    match line {
        DiffLine::Added { key, .. }
        | DiffLine::Removed { key, .. }
        | DiffLine::Changed { key, .. } => key,
    }
}

/// Maps each key that the tree sets, written as `BRANCH.KEY`, to its value. Each
/// branch itself has the entry `BRANCH`, with the value `{}`.
fn flatten(tree: &SettingsTree) -> BTreeMap<String, String> {
    let mut keys = BTreeMap::new();
    keys.insert("site.name".to_owned(), tree.site.name.clone());
    for path in tree.branch_paths() {
        if let Some(settings) = tree.own_settings(&path) {
            for (key, value) in settings.key_values() {
                keys.insert(format!("{path}.{key}"), value);
            }
        }
        // Without an entry of the branch itself, a new member or service that has
        // no settings would be missing from the diff.
        keys.entry(format!("{path}"))
            .or_insert_with(|| "{}".to_owned());
    }
    for (member, member_branch) in &tree.site.members {
        for (service, service_branch) in &member_branch.services {
            for (route, route_branch) in &service_branch.routes {
                let prefix = format!("site/{member}/{service}/{route}");
                keys.insert(format!("{prefix}.path"), route_branch.path.clone());
                if let Some(destination) = &route_branch.service {
                    keys.insert(format!("{prefix}.service"), destination.clone());
                }
            }
        }
    }
    keys
}
