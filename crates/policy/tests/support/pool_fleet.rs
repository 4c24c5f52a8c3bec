//! Replays the token pools of a fleet whose hosts are cut off, restart, move to other
//! pools and lose grants, with the calls of one organisation.

#[path = "host_faults.rs"]
mod host_faults;

use std::collections::BTreeMap;
use std::iter;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::RateLimit;
use filbert_policy::organisations::quota::{
    AskTimes, LeaseBook, LeaseClaim, PoolLeases, PoolTopology, QuotaPolicy, TokenGrant, TokenPool,
};
use filbert_policy::organisations::token_cache::{TakeOutcome, TokenCache};
pub use host_faults::{FaultKind, HostFault};

const ORGANISATION: &str = "north";
pub const ZONES: usize = 3;
/// Readers in each zone, which have the token pools.
const READERS: usize = 2;
/// Hosts in each zone.
pub const HOSTS: usize = 6;
/// Number of calls over the limit that is tolerated.
const SLACK: f64 = 20.0;
/// Time between two steps of a replay.
pub const STEP: Duration = Duration::from_millis(20);
/// Interval at which hosts check their leases, in steps.
const LEASE_CHECK_STEPS: u64 = 5;
/// Time for which a pool that had no tokens to lend is not asked again, in steps.
const LENDER_WAIT_STEPS: u64 = 5;
/// Time after which a host notices that its links have stalled, in steps.
const STALL_DETECTION_STEPS: u64 = 50;
pub const WINDOW: Duration = Duration::from_secs(5);
const POLICY: QuotaPolicy = QuotaPolicy {
    window: Some(WINDOW),
    slack: SLACK,
};

struct ReplayHost {
    pool: TokenPool,
    book: LeaseBook,
    leases: PoolLeases,
    token_cache: TokenCache,
    started_at: u64,
    /// Grant on its way to the host, and the step at which it arrives.
    grant_in_flight: Option<(u64, TokenGrant)>,
    /// Renewals on their way to the host's pool: step of arrival, sender and claim.
    renewals: Vec<(u64, usize, LeaseClaim)>,
    /// Tokens on their way to the host's pool: step of arrival, lender, number of
    /// tokens requested and grant.
    borrowed: Vec<(u64, usize, u32, TokenGrant)>,
    /// Step from which the host's pool may ask each lender again.
    ask_lender_at: BTreeMap<usize, u64>,
    /// Times that the host was told to ask each pool again.
    ask_times: AskTimes,
}

impl ReplayHost {
    fn started(limit: RateLimit, step: u64, now: Instant) -> ReplayHost {
        let mut pool = TokenPool::new(POLICY, now);
        pool.apply_limits(iter::once((ORGANISATION, limit)), now);
        ReplayHost {
            pool,
            book: LeaseBook::new(now),
            leases: PoolLeases::new(READERS, now),
            token_cache: TokenCache::default(),
            started_at: step,
            grant_in_flight: None,
            renewals: Vec::new(),
            borrowed: Vec::new(),
            ask_lender_at: BTreeMap::new(),
            ask_times: AskTimes::default(),
        }
    }
}

pub struct Replay {
    limit: RateLimit,
    hosts: Vec<ReplayHost>,
    faults: Vec<HostFault>,
    /// Time between a grant or a renewal and its arrival, in steps.
    pub transit_steps: u64,
    /// Time from the start of a host until it knows its pools, in steps.
    pub plan_steps: u64,
    start: Instant,
    /// Times at which calls ran, since `start`.
    pub runs: Vec<Duration>,
    /// Number of calls that got no token.
    pub declined: u64,
    /// Number of requests to pools.
    pub requests: u64,
}

impl Replay {
    pub fn new(limit: RateLimit, faults: Vec<HostFault>) -> Replay {
        let start = Instant::now();
        let hosts = (0..ZONES * HOSTS).map(|_| ReplayHost::started(limit, 0, start));
        Replay {
            limit,
            hosts: hosts.collect(),
            faults,
            transit_steps: 0,
            plan_steps: 0,
            start,
            runs: Vec::new(),
            declined: 0,
            requests: 0,
        }
    }

    fn time_of(&self, step: u64) -> Instant {
        self.start + STEP * u32::try_from(step).expect("number of steps fits in u32")
    }

    fn fault(&self, host: usize, step: u64) -> Option<FaultKind> {
        let faults = self.faults.iter();
        faults
            .filter(|fault| fault.zone * HOSTS + fault.host == host)
            .find(|fault| (fault.from..fault.from + fault.steps).contains(&step))
            .map(|fault| fault.kind)
    }

    /// Returns the step at which the links of `host` stalled.
    fn stalled_since(&self, host: usize, step: u64) -> Option<u64> {
        let mut faults = self.faults.iter();
        let stall = faults.find(|fault| {
            fault.zone * HOSTS + fault.host == host
                && (fault.from..fault.from + fault.steps).contains(&step)
        })?;
        matches!(stall.kind, FaultKind::Stalled).then_some(stall.from)
    }

    fn is_up(&self, host: usize, step: u64) -> bool {
        !matches!(self.fault(host, step), Some(FaultKind::Restart))
    }

    fn is_linked(&self, one: usize, other: usize, step: u64) -> bool {
        if one == other {
            return true;
        }
        let is_cut_off = |host| matches!(self.fault(host, step), Some(FaultKind::CutOff));
        let is_reachable = |host| {
            let fault = self.fault(host, step);
            !matches!(
                fault,
                Some(FaultKind::Isolated | FaultKind::Stalled | FaultKind::Restart)
            )
        };
        is_reachable(one) && is_reachable(other) && is_cut_off(one) == is_cut_off(other)
    }

    /// Returns the pools of `host`: those of the first hosts of its zone that it
    /// reaches.
    fn pools_of(&self, host: usize, step: u64) -> Vec<usize> {
        if step < self.hosts[host].started_at + self.plan_steps {
            return Vec::new();
        }
        let zone = host / HOSTS;
        (zone * HOSTS..(zone + 1) * HOSTS)
            .filter(|other| self.is_linked(host, *other, step))
            .take(READERS)
            .collect()
    }

    /// Replays the leases and restarts of one step.
    pub fn advance(&mut self, step: u64) {
        let now = self.time_of(step);
        for host in 0..self.hosts.len() {
            if !self.is_up(host, step) {
                self.hosts[host] = ReplayHost::started(self.limit, step + 1, now + STEP);
                continue;
            }
            if step.is_multiple_of(LEASE_CHECK_STEPS) {
                self.renew_leases(host, step);
            }
            self.receive_renewals(host, step);
            self.receive_borrowed(host, step);
        }
    }

    fn renew_leases(&mut self, host: usize, step: u64) {
        let now = self.time_of(step);
        let began = self.stalled_since(host, step);
        let seen_step = match began {
            Some(from) if step < from + STALL_DETECTION_STEPS => from.saturating_sub(1),
            _ => step,
        };
        let wanted: Vec<String> = self
            .pools_of(host, seen_step)
            .iter()
            .map(ToString::to_string)
            .collect();
        for renewal in self.hosts[host].leases.renew(&wanted, now) {
            let pool: usize = renewal.pool.parse().expect("pool names are numbers");
            let transit = if pool == host { 0 } else { self.transit_steps };
            let message = (step + transit, host, renewal.claim);
            self.hosts[pool].renewals.push(message);
        }
    }

    /// Records the renewals that arrive at the pool of `host`, and updates its share.
    fn receive_renewals(&mut self, host: usize, step: u64) {
        let now = self.time_of(step);
        let arrived: Vec<(u64, usize, LeaseClaim)> = self.hosts[host]
            .renewals
            .extract_if(.., |(at, ..)| *at <= step)
            .collect();
        let (stalled, arrived): (Vec<_>, Vec<_>) = arrived
            .into_iter()
            .partition(|(_, from, _)| *from != host && self.stalled_since(*from, step).is_some());
        self.hosts[host].renewals.extend(stalled);
        self.update_share(host, now);
        for (_, from, claim) in arrived {
            if !self.is_linked(host, from, step) {
                continue;
            }
            let unused = self.hosts[host].book.renew(&from.to_string(), claim, now);
            let topology = self.update_share(host, now);
            self.hosts[host].pool.credit(topology.host_share(), unused);
        }
    }

    fn update_share(&mut self, host: usize, now: Instant) -> PoolTopology {
        let host = &mut self.hosts[host];
        let topology = PoolTopology {
            zones: ZONES,
            pools: READERS,
            hosts: HOSTS,
            leased_by: host.book.count(now),
        };
        host.pool.update_share(topology.share(), now);
        topology
    }

    /// Makes a call at `host`, which runs if it gets a token.
    pub fn call(&mut self, host: usize, step: u64) {
        let now = self.time_of(step);
        if !self.is_up(host, step) {
            return;
        }
        self.receive_grant(host, step, now);
        let outcome = match self.hosts[host].token_cache.take(now) {
            TakeOutcome::RequestMore => {
                self.request_tokens(host, step, now);
                self.receive_grant(host, step, now);
                self.hosts[host].token_cache.take(now)
            }
            outcome => outcome,
        };
        match outcome {
            TakeOutcome::Taken => self.runs.push(now - self.start),
            TakeOutcome::RequestMore | TakeOutcome::Exhausted(_) => self.declined += 1,
        }
        if self.hosts[host].token_cache.needs_refill(now) {
            self.request_tokens(host, step, now);
        }
    }

    fn receive_grant(&mut self, host: usize, step: u64, now: Instant) {
        let host = &mut self.hosts[host];
        if let Some((_, grant)) = host.grant_in_flight.take_if(|(at, _)| *at <= step) {
            host.token_cache.granted(grant, now);
        }
    }

    /// Requests tokens for `host` from its pools, in turn, unless a request is in
    /// progress.
    fn request_tokens(&mut self, host: usize, step: u64, now: Instant) {
        if self.hosts[host].grant_in_flight.is_some() {
            return;
        }
        let wanted = self.hosts[host].token_cache.wanted(1);
        let mut empty_grant = TokenGrant {
            tokens: 0,
            next_token_in: STEP,
        };
        for reader in self.pools_of(host, step) {
            let name = reader.to_string();
            let told = &self.hosts[host].ask_times;
            if let Some(left) = told.time_left(ORGANISATION, &name, now) {
                empty_grant.next_token_in = left;
                continue;
            }
            self.requests += 1;
            let pool = &mut self.hosts[reader].pool;
            let grant = pool.grant(ORGANISATION, wanted, now).expect("a limit");
            if grant.tokens < wanted {
                self.borrow(reader, step);
            }
            let fault = self.fault(reader, step);
            if matches!(fault, Some(FaultKind::LosesGrants)) && reader != host {
                continue;
            }
            let told = &mut self.hosts[host].ask_times;
            told.record(ORGANISATION, &name, grant, wanted, now);
            if grant.tokens > 0 {
                let transit = if reader == host {
                    0
                } else {
                    self.transit_steps
                };
                self.hosts[host].grant_in_flight = Some((step + transit, grant));
                return;
            }
            empty_grant = grant;
        }
        self.hosts[host].token_cache.granted(empty_grant, now);
    }

    /// Requests tokens for the pool of `reader` from the pools of other zones.
    fn borrow(&mut self, reader: usize, step: u64) {
        let now = self.time_of(step);
        let lenders = (0..ZONES).filter(|zone| *zone != reader / HOSTS);
        let lenders: Vec<usize> = lenders
            .flat_map(|zone| self.pools_of(zone * HOSTS, step))
            .filter(|lender| self.is_linked(reader, *lender, step))
            .collect();
        for lender in lenders {
            let in_flight = self.hosts[reader].borrowed.iter();
            let requested = in_flight.map(|(_, _, requested, _)| requested).sum();
            let pool = &self.hosts[reader].pool;
            let need = pool.borrowing_need(ORGANISATION, requested);
            let ask_at = self.hosts[reader].ask_lender_at.get(&lender);
            if need == 0 || ask_at.is_some_and(|at| step < *at) {
                continue;
            }
            let pool = &mut self.hosts[lender].pool;
            let grant = pool.lend(ORGANISATION, need, now).expect("a limit");
            let arrives_at = step + 2 * self.transit_steps;
            let wait_steps = if grant.tokens > 0 {
                0
            } else {
                LENDER_WAIT_STEPS
            };
            let reader = &mut self.hosts[reader];
            reader.ask_lender_at.insert(lender, arrives_at + wait_steps);
            reader.borrowed.push((arrives_at, lender, need, grant));
        }
    }

    /// Adds the tokens that arrive at the pool of `host` from other zones.
    fn receive_borrowed(&mut self, host: usize, step: u64) {
        let now = self.time_of(step);
        let arrived: Vec<(u64, usize, u32, TokenGrant)> = self.hosts[host]
            .borrowed
            .extract_if(.., |(at, ..)| *at <= step)
            .collect();
        for (_, lender, _, grant) in arrived {
            let fault = self.fault(lender, step);
            let is_lost = matches!(fault, Some(FaultKind::LosesGrants));
            if !is_lost && self.is_linked(host, lender, step) {
                let pool = &mut self.hosts[host].pool;
                pool.add_borrowed(ORGANISATION, grant.tokens, now);
            }
        }
    }

    /// Returns the minimum number of calls that ran in any window that begins at `from`
    /// or later.
    pub fn min_runs_in_window(&self, from: Duration) -> usize {
        let last = self.runs.last().copied().unwrap_or_default();
        let starts = (0..).map(|number| from + STEP * number);
        starts
            .take_while(|start| *start + WINDOW <= last)
            .map(|start| {
                let end = self.runs.partition_point(|at| *at < start + WINDOW);
                end - self.runs.partition_point(|at| *at < start)
            })
            .min()
            .unwrap_or(0)
    }

    /// Returns the maximum number of calls that ran in any window.
    pub fn max_runs_in_window(&self) -> usize {
        let ends = self.runs.iter().enumerate();
        ends.map(|(index, end)| {
            let window_start = self.runs.partition_point(|at| *at + WINDOW <= *end);
            index + 1 - window_start
        })
        .max()
        .unwrap_or(0)
    }
}

/// Returns the number of calls allowed in any window, with a tolerance of 10 % and
/// the slack.
pub fn max_allowed_runs(limit: RateLimit) -> f64 {
    (limit.per_s * WINDOW.as_secs_f64() + limit.burst) * 1.1 + SLACK
}
