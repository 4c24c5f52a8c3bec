//! Organisations at the daemon: whose a call is by its key, how old the knowledge
//! behind that is ([`age`]), and whether the organisation may run one more
//! ([`tokens`]).

pub mod age;
pub mod counts;
pub mod tokens;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbert_policy::clock::Clock;
use filbert_policy::organisations::freshness::VersionFreshness;
use filbert_policy::organisations::keys::OrganisationRule;
use filbert_policy::organisations::quota::{PoolLeases, TokenGrant, TokenPool};
use filbert_policy::organisations::token_cache::TokenCache;
use filbert_policy::routing::{RouteIndex, RouteRule};
use tokio::sync::{oneshot, Notify};

use crate::settings::MeshSettings;
use counts::OrganisationCounts;

/// Age of a daemon's knowledge up to which a key that it does not know counts as
/// unknown. A source hears of the store every two seconds at least.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_500);

/// What is known of organisations beyond the version in force.
pub struct OrganisationDesk {
    clock: Rc<dyn Clock>,
    /// How soon a withdrawn key is refused everywhere, where that is bounded.
    withdrawn_within: Cell<Option<Duration>>,
    age: RefCell<VersionFreshness>,
    /// Whether keys were refused when last looked at, as the age was too high.
    is_stale: Cell<bool>,
    pool: RefCell<TokenPool>,
    /// The pools to which this host brings its part.
    leases: RefCell<PoolLeases>,
    /// Hosts of the own availability zone, this one included.
    zone_hosts: Cell<usize>,
    /// Availability zones that hosts are known in.
    zones: Cell<usize>,
    /// Whether any organisation has a limit.
    has_limits: Cell<bool>,
    /// Wakes whoever waits for that.
    limits_came: Notify,
    token_caches: RefCell<HashMap<String, TokenCacheEntry>>,
    /// Questions to other daemons' pools that wait for their answers.
    asked: RefCell<HashMap<u64, oneshot::Sender<TokenGrant>>>,
    next_ask: Cell<u64>,
    /// What became of organisations' calls.
    pub counts: OrganisationCounts,
}

/// An organisation's tokens at this daemon.
#[derive(Default)]
struct TokenCacheEntry {
    token_cache: TokenCache,
    /// Calls that wait for one.
    waiting: u32,
    /// Whether some are being asked for.
    is_asking: bool,
    /// Wakes the calls that wait.
    changed: Rc<Notify>,
}

/// Whose a call is.
#[derive(Clone, Debug, PartialEq)]
pub enum CallHolder {
    /// Nobody's, and it needs no key.
    Nobody,
    /// This organisation's.
    Organisation(Arc<OrganisationRule>),
    /// It needs a key, and no organisation holds its own.
    Unknown,
    /// What is known of its key may be out of date.
    Stale,
}

impl OrganisationDesk {
    /// A desk that knows nothing yet.
    #[must_use]
    pub fn new(settings: &MeshSettings, clock: Rc<dyn Clock>) -> Rc<OrganisationDesk> {
        let desk = OrganisationDesk {
            clock,
            withdrawn_within: Cell::new(None),
            age: RefCell::default(),
            is_stale: Cell::new(false),
            pool: RefCell::new(TokenPool::new(settings.quota_policy())),
            leases: RefCell::default(),
            zone_hosts: Cell::new(1),
            zones: Cell::new(1),
            has_limits: Cell::new(false),
            limits_came: Notify::new(),
            token_caches: RefCell::default(),
            asked: RefCell::default(),
            next_ask: Cell::new(0),
            counts: OrganisationCounts::default(),
        };
        desk.apply_settings(settings);
        Rc::new(desk)
    }

    /// Takes over changed settings.
    pub fn apply_settings(&self, settings: &MeshSettings) {
        let within = settings.withdrawal.map(|terms| terms.within);
        self.withdrawn_within.set(within);
    }

    /// Whose a call on `route` with `key` is.
    #[must_use]
    pub fn holder(&self, index: &RouteIndex, route: &RouteRule, key: Option<&str>) -> CallHolder {
        let organisations = index.organisations();
        if organisations.is_empty() {
            return CallHolder::Nobody;
        }
        let holder = key.and_then(|key| organisations.holder(key));
        if route.is_public {
            return holder.map_or(CallHolder::Nobody, |holder| {
                CallHolder::Organisation(Arc::clone(holder))
            });
        }
        if key.is_none() {
            return CallHolder::Unknown;
        }
        let age = self.age.borrow().age(self.clock.since_boot());
        let is_within = |bound: Duration| age.is_some_and(|age| age < bound);
        let is_stale = !self.withdrawn_within.get().is_none_or(is_within);
        self.note_stale(is_stale, age, index.number());
        match holder {
            _ if is_stale => CallHolder::Stale,
            Some(holder) => CallHolder::Organisation(Arc::clone(holder)),
            None if is_within(KNOWN_WITHIN) => CallHolder::Unknown,
            None => CallHolder::Stale,
        }
    }

    fn note_stale(&self, is_stale: bool, age: Option<Duration>, version: u64) {
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

    /// Takes note of the version in force.
    pub fn version_in_force(&self, index: &RouteIndex) {
        self.age.borrow_mut().update_for_version(index.number());
        let limited = index.organisations().limited();
        let names: Vec<&str> = limited.map(|rule| rule.name.as_str()).collect();
        self.has_limits.set(!names.is_empty());
        if self.has_limits.get() {
            self.limits_came.notify_one();
        }
        let now = self.clock.now();
        self.pool.borrow_mut().keep(names.iter().copied(), now);
        self.counts.keep(|name| index.organisations().has(name));
        let mut token_caches = self.token_caches.borrow_mut();
        token_caches.retain(|name, entry| entry.waiting > 0 || index.organisations().has(name));
    }

    /// Takes note of how many hosts there are in the own availability zone, and in
    /// how many `zones` there are any.
    pub fn note_hosts(&self, hosts: usize, zones: usize) {
        self.zone_hosts.set(hosts);
        self.zones.set(zones);
    }

    /// Takes note that this daemon grants tokens to others from now on.
    pub fn begin_granting(&self) {
        self.pool.borrow_mut().clear_buckets(self.clock.now());
    }
}
