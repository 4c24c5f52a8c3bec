//! The right to run calls of an organisation: asked of the pools of the
//! availability zone's readers, to which every daemon there is linked.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::{OrganisationRule, RateLimit};
use filbert_policy::organisations::quota::{PoolTopology, TokenGrant, POOL_LEASE_DURATION};
use filbert_policy::organisations::token_cache::TakeOutcome;
use tokio::sync::oneshot;
use twox_hash::XxHash64;

use super::{OrganisationState, TokenCacheEntry};
use crate::messages::{micros, LinkMessage};
use crate::peers::Peer;
use crate::state::MeshShared;

/// Time in which a pool answers; a daemon that does not is passed over.
const ANSWER_WITHIN: Duration = Duration::from_millis(80);
/// Time that a call waits for a token at most.
const TOKEN_WITHIN: Duration = Duration::from_millis(250);
/// Time until a pool is asked again that could not be reached, or grants nothing
/// at all.
const NO_POOL: Duration = Duration::from_millis(150);

/// What a daemon without a pool grants.
const NOTHING: TokenGrant = TokenGrant {
    tokens: 0,
    next_token_in: NO_POOL,
};
/// Pools that a host asks: those of the two readers that a zone has.
const POOLS: usize = 2;
/// How often it is looked at whether a pool is to be told.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Brings this host's part of the tokens to the pools that it asks, as long as
/// there are limits. Runs for ever.
pub async fn maintain_pool_leases(shared: Rc<MeshShared>) {
    let desk = &shared.organisations;
    loop {
        if !desk.has_limits.get() {
            desk.limits_came.notified().await;
        }
        shared.renew_pools();
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// The right to run one call.
pub struct CallToken {
    /// The organisation that it is counted for.
    organisation: String,
    desk: Rc<OrganisationState>,
}

impl CallToken {
    /// Gives the right back: the call did not run.
    pub fn refund(self) {
        let now = self.desk.clock.now();
        let mut token_caches = self.desk.token_caches.borrow_mut();
        if let Some(entry) = token_caches.get_mut(&self.organisation) {
            entry.token_cache.refund(now);
        }
    }
}

/// A call that waits for a token; counted until it is dropped.
struct WaitingCall {
    organisation: String,
    desk: Rc<OrganisationState>,
}

impl WaitingCall {
    fn new(
        desk: &Rc<OrganisationState>,
        organisation: &str,
        entry: &mut TokenCacheEntry,
    ) -> WaitingCall {
        entry.waiting += 1;
        WaitingCall {
            organisation: organisation.to_owned(),
            desk: Rc::clone(desk),
        }
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        let mut token_caches = self.desk.token_caches.borrow_mut();
        if let Some(entry) = token_caches.get_mut(&self.organisation) {
            entry.waiting -= 1;
        }
    }
}

/// A pool that this daemon may ask.
enum PoolPlace {
    Here,
    Peer(Rc<Peer>),
}

impl PoolPlace {
    /// The host that it is on, where `own` is this one.
    fn host<'a>(&'a self, own: &'a str) -> &'a str {
        match self {
            PoolPlace::Here => own,
            PoolPlace::Peer(peer) => &peer.address.id,
        }
    }
}

impl MeshShared {
    /// Waits for the right to run a call of `organisation` until `limit` at most.
    ///
    /// # Errors
    /// The time after which there may be one again.
    pub async fn take_token(
        self: &Rc<Self>,
        organisation: &OrganisationRule,
        limit: Instant,
    ) -> Result<Option<CallToken>, Duration> {
        if organisation.limit.is_none() {
            return Ok(None);
        }
        let name = organisation.name.as_str();
        let until = limit.min(self.clock.now() + TOKEN_WITHIN);
        loop {
            let now = self.clock.now();
            let (changed, waiting) = {
                let mut token_caches = self.organisations.token_caches.borrow_mut();
                let entry = token_caches.entry(name.to_owned()).or_default();
                match entry.token_cache.take(now) {
                    TakeOutcome::Taken => {
                        let asks = entry.token_cache.needs_refill(now) && !entry.is_asking;
                        entry.is_asking |= asks;
                        drop(token_caches);
                        if asks {
                            self.ask_in_background(organisation);
                        }
                        return Ok(Some(self.hold(name)));
                    }
                    TakeOutcome::Exhausted(left) => return Err(left),
                    TakeOutcome::RequestMore => {}
                }
                let waiting = WaitingCall::new(&self.organisations, name, entry);
                let asks = !std::mem::replace(&mut entry.is_asking, true);
                let changed = Rc::clone(&entry.changed);
                drop(token_caches);
                if asks {
                    self.ask_in_background(organisation);
                }
                (changed, waiting)
            };
            let waited = tokio::time::timeout_at(until.into(), changed.notified()).await;
            drop(waiting);
            if waited.is_err() {
                return Err(NO_POOL);
            }
        }
    }

    fn hold(&self, organisation: &str) -> CallToken {
        CallToken {
            organisation: organisation.to_owned(),
            desk: Rc::clone(&self.organisations),
        }
    }

    fn ask_in_background(self: &Rc<Self>, organisation: &OrganisationRule) {
        let shared = Rc::clone(self);
        let name = organisation.name.clone();
        tokio::task::spawn_local(async move {
            // Those that follow within the same moment are asked for together.
            tokio::task::yield_now().await;
            let grant = shared.ask_pools(&name).await;
            let now = shared.clock.now();
            let mut token_caches = shared.organisations.token_caches.borrow_mut();
            if let Some(entry) = token_caches.get_mut(&name) {
                entry.is_asking = false;
                entry.token_cache.granted(grant, now);
                entry.changed.notify_waiters();
            }
        });
    }

    /// Asks one pool after the other until one has tokens for `organisation`.
    async fn ask_pools(&self, organisation: &str) -> TokenGrant {
        let mut next_token_in: Option<Duration> = None;
        for place in self.pools_for(organisation) {
            let wanted = self.organisations.wanted(organisation);
            let grant = match place {
                PoolPlace::Here => Some(self.grant_tokens(organisation, wanted)),
                PoolPlace::Peer(peer) => self.ask_peer(&peer, organisation, wanted).await,
            };
            match grant {
                Some(grant) if grant.tokens > 0 => return grant,
                Some(grant) => {
                    next_token_in = Some(
                        next_token_in
                            .map_or(grant.next_token_in, |least| least.min(grant.next_token_in)),
                    );
                }
                None => {}
            }
        }
        TokenGrant {
            tokens: 0,
            next_token_in: next_token_in.unwrap_or(NO_POOL),
        }
    }

    /// The pools to ask for `organisation`, in turn. Daemons agree on the order, so
    /// that few tokens are not spread over many pools.
    fn pools_for(&self, organisation: &str) -> Vec<PoolPlace> {
        let own = self.settings.borrow().id.clone();
        let rank = |place: &PoolPlace| {
            XxHash64::oneshot(0, format!("{organisation} {}", place.host(&own)).as_bytes())
        };
        let mut pools = self.own_pools();
        pools.sort_unstable_by_key(rank);
        pools
    }

    fn renew_pools(&self) {
        let own = self.settings.borrow().id.clone();
        let wanted: Vec<String> = self
            .own_pools()
            .iter()
            .map(|place| place.host(&own).to_owned())
            .collect();
        let now = self.clock.now();
        let due = self
            .organisations
            .leases
            .borrow_mut()
            .renew(&wanted, POOLS, now);
        for peer in due.iter().filter_map(|id| self.peers.get(id)) {
            peer.say(LinkMessage::RenewPool);
        }
    }

    /// The pools that this host's part of the tokens comes into being in: as many
    /// for each host, whoever takes itself for a reader.
    fn own_pools(&self) -> Vec<PoolPlace> {
        let own = self.settings.borrow().id.clone();
        let plan = self.members.plan.borrow();
        let rank = |id: &str| XxHash64::oneshot(0, id.as_bytes());
        let peers = plan.readers.iter().filter_map(|id| self.peers.get(id));
        let mut pools: Vec<(u64, PoolPlace)> = peers
            .filter(|peer| peer.is_linked())
            .map(|peer| (rank(&peer.address.id), PoolPlace::Peer(peer)))
            .collect();
        if plan.is_reader {
            pools.push((rank(&own), PoolPlace::Here));
        }
        pools.sort_unstable_by_key(|(rank, _)| *rank);
        pools.truncate(POOLS);
        pools.into_iter().map(|(_, place)| place).collect()
    }

    async fn ask_peer(&self, peer: &Peer, organisation: &str, wanted: u32) -> Option<TokenGrant> {
        let (ask, answer) = self.organisations.begin_ask();
        let message = LinkMessage::WantTokens {
            ask,
            organisation: organisation.to_owned(),
            wanted,
        };
        if !peer.say(message) {
            self.organisations.end_ask(ask);
            return None;
        }
        let answer = tokio::time::timeout(ANSWER_WITHIN, answer).await;
        self.organisations.end_ask(ask);
        answer.ok()?.ok()
    }

    /// Takes tokens out of this daemon's pool.
    #[must_use]
    pub fn grant_tokens(&self, organisation: &str, wanted: u32) -> TokenGrant {
        let Some(limit) = self.limit_of(organisation) else {
            return NOTHING;
        };
        let share = self.pool_topology().share();
        let now = self.clock.now();
        let mut pool = self.organisations.pool.borrow_mut();
        pool.grant(organisation, limit, share, wanted, now)
    }

    fn limit_of(&self, organisation: &str) -> Option<RateLimit> {
        let index = self.current_index();
        index.organisations().organisation(organisation)?.limit
    }

    fn pool_topology(&self) -> PoolTopology {
        let settings = self.settings.borrow();
        let now = self.clock.now();
        let since = now.checked_sub(POOL_LEASE_DURATION).unwrap_or(now);
        let hosts = self.organisations.zone_hosts.get();
        let is_own = self
            .organisations
            .leases
            .borrow()
            .is_counted_at(&settings.id, now);
        PoolTopology {
            zones: settings.zones.len().max(self.organisations.zones.get()),
            pools: POOLS.min(hosts),
            hosts,
            leased_by: self.peers.leased_by(&settings.zone, since) + usize::from(is_own),
        }
    }
}

impl OrganisationState {
    fn wanted(&self, organisation: &str) -> u32 {
        let token_caches = self.token_caches.borrow();
        token_caches
            .get(organisation)
            .map_or(1, |entry| entry.token_cache.wanted(entry.waiting))
    }

    fn begin_ask(&self) -> (u64, oneshot::Receiver<TokenGrant>) {
        let ask = self.next_ask.get();
        self.next_ask.set(ask + 1);
        let (sender, answer) = oneshot::channel();
        self.asked.borrow_mut().insert(ask, sender);
        (ask, answer)
    }

    fn end_ask(&self, ask: u64) {
        self.asked.borrow_mut().remove(&ask);
    }

    /// Takes another daemon's answer to question `ask`. One that comes too late
    /// is lost, and its tokens with it.
    pub fn deliver_grant(&self, ask: u64, grant: TokenGrant) {
        let waiting = self.asked.borrow_mut().remove(&ask);
        if let Some(waiting) = waiting {
            // Whoever asked may have given up in this moment.
            let _ = waiting.send(grant);
        }
    }
}

/// The answer of this daemon's pool to another daemon.
#[must_use]
pub fn answer(shared: &MeshShared, ask: u64, organisation: &str, wanted: u32) -> LinkMessage {
    let grant = if shared.members.is_reader() {
        shared.grant_tokens(organisation, wanted)
    } else {
        NOTHING
    };
    LinkMessage::Tokens {
        ask,
        granted: grant.tokens,
        dry_us: micros(grant.next_token_in),
    }
}
