//! Compares a new software version with the old one by how calls ended at the
//! targets of both versions over the same time.
//!
//! The evidence is a log likelihood ratio, computed for each new target, each kind
//! of call and each of several spans that end now. It compares two hypotheses: bad
//! answers occur at the rate of the old targets in the same availability zone, or
//! at that rate plus [`MIN_EFFECT`].
//!
//! Each evaluation of a span is one look of a sequential test. With
//! [`BAD_EVIDENCE`], one look condemns a version that is as good as the old one
//! once in a million times, and a roll-out of a minute with some thousand looks
//! does so less than once in a hundred. A version that is worse by the effect or
//! more is found after some thirty calls if half of its answers are bad, and after
//! some hundreds if a tenth is.
//!
//! Load pattern: one or two of the new targets are faulty by themselves, as one in
//! seven targets may be at any time. The worst quarter of the new targets does not
//! count, as a faulty version is faulty on all targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::numbers::count_to_f64;

/// Number of calls that ended, and of those that ended badly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that ended.
    pub ended: u64,
    /// Calls that failed, or took far longer than at targets of the old version.
    pub bad: u64,
}

impl CallCounts {
    fn since(self, before: CallCounts) -> CallCounts {
        let ended = self.ended.saturating_sub(before.ended);
        CallCounts {
            ended,
            // The counters of a replaced target start again, and may pass one another.
            bad: self.bad.saturating_sub(before.bad).min(ended),
        }
    }

    fn add(&mut self, other: CallCounts) {
        self.ended += other.ended;
        self.bad += other.bad;
    }
}

/// Side of the comparison that a target belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionSide {
    /// The target runs the version that the roll-out introduces.
    New,
    /// The target runs another version.
    Old,
}

/// Counters of one target. They grow until the target is replaced or its daemon
/// restarts; a count below the one before is taken for no calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCounts<'a> {
    /// Identifies the target from one evaluation to the next.
    pub target_id: &'a str,
    /// The target's availability zone.
    pub zone: &'a str,
    /// Side of the comparison that the target belongs to.
    pub side: VersionSide,
    /// Counters by kind of call.
    pub kinds: Vec<(&'a str, CallCounts)>,
}

/// Result of comparing the new version with the old one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Strongest evidence that the new version is bad: the natural logarithm of
    /// the likelihood ratio. Negative if the version looks good.
    pub evidence: f64,
    /// Kind of call with the strongest evidence; `None` for all kinds together.
    pub kind: Option<String>,
    /// Calls of the new version since the first evaluation.
    pub new_calls: CallCounts,
    /// Calls of the old version since the first evaluation.
    pub old_calls: CallCounts,
    /// Length of the span with the strongest evidence.
    pub span: Duration,
    /// Time since the first evaluation.
    pub observed: Duration,
}

/// Smallest increase in the share of bad answers that the test is designed to find.
const MIN_EFFECT: f64 = 0.12;
/// Evidence from which a version is condemned.
const BAD_EVIDENCE: f64 = 14.0;
/// Evidence below which a version looks good.
const GOOD_EVIDENCE: f64 = 3.0;
/// Fewest bad answers of the new version that condemn it.
const MIN_BAD_ANSWERS: u64 = 8;
/// Lower bound of the old version's estimated share of bad answers.
const MIN_OLD_RATE: f64 = 0.005;
/// Upper bound of the old version's estimated share of bad answers.
const MAX_OLD_RATE: f64 = 0.8;
/// Share of bad answers among the [`PRIOR_CALLS`].
const PRIOR_RATE: f64 = 0.02;
/// Number of imaginary earlier calls of each kind, the prior of an estimated rate.
const PRIOR_CALLS: f64 = 20.0;
/// Fewest calls of old targets in a zone for which the zone has its own rate.
const MIN_ZONE_CALLS: u64 = 40;
/// One in this many new targets, rounded up, is left out as possibly faulty.
const OUTLIER_ONE_IN: usize = 4;
/// Fewest new targets for which the worst are left out.
const MIN_TARGETS_FOR_OUTLIERS: usize = 3;

impl Verdict {
    /// Whether the version is condemned.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.evidence >= BAD_EVIDENCE && self.new_calls.bad >= MIN_BAD_ANSWERS
    }

    /// Whether the evidence does not speak against the version.
    #[must_use]
    pub fn looks_good(&self) -> bool {
        self.evidence < GOOD_EVIDENCE
    }

    /// Number of calls of the new version that the verdict is based on.
    #[must_use]
    pub fn new_call_count(&self) -> u64 {
        self.new_calls.ended
    }

    /// Number of calls of both versions together.
    #[must_use]
    pub fn total_call_count(&self) -> u64 {
        self.new_calls.ended + self.old_calls.ended
    }

    /// Calls per second to the service; 0 before the second evaluation.
    #[must_use]
    pub fn call_rate(&self) -> f64 {
        let seconds = self.observed.as_secs_f64();
        if seconds > 0.0 {
            call_count(self.total_call_count()) / seconds
        } else {
            0.0
        }
    }
}

/// Counters by target and kind of call.
type Snapshot = BTreeMap<(String, String), CallCounts>;

/// Evaluates the counters of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct CanaryJudge {
    /// Earlier counters, oldest first; the older, the farther apart in time.
    snapshots: Vec<(Instant, Snapshot)>,
}

impl CanaryJudge {
    /// Evaluates the counters at `now` against all earlier snapshots, and keeps them
    /// as a new one.
    pub fn evaluate(&mut self, targets: &[TargetCounts<'_>], now: Instant) -> Verdict {
        let mut verdict = Verdict::default();
        let mut is_first = true;
        for (at, before) in &self.snapshots {
            let span = SpanCounts::new(targets, before);
            for (kind, evidence) in span.evidence() {
                if is_first || evidence > verdict.evidence {
                    verdict.evidence = evidence;
                    verdict.kind = kind;
                    verdict.span = now.saturating_duration_since(*at);
                    is_first = false;
                }
            }
        }
        if let Some((began, first)) = self.snapshots.first() {
            verdict.observed = now.saturating_duration_since(*began);
            let span = SpanCounts::new(targets, first);
            verdict.new_calls = span.total(VersionSide::New);
            verdict.old_calls = span.total(VersionSide::Old);
        }
        self.snapshots.push((now, snapshot_of(targets)));
        self.thin_out(now);
        verdict
    }

    /// Drops each snapshot whose older neighbour is at most twice as old as its newer
    /// one, so that the spans roughly double in length. The oldest two are kept.
    fn thin_out(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut index = 1;
        while index + 1 < self.snapshots.len() {
            let older = age(self.snapshots[index - 1].0);
            let newer = age(self.snapshots[index + 1].0);
            if older <= newer * 2 && index > 1 {
                self.snapshots.remove(index);
            } else {
                index += 1;
            }
        }
    }
}

fn snapshot_of(targets: &[TargetCounts<'_>]) -> Snapshot {
    let mut snapshot = Snapshot::new();
    for target in targets {
        for (kind, counts) in &target.kinds {
            snapshot.insert((target.target_id.to_owned(), (*kind).to_owned()), *counts);
        }
    }
    snapshot
}

/// Calls of one target over a span.
struct TargetSpan<'a> {
    zone: &'a str,
    side: VersionSide,
    kinds: Vec<(&'a str, CallCounts)>,
}

/// Calls of all targets over a span that ends now.
struct SpanCounts<'a> {
    targets: Vec<TargetSpan<'a>>,
}

impl<'a> SpanCounts<'a> {
    fn new(targets: &[TargetCounts<'a>], before: &Snapshot) -> SpanCounts<'a> {
        let span_of = |target: &TargetCounts<'a>| {
            let since = |kind: &str, counts: CallCounts| {
                let key = (target.target_id.to_owned(), kind.to_owned());
                counts.since(before.get(&key).copied().unwrap_or_default())
            };
            TargetSpan {
                zone: target.zone,
                side: target.side,
                kinds: target
                    .kinds
                    .iter()
                    .map(|(kind, counts)| (*kind, since(kind, *counts)))
                    .collect(),
            }
        };
        SpanCounts {
            targets: targets.iter().map(span_of).collect(),
        }
    }

    fn total(&self, side: VersionSide) -> CallCounts {
        let mut total = CallCounts::default();
        for target in self.targets.iter().filter(|target| target.side == side) {
            for (_, counts) in &target.kinds {
                total.add(*counts);
            }
        }
        total
    }

    /// Evidence against the new version, for all kinds of call together (`None`) and
    /// for each kind.
    fn evidence(&self) -> Vec<(Option<String>, f64)> {
        let rates = OldRates::new(&self.targets);
        let mut by_kind: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let mut overall = Vec::new();
        for target in &self.targets {
            if target.side == VersionSide::Old {
                continue;
            }
            let mut sum = 0.0;
            let mut has_calls = false;
            for (kind, counts) in &target.kinds {
                if counts.ended == 0 {
                    continue;
                }
                has_calls = true;
                let evidence = log_likelihood_ratio(*counts, rates.rate(target.zone, kind));
                by_kind.entry(kind).or_default().push(evidence);
                sum += evidence;
            }
            if has_calls {
                overall.push(sum);
            }
        }
        let mut evidence = vec![(None, sum_without_worst(overall))];
        for (kind, by_target) in by_kind {
            evidence.push((Some(kind.to_owned()), sum_without_worst(by_target)));
        }
        evidence
    }
}

/// Log likelihood ratio of `counts`: bad answers at `rate` plus [`MIN_EFFECT`],
/// against bad answers at `rate`.
fn log_likelihood_ratio(counts: CallCounts, rate: f64) -> f64 {
    let worse = rate + MIN_EFFECT;
    let bad = call_count(counts.bad);
    let good = call_count(counts.ended) - bad;
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// Sum of the targets' evidence, without the targets that have the most evidence
/// against the version.
fn sum_without_worst(mut by_target: Vec<f64>) -> f64 {
    by_target.sort_by(f64::total_cmp);
    let left_out = if by_target.len() < MIN_TARGETS_FOR_OUTLIERS {
        0
    } else {
        by_target.len().div_ceil(OUTLIER_ONE_IN)
    };
    by_target.iter().take(by_target.len() - left_out).sum()
}

fn call_count(count: u64) -> f64 {
    count_to_f64(usize::try_from(count).unwrap_or(usize::MAX))
}

/// Estimated shares of bad answers of the old targets.
struct OldRates<'a> {
    by_zone: BTreeMap<(&'a str, &'a str), CallCounts>,
    by_kind: BTreeMap<&'a str, CallCounts>,
    all: CallCounts,
}

impl<'a> OldRates<'a> {
    fn new(targets: &[TargetSpan<'a>]) -> OldRates<'a> {
        let mut rates = OldRates {
            by_zone: BTreeMap::new(),
            by_kind: BTreeMap::new(),
            all: CallCounts::default(),
        };
        for target in targets
            .iter()
            .filter(|target| target.side == VersionSide::Old)
        {
            for (kind, counts) in &target.kinds {
                let of_zone = rates.by_zone.entry((target.zone, kind)).or_default();
                of_zone.add(*counts);
                rates.by_kind.entry(kind).or_default().add(*counts);
                rates.all.add(*counts);
            }
        }
        rates
    }

    /// Rate of bad answers of old targets for a zone and a kind of call.
    ///
    /// This is the zone's own rate if the zone has enough calls, otherwise the
    /// fleet's rate for that kind, or for all kinds if the kind is unknown. It is
    /// never below the fleet's rate, as a zone's few calls may all have gone well.
    fn rate(&self, zone: &str, kind: &str) -> f64 {
        let of_zone = self.by_zone.get(&(zone, kind));
        let of_kind = self.by_kind.get(kind).copied().unwrap_or(self.all);
        let fleet = bad_share(of_kind);
        let rate = match of_zone {
            Some(counts) if counts.ended >= MIN_ZONE_CALLS => bad_share(*counts).max(fleet),
            _ => fleet,
        };
        rate.clamp(MIN_OLD_RATE, MAX_OLD_RATE)
    }
}

/// Estimated share of bad answers, with a prior so that few calls do not decide.
fn bad_share(counts: CallCounts) -> f64 {
    (call_count(counts.bad) + PRIOR_RATE * PRIOR_CALLS) / (call_count(counts.ended) + PRIOR_CALLS)
}
