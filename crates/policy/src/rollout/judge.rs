//! Compares a new software version with the old one by what the targets of
//! both made of their calls in the same seconds.
//!
//! For each target, each kind of call and each of several spans that end now,
//! the evidence is a log likelihood ratio: bad answers at the rate of old
//! targets in the same availability zone, against that rate plus
//! [`LEAST_EFFECT`]. A span is one look of a sequential test; with
//! [`BAD_EVIDENCE`] a look condemns a version that is as good as the old one
//! once in a million times, a roll-out of a minute with some thousand looks
//! less than once in a hundred. A version that is worse by the effect or more
//! is found after some thirty calls if half of its answers are bad, after some
//! hundreds if a tenth is.
//!
//! Load pattern: one or two of the new targets are ill by themselves, as one in
//! seven targets may be at any time. The worst quarter of the targets does not
//! count: an ill version is ill everywhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::numbers::count_of;

/// Calls that ended, and those of them that ended badly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that ended.
    pub ended: u64,
    /// Those that failed, or took far longer than usual for their kind.
    pub bad: u64,
}

impl CallCounts {
    fn since(self, before: CallCounts) -> CallCounts {
        CallCounts {
            ended: self.ended.saturating_sub(before.ended),
            bad: self.bad.saturating_sub(before.bad),
        }
    }

    fn add(&mut self, other: CallCounts) {
        self.ended += other.ended;
        self.bad += other.bad;
    }
}

/// Which side of the comparison a target is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionSide {
    /// It runs the version that was ordered.
    New,
    /// It runs another.
    Old,
}

/// Counters of one start of a target's gate; they only grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCounts<'a> {
    /// Names the start of the gate.
    pub target_id: &'a str,
    /// The target's availability zone.
    pub zone: &'a str,
    /// Its side.
    pub side: VersionSide,
    /// By kind of call.
    pub kinds: Vec<(&'a str, CallCounts)>,
}

/// What the answers say of the new version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Strongest evidence for it being bad, in natural logarithms of the
    /// likelihood ratio; negative when it looks good.
    pub evidence: f64,
    /// The kind of call that shows it; `None` for all together.
    pub kind: Option<String>,
    /// Calls of the new version that ended.
    pub new_calls: CallCounts,
    /// The same of the old version.
    pub old_calls: CallCounts,
    /// The span over which that evidence was seen.
    pub span: Duration,
    /// Time over which calls were counted.
    pub watched: Duration,
}

/// Difference in the share of bad answers that is looked for.
const LEAST_EFFECT: f64 = 0.12;
/// Evidence that condemns a version.
const BAD_EVIDENCE: f64 = 14.0;
/// Evidence up to which nothing speaks against a version.
const CLEAR_EVIDENCE: f64 = 3.0;
/// Bad answers that a verdict rests on at least.
const LEAST_BAD: u64 = 8;
/// Bounds of the old version's share of bad answers.
const LEAST_RATE: f64 = 0.005;
const MOST_RATE: f64 = 0.8;
/// Share of bad answers and number of calls that are taken to have been seen
/// of each kind before.
const PRIOR_RATE: f64 = 0.02;
const PRIOR_CALLS: f64 = 20.0;
/// Calls of old targets in a zone that make a rate of its own.
const ZONE_CALLS: u64 = 40;
/// One in so many targets may be ill by itself.
const ILL_ONE_IN: usize = 4;
/// Targets from which on the worst do not count.
const TELLS_ILL: usize = 3;

impl Verdict {
    /// Whether the version is condemned.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.evidence >= BAD_EVIDENCE && self.new_calls.bad >= LEAST_BAD
    }

    /// Whether nothing speaks against it.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.evidence < CLEAR_EVIDENCE
    }

    /// Calls that it rests on.
    #[must_use]
    pub fn new_call_count(&self) -> u64 {
        self.new_calls.ended
    }

    /// Calls of both versions together.
    #[must_use]
    pub fn all_calls(&self) -> u64 {
        self.new_calls.ended + self.old_calls.ended
    }

    /// Calls a second to the service.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let seconds = self.watched.as_secs_f64();
        if seconds > 0.0 {
            calls(self.all_calls()) / seconds
        } else {
            0.0
        }
    }
}

type Snapshot = BTreeMap<(String, String), CallCounts>;

/// Follows the counters of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct CanaryJudge {
    /// Counters at moments that lie ever farther apart, oldest first.
    snapshots: Vec<(Instant, Snapshot)>,
}

impl CanaryJudge {
    /// Takes the counters as they are at `now`, and says what they show.
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
            verdict.watched = now.saturating_duration_since(*began);
            let span = SpanCounts::new(targets, first);
            verdict.new_calls = span.total(VersionSide::New);
            verdict.old_calls = span.total(VersionSide::Old);
        }
        self.snapshots.push((now, snapshot_of(targets)));
        self.thin_out(now);
        verdict
    }

    /// Drops snapshots between others of about the same age.
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

/// One target's counters over a span.
struct TargetSpan<'a> {
    zone: &'a str,
    side: VersionSide,
    kinds: Vec<(&'a str, CallCounts)>,
}

/// All counters over a span that ends now.
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

    /// Evidence against the new version, by kind of call and over all.
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
                let evidence = evidence_of(*counts, rates.rate(target.zone, kind));
                by_kind.entry(kind).or_default().push(evidence);
                sum += evidence;
            }
            if has_calls {
                overall.push(sum);
            }
        }
        let mut evidence = vec![(None, without_worst(overall))];
        for (kind, of_targets) in by_kind {
            evidence.push((Some(kind.to_owned()), without_worst(of_targets)));
        }
        evidence
    }
}

/// Log likelihood ratio of `counts` under a rate of bad answers that is worse
/// by the least effect, against `rate`.
fn evidence_of(counts: CallCounts, rate: f64) -> f64 {
    let worse = rate + LEAST_EFFECT;
    let bad = calls(counts.bad);
    let good = calls(counts.ended) - bad;
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// The sum of `of_targets` without those that speak loudest against the version.
fn without_worst(mut of_targets: Vec<f64>) -> f64 {
    of_targets.sort_by(f64::total_cmp);
    let left_out = if of_targets.len() < TELLS_ILL {
        0
    } else {
        of_targets.len().div_ceil(ILL_ONE_IN)
    };
    of_targets.iter().take(of_targets.len() - left_out).sum()
}

fn calls(count: u64) -> f64 {
    count_of(usize::try_from(count).unwrap_or(usize::MAX))
}

/// Shares of bad answers of old targets.
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

    /// The zone's own rate where it has enough calls, else the fleet's for
    /// that kind, else the fleet's for all kinds. Never below the fleet's:
    /// a zone's few calls may all have gone well.
    fn rate(&self, zone: &str, kind: &str) -> f64 {
        let of_zone = self.by_zone.get(&(zone, kind));
        let of_kind = self.by_kind.get(kind).copied().unwrap_or(self.all);
        let fleet = share_of_bad(of_kind);
        let rate = match of_zone {
            Some(counts) if counts.ended >= ZONE_CALLS => share_of_bad(*counts).max(fleet),
            _ => fleet,
        };
        rate.clamp(LEAST_RATE, MOST_RATE)
    }
}

fn share_of_bad(counts: CallCounts) -> f64 {
    (calls(counts.bad) + PRIOR_RATE * PRIOR_CALLS) / (calls(counts.ended) + PRIOR_CALLS)
}
