//! Collects the targets that can run a call and chooses one of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use filbert_policy::pace::slowdown_at_pace;
use filbert_policy::placement::{
    choose_target, estimated_occupancy, CrossZoneCost, PlacementRequest, TargetView,
};
use filbert_policy::rollout::record::VersionPreference;
use filbert_policy::routing::RouteRule;
use filbert_policy::run_times::RunTime;

use crate::messages::{CallHead, TargetState, TargetStatus};
use crate::peers::Peer;
use crate::state::MeshShared;

/// Maximum number of daemons that are assumed to send calls to the same target.
/// In a larger fleet each daemon links to some of the targets only, so that about
/// as many daemons share a target as in a small fleet.
const MAX_SHARING_DAEMONS: usize = 13;

/// Where a target runs.
#[derive(Clone)]
pub(super) enum Destination {
    /// On this host.
    Local,
    /// On the host of this peer.
    Peer(Rc<Peer>),
}

/// The chosen target, and the data that the choice was based on.
pub(super) struct PickedTarget {
    /// Where the target runs.
    pub(super) destination: Destination,
    /// Name of the target's host.
    pub(super) host: String,
    /// Version of the target's software.
    pub(super) software: String,
    /// State of the target at the time of the choice.
    pub(super) view: TargetView,
    /// Number of targets that could be chosen.
    pub(super) candidate_count: usize,
}

/// Chooses the best target for a call. Targets on `tried_hosts` are left out. The call is
/// placed as if it began in `other_zone`, if there is one. Returns `None` if no other target
/// can run the call.
pub(super) fn pick_target(
    shared: &Rc<MeshShared>,
    route: &RouteRule,
    head: &CallHead,
    tried_hosts: &[String],
    other_zone: Option<&str>,
) -> Option<PickedTarget> {
    let settings = Rc::clone(&shared.settings.borrow());
    let service = head.service.as_str();
    // Without a link to an open target there, the call is placed in its own zone.
    let call_zone = other_zone
        .filter(|zone| has_open_target(shared, service, zone, tried_hosts))
        .unwrap_or(&settings.zone);
    let is_in_own_zone = call_zone == settings.zone;
    let answer_kib = shared
        .route_stats
        .borrow()
        .get(&route.name)
        .map_or(0.0, |history| history.answer_kib);
    let expected_run_time = head.expected_run_time.map(RunTime::from);
    let transfer_kib = answer_kib + bytes_to_kib(head.body_length.unwrap_or(0));
    let local = local_candidate(shared, service, expected_run_time, is_in_own_zone);
    let mut candidates: Vec<CandidateTarget> = local.into_iter().collect();
    let now = shared.clock.now();
    for peer in shared.peers.all() {
        let Some((mut status, sent_since_report)) = peer.target(now) else {
            continue;
        };
        status.state = peer.restrict_state(&status, settings.times.drain, now);
        let in_zone = peer.address.zone == call_zone;
        let reported = status.load.running + status.load.waiting;
        let occupancy = estimated_occupancy(
            reported,
            sent_since_report,
            shared.daemon_count().min(MAX_SHARING_DAEMONS),
        );
        let Some(mut view) = target_view(&status, service, expected_run_time, in_zone, occupancy)
        else {
            continue;
        };
        // Calls sent since the target's last report will use its link as well.
        let unreported = occupancy - f64::from(reported);
        view.link_ms += unreported * transfer_kib * view.link_ms_per_kib;
        candidates.push(CandidateTarget {
            host: peer.address.id.clone(),
            destination: Destination::Peer(peer),
            software: status.software,
            view,
        });
    }
    let request = PlacementRequest {
        transfer_kib,
        soft_deadline_ms: micros_to_millis(head.soft_deadline_us),
        deadline_ms: micros_to_millis(head.deadline_us),
        // Set by `choose_candidate`.
        zone_has_target: false,
        is_above_lowest_priority: head.priority < shared.current_index().lowest_priority(),
    };
    let cross_zone_cost = settings.cross_zone_cost();
    let choose = |candidates: Vec<CandidateTarget>| {
        choose_candidate(candidates, tried_hosts, request, &cross_zone_cost)
    };
    let Some(preference) = shared.rollouts.version_preference(service, &head.id) else {
        return choose(with_most_common_version(candidates));
    };
    let (new, old): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|target| target.software == preference.to);
    match preference.version_preference {
        VersionPreference::NewOnly => choose(new),
        VersionPreference::OldOnly => choose(old),
        // Only the first attempt prefers the new version; a retry goes to the old one.
        VersionPreference::PreferNew if !tried_hosts.is_empty() => choose(old),
        VersionPreference::PreferNew => choose(new).or_else(|| choose(old)),
    }
}

/// Returns the target on this host, if it can run the call.
fn local_candidate(
    shared: &MeshShared,
    service: &str,
    expected_run_time: Option<RunTime>,
    in_zone: bool,
) -> Option<CandidateTarget> {
    let status = shared.gate.status()?;
    let occupancy = f64::from(status.load.running + status.load.waiting);
    let view = target_view(&status, service, expected_run_time, in_zone, occupancy)?;
    Some(CandidateTarget {
        destination: Destination::Local,
        host: shared.settings.borrow().id.clone(),
        software: status.software,
        view: without_link(view),
    })
}

/// Whether this daemon has a link to an open target of `service` in `zone` that is not on
/// `tried_hosts`. A call that all of them declined goes back to its own zone.
fn has_open_target(shared: &MeshShared, service: &str, zone: &str, tried_hosts: &[String]) -> bool {
    let now = shared.clock.now();
    let drain_time = shared.settings.borrow().times.drain;
    shared.peers.all().iter().any(|peer| {
        peer.address.zone == zone
            && !tried_hosts.contains(&peer.address.id)
            && peer.target(now).is_some_and(|(status, _)| {
                status.service == service
                    && peer.restrict_state(&status, drain_time, now) == TargetState::Open
            })
    })
}

/// A target that can run the call.
struct CandidateTarget {
    destination: Destination,
    host: String,
    software: String,
    view: TargetView,
}

/// Chooses the best of `candidates` whose host is not among `tried_hosts`.
fn choose_candidate(
    mut candidates: Vec<CandidateTarget>,
    tried_hosts: &[String],
    mut request: PlacementRequest,
    cross_zone_cost: &CrossZoneCost,
) -> Option<PickedTarget> {
    let is_open_in_zone = |target: &CandidateTarget| target.view.in_zone && !target.view.is_leaving;
    request.zone_has_target = candidates.iter().any(is_open_in_zone);
    candidates.retain(|target| !tried_hosts.contains(&target.host));
    let views: Vec<TargetView> = candidates.iter().map(|target| target.view).collect();
    let index = choose_target(&views, &request, cross_zone_cost, &mut rand::rng())?;
    let target = candidates.swap_remove(index);
    Some(PickedTarget {
        destination: target.destination,
        host: target.host,
        software: target.software,
        view: target.view,
        candidate_count: views.len(),
    })
}

/// Keeps the targets of the software version that most of `candidates` run.
///
/// This keeps a daemon that does not know of a roll-out yet from sending calls to
/// the new version: the old version's targets still run, and there are at least as
/// many of them.
fn with_most_common_version(mut candidates: Vec<CandidateTarget>) -> Vec<CandidateTarget> {
    let have_same_version = candidates
        .windows(2)
        .all(|pair| pair[0].software == pair[1].software);
    if have_same_version {
        return candidates;
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for target in &candidates {
        *counts.entry(&target.software).or_default() += 1;
    }
    // On a tie the version that sorts first is kept: it is the older one, as version
    // names ascend.
    let most_common = counts
        .iter()
        .min_by_key(|(software, count)| (Reverse(**count), **software))
        .map(|(software, _)| (*software).to_owned());
    candidates.retain(|target| Some(&target.software) == most_common.as_ref());
    candidates
}

/// Converts bytes to KiB. Values beyond `u32::MAX` bytes are capped; their cost is
/// prohibitive anyway.
fn bytes_to_kib(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1024.0
}

/// Converts microseconds to milliseconds. Values beyond `u32::MAX` microseconds, more
/// than an hour, are capped; the deadlines of calls are seconds away.
fn micros_to_millis(micros: u64) -> f64 {
    f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1_000.0
}

/// Returns the data on a target that the choice is based on; `None` if the target is
/// closed or belongs to another service.
fn target_view(
    status: &TargetStatus,
    service: &str,
    expected_run_time: Option<RunTime>,
    in_zone: bool,
    occupancy: f64,
) -> Option<TargetView> {
    if status.service != service || status.state == TargetState::Closed {
        return None;
    }
    let load = &status.load;
    let run_time = expected_run_time.map_or_else(
        || load.mean_run(),
        |expected_run_time| expected_run_time.slowed_by(slowdown_at_pace(load.slowdown, load.pace)),
    );
    Some(TargetView {
        in_zone,
        slots: load.slots,
        occupancy,
        run_ms: run_time.mean.as_secs_f64() * 1_000.0,
        mean_deviation_ms: run_time.mean_deviation.as_secs_f64() * 1_000.0,
        queue_run_ms: load.run_ms,
        failure_rate: load.failure_rate,
        is_cold: status.is_cold,
        is_leaving: status.state == TargetState::Leaving,
        link_ms: load.link_ms,
        link_ms_per_kib: load.link_ms_per_kib,
        limit_wait_ms: load.allowance.map_or(0.0, |allowance| {
            let unreported = occupancy - f64::from(load.running + load.waiting);
            allowance.wait_behind(unreported).as_secs_f64() * 1_000.0
        }),
    })
}

/// Removes the link's cost from the view of the target on this host.
fn without_link(view: TargetView) -> TargetView {
    TargetView {
        link_ms: 0.0,
        link_ms_per_kib: 0.0,
        ..view
    }
}
