//! Token pools of rate-limited organisations: requests to the pools that this host
//! uses, and grants from this daemon's own pool.
//!
//! The pools are on the readers of the availability zone, to which all daemons of
//! the zone are linked.

pub mod leases;
pub mod lending;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::RateLimit;
use filbert_policy::organisations::quota::{
    AskTimes, LeaseBook, PoolLeases, QuotaPolicy, TokenGrant, TokenPool,
};
use tokio::sync::{oneshot, Notify};
use twox_hash::XxHash64;

use self::leases::LoggedLeases;
use self::lending::BorrowingState;
use super::counts::{CountsRange, TokenSearch};
use super::OrganisationState;
use crate::messages::{to_micros, LinkMessage};
use crate::peers::Peer;
use crate::state::MeshShared;

/// Time after which a pool that has not responded is skipped.
const POOL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(80);
/// Time after which tokens are requested again if no pool could be reached, or the
/// pool's daemon is no reader or knows no limit. Also returned to a call whose wait
/// for a token timed out.
pub(super) const POOL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest time until the next token that is believed.
const MAX_NEXT_TOKEN_IN: Duration = Duration::from_secs(5);
/// Grant of a daemon that has no pool, or knows no limit of the organisation.
const EMPTY_GRANT: TokenGrant = TokenGrant {
    tokens: 0,
    next_token_in: POOL_RETRY_DELAY,
};
/// Number of pools that a host uses: those of the two readers of its zone.
const POOLS_PER_HOST: usize = 2;

/// This daemon's pool, its leases at the pools that it uses, and its requests to them.
pub(super) struct PoolState {
    pool: RefCell<TokenPool>,
    /// Leases at the pools that count this host's share of the tokens.
    leases: RefCell<PoolLeases>,
    /// Leases of hosts at this daemon's pool.
    lease_book: RefCell<LeaseBook>,
    logged_leases: Cell<LoggedLeases>,
    /// Times before which this host does not ask its pools again.
    ask_times: RefCell<AskTimes>,
    /// Requests of this daemon's pool to pools of other zones.
    borrowing: RefCell<BorrowingState>,
    /// Number of hosts in this host's availability zone, including this one.
    zone_hosts: Cell<usize>,
    /// Number of availability zones with known hosts.
    zone_count: Cell<usize>,
    /// Whether any organisation has a rate limit.
    has_limits: Cell<bool>,
    /// Wakes the task that waits until an organisation has a rate limit.
    limits_added: Notify,
    /// Requests to pools of other daemons that await a response, by request id.
    pending_requests: RefCell<HashMap<u64, oneshot::Sender<TokenGrant>>>,
    next_request_id: Cell<u64>,
}

impl PoolState {
    pub(super) fn new(policy: QuotaPolicy, now: Instant) -> PoolState {
        PoolState {
            pool: RefCell::new(TokenPool::new(policy, now)),
            leases: RefCell::new(PoolLeases::new(POOLS_PER_HOST, now)),
            lease_book: RefCell::new(LeaseBook::new(now)),
            logged_leases: Cell::new(None),
            ask_times: RefCell::default(),
            borrowing: RefCell::default(),
            zone_hosts: Cell::new(1),
            zone_count: Cell::new(1),
            has_limits: Cell::new(false),
            limits_added: Notify::new(),
            pending_requests: RefCell::default(),
            next_request_id: Cell::new(0),
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
    /// Requests tokens for `organisation` from one pool after the other, until one
    /// grants some. Otherwise returns the shortest time until the next token.
    pub(super) async fn request_tokens(self: &Rc<Self>, organisation: &str) -> TokenGrant {
        let counts = &self.organisations.counts;
        let mut next_token_in: Option<Duration> = None;
        let own = self.settings.borrow().id.clone();
        for pool in self.pools_in_request_order(organisation) {
            let ask_times = &self.organisations.pools.ask_times;
            let now = self.clock.now();
            let time_left = ask_times
                .borrow()
                .time_left(organisation, pool.host(&own), now);
            if let Some(time_left) = time_left {
                let earliest = next_token_in.map_or(time_left, |earliest| earliest.min(time_left));
                next_token_in = Some(earliest);
                continue;
            }
            let wanted = self.organisations.wanted(organisation);
            let grant = match &pool {
                PoolLocation::Local => Some(self.grant_tokens(organisation, wanted)),
                PoolLocation::Remote(peer) => self
                    .request_from_peer(peer, |request_id| LinkMessage::RequestTokens {
                        request_id,
                        organisation: organisation.to_owned(),
                        wanted,
                    })
                    .await
                    .map(|grant| within_bounds(grant, wanted)),
            };
            if let Some(grant) = grant {
                let now = self.clock.now();
                ask_times
                    .borrow_mut()
                    .record(organisation, pool.host(&own), grant, wanted, now);
            }
            match grant {
                Some(grant) if grant.tokens > 0 => {
                    counts.record_search(organisation, TokenSearch::Granted);
                    return grant;
                }
                Some(grant) => {
                    next_token_in = Some(next_token_in.map_or(grant.next_token_in, |earliest| {
                        earliest.min(grant.next_token_in)
                    }));
                }
                None => {}
            }
        }
        let search = next_token_in.map_or(TokenSearch::NoAnswer, |_| TokenSearch::PoolsEmpty);
        counts.record_search(organisation, search);
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
        message: impl FnOnce(u64) -> LinkMessage,
    ) -> Option<TokenGrant> {
        let (request_id, answer) = self.organisations.pools.begin_request();
        if !peer.send_message(message(request_id)) {
            self.organisations.pools.end_request(request_id);
            return None;
        }
        let answer = tokio::time::timeout(POOL_RESPONSE_TIMEOUT, answer).await;
        self.organisations.pools.end_request(request_id);
        answer.ok()?.ok()
    }

    /// Grants up to `wanted` tokens for `organisation` from this daemon's pool. If it
    /// runs out of tokens, it borrows some for later requests.
    #[must_use]
    pub fn grant_tokens(self: &Rc<Self>, organisation: &str, wanted: u32) -> TokenGrant {
        self.update_pool_share();
        let now = self.clock.now();
        let grant = {
            let mut pool = self.organisations.pools.pool.borrow_mut();
            pool.grant(organisation, wanted, now)
        };
        let Some(grant) = grant else {
            return EMPTY_GRANT;
        };
        if grant.tokens == wanted {
            return grant;
        }
        self.borrow_tokens(organisation);
        let pools = &self.organisations.pools;
        if pools.borrowing.borrow().requested(organisation) == 0 {
            return grant;
        }
        // Borrowed tokens arrive long before this pool generates the next one, if its
        // organisation is small.
        TokenGrant {
            next_token_in: grant.next_token_in.min(POOL_RESPONSE_TIMEOUT),
            ..grant
        }
    }
}

impl PoolState {
    /// Applies the organisations that have a rate limit, and their limits.
    pub(super) fn apply_limits(&self, limits: &[(&str, RateLimit)], now: Instant) {
        self.has_limits.set(!limits.is_empty());
        let names: HashSet<&str> = limits.iter().map(|(name, _)| *name).collect();
        self.ask_times
            .borrow_mut()
            .keep(|name| names.contains(name));
        self.borrowing
            .borrow_mut()
            .keep(|name| names.contains(name));
        if self.has_limits.get() {
            self.limits_added.notify_one();
        }
        self.pool
            .borrow_mut()
            .apply_limits(limits.iter().copied(), now);
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
}

impl OrganisationState {
    /// Sets the number of hosts in this host's availability zone and the number of
    /// zones with known hosts.
    pub fn set_host_counts(&self, hosts: usize, zone_count: usize) {
        self.pools.zone_hosts.set(hosts);
        self.pools.zone_count.set(zone_count);
    }

    /// Whether any organisation has a rate limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.pools.has_limits.get()
    }

    /// Returns the metrics of organisations' calls and tokens in the Prometheus text
    /// format, for all organisations or the busiest ones.
    #[must_use]
    pub fn metrics_text(&self, range: CountsRange) -> String {
        let now = self.clock.now();
        let mut pool = self.pools.pool.borrow_mut();
        self.counts.text(&pool.accounts(now), range)
    }

    /// Delivers a pool's response to the request with this id. A response that arrives
    /// too late is dropped, and its tokens are lost.
    pub fn deliver_grant(&self, request_id: u64, grant: TokenGrant) {
        let waiting = self.pools.pending_requests.borrow_mut().remove(&request_id);
        if let Some(waiting) = waiting {
            // The requester may have timed out at this moment.
            let _ = waiting.send(grant);
        }
    }
}

/// Limits what another daemon grants to the tokens that it was asked for and to a time
/// within which a pool that works asks for more.
fn within_bounds(grant: TokenGrant, wanted: u32) -> TokenGrant {
    TokenGrant {
        tokens: grant.tokens.min(wanted),
        next_token_in: grant.next_token_in.min(MAX_NEXT_TOKEN_IN),
    }
}

/// Returns the response of this daemon's pool to a request for tokens; `None` if
/// `message` is none. A daemon that no host leases its share to, as none takes it for a
/// reader, grants nothing.
#[must_use]
pub fn answer(shared: &Rc<MeshShared>, message: &LinkMessage) -> Option<LinkMessage> {
    // Hosts may disagree for long on which daemons are readers. Where they lease their
    // share, tokens are generated, and would be granted nowhere else.
    let has_pool = shared.members.is_reader() || shared.holds_pool_leases();
    let (request_id, grant) = match message {
        LinkMessage::RequestTokens {
            request_id,
            organisation,
            wanted,
        } if has_pool => (request_id, shared.grant_tokens(organisation, *wanted)),
        LinkMessage::BorrowTokens {
            request_id,
            organisation,
            wanted,
        } if has_pool => (request_id, shared.lend_tokens(organisation, *wanted)),
        LinkMessage::RequestTokens { request_id, .. }
        | LinkMessage::BorrowTokens { request_id, .. } => (request_id, EMPTY_GRANT),
        _ => return None,
    };
    Some(LinkMessage::GrantTokens {
        request_id: *request_id,
        granted: grant.tokens,
        next_token_in_us: to_micros(grant.next_token_in),
    })
}
