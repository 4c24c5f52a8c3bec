//! Decisions on the stages of roll-outs, taken by the daemons that query the store
//! for the fleet.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::rollout::judge::{CanaryJudge, Verdict, VersionSide};
use filbert_policy::rollout::record::{RolloutStage, StageReason};
use filbert_policy::rollout::schedule::{ExposureBudget, RolloutView, TrialPlacement};
use filbert_policy::rollout::slow_runs::{SlowRunCounter, TargetRuns};
use twox_hash::XxHash64;

use super::counters::ReceivedReport;
use super::{RolloutEntry, StageDecision};
use crate::state::MeshShared;

/// Interval between two evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two confirmations of a stage.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a report no longer counts as the state of its target, as the
/// target's daemon may have ended.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Age of its last report from which a target counts as gone, unless its host is
/// still known.
const TARGET_GONE_TIMEOUT: Duration = Duration::from_secs(4);

/// What a deciding daemon remembers of one roll-out between evaluations.
struct RolloutEvaluator {
    slow_runs: SlowRunCounter,
    judge: CanaryJudge,
    /// Time at which this daemon last confirmed or entered a stage.
    confirmed_at: Option<Instant>,
    /// Number of targets of the new version that take calls, and the time at which
    /// this number last changed.
    new_targets: Option<(usize, Instant)>,
}

impl RolloutEvaluator {
    fn new() -> RolloutEvaluator {
        RolloutEvaluator {
            slow_runs: SlowRunCounter::default(),
            judge: CanaryJudge::default(),
            confirmed_at: None,
            new_targets: None,
        }
    }

    /// Returns the time since the number of new targets last changed; `count` is the
    /// current number.
    fn stable_for(&mut self, count: usize, now: Instant) -> Duration {
        match self.new_targets {
            Some((before, since)) if before == count => now.saturating_duration_since(since),
            _ => {
                self.new_targets = Some((count, now));
                Duration::ZERO
            }
        }
    }
}

/// Decides on the stages of live roll-outs while this daemon queries the store for
/// the fleet. Never returns.
pub async fn decide_stages(shared: Rc<MeshShared>) {
    let mut evaluators: BTreeMap<String, RolloutEvaluator> = BTreeMap::new();
    loop {
        if !shared.rollouts.has_any_live() {
            evaluators.clear();
            shared.rollouts.wait_until_any_live().await;
        }
        tokio::time::sleep(EVALUATION_INTERVAL).await;
        if !shared.members.is_source() {
            evaluators.clear();
            continue;
        }
        for service in shared.rollouts.services() {
            let Some(entry) = shared.rollouts.entry(&service) else {
                continue;
            };
            if !entry.is_live() {
                evaluators.remove(&service);
                continue;
            }
            let evaluator = evaluators
                .entry(service)
                .or_insert_with(RolloutEvaluator::new);
            evaluate(&shared, evaluator, &entry);
        }
    }
}

fn evaluate(shared: &Rc<MeshShared>, evaluator: &mut RolloutEvaluator, entry: &RolloutEntry) {
    let service = entry.record.service.as_str();
    // A roll-out starts only after its order is in its row: the row may show that
    // the roll-out ended before this daemon started.
    if !entry.is_order_stored {
        shared.rollouts.has_unwritten.notify_one();
        return;
    }
    let now = shared.clock.now();
    let reports = shared.rollouts.reports.for_service(service);
    let counts = evaluator
        .slow_runs
        .count(&target_runs(&reports, &entry.record.to), now);
    let verdict = evaluator.judge.evaluate(&counts, now);
    shared
        .rollouts
        .set_evidence(service, evidence_line(&verdict));
    let mut view = rollout_view(shared, entry, &reports, &verdict, now);
    view.new_targets_stable_for = evaluator.stable_for(view.new_targets, now);
    let budget = ExposureBudget {
        share: shared.settings.borrow().rollout.share,
        slack: shared.settings.borrow().rollout.slack,
        longest_call: shared.current_index().longest_timeout(service),
        placement: TrialPlacement::FewTargets,
    };
    match budget.next_stage(&view) {
        // The completion is first written to the store, on condition that the row is
        // unchanged. The stage changes only after that.
        Some((RolloutStage::Completed, reason)) => shared.rollouts.set_completion(service, reason),
        Some((stage, reason)) => {
            log::info!(
                "event=rollout_decided service={service} to={} stage={stage:?} reason={reason:?} elapsed_ms={} new_targets={} old_targets={} old_at_work={} old_unheard={} {}",
                entry.record.to,
                view.elapsed.as_millis(),
                view.new_targets,
                view.old_targets,
                view.old_at_work,
                view.old_unheard,
                evidence_line(&verdict)
            );
            let is_trial_start = reason == StageReason::TargetsReady;
            let canaries = is_trial_start.then(|| {
                let size = budget.trial_size(&view);
                choose_canaries(&reports, &entry.record.to, size.canaries)
            });
            let decision = StageDecision {
                decided_by: shared.settings.borrow().id.clone(),
                canaries,
            };
            shared
                .rollouts
                .enter_stage(service, stage, reason, decision);
            evaluator.confirmed_at = Some(now);
        }
        None => {
            if evaluator
                .confirmed_at
                .is_none_or(|at| now >= at + CONFIRMATION_INTERVAL)
            {
                evaluator.confirmed_at = Some(now);
                shared.rollouts.confirm(service);
            }
        }
    }
}

/// Formats the evidence that a verdict is based on, for log lines and operators.
fn evidence_line(verdict: &Verdict) -> String {
    format!(
        "evidence={:.1} kind={} span_ms={} new_ended={} new_bad={} old_ended={} old_bad={}",
        verdict.evidence,
        verdict.kind.as_deref().unwrap_or("all"),
        verdict.span.as_millis(),
        verdict.new_calls.ended,
        verdict.new_calls.bad,
        verdict.old_calls.ended,
        verdict.old_calls.bad
    )
}

fn target_runs<'a>(reports: &'a [ReceivedReport], to: &str) -> Vec<TargetRuns<'a>> {
    let one_target = |received: &'a ReceivedReport| {
        let report = &received.report;
        let kinds = report.kinds.iter();
        TargetRuns {
            target_id: &report.host,
            zone: &report.zone,
            side: version_side(received, to),
            kinds: kinds.map(|kind| (kind.kind.as_str(), &kind.runs)).collect(),
        }
    };
    reports.iter().map(one_target).collect()
}

fn version_side(received: &ReceivedReport, to: &str) -> VersionSide {
    if received.report.software == to {
        VersionSide::New
    } else {
        VersionSide::Old
    }
}

fn rollout_view(
    shared: &MeshShared,
    entry: &RolloutEntry,
    reports: &[ReceivedReport],
    verdict: &Verdict,
    now: Instant,
) -> RolloutView {
    let to = entry.record.to.as_str();
    let is_recent = |received: &&ReceivedReport| now < received.received_at + REPORT_TTL;
    // Number of targets of one side that take calls.
    let count = |side| {
        let accepts_calls = |received: &&ReceivedReport| {
            received.report.accepts_calls && version_side(received, to) == side
        };
        reports
            .iter()
            .filter(is_recent)
            .filter(accepts_calls)
            .count()
    };
    let known = (entry.record.order, entry.record.step);
    let old = reports
        .iter()
        .filter(|received| version_side(received, to) == VersionSide::Old);
    let mut old_at_work = 0;
    let mut old_unheard = 0;
    for received in old {
        if is_recent(&received) && received.report.known_step == Some(known) {
            old_at_work += received.report.calls_in_progress;
        } else if now < received.received_at + TARGET_GONE_TIMEOUT
            || shared.members.has_host(&received.report.host)
        {
            old_unheard += 1;
        }
    }
    RolloutView {
        stage: entry.record.stage,
        stage_age: now.saturating_duration_since(entry.stage_entered_at),
        elapsed: now.saturating_duration_since(entry.ordered_at),
        allowed: entry.record.allowed,
        new_targets: count(VersionSide::New),
        new_targets_stable_for: Duration::ZERO,
        old_targets: count(VersionSide::Old),
        verdict: verdict.clone(),
        old_at_work,
        old_unheard,
    }
}

/// Chooses the hosts of `count` new targets, from the availability zones in turn.
/// Returns none if that would be all of them: an empty list means all new targets.
fn choose_canaries(reports: &[ReceivedReport], to: &str, count: usize) -> Vec<String> {
    let mut by_zone: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut total = 0;
    for received in reports {
        if version_side(received, to) == VersionSide::New && received.report.accepts_calls {
            let of_zone = by_zone.entry(&received.report.zone).or_default();
            of_zone.push(&received.report.host);
            total += 1;
        }
    }
    if count >= total {
        return Vec::new();
    }
    for hosts in by_zone.values_mut() {
        hosts.sort_by_key(|host| XxHash64::oneshot(0, host.as_bytes()));
    }
    let mut chosen = Vec::new();
    while chosen.len() < count {
        for hosts in by_zone.values_mut() {
            if let Some(host) = hosts.pop() {
                if chosen.len() < count {
                    chosen.push(host.to_owned());
                }
            }
        }
    }
    chosen
}
