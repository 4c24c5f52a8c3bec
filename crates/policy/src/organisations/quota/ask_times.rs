//! Times before which a host does not ask a pool again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::TokenGrant;

/// The times that pools told this host, by organisation and by the pool's host.
///
/// Load pattern: an organisation sends many times its limit at all hosts of a zone. If
/// each host asked again for each call, most requests to the pools would be in vain.
#[derive(Clone, Debug, Default)]
pub struct AskTimes {
    ask_at: HashMap<String, Vec<(String, Instant)>>,
}

impl AskTimes {
    /// Records the grant of `pool` to a request for `wanted` tokens.
    pub fn record(
        &mut self,
        organisation: &str,
        pool: &str,
        grant: TokenGrant,
        wanted: u32,
        now: Instant,
    ) {
        if let Some(times) = self.ask_at.get_mut(organisation) {
            times.retain(|(other, at)| other != pool && now < *at);
            if times.is_empty() {
                self.ask_at.remove(organisation);
            }
        }
        if grant.tokens < wanted && !grant.next_token_in.is_zero() {
            let times = self.ask_at.entry(organisation.to_owned()).or_default();
            times.push((pool.to_owned(), now + grant.next_token_in));
        }
    }

    /// Drops the times of organisations for which `is_limited` is false.
    pub fn keep(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.ask_at.retain(|name, _| is_limited(name));
    }

    /// Returns the time left until `pool` may be asked again; `None` if it may be asked
    /// now.
    #[must_use]
    pub fn time_left(&self, organisation: &str, pool: &str, now: Instant) -> Option<Duration> {
        let times = self.ask_at.get(organisation)?;
        let (_, at) = times.iter().find(|(other, _)| other == pool)?;
        (now < *at).then(|| *at - now)
    }
}
