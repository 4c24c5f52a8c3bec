//! What the daemons that ask the store for the fleet decide on roll-outs.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::rollout::judge::{CallCounts, CanaryJudge, TargetCounts, Verdict, VersionSide};
use filbert_policy::rollout::record::{RolloutStage, StageReason};
use filbert_policy::rollout::schedule::{ExposureBudget, RolloutView, TrialPlacement};
use twox_hash::XxHash64;

use super::counters::HeardTally;
use super::{DecisionTerms, RolloutEntry};
use crate::state::MeshShared;

/// Pause between two looks at the evidence.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Pause between two confirmations of a stage.
const CONFIRM_EVERY: Duration = Duration::from_secs(1);
/// Age from which a tally is not counted on: its daemon may be gone.
const TALLY_HOLDS: Duration = Duration::from_millis(1_500);
/// Age from which the target of a tally is taken for gone, unless its host
/// still has a row.
const GONE_AFTER: Duration = Duration::from_secs(4);

/// One roll-out as this daemon follows it.
struct FollowedRollout {
    judge: CanaryJudge,
    confirmed: Option<Instant>,
    /// Open targets of the new version, and when their number last changed.
    new_targets: Option<(usize, Instant)>,
}

impl FollowedRollout {
    fn new() -> FollowedRollout {
        FollowedRollout {
            judge: CanaryJudge::default(),
            confirmed: None,
            new_targets: None,
        }
    }

    /// Time since the number of new targets, now `count`, last changed.
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

/// Decides on stages, while this daemon asks the store for the fleet. Runs for
/// ever.
pub async fn decide_stages(shared: Rc<MeshShared>) {
    let mut followed: BTreeMap<String, FollowedRollout> = BTreeMap::new();
    loop {
        if !shared.rollouts.has_live() {
            followed.clear();
            shared.rollouts.until_live().await;
        }
        tokio::time::sleep(LOOK_EVERY).await;
        if !shared.members.is_source() {
            followed.clear();
            continue;
        }
        for service in shared.rollouts.services() {
            let Some(entry) = shared.rollouts.entry(&service) else {
                continue;
            };
            if !entry.is_live() {
                followed.remove(&service);
                continue;
            }
            let rollout = followed.entry(service).or_insert_with(FollowedRollout::new);
            evaluate(&shared, rollout, &entry);
        }
    }
}

fn evaluate(shared: &Rc<MeshShared>, rollout: &mut FollowedRollout, entry: &RolloutEntry) {
    let service = entry.record.service.as_str();
    // Nothing begins before the store has taken this order: it may have been
    // seen to its end before this daemon started.
    if !entry.is_recorded {
        shared.rollouts.has_unwritten.notify_one();
        return;
    }
    let now = shared.clock.now();
    let tallies = shared.rollouts.heard.of_service(service);
    let verdict = rollout
        .judge
        .evaluate(&counts_of(&tallies, &entry.record.to), now);
    shared
        .rollouts
        .set_evidence(service, evidence_line(&verdict));
    let mut view = view_of(shared, entry, &tallies, &verdict, now);
    view.new_targets_stable_for = rollout.stable_for(view.new_targets, now);
    let budget = ExposureBudget {
        share: shared.settings.borrow().rollout.share,
        slack: shared.settings.borrow().rollout.slack,
        longest_call: shared.current_index().longest_timeout(service),
        placement: TrialPlacement::FewTargets,
    };
    match budget.next_stage(&view) {
        // Written first, under its condition.
        Some((RolloutStage::Completed, reason)) => shared.rollouts.want_completion(service, reason),
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
            let begins = reason == StageReason::TargetsReady;
            let canaries = begins.then(|| {
                let terms = budget.trial_size(&view);
                choose_canaries(&tallies, &entry.record.to, terms.canaries)
            });
            let terms = DecisionTerms {
                decided_by: shared.settings.borrow().id.clone(),
                canaries,
            };
            shared.rollouts.decide(service, stage, reason, terms);
            rollout.confirmed = Some(now);
        }
        None => {
            if rollout.confirmed.is_none_or(|at| now >= at + CONFIRM_EVERY) {
                rollout.confirmed = Some(now);
                shared.rollouts.confirm(service);
            }
        }
    }
}

/// What a verdict rests on, in words.
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

fn counts_of<'a>(tallies: &'a [HeardTally], to: &str) -> Vec<TargetCounts<'a>> {
    let of_one = |heard: &'a HeardTally| {
        let tally = &heard.tally;
        let counts = tally.kinds.iter().map(|kind| {
            let counts = CallCounts {
                ended: kind.ended,
                bad: kind.bad,
            };
            (kind.kind.as_str(), counts)
        });
        TargetCounts {
            target_id: &tally.host,
            zone: &tally.zone,
            side: side_of(heard, to),
            kinds: counts.collect(),
        }
    };
    tallies.iter().map(of_one).collect()
}

fn side_of(heard: &HeardTally, to: &str) -> VersionSide {
    if heard.tally.software == to {
        VersionSide::New
    } else {
        VersionSide::Old
    }
}

fn view_of(
    shared: &MeshShared,
    entry: &RolloutEntry,
    tallies: &[HeardTally],
    verdict: &Verdict,
    now: Instant,
) -> RolloutView {
    let to = entry.record.to.as_str();
    let is_heard = |heard: &&HeardTally| now < heard.at + TALLY_HOLDS;
    let open = |side| {
        let is_open = |heard: &&HeardTally| heard.tally.is_open && side_of(heard, to) == side;
        tallies.iter().filter(is_heard).filter(is_open).count()
    };
    let known = (entry.record.order, entry.record.step);
    let old = tallies
        .iter()
        .filter(|heard| side_of(heard, to) == VersionSide::Old);
    let mut old_at_work = 0;
    let mut old_unheard = 0;
    for heard in old {
        if is_heard(&heard) && heard.tally.known == Some(known) {
            old_at_work += heard.tally.at_work;
        } else if now < heard.at + GONE_AFTER || shared.members.has_host(&heard.tally.host) {
            old_unheard += 1;
        }
    }
    RolloutView {
        stage: entry.record.stage,
        stage_age: now.saturating_duration_since(entry.stage_since),
        elapsed: now.saturating_duration_since(entry.ordered),
        allowed: entry.record.allowed,
        new_targets: open(VersionSide::New),
        new_targets_stable_for: Duration::ZERO,
        old_targets: open(VersionSide::Old),
        verdict: verdict.clone(),
        old_at_work,
        old_unheard,
    }
}

/// `count` hosts of new targets, from all availability zones in turn.
fn choose_canaries(tallies: &[HeardTally], to: &str, count: usize) -> Vec<String> {
    let mut by_zone: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut total = 0;
    for heard in tallies {
        if side_of(heard, to) == VersionSide::New && heard.tally.is_open {
            let of_zone = by_zone.entry(&heard.tally.zone).or_default();
            of_zone.push(&heard.tally.host);
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
