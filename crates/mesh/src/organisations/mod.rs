//! Organisations at one daemon: which organisation holds the key of a call, how
//! recent the version of the configuration is that says so ([`freshness`]), and
//! whether the organisation may run another call ([`tokens`], [`pools`]).

pub mod counts;
pub mod freshness;
pub mod pools;
pub mod tokens;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbert_policy::clock::Clock;
use filbert_policy::organisations::freshness::VersionFreshness;
use filbert_policy::organisations::keys::{OrganisationRule, RateLimit};
use filbert_policy::routing::{RouteIndex, RouteRule};

use crate::settings::MeshSettings;
use counts::OrganisationCounts;
use pools::PoolState;
use tokens::OrganisationTokens;

/// Age of the version in force below which a key that it does not contain is
/// rejected as unknown; a key may have been added since an older version. Sources
/// get a confirmation from the store at least every two seconds.
const MAX_AGE_FOR_UNKNOWN_KEY: Duration = Duration::from_millis(3_500);

/// State of the organisations at this daemon, besides the version in force.
pub struct OrganisationState {
    clock: Rc<dyn Clock>,
    /// Time within which a withdrawn key must be refused on all hosts, and so the age
    /// from which the version in force is too old to accept keys; `None` if unbounded.
    max_version_age: Cell<Option<Duration>>,
    freshness: RefCell<VersionFreshness>,
    /// Whether the version in force was too old at the last check of a key.
    is_stale: Cell<bool>,
    pools: PoolState,
    token_caches: RefCell<HashMap<String, OrganisationTokens>>,
    /// Counters of calls by organisation.
    pub counts: OrganisationCounts,
}

/// The holder of a call's key, as far as this daemon can tell.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyHolder {
    /// No organisation holds the key, and the call needs none.
    Anonymous,
    /// This organisation holds the key.
    Organisation(Arc<OrganisationRule>),
    /// The call needs a key, and has none or one that no organisation holds.
    Unknown,
    /// The version in force may be too old to accept or reject the key.
    Stale,
}

impl OrganisationState {
    /// Creates the state from `settings`, without any organisations.
    #[must_use]
    pub fn new(settings: &MeshSettings, clock: Rc<dyn Clock>) -> Rc<OrganisationState> {
        let now = clock.now();
        let state = OrganisationState {
            clock,
            max_version_age: Cell::new(None),
            freshness: RefCell::default(),
            is_stale: Cell::new(false),
            pools: PoolState::new(settings.quota_policy(), now),
            token_caches: RefCell::default(),
            counts: OrganisationCounts::default(),
        };
        state.apply_settings(settings);
        Rc::new(state)
    }

    /// Applies changed settings.
    pub fn apply_settings(&self, settings: &MeshSettings) {
        let within = settings.withdrawal.map(|withdrawal| withdrawal.within);
        self.max_version_age.set(within);
    }

    /// Returns the holder of a call on `route` with `key`.
    #[must_use]
    pub fn holder(&self, index: &RouteIndex, route: &RouteRule, key: Option<&str>) -> KeyHolder {
        let organisations = index.organisations();
        if organisations.is_empty() {
            return KeyHolder::Anonymous;
        }
        let holder = key.and_then(|key| organisations.holder(key));
        if route.is_public {
            return holder.map_or(KeyHolder::Anonymous, |holder| {
                KeyHolder::Organisation(Arc::clone(holder))
            });
        }
        if key.is_none() {
            return KeyHolder::Unknown;
        }
        let age = self.freshness.borrow().age(self.clock.since_boot());
        let is_within = |bound: Duration| age.is_some_and(|age| age < bound);
        let is_stale = !self.max_version_age.get().is_none_or(is_within);
        self.log_staleness_change(is_stale, age, index.number());
        match holder {
            _ if is_stale => KeyHolder::Stale,
            Some(holder) => KeyHolder::Organisation(Arc::clone(holder)),
            None if is_within(MAX_AGE_FOR_UNKNOWN_KEY) => KeyHolder::Unknown,
            None => KeyHolder::Stale,
        }
    }

    fn log_staleness_change(&self, is_stale: bool, age: Option<Duration>, version: u64) {
        if self.is_stale.replace(is_stale) == is_stale {
            return;
        }
        let age_ms = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let event = if is_stale {
            "keys_refused"
        } else {
            "keys_hold_again"
        };
        log::info!("event={event} version={version:08x} age_ms={age_ms}");
    }

    /// Applies the version that is now in force: updates its age, and drops state of
    /// organisations that are not in it.
    pub fn apply_version(&self, index: &RouteIndex) {
        self.freshness
            .borrow_mut()
            .update_for_version(index.number());
        let limited = index.organisations().limited();
        let limits: Vec<(&str, RateLimit)> = limited
            .filter_map(|rule| Some((rule.name.as_str(), rule.limit?)))
            .collect();
        self.pools.apply_limits(&limits, self.clock.now());
        self.counts.keep(|name| index.organisations().has(name));
        let mut token_caches = self.token_caches.borrow_mut();
        token_caches.retain(|name, entry| entry.has_waiting() || index.organisations().has(name));
    }
}
