//! The retry budget, which limits the retries of all daemons together without
//! communication between them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::numbers::count_to_f64;

/// Number of slices that divide a window.
const WINDOW_SLICES: u32 = 20;

/// Limits on the retries of all daemons together, from the host's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per call in any window.
    pub ratio: f64,
    /// Additional retries per window and service, of all daemons together.
    pub slack: f64,
    /// Length of the window in which calls and retries are counted.
    pub window: Duration,
}

/// Share of the limits that daemons spend. The rest covers windows that start at
/// other times, and daemons that start with empty counts.
const SPENDABLE_SHARE: f64 = 0.7;
/// Share of [`SPENDABLE_SHARE`] for calls that a target ran and failed. Retrying
/// them helps least: if many calls fail, the cause is mostly in a service that
/// the target calls.
const FAILED_CALL_SHARE: f64 = 0.5;

/// Part of a service's budget from which the budget is short: an organisation then
/// spends no more than its own part. Below it, it also spends what others leave unused.
const SHORT_BUDGET_PART: f64 = 0.5;
/// Maximum number of organisations that are counted, over all services. Further ones
/// count together with the calls that belong to no organisation.
const MAX_COUNTED_ORGANISATIONS: usize = 10_000;

/// Why a call is to be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The target rejected the call or sent no complete answer.
    NoAnswer,
    /// The target ran the call and answered with a failure.
    Failed,
}

/// The calls that a retry is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetAccount<'a> {
    /// Service that was called.
    pub service: &'a str,
    /// Hash of the name of the organisation that the call belongs to; `None` without
    /// organisations.
    pub organisation: Option<u64>,
}

/// Calls and retries in the current window.
#[derive(Debug, Default)]
struct WindowCounts {
    /// Slice number, calls and retries of each slice.
    slices: [(u64, u32, u32); WINDOW_SLICES as usize],
}

/// Calls and retries of one service.
#[derive(Debug, Default)]
struct ServiceCounts {
    all: WindowCounts,
    by_organisation: HashMap<Option<u64>, WindowCounts>,
}

impl WindowCounts {
    fn slice(&mut self, slice_number: u64) -> &mut (u64, u32, u32) {
        let index = usize::try_from(slice_number % u64::from(WINDOW_SLICES)).unwrap_or(0);
        let slice = &mut self.slices[index];
        if slice.0 != slice_number {
            *slice = (slice_number, 0, 0);
        }
        slice
    }

    fn totals(&self, slice_number: u64) -> (u32, u32) {
        self.slices
            .iter()
            .filter(|slice| {
                slice.0 + u64::from(WINDOW_SLICES) > slice_number && slice.0 <= slice_number
            })
            .fold((0, 0), |sum, slice| (sum.0 + slice.1, sum.1 + slice.2))
    }
}

/// Retry budgets of one daemon, one per service.
///
/// Each daemon may spend the ratio on the calls that it received itself, plus an
/// equal part of the slack. The retries of all daemons together then stay within
/// the limits without communication.
///
/// A retried run makes its own calls again, so a retry at one service also causes
/// retries at the services that it calls. The call graph is unknown, but a
/// service receives at most as many calls per run of another service as the
/// ratio of their call counts. That share of each retry is charged to every
/// other service.
///
/// Load pattern: many targets fail at once, and the load of the retries makes the
/// remaining targets fail as well.
///
/// Load pattern: most calls of one organisation fail, at several times its usual load.
/// Its retries would use up the budget, and single failures of the others would not be
/// retried any more. So once a budget is short, each organisation spends at most the part
/// that corresponds to its share of the calls.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    started_at: Instant,
    services: HashMap<String, ServiceCounts>,
}

impl RetryBudget {
    /// Creates a budget without counted calls or retries.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, now: Instant) -> RetryBudget {
        RetryBudget {
            limits,
            started_at: now,
            services: HashMap::new(),
        }
    }

    /// Applies other limits. Counts are kept unless the length of the window changes.
    pub fn set_limits(&mut self, limits: RetryBudgetLimits, now: Instant) {
        if limits.window == self.limits.window {
            self.limits = limits;
        } else {
            *self = RetryBudget::new(limits, now);
        }
    }

    /// Number of the slice at `now`. Numbers start at [`WINDOW_SLICES`], so that
    /// unused slices, which have number 0, lie outside the first window.
    fn slice_number(&self, now: Instant) -> u64 {
        let slice_micros = (self.limits.window / WINDOW_SLICES).as_micros().max(1);
        let elapsed_micros = now.saturating_duration_since(self.started_at).as_micros();
        u64::try_from(elapsed_micros / slice_micros).unwrap_or(u64::MAX) + u64::from(WINDOW_SLICES)
    }

    fn counts(&mut self, service: &str) -> &mut ServiceCounts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceCounts::default());
        }
        self.services
            .get_mut(service)
            .expect("the entry was just inserted")
    }

    /// Returns the organisation as which `account` is counted, and makes room for it.
    fn counted_organisation(
        &mut self,
        account: BudgetAccount<'_>,
        slice_number: u64,
    ) -> Option<u64> {
        let counts = self.counts(account.service);
        if counts.by_organisation.contains_key(&account.organisation) {
            return account.organisation;
        }
        let counted = |budget: &RetryBudget| -> usize {
            let counts = budget.services.values();
            counts.map(|counts| counts.by_organisation.len()).sum()
        };
        if counted(self) >= MAX_COUNTED_ORGANISATIONS {
            for counts in self.services.values_mut() {
                counts
                    .by_organisation
                    .retain(|_, counts| counts.totals(slice_number) != (0, 0));
            }
        }
        let has_room = counted(self) < MAX_COUNTED_ORGANISATIONS;
        account.organisation.filter(|_| has_room)
    }

    /// Counts a new call.
    pub fn record_call(&mut self, account: BudgetAccount<'_>, now: Instant) {
        let slice_number = self.slice_number(now);
        self.count(account, slice_number, |slice| slice.1 += 1);
    }

    fn count(
        &mut self,
        account: BudgetAccount<'_>,
        slice_number: u64,
        add: impl Fn(&mut (u64, u32, u32)),
    ) {
        let organisation = self.counted_organisation(account, slice_number);
        let counts = self.counts(account.service);
        add(counts.all.slice(slice_number));
        let own = counts.by_organisation.entry(organisation).or_default();
        add(own.slice(slice_number));
    }

    /// Takes one retry of a call from the budget and returns true, or returns false if
    /// the retry would exceed this daemon's share of the limits at any service, or the
    /// part of the call's organisation in a short budget. The slack is divided among
    /// `daemons` daemons.
    pub fn try_spend(
        &mut self,
        account: BudgetAccount<'_>,
        cause: RetryCause,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let service = account.service;
        let slice_number = self.slice_number(now);
        self.counts(service);
        let share = match cause {
            RetryCause::NoAnswer => SPENDABLE_SHARE,
            RetryCause::Failed => SPENDABLE_SHARE * FAILED_CALL_SHARE,
        };
        let slack = self.limits.slack / count_to_f64(daemons.max(1));
        let totals: Vec<(f64, f64)> = self
            .services
            .iter()
            .map(|(name, counts)| {
                let (calls, retries) = counts.all.totals(slice_number);
                let new = if name == service { 1.0 } else { 0.0 };
                (f64::from(calls), f64::from(retries) + new)
            })
            .collect();
        let fits = totals.iter().enumerate().all(|(index, &(calls, direct))| {
            let indirect: f64 = totals
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(_, &(other_calls, retries))| {
                    retries * (calls / other_calls.max(1.0)).min(1.0)
                })
                .sum();
            direct + indirect <= share * (self.limits.ratio * calls + slack)
        });
        let is_allowed = fits && self.is_within_part(account, share, slack, slice_number);
        if is_allowed {
            self.count(account, slice_number, |slice| slice.2 += 1);
        }
        is_allowed
    }

    /// Returns whether a retry is within the part of the call's organisation in the
    /// budget, or the budget is not short. A part below one retry still allows one, as
    /// the organisations that are this small do not all need it.
    fn is_within_part(
        &mut self,
        account: BudgetAccount<'_>,
        share: f64,
        slack: f64,
        slice_number: u64,
    ) -> bool {
        let organisation = self.counted_organisation(account, slice_number);
        let counts = self.counts(account.service);
        let (calls, retries) = counts.all.totals(slice_number);
        let own = counts.by_organisation.get(&organisation);
        let (own_calls, own_retries) = own.map_or((0, 0), |own| own.totals(slice_number));
        let budget = share * (self.limits.ratio * f64::from(calls) + slack);
        let own_part = budget * f64::from(own_calls) / f64::from(calls.max(1));
        f64::from(retries) + 1.0 <= budget * SHORT_BUDGET_PART
            || f64::from(own_retries) < own_part
            || own_calls == calls
    }
}
