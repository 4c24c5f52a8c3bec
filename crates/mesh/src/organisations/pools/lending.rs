//! Lending of tokens between the pools of different zones.
//!
//! A pool that runs out of an organisation's tokens requests some from the pools of
//! other zones. While no pool runs out, no message is sent.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::organisations::quota::TokenGrant;

use super::{EMPTY_GRANT, POOL_RETRY_DELAY};
use crate::logging::LinePriority;
use crate::messages::LinkMessage;
use crate::peers::Peer;
use crate::state::MeshShared;

/// Minimum time before a pool that had no tokens to lend is asked again. It limits the
/// requests for one organisation to ten a second for each lender.
const MIN_LENDER_WAIT: Duration = Duration::from_millis(100);
/// Time without borrowed tokens after which the next borrowing is logged again.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What a pool knows of one lender of one organisation's tokens.
#[derive(Clone, Copy, Debug)]
enum LenderState {
    /// A request for this number of tokens is in progress.
    Requested(u32),
    /// The lender may be asked again from this time on.
    AskAgainAt(Instant),
}

/// Borrowing of one organisation's tokens.
#[derive(Debug, Default)]
struct OrganisationBorrowing {
    /// State of the lenders, by host.
    lenders: HashMap<String, LenderState>,
    last_borrowed: Option<Instant>,
}

/// Requests of a pool to the pools of other zones, by organisation.
#[derive(Debug, Default)]
pub(super) struct BorrowingState {
    organisations: HashMap<String, OrganisationBorrowing>,
}

impl BorrowingState {
    /// Drops the state of organisations for which `is_limited` is false.
    pub(super) fn keep(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.organisations.retain(|name, _| is_limited(name));
    }

    /// Returns the number of tokens that were requested from all lenders.
    pub(super) fn requested(&self, organisation: &str) -> u32 {
        let lenders = self.organisations.get(organisation).into_iter();
        let states = lenders.flat_map(|borrowing| borrowing.lenders.values());
        states
            .map(|state| match state {
                LenderState::Requested(tokens) => *tokens,
                LenderState::AskAgainAt(_) => 0,
            })
            .sum()
    }

    /// Whether `lender` may be asked for tokens of `organisation` now.
    fn may_ask(&self, organisation: &str, lender: &str, now: Instant) -> bool {
        let borrowing = self.organisations.get(organisation);
        let state = borrowing.and_then(|borrowing| borrowing.lenders.get(lender));
        match state {
            None => true,
            Some(LenderState::Requested(_)) => false,
            Some(LenderState::AskAgainAt(at)) => now >= *at,
        }
    }

    fn set_lender(&mut self, organisation: &str, lender: &str, state: LenderState) {
        let borrowing = self
            .organisations
            .entry(organisation.to_owned())
            .or_default();
        borrowing.lenders.insert(lender.to_owned(), state);
    }

    /// Records that tokens were borrowed. Returns whether this should be logged.
    fn record_borrowed(&mut self, organisation: &str, now: Instant) -> bool {
        let Some(borrowing) = self.organisations.get_mut(organisation) else {
            return false;
        };
        let previous = borrowing.last_borrowed.replace(now);
        previous.is_none_or(|previous| now >= previous + LOG_INTERVAL)
    }
}

impl MeshShared {
    /// Requests tokens of `organisation` from the pools of other zones that may be
    /// asked, as far as this daemon's pool can keep them.
    pub(super) fn borrow_tokens(self: &Rc<Self>, organisation: &str) {
        let now = self.clock.now();
        let plan = self.members.plan.borrow();
        for lender in &plan.zone_readers {
            let Some(peer) = self.peers.get(lender).filter(|peer| peer.is_linked()) else {
                continue;
            };
            let pools = &self.organisations.pools;
            let mut borrowing = pools.borrowing.borrow_mut();
            if !borrowing.may_ask(organisation, lender, now) {
                continue;
            }
            let requested = borrowing.requested(organisation);
            let pool = pools.pool.borrow();
            let need = pool.borrowing_need(organisation, requested);
            if need == 0 {
                return;
            }
            borrowing.set_lender(organisation, lender, LenderState::Requested(need));
            let shared = Rc::clone(self);
            let name = organisation.to_owned();
            tokio::task::spawn_local(async move { shared.borrow_from(&peer, &name, need).await });
        }
    }

    async fn borrow_from(&self, peer: &Peer, organisation: &str, need: u32) {
        let grant = self
            .request_from_peer(peer, |request_id| LinkMessage::BorrowTokens {
                request_id,
                organisation: organisation.to_owned(),
                wanted: need,
            })
            .await;
        let now = self.clock.now();
        let pools = &self.organisations.pools;
        let lender = peer.address.id.as_str();
        let wait = match grant {
            Some(grant) if grant.tokens > 0 => Duration::ZERO,
            Some(grant) => grant.next_token_in.max(MIN_LENDER_WAIT),
            None => POOL_RETRY_DELAY,
        };
        let mut borrowing = pools.borrowing.borrow_mut();
        borrowing.set_lender(organisation, lender, LenderState::AskAgainAt(now + wait));
        let tokens = grant.map_or(0, |grant| grant.tokens);
        if tokens == 0 {
            return;
        }
        let mut pool = pools.pool.borrow_mut();
        pool.add_borrowed(organisation, tokens.min(need), now);
        if borrowing.record_borrowed(organisation, now)
            && self.log_limiter.allows(LinePriority::Notable, now)
        {
            log::info!(
                "event=tokens_borrowed organisation={organisation} from={lender} tokens={tokens}"
            );
        }
    }

    /// Lends up to `wanted` tokens of `organisation` from this daemon's pool.
    pub(super) fn lend_tokens(&self, organisation: &str, wanted: u32) -> TokenGrant {
        self.update_pool_share();
        let now = self.clock.now();
        let mut pool = self.organisations.pools.pool.borrow_mut();
        pool.lend(organisation, wanted, now).unwrap_or(EMPTY_GRANT)
    }
}
