//! Finds the runs of a new software version that are slow compared with the runs of
//! the old version at the same time.
//!
//! Load pattern: the hosts of both versions are overloaded, so that a run of 30 ms
//! takes 70 ms and one of 240 ms takes 280 ms. Compared with four times the usual run
//! time, no run of the version that is eight times slower is slow any more. Compared
//! with the other version's present runs, most of them are.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::judge::{CallCounts, TargetCounts, VersionSide};
use crate::numbers::{count_to_f64, truncate_to_u64};

/// Highest count that a target reports: a million runs a second for twelve days.
const MAX_COUNT: u64 = 1 << 40;
/// Number of buckets of a [`RunHistogram`]; the last one counts all runs of 46 s and
/// longer.
const BUCKETS: usize = 32;
/// Buckets per doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Factor over the old version's mean run time from which a run is slow. Targets of one
/// service differ in speed by a factor of two.
const SLOW_RUN_FACTOR: f64 = 2.5;
/// Like [`SLOW_RUN_FACTOR`], if the old version has had no runs of late: the load may
/// have changed since.
const SLOW_RUN_FACTOR_WITHOUT_PRESENT_RUNS: f64 = 4.0;
/// Time without a run of the old version after which its runs are no longer present.
const PRESENT_RUNS_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of the old version's latest runs that its mean run time covers.
const REFERENCE_RUNS: f64 = 200.0;
/// Fewest runs of the old version from which its mean run time is known.
const MIN_REFERENCE_RUNS: f64 = 10.0;

/// Numbers of runs by run time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHistogram {
    /// Counts by bucket; buckets beyond the last element are empty.
    counts: Vec<u64>,
}

impl RunHistogram {
    /// Counts a run that took `took`.
    pub fn record(&mut self, took: Duration) {
        let bucket = bucket_of(took);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] += 1;
    }

    /// Whether the counts are those of a daemon: an absurd number would overflow the sums
    /// of all targets.
    fn is_valid(&self) -> bool {
        self.counts.len() <= BUCKETS && self.counts.iter().all(|count| *count <= MAX_COUNT)
    }

    /// The runs counted since `before`; a count below the one before yields 0.
    fn since(&self, before: &RunHistogram) -> RunHistogram {
        let count_before = |bucket| before.counts.get(bucket).copied().unwrap_or(0);
        let counts = self.counts.iter().take(BUCKETS).enumerate();
        RunHistogram {
            counts: counts
                .map(|(bucket, count)| count.saturating_sub(count_before(bucket)))
                .collect(),
        }
    }

    /// Whether no count is below the one in `before`.
    fn continues(&self, before: &RunHistogram) -> bool {
        before
            .counts
            .iter()
            .enumerate()
            .all(|(bucket, count)| self.counts.get(bucket).is_some_and(|now| now >= count))
    }

    fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Number of runs that took longer than `bound`, as far as buckets tell.
    fn slower_than(&self, bound: Duration) -> u64 {
        let runs = self.counts.iter().enumerate();
        runs.filter(|(bucket, _)| run_time_of(*bucket) > bound)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Bucket of a run that took `took`: the first one counts all runs below 1.4 ms.
fn bucket_of(took: Duration) -> usize {
    let took_ms = (took.as_secs_f64() * 1_000.0).max(1.0);
    let bucket = truncate_to_u64(took_ms.log2() * BUCKETS_PER_DOUBLING);
    usize::try_from(bucket).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

/// Run time in the middle of a bucket.
fn run_time_of(bucket: usize) -> Duration {
    let doublings = (count_to_f64(bucket) + 0.5) / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(doublings.exp2() / 1_000.0)
}

/// Counters of the runs of one kind of call at one target. They grow until the target
/// is replaced or its daemon restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs that ended.
    pub ended: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Run times of the runs that did not fail.
    pub completed: RunHistogram,
    /// Times after which callers abandoned runs.
    pub abandoned: RunHistogram,
}

impl RunCounts {
    /// Whether these can be later counters of the target that had the counters `before`.
    fn continues(&self, before: &RunCounts) -> bool {
        self.ended >= before.ended
            && self.failed >= before.failed
            && self.completed.continues(&before.completed)
            && self.abandoned.continues(&before.abandoned)
    }
}

impl RunCounts {
    /// Whether the counts can be evaluated.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.ended.max(self.failed) <= MAX_COUNT
            && self.completed.is_valid()
            && self.abandoned.is_valid()
    }
}

/// Counters of one target, by kind of call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRuns<'a> {
    /// Identifies the target from one evaluation to the next.
    pub target_id: &'a str,
    /// The target's availability zone.
    pub zone: &'a str,
    /// Side of the comparison that the target belongs to.
    pub side: VersionSide,
    /// Counters by kind of call.
    pub kinds: Vec<(&'a str, &'a RunCounts)>,
}

/// Run times of the old version for one kind of call.
#[derive(Clone, Copy, Debug, Default)]
struct ReferenceRuns {
    /// Number of runs, of which older ones count for less.
    runs: f64,
    /// Sum of their run times, in milliseconds.
    total_ms: f64,
    last_run: Option<Instant>,
}

impl ReferenceRuns {
    fn add(&mut self, runs: &RunHistogram, now: Instant) {
        let added = count_as_f64(runs.total());
        if added == 0.0 {
            return;
        }
        let kept = (1.0 - added / REFERENCE_RUNS).max(0.0);
        self.runs = self.runs * kept + added;
        self.total_ms *= kept;
        for (bucket, count) in runs.counts.iter().enumerate() {
            self.total_ms += run_time_of(bucket).as_secs_f64() * 1_000.0 * count_as_f64(*count);
        }
        self.last_run = Some(now);
    }

    /// Run time from which a run is slow; `None` while too few runs are known.
    fn slow_after(&self, now: Instant) -> Option<Duration> {
        if self.runs < MIN_REFERENCE_RUNS {
            return None;
        }
        let is_present = self
            .last_run
            .is_some_and(|at| now < at + PRESENT_RUNS_TIMEOUT);
        let factor = if is_present {
            SLOW_RUN_FACTOR
        } else {
            SLOW_RUN_FACTOR_WITHOUT_PRESENT_RUNS
        };
        let slow_ms = self.total_ms / self.runs * factor;
        Duration::try_from_secs_f64(slow_ms / 1_000.0).ok()
    }
}

/// Counters of one kind of call at one target, as last seen, and what was found.
#[derive(Clone, Debug, Default)]
struct KnownRuns {
    counts: RunCounts,
    /// Abandoned runs that were slow; they count as ended badly.
    slow_abandoned: u64,
    /// Other slow runs.
    slow: u64,
}

/// Counts the slow runs of one roll-out's targets, from one evaluation to the next.
#[derive(Clone, Debug, Default)]
pub struct SlowRunCounter {
    /// By target and kind of call.
    known: BTreeMap<(String, String), KnownRuns>,
    /// By kind of call.
    reference: BTreeMap<String, ReferenceRuns>,
}

impl SlowRunCounter {
    /// Returns the counters that the judge compares: runs that failed or were slow count
    /// as bad. Each run is compared with the old version's runs until `now`.
    pub fn count<'a>(&mut self, targets: &[TargetRuns<'a>], now: Instant) -> Vec<TargetCounts<'a>> {
        self.forget_replaced_targets(targets);
        let old_targets = targets
            .iter()
            .filter(|target| target.side == VersionSide::Old);
        for target in old_targets {
            for (kind, counts) in &target.kinds {
                let before = self.completed_before(target.target_id, kind);
                let runs = counts.completed.since(&before);
                let reference = self.reference.entry((*kind).to_owned()).or_default();
                reference.add(&runs, now);
            }
        }
        targets
            .iter()
            .map(|target| self.count_target(target, now))
            .collect()
    }

    /// Drops what is known of targets whose counters have started again.
    fn forget_replaced_targets(&mut self, targets: &[TargetRuns<'_>]) {
        for target in targets {
            let is_replaced = target.kinds.iter().any(|(kind, counts)| {
                let key = (target.target_id.to_owned(), (*kind).to_owned());
                let known = self.known.get(&key);
                known.is_some_and(|known| !counts.continues(&known.counts))
            });
            if is_replaced {
                self.known.retain(|(id, _), _| id != target.target_id);
            }
        }
    }

    fn completed_before(&self, target_id: &str, kind: &str) -> RunHistogram {
        let key = (target_id.to_owned(), kind.to_owned());
        self.known
            .get(&key)
            .map_or_else(RunHistogram::default, |known| {
                known.counts.completed.clone()
            })
    }

    fn count_target<'a>(&mut self, target: &TargetRuns<'a>, now: Instant) -> TargetCounts<'a> {
        let kinds = target.kinds.iter().map(|(kind, counts)| {
            let reference = self.reference.get(*kind);
            let slow_after = reference.and_then(|reference| reference.slow_after(now));
            let key = (target.target_id.to_owned(), (*kind).to_owned());
            let known = self.known.entry(key).or_default();
            if let Some(bound) = slow_after {
                let abandoned = counts.abandoned.since(&known.counts.abandoned);
                let completed = counts.completed.since(&known.counts.completed);
                known.slow_abandoned += abandoned.slower_than(bound);
                known.slow += completed.slower_than(bound);
            }
            known.counts.clone_from(counts);
            let bad = CallCounts {
                ended: counts.ended + known.slow_abandoned,
                bad: counts.failed + known.slow + known.slow_abandoned,
            };
            (*kind, bad)
        });
        TargetCounts {
            target_id: target.target_id,
            zone: target.zone,
            side: target.side,
            kinds: kinds.collect(),
        }
    }
}

fn count_as_f64(count: u64) -> f64 {
    count_to_f64(usize::try_from(count).unwrap_or(usize::MAX))
}
