//! Requests tokens for the calls of rate-limited organisations from token pools, and
//! grants tokens from this daemon's own pool.
//!
//! The pools are on the readers of the availability zone, to which all daemons of
//! the zone are linked.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::{OrganisationRule, RateLimit};
use filbert_policy::organisations::quota::{PoolTopology, TokenGrant, POOL_LEASE_DURATION};
use filbert_policy::organisations::token_cache::TakeOutcome;
use tokio::sync::oneshot;
use twox_hash::XxHash64;

use super::{OrganisationState, TokenCacheEntry};
use crate::messages::{to_micros, LinkMessage};
use crate::peers::Peer;
use crate::state::MeshShared;

/// Time after which a pool that has not responded is skipped.
const POOL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum time for which a call waits for a token.
const TOKEN_WAIT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which tokens are requested again if no pool could be reached, or the
/// pool's daemon is no reader or knows no limit. Also returned to a call whose wait
/// for a token timed out.
const POOL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Grant of a daemon that has no pool, or knows no limit of the organisation.
const EMPTY_GRANT: TokenGrant = TokenGrant {
    tokens: 0,
    next_token_in: POOL_RETRY_DELAY,
};
/// Number of pools that a host uses: those of the two readers of its zone.
const POOLS_PER_HOST: usize = 2;
/// Interval at which the host checks whether a lease has to be renewed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps this host's leases at its pools while any organisation has a rate limit, so
/// that the pools generate the host's share of the tokens. Never returns.
pub async fn maintain_pool_leases(shared: Rc<MeshShared>) {
    let organisations = &shared.organisations;
    loop {
        if !organisations.has_limits.get() {
            organisations.limits_added.notified().await;
        }
        shared.renew_pool_leases();
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}

/// A token taken for one call.
pub struct CallToken {
    /// Name of the organisation whose token this is.
    organisation: String,
    organisations: Rc<OrganisationState>,
}

impl CallToken {
    /// Returns the token to the cache, as the call did not run.
    pub fn refund(self) {
        let now = self.organisations.clock.now();
        let mut token_caches = self.organisations.token_caches.borrow_mut();
        if let Some(entry) = token_caches.get_mut(&self.organisation) {
            entry.token_cache.refund(now);
        }
    }
}

/// Counts a call as waiting for a token until it is dropped.
struct WaitingCall {
    organisation: String,
    organisations: Rc<OrganisationState>,
}

impl WaitingCall {
    fn new(
        organisations: &Rc<OrganisationState>,
        organisation: &str,
        entry: &mut TokenCacheEntry,
    ) -> WaitingCall {
        entry.waiting += 1;
        WaitingCall {
            organisation: organisation.to_owned(),
            organisations: Rc::clone(organisations),
        }
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        let mut token_caches = self.organisations.token_caches.borrow_mut();
        if let Some(entry) = token_caches.get_mut(&self.organisation) {
            entry.waiting -= 1;
        }
    }
}

/// Location of a pool from which this daemon may request tokens.
enum PoolLocation {
    Local,
    Remote(Rc<Peer>),
}

impl PoolLocation {
    /// Returns the name of the pool's host; `own` is the name of this host.
    fn host<'a>(&'a self, own: &'a str) -> &'a str {
        match self {
            PoolLocation::Local => own,
            PoolLocation::Remote(peer) => &peer.address.id,
        }
    }
}

impl MeshShared {
    /// Takes a token for a call of `organisation`, and waits for one until `deadline`
    /// at most. Returns `None` if the organisation has no rate limit.
    ///
    /// # Errors
    /// The time after which a token may be available, if there is none.
    pub async fn take_token(
        self: &Rc<Self>,
        organisation: &OrganisationRule,
        deadline: Instant,
    ) -> Result<Option<CallToken>, Duration> {
        if organisation.limit.is_none() {
            return Ok(None);
        }
        let name = organisation.name.as_str();
        let wait_until = deadline.min(self.clock.now() + TOKEN_WAIT_TIMEOUT);
        loop {
            let now = self.clock.now();
            let (changed, waiting) = {
                let mut token_caches = self.organisations.token_caches.borrow_mut();
                let entry = token_caches.entry(name.to_owned()).or_default();
                match entry.token_cache.take(now) {
                    TakeOutcome::Taken => {
                        let starts_request =
                            entry.token_cache.needs_refill(now) && !entry.is_requesting;
                        entry.is_requesting |= starts_request;
                        drop(token_caches);
                        if starts_request {
                            self.request_in_background(organisation);
                        }
                        return Ok(Some(self.call_token(name)));
                    }
                    TakeOutcome::Exhausted(left) => return Err(left),
                    TakeOutcome::RequestMore => {}
                }
                let waiting = WaitingCall::new(&self.organisations, name, entry);
                let starts_request = !std::mem::replace(&mut entry.is_requesting, true);
                let changed = Rc::clone(&entry.changed);
                drop(token_caches);
                if starts_request {
                    self.request_in_background(organisation);
                }
                (changed, waiting)
            };
            let waited = tokio::time::timeout_at(wait_until.into(), changed.notified()).await;
            drop(waiting);
            if waited.is_err() {
                return Err(POOL_RETRY_DELAY);
            }
        }
    }

    fn call_token(&self, organisation: &str) -> CallToken {
        CallToken {
            organisation: organisation.to_owned(),
            organisations: Rc::clone(&self.organisations),
        }
    }

    fn request_in_background(self: &Rc<Self>, organisation: &OrganisationRule) {
        let shared = Rc::clone(self);
        let name = organisation.name.clone();
        tokio::task::spawn_local(async move {
            // Calls that arrive before the next poll of this task share the request.
            tokio::task::yield_now().await;
            let grant = shared.request_tokens(&name).await;
            let now = shared.clock.now();
            let mut token_caches = shared.organisations.token_caches.borrow_mut();
            if let Some(entry) = token_caches.get_mut(&name) {
                entry.is_requesting = false;
                entry.token_cache.granted(grant, now);
                entry.changed.notify_waiters();
            }
        });
    }

    /// Requests tokens for `organisation` from one pool after the other, until one
    /// grants some. Otherwise returns the shortest time until the next token.
    async fn request_tokens(&self, organisation: &str) -> TokenGrant {
        let mut next_token_in: Option<Duration> = None;
        for pool in self.pools_in_request_order(organisation) {
            let wanted = self.organisations.wanted(organisation);
            let grant = match pool {
                PoolLocation::Local => Some(self.grant_tokens(organisation, wanted)),
                PoolLocation::Remote(peer) => {
                    self.request_from_peer(&peer, organisation, wanted).await
                }
            };
            match grant {
                Some(grant) if grant.tokens > 0 => return grant,
                Some(grant) => {
                    next_token_in = Some(next_token_in.map_or(grant.next_token_in, |earliest| {
                        earliest.min(grant.next_token_in)
                    }));
                }
                None => {}
            }
        }
        TokenGrant {
            tokens: 0,
            next_token_in: next_token_in.unwrap_or(POOL_RETRY_DELAY),
        }
    }

    /// Returns the pools for `organisation` in the order of requests. The order is the
    /// same on all daemons, so that an organisation's few tokens are requested from
    /// one pool first and do not remain in several.
    fn pools_in_request_order(&self, organisation: &str) -> Vec<PoolLocation> {
        let own = self.settings.borrow().id.clone();
        let rank = |pool: &PoolLocation| {
            XxHash64::oneshot(0, format!("{organisation} {}", pool.host(&own)).as_bytes())
        };
        let mut pools = self.host_pools();
        pools.sort_unstable_by_key(rank);
        pools
    }

    fn renew_pool_leases(&self) {
        let own = self.settings.borrow().id.clone();
        let wanted: Vec<String> = self
            .host_pools()
            .iter()
            .map(|pool| pool.host(&own).to_owned())
            .collect();
        let now = self.clock.now();
        let due = self
            .organisations
            .leases
            .borrow_mut()
            .renew(&wanted, POOLS_PER_HOST, now);
        for peer in due.iter().filter_map(|id| self.peers.get(id)) {
            peer.send_message(LinkMessage::RenewPoolLease);
        }
    }

    /// Returns the pools that generate this host's share of the tokens. Their number
    /// is limited to [`POOLS_PER_HOST`] for each host, however many daemons take
    /// themselves for readers.
    fn host_pools(&self) -> Vec<PoolLocation> {
        let own = self.settings.borrow().id.clone();
        let plan = self.members.plan.borrow();
        let rank = |id: &str| XxHash64::oneshot(0, id.as_bytes());
        let peers = plan.readers.iter().filter_map(|id| self.peers.get(id));
        let mut pools: Vec<(u64, PoolLocation)> = peers
            .filter(|peer| peer.is_linked())
            .map(|peer| (rank(&peer.address.id), PoolLocation::Remote(peer)))
            .collect();
        if plan.is_reader {
            pools.push((rank(&own), PoolLocation::Local));
        }
        pools.sort_unstable_by_key(|(rank, _)| *rank);
        pools.truncate(POOLS_PER_HOST);
        pools.into_iter().map(|(_, pool)| pool).collect()
    }

    async fn request_from_peer(
        &self,
        peer: &Peer,
        organisation: &str,
        wanted: u32,
    ) -> Option<TokenGrant> {
        let (request_id, answer) = self.organisations.begin_request();
        let message = LinkMessage::RequestTokens {
            request_id,
            organisation: organisation.to_owned(),
            wanted,
        };
        if !peer.send_message(message) {
            self.organisations.end_request(request_id);
            return None;
        }
        let answer = tokio::time::timeout(POOL_RESPONSE_TIMEOUT, answer).await;
        self.organisations.end_request(request_id);
        answer.ok()?.ok()
    }

    /// Grants up to `wanted` tokens for `organisation` from this daemon's pool.
    #[must_use]
    pub fn grant_tokens(&self, organisation: &str, wanted: u32) -> TokenGrant {
        let Some(limit) = self.rate_limit(organisation) else {
            return EMPTY_GRANT;
        };
        let share = self.pool_topology().share();
        let now = self.clock.now();
        let mut pool = self.organisations.pool.borrow_mut();
        pool.grant(organisation, limit, share, wanted, now)
    }

    fn rate_limit(&self, organisation: &str) -> Option<RateLimit> {
        let index = self.current_index();
        index.organisations().organisation(organisation)?.limit
    }

    fn pool_topology(&self) -> PoolTopology {
        let settings = self.settings.borrow();
        let now = self.clock.now();
        let since = now.checked_sub(POOL_LEASE_DURATION).unwrap_or(now);
        let hosts = self.organisations.zone_hosts.get();
        let holds_own_lease = self
            .organisations
            .leases
            .borrow()
            .is_counted_at(&settings.id, now);
        PoolTopology {
            zones: settings
                .zones
                .len()
                .max(self.organisations.zone_count.get()),
            pools: POOLS_PER_HOST.min(hosts),
            hosts,
            leased_by: self.peers.leased_by(&settings.zone, since) + usize::from(holds_own_lease),
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

    fn begin_request(&self) -> (u64, oneshot::Receiver<TokenGrant>) {
        let request_id = self.next_request_id.get();
        self.next_request_id.set(request_id + 1);
        let (sender, answer) = oneshot::channel();
        self.pending_requests
            .borrow_mut()
            .insert(request_id, sender);
        (request_id, answer)
    }

    fn end_request(&self, request_id: u64) {
        self.pending_requests.borrow_mut().remove(&request_id);
    }

    /// Delivers a pool's response to the request with this id. A response that arrives
    /// too late is dropped, and its tokens are lost.
    pub fn deliver_grant(&self, request_id: u64, grant: TokenGrant) {
        let waiting = self.pending_requests.borrow_mut().remove(&request_id);
        if let Some(waiting) = waiting {
            // The requester may have timed out at this moment.
            let _ = waiting.send(grant);
        }
    }
}

/// Returns the response of this daemon's pool to a request of another daemon.
#[must_use]
pub fn answer(
    shared: &MeshShared,
    request_id: u64,
    organisation: &str,
    wanted: u32,
) -> LinkMessage {
    let grant = if shared.members.is_reader() {
        shared.grant_tokens(organisation, wanted)
    } else {
        EMPTY_GRANT
    };
    LinkMessage::GrantTokens {
        request_id,
        granted: grant.tokens,
        next_token_in_us: to_micros(grant.next_token_in),
    }
}
