//! Momentary pace of a target: how long its work takes now, compared with usual.
//!
//! Load pattern: at any time, 15 in 100 targets take 2.5 times as long as usual, in
//! slow periods of some 600 ms. Averages of run times over thirty runs show a slow
//! period only once it is over, and then keep the target from getting calls that it
//! would answer in time. A target states its pace in each answer, so the next call
//! can already be placed by it.
//!
//! A run time is estimated as the target's long-term run time, multiplied by its pace
//! now. The long-term run time is the average of the runs, each divided by the pace
//! during the run. A constant false pace therefore cancels out.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::numbers::truncate_to_u64;

/// Usual length of a slow period, in milliseconds, after which a stated pace says nothing
/// any more.
const SLOW_PERIOD_MS: u16 = 600;
/// Pace of a target at its usual speed, in percent.
const USUAL_PERCENT: u16 = 100;
/// Bounds of the factor. They include slow periods of 2.5 times the usual run time; a
/// false statement beyond them has no more effect than one at the bound.
const MIN_FACTOR: f64 = 0.5;
const MAX_FACTOR: f64 = 4.0;
/// Factor between two levels of the pace.
const LEVEL_FACTOR: f64 = 1.5;
/// Minimum time between two reported changes of the pace.
pub const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Pace of a target: the factor by which its runs now take longer than usual, and the
/// age of this statement. The factor decays to 1 over the length of a slow period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPace {
    /// Stated pace, in percent of the usual run time.
    percent: u16,
    /// Time since the statement, in milliseconds.
    age_ms: u16,
}

impl TargetPace {
    /// Creates a pace from a number of percent, which is limited to the bounds. `None`
    /// if the number is not finite, or not above 0.
    #[must_use]
    pub fn from_percent(percent: f64) -> Option<TargetPace> {
        if !percent.is_finite() || percent <= 0.0 {
            return None;
        }
        let usual = f64::from(USUAL_PERCENT);
        let bounded = percent.clamp(MIN_FACTOR * usual, MAX_FACTOR * usual);
        let percent = u16::try_from(truncate_to_u64(bounded.round())).unwrap_or(USUAL_PERCENT);
        Some(TargetPace { percent, age_ms: 0 })
    }

    /// Whether the pace is one that [`TargetPace::from_percent`] creates. One that another
    /// process wrote need not be.
    #[must_use]
    pub fn is_valid(self) -> bool {
        TargetPace::from_percent(f64::from(self.percent))
            .is_some_and(|bounded| bounded.percent == self.percent)
    }

    /// The pace after `elapsed` without a further statement.
    #[must_use]
    pub fn after(self, elapsed: Duration) -> TargetPace {
        let elapsed_ms = u16::try_from(elapsed.as_millis()).unwrap_or(u16::MAX);
        TargetPace {
            age_ms: self.age_ms.saturating_add(elapsed_ms),
            ..self
        }
    }

    /// Ratio of the run times now to the usual ones, within the bounds also if the pace
    /// was received from another daemon.
    #[must_use]
    pub fn factor(self) -> f64 {
        let stated = f64::from(self.percent) / f64::from(USUAL_PERCENT);
        let stated = stated.clamp(MIN_FACTOR, MAX_FACTOR);
        let passed = f64::from(self.age_ms) / f64::from(SLOW_PERIOD_MS);
        1.0 + (stated - 1.0) * (1.0 - passed).max(0.0)
    }

    /// Whether the target works at its usual speed, as far as is known.
    #[must_use]
    pub fn is_usual(self) -> bool {
        self.percent == USUAL_PERCENT || self.age_ms >= SLOW_PERIOD_MS
    }
}

/// Ratio of a target's run times now to the usual ones of all targets. `slowdown` is the
/// ratio of its long-term run times; no pace stands for the usual one.
#[must_use]
pub fn slowdown_at_pace(slowdown: f64, pace: Option<TargetPace>) -> f64 {
    pace.map_or(slowdown, |pace| slowdown * pace.factor())
}

/// Whether two paces differ by a level or more; `None` stands for the usual pace.
#[must_use]
pub fn differs_by_level(first: Option<TargetPace>, second: Option<TargetPace>) -> bool {
    let factor = |pace: Option<TargetPace>| pace.map_or(1.0, TargetPace::factor);
    let (first, second) = (factor(first), factor(second));
    first.max(second) >= first.min(second) * LEVEL_FACTOR
}

/// What an answer states about the target's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PaceStatement {
    /// The answer states no pace.
    #[default]
    Absent,
    /// The target has this pace.
    Stated(TargetPace),
    /// The answer has a pace that cannot be read.
    Unreadable,
}

/// A change of a target's pace by a level or more, as factors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceChange {
    /// Pace at the last reported change; 1 before the first.
    pub before: f64,
    /// Pace now.
    pub after: f64,
}

/// Start of a run on the clocks of a [`PaceTracker`].
#[derive(Clone, Copy, Debug)]
pub struct PaceMark {
    at: Instant,
    usual: Duration,
}

/// Pace of one target, from the statements in its answers.
///
/// The tracker keeps a clock of usual time, which advances by real time divided by the pace
/// of the target. The usual time between the start and the end of a run is the time that
/// the run would have taken at the usual pace.
#[derive(Clone, Debug, Default)]
pub struct PaceTracker {
    /// Last stated pace, and when it was stated.
    stated: Option<(TargetPace, Instant)>,
    /// Usual time at `advanced_at`.
    usual: Duration,
    /// Time until which `usual` is counted; `None` before the first run.
    advanced_at: Option<Instant>,
    /// Pace at the last reported change, and when it was reported.
    reported: Option<(TargetPace, Instant)>,
}

impl PaceTracker {
    /// Records what an answer received at `now` states. Returns the change if the pace
    /// differs by a level from the last reported one. Changes are reported at least
    /// [`MIN_CHANGE_INTERVAL`] apart.
    pub fn record(&mut self, statement: PaceStatement, now: Instant) -> Option<PaceChange> {
        let PaceStatement::Stated(pace) = statement else {
            return None;
        };
        self.advance_to_statement(pace, now);
        self.stated = Some((pace, now));
        let reported_at = self.reported.map(|(_, at)| at);
        let reported = self.reported.map(|(reported, _)| reported);
        if !differs_by_level(reported, Some(pace))
            || reported_at.is_some_and(|at| now < at + MIN_CHANGE_INTERVAL)
        {
            return None;
        }
        self.reported = Some((pace, now));
        Some(PaceChange {
            before: reported.map_or(1.0, TargetPace::factor),
            after: pace.factor(),
        })
    }

    /// Pace at `now`; `None` if it is the usual one or was never stated.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<TargetPace> {
        let (pace, stated_at) = self.stated?;
        let pace = pace.after(now.saturating_duration_since(stated_at));
        (!pace.is_usual()).then_some(pace)
    }

    /// Whether the target has ever stated a pace.
    #[must_use]
    pub fn has_statement(&self) -> bool {
        self.stated.is_some()
    }

    /// Marks the start of a run.
    pub fn mark(&mut self, now: Instant) -> PaceMark {
        self.advance(now);
        PaceMark {
            at: now,
            usual: self.usual,
        }
    }

    /// Time that a run of `took`, which started at `mark` and ended at `now`, would have
    /// taken at the usual pace; `took` itself if the target states no pace.
    pub fn usual_run(&mut self, mark: PaceMark, took: Duration, now: Instant) -> Duration {
        self.advance(now);
        let elapsed = now.saturating_duration_since(mark.at);
        if self.stated.is_none() || elapsed.is_zero() {
            return took;
        }
        // The bounds matter for a run of an instance that was replaced meanwhile.
        let usual = self
            .usual
            .saturating_sub(mark.usual)
            .clamp(elapsed.div_f64(MAX_FACTOR), elapsed.div_f64(MIN_FACTOR));
        took.mul_f64(usual.as_secs_f64() / elapsed.as_secs_f64())
    }

    /// Counts usual time until `now`, at the pace known in the middle of the interval.
    fn advance(&mut self, now: Instant) {
        let since = self.advanced_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        let pace = self.current(since + elapsed / 2);
        self.usual += pace.map_or(elapsed, |pace| elapsed.div_f64(pace.factor()));
        self.advanced_at = Some(since + elapsed);
    }

    /// Counts usual time until `now`, at the pace that is stated now: the statement
    /// describes the time up to it. What lies further back than a slow period is counted
    /// at the usual pace.
    fn advance_to_statement(&mut self, stated: TargetPace, now: Instant) {
        let since = self.advanced_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        let recent = elapsed.min(Duration::from_millis(u64::from(SLOW_PERIOD_MS)));
        self.usual += elapsed.saturating_sub(recent) + recent.div_f64(stated.factor());
        self.advanced_at = Some(since + elapsed);
    }
}
