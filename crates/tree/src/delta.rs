//! Deltas between trees. A relay sends a delta instead of the whole tree to a
//! peer that already holds an older version.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::branch::{MemberBranch, RouteBranch, ServiceBranch, SettingsTree};
use crate::settings::BranchSettings;

/// One edit of a settings tree, as part of a [`TreeDelta`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TreeEdit {
    /// Sets the name of the site.
    Name(String),
    /// Replaces the site's own settings.
    Site(BranchSettings),
    /// Creates the member if it does not exist and replaces its own settings.
    Member {
        member: String,
        settings: BranchSettings,
    },
    /// Creates the service if it does not exist and replaces its own settings.
    Service {
        member: String,
        service: String,
        settings: BranchSettings,
    },
    /// Creates or replaces a route.
    Route {
        member: String,
        service: String,
        route: String,
        branch: RouteBranch,
    },
    /// Removes a member and all its services and routes.
    DropMember { member: String },
    /// Removes a service and all its routes.
    DropService { member: String, service: String },
    /// Removes a route.
    DropRoute {
        member: String,
        service: String,
        route: String,
    },
}

/// The edits that turn an older tree into a newer one, with the digest of the
/// newer tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeDelta {
    /// The edits, in the order in which they are applied.
    pub edits: Vec<TreeEdit>,
    /// [Digest](SettingsTree::digest) of the newer tree.
    pub digest: u64,
}

/// Why a delta could not be applied. The receiver must then request the whole
/// tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// An edit refers to a branch that the receiver's tree does not have.
    MissingBranch,
    /// All edits were applied, but the result differs from the sender's tree.
    DigestMismatch,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            DeltaError::MissingBranch => "delta refers to a branch that this tree does not have",
            DeltaError::DigestMismatch => "delta produced a tree that differs from the sender's",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for DeltaError {}

impl TreeDelta {
    /// Computes the delta that turns `old` into `new`.
    #[must_use]
    pub fn between(old: &SettingsTree, new: &SettingsTree) -> TreeDelta {
        let mut edits = Vec::new();
        if old.site.name != new.site.name {
            edits.push(TreeEdit::Name(new.site.name.clone()));
        }
        if old.site.settings != new.site.settings {
            edits.push(TreeEdit::Site(new.site.settings.clone()));
        }
        for member in old.site.members.keys() {
            if !new.site.members.contains_key(member) {
                edits.push(TreeEdit::DropMember {
                    member: member.clone(),
                });
            }
        }
        for (member, branch) in &new.site.members {
            push_member_edits(member, old.site.members.get(member), branch, &mut edits);
        }
        TreeDelta {
            edits,
            digest: new.digest(),
        }
    }

    /// Applies the delta to a copy of `base` and returns the result.
    ///
    /// # Errors
    /// [`DeltaError`] when the result would differ from the sender's tree.
    pub fn apply(&self, base: &SettingsTree) -> Result<SettingsTree, DeltaError> {
        let mut tree = base.clone();
        for edit in &self.edits {
            apply_edit(&mut tree, edit)?;
        }
        // All edits may apply to a base other than the sender's and yield a tree
        // that no operator accepted. The digest covers the whole result, so any
        // difference is detected here.
        if tree.digest() == self.digest {
            Ok(tree)
        } else {
            Err(DeltaError::DigestMismatch)
        }
    }
}

impl SettingsTree {
    /// Computes a digest of the whole tree: the xxHash64 of its bincode encoding.
    ///
    /// # Panics
    /// Never: trees hold only plain data, which bincode always encodes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("a settings tree always encodes");
        let mut hasher = XxHash64::with_seed(0);
        hasher.write(&bytes);
        hasher.finish()
    }
}

fn push_member_edits(
    member: &str,
    old: Option<&MemberBranch>,
    new: &MemberBranch,
    edits: &mut Vec<TreeEdit>,
) {
    if old.is_none_or(|branch| branch.settings != new.settings) {
        edits.push(TreeEdit::Member {
            member: member.to_owned(),
            settings: new.settings.clone(),
        });
    }
    for service in old.iter().flat_map(|branch| branch.services.keys()) {
        if !new.services.contains_key(service) {
            edits.push(TreeEdit::DropService {
                member: member.to_owned(),
                service: service.clone(),
            });
        }
    }
    for (service, branch) in &new.services {
        let old_service = old.and_then(|branch| branch.services.get(service));
        push_service_edits(member, service, old_service, branch, edits);
    }
}

fn push_service_edits(
    member: &str,
    service: &str,
    old: Option<&ServiceBranch>,
    new: &ServiceBranch,
    edits: &mut Vec<TreeEdit>,
) {
    if old.is_none_or(|branch| branch.settings != new.settings) {
        edits.push(TreeEdit::Service {
            member: member.to_owned(),
            service: service.to_owned(),
            settings: new.settings.clone(),
        });
    }
    for route in old.iter().flat_map(|branch| branch.routes.keys()) {
        if !new.routes.contains_key(route) {
            edits.push(TreeEdit::DropRoute {
                member: member.to_owned(),
                service: service.to_owned(),
                route: route.clone(),
            });
        }
    }
    for (route, branch) in &new.routes {
        if old.and_then(|old| old.routes.get(route)) != Some(branch) {
            edits.push(TreeEdit::Route {
                member: member.to_owned(),
                service: service.to_owned(),
                route: route.clone(),
                branch: branch.clone(),
            });
        }
    }
}

fn apply_edit(tree: &mut SettingsTree, edit: &TreeEdit) -> Result<(), DeltaError> {
    let members = &mut tree.site.members;
    match edit {
        TreeEdit::Name(name) => tree.site.name.clone_from(name),
        TreeEdit::Site(settings) => tree.site.settings.clone_from(settings),
        TreeEdit::Member { member, settings } => {
            let branch = members.entry(member.clone()).or_default();
            branch.settings.clone_from(settings);
        }
        TreeEdit::Service {
            member,
            service,
            settings,
        } => {
            let branch = members.get_mut(member).ok_or(DeltaError::MissingBranch)?;
            let service = branch.services.entry(service.clone()).or_default();
            service.settings.clone_from(settings);
        }
        TreeEdit::Route {
            member,
            service,
            route,
            branch,
        } => {
            let routes = &mut service_mut(tree, member, service)?.routes;
            routes.insert(route.clone(), branch.clone());
        }
        TreeEdit::DropMember { member } => {
            members.remove(member).ok_or(DeltaError::MissingBranch)?;
        }
        TreeEdit::DropService { member, service } => {
            let branch = members.get_mut(member).ok_or(DeltaError::MissingBranch)?;
            let removed = branch.services.remove(service);
            removed.ok_or(DeltaError::MissingBranch)?;
        }
        TreeEdit::DropRoute {
            member,
            service,
            route,
        } => {
            let removed = service_mut(tree, member, service)?.routes.remove(route);
            removed.ok_or(DeltaError::MissingBranch)?;
        }
    }
    Ok(())
}

fn service_mut<'a>(
    tree: &'a mut SettingsTree,
    member: &str,
    service: &str,
) -> Result<&'a mut ServiceBranch, DeltaError> {
    tree.site
        .members
        .get_mut(member)
        .and_then(|branch| branch.services.get_mut(service))
        .ok_or(DeltaError::MissingBranch)
}
