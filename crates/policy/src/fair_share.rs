//! Fair sharing of a resource between organisations: start-time fair queueing in
//! virtual time.
//!
//! Load pattern: one organisation sends seven times its usual number of calls for
//! some seconds, beside many organisations that send their usual load. Without a
//! share for each organisation, all wait in one queue, and the calls of the others
//! are late or declined in proportion to the number of calls.
//!
//! Each organisation has a weight. The start of an item sets its organisation's finish
//! tag to its start tag plus the item's work divided by the weight. The start tag is
//! the finish tag before, or the present virtual time if that is later. An organisation
//! is ahead of the others by the work between its start tag and virtual time. It may be
//! ahead by a burst; beyond that, it is beyond its share.
//!
//! Virtual time advances to the earliest time at which one of the organisations whose
//! items compete is ahead by no more than its burst. So an organisation that has always
//! items waiting has used its burst, while one that pauses regains it. What an
//! organisation uses while no one competes does not count against it.
//!
//! Virtual time counts work instead of seconds. It needs no knowledge of the resource's
//! capacity, which changes with the target. An organisation whose finish tag has passed
//! is removed.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::organisations::keys::OrganisationRule;

/// Maximum number of organisations that are tracked. Further ones form one share.
pub const MAX_TRACKED_ORGANISATIONS: usize = 10_000;
/// Part of the burst from which an organisation counts as beyond its share. It covers
/// the rounding of the work of an organisation that has just used its burst.
const USED_BURST: f64 = 0.999;
/// Weight of an organisation without a limit, or with an invalid weight.
pub const DEFAULT_WEIGHT: f64 = 1.0;
/// Seed of [`OrganisationShare::id`]. It is the same on all hosts.
const ID_SEED: u64 = 0;
/// Bounds of a weight, in calls per second. A weight outside them would make virtual
/// time lose precision.
const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1_000_000.0;

/// The organisation that a call belongs to, and its claim under shortage.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationShare {
    /// Hash of the organisation's name.
    pub id: u64,
    /// Weight of the organisation relative to others: its limit in calls per second.
    pub weight: f64,
}

impl OrganisationShare {
    /// Returns the share of an organisation: its weight is the rate of its limit, and
    /// [`DEFAULT_WEIGHT`] without a limit.
    #[must_use]
    pub fn of(organisation: &OrganisationRule) -> OrganisationShare {
        OrganisationShare {
            id: XxHash64::oneshot(ID_SEED, organisation.name.as_bytes()),
            weight: organisation
                .limit
                .map_or(DEFAULT_WEIGHT, |limit| limit.per_s),
        }
    }

    /// Whether the weight is a positive, finite number.
    #[must_use]
    pub fn has_valid_weight(&self) -> bool {
        self.weight.is_finite() && self.weight > 0.0
    }

    /// The weight within its bounds, or [`DEFAULT_WEIGHT`] if it is invalid.
    fn effective_weight(&self) -> f64 {
        if self.has_valid_weight() {
            self.weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
        } else {
            DEFAULT_WEIGHT
        }
    }
}

/// Identifies a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum ShareKey {
    /// The items that belong to no organisation, such as calls that targets make.
    Unowned,
    /// The items of all organisations that are not tracked.
    Untracked,
    Organisation(u64),
}

/// The share that an item belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareClaim {
    key: ShareKey,
    weight: f64,
}

impl ShareClaim {
    /// Whether an item of this share is beyond it if the share is ahead by `work_ahead`
    /// and may be ahead by `burst`. Items that belong to no organisation never are.
    #[must_use]
    pub fn is_beyond(&self, work_ahead: f64, burst: f64) -> bool {
        self.key != ShareKey::Unowned && work_ahead > burst * USED_BURST
    }

    /// Whether both items belong to the same share.
    #[must_use]
    pub fn has_share_of(&self, other: &ShareClaim) -> bool {
        self.key == other.key
    }
}

/// A point in virtual time: the work per weight that each organisation with waiting
/// items has been due.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct VirtualTime(f64);

impl VirtualTime {
    /// Returns the earlier one of two times.
    #[must_use]
    pub fn min(self, other: VirtualTime) -> VirtualTime {
        VirtualTime(self.0.min(other.0))
    }
}

/// The shares of all organisations in one resource. Work is measured in any one unit,
/// such as seconds of run time or bytes.
#[derive(Debug, Default)]
pub struct FairShares {
    now: VirtualTime,
    /// Finish tag of the last started item of each share, if it has not passed.
    tracked: HashMap<ShareKey, f64>,
    /// The finish tags in order, as the bits of the number. The order of the bits is
    /// that of the numbers, as no tag is negative.
    by_finish: BTreeSet<(u64, ShareKey)>,
}

impl FairShares {
    /// Number of shares that are tracked.
    #[must_use]
    pub fn tracked(&self) -> usize {
        self.tracked.len()
    }

    /// Returns the share of an item of `organisation`; `None` stands for all items that
    /// belong to no organisation. These are never beyond a share: the run of another target
    /// may depend on them, and no limit tells how many there should be.
    #[must_use]
    pub fn claim(&self, organisation: Option<OrganisationShare>) -> ShareClaim {
        let Some(organisation) = organisation else {
            return ShareClaim {
                key: ShareKey::Unowned,
                weight: MAX_WEIGHT,
            };
        };
        let key = ShareKey::Organisation(organisation.id);
        let has_room = self.tracked.len() < MAX_TRACKED_ORGANISATIONS;
        if has_room || self.tracked.contains_key(&key) {
            let weight = organisation.effective_weight();
            return ShareClaim { key, weight };
        }
        ShareClaim {
            key: ShareKey::Untracked,
            weight: DEFAULT_WEIGHT,
        }
    }

    /// Start tag of the next item of a share: the time at which it is due.
    #[must_use]
    pub fn next_start(&self, claim: &ShareClaim) -> VirtualTime {
        let finish = self.tracked.get(&claim.key).copied();
        VirtualTime(finish.unwrap_or(self.now.0))
    }

    /// The latest virtual time at which a share is ahead by `burst`.
    #[must_use]
    pub fn time_with_burst(&self, claim: &ShareClaim, burst: f64) -> VirtualTime {
        VirtualTime(self.next_start(claim).0 - burst / claim.weight)
    }

    /// Work that was started for a share and is not due to it yet.
    #[must_use]
    pub fn work_ahead(&self, claim: &ShareClaim) -> f64 {
        (self.next_start(claim).0 - self.now.0) * claim.weight
    }

    /// Records the start of an item of `work`. `earliest` is the earliest
    /// [`FairShares::time_with_burst`] of the shares whose items competed with it.
    pub fn record_start(&mut self, claim: &ShareClaim, work: f64, earliest: VirtualTime) {
        let finish = self.next_start(claim).0 + work / claim.weight;
        if let Some(before) = self.tracked.insert(claim.key, finish) {
            self.by_finish.remove(&(before.to_bits(), claim.key));
        }
        self.by_finish.insert((finish.to_bits(), claim.key));
        self.advance(earliest);
    }

    /// Forgets what all organisations have used.
    pub fn clear(&mut self) {
        *self = FairShares::default();
    }

    /// Advances virtual time, and removes the shares whose finish tag has passed.
    fn advance(&mut self, to: VirtualTime) {
        self.now.0 = self.now.0.max(to.0);
        while let Some(&(finish_bits, key)) = self.by_finish.first() {
            if f64::from_bits(finish_bits) > self.now.0 {
                return;
            }
            self.by_finish.pop_first();
            self.tracked.remove(&key);
        }
    }
}
