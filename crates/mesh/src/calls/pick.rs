//! The targets a call can go to, and the choice among them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use filbert_policy::placement::{
    choose_target, estimated_occupancy, CrossZoneCost, PlacementRequest, TargetView,
};
use filbert_policy::rollout::record::VersionPreference;
use filbert_policy::routing::RouteRule;
use filbert_policy::run_times::RunTime;

use crate::messages::{CallHead, TargetState, TargetStatus};
use crate::peers::Peer;
use crate::state::MeshShared;

/// Daemons taken to place calls on the same targets, at most. In a larger
/// fleet each links to some targets only, so that about as many daemons share
/// a target as in a small one.
const MOST_ALIKE: usize = 13;

/// Where a call can go.
#[derive(Clone)]
pub(super) enum Candidate {
    /// To the target beside this daemon.
    Here,
    /// To another host.
    Peer(Rc<Peer>),
}

/// A choice, and what it went by.
pub(super) struct PickedTarget {
    /// Where the call goes.
    pub(super) candidate: Candidate,
    /// The host's name.
    pub(super) host: String,
    /// The version of the target's software.
    pub(super) software: String,
    /// The target as it was seen.
    pub(super) view: TargetView,
    /// Targets there were to choose from.
    pub(super) candidates: usize,
}

/// The best target for a call that was not tried yet.
pub(super) fn pick(
    shared: &Rc<MeshShared>,
    route: &RouteRule,
    head: &CallHead,
    tried: &[String],
) -> Option<PickedTarget> {
    let settings = Rc::clone(&shared.settings.borrow());
    let service = head.service.as_str();
    let answer_kib = shared
        .route_stats
        .borrow()
        .get(&route.name)
        .map_or(0.0, |stats| stats.answer_kib);
    let usual = head.usual_run.map(RunTime::from);
    let transfer_kib = answer_kib + kib(head.body_length.unwrap_or(0));
    let mut seen = Vec::new();
    if let Some(status) = shared.gate.status() {
        let occupancy = f64::from(status.load.running + status.load.waiting);
        if let Some(view) = view_of(&status, service, usual, true, occupancy).map(beside) {
            seen.push(SeenTarget {
                candidate: Candidate::Here,
                host: settings.id.clone(),
                software: status.software,
                view,
            });
        }
    }
    for peer in shared.peers.all() {
        let Some((status, sent)) = peer.target() else {
            continue;
        };
        let in_zone = peer.address.zone == settings.zone;
        let reported = status.load.running + status.load.waiting;
        let occupancy = estimated_occupancy(reported, sent, shared.daemon_count().min(MOST_ALIKE));
        let Some(mut view) = view_of(&status, service, usual, in_zone, occupancy) else {
            continue;
        };
        // What was placed there since the report will want the link too.
        let unseen = occupancy - f64::from(reported);
        view.link_ms += unseen * transfer_kib * view.link_ms_per_kib;
        seen.push(SeenTarget {
            host: peer.address.id.clone(),
            candidate: Candidate::Peer(peer),
            software: status.software,
            view,
        });
    }
    let request = PlacementRequest {
        transfer_kib,
        soft_deadline_ms: millis(head.aim_us),
        deadline_ms: millis(head.left_us),
        zone_has_target: false,
        is_above_lowest_priority: head.priority < shared.current_index().lowest_priority(),
    };
    let crossing = settings.cross_zone_cost();
    let among = |seen: Vec<SeenTarget>| choose_among(seen, tried, request, &crossing);
    let Some(version_preference) = shared.rollouts.version_preference(service, &head.id) else {
        return among(of_most_common(seen));
    };
    let (new, old): (Vec<_>, Vec<_>) = seen
        .into_iter()
        .partition(|target| target.software == version_preference.to);
    match version_preference.version_preference {
        VersionPreference::NewOnly => among(new),
        VersionPreference::OldOnly => among(old),
        // A call that was tried before has had its turn at the new version.
        VersionPreference::PreferNew if !tried.is_empty() => among(old),
        VersionPreference::PreferNew => among(new).or_else(|| among(old)),
    }
}

/// A target of the call's service.
struct SeenTarget {
    candidate: Candidate,
    host: String,
    software: String,
    view: TargetView,
}

/// The best of `seen` that is not among `tried`.
fn choose_among(
    mut seen: Vec<SeenTarget>,
    tried: &[String],
    mut request: PlacementRequest,
    crossing: &CrossZoneCost,
) -> Option<PickedTarget> {
    let is_home = |target: &SeenTarget| target.view.in_zone && !target.view.is_leaving;
    request.zone_has_target = seen.iter().any(is_home);
    seen.retain(|target| !tried.contains(&target.host));
    let views: Vec<TargetView> = seen.iter().map(|target| target.view).collect();
    let index = choose_target(&views, &request, crossing, &mut rand::rng())?;
    let target = seen.swap_remove(index);
    Some(PickedTarget {
        candidate: target.candidate,
        host: target.host,
        software: target.software,
        view: target.view,
        candidates: views.len(),
    })
}

/// The targets of the version that most of `seen` run.
///
/// Guards against calls to a new version by a daemon that has not heard of its
/// roll-out yet: the old one's targets live beside it, and are no fewer.
fn of_most_common(mut seen: Vec<SeenTarget>) -> Vec<SeenTarget> {
    let is_alike = seen
        .windows(2)
        .all(|pair| pair[0].software == pair[1].software);
    if is_alike {
        return seen;
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for target in &seen {
        *counts.entry(&target.software).or_default() += 1;
    }
    // Of two that are as common the first by name: versions count up.
    let common = counts
        .iter()
        .min_by_key(|(software, count)| (Reverse(**count), **software))
        .map(|(software, _)| (*software).to_owned());
    seen.retain(|target| Some(&target.software) == common.as_ref());
    seen
}

/// Bytes in KiB; more than `u32` holds costs the most anyway.
fn kib(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1024.0
}

/// Microseconds in milliseconds. Calls wait for seconds, so `u32` holds them.
fn millis(micros: u64) -> f64 {
    f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1_000.0
}

fn view_of(
    status: &TargetStatus,
    service: &str,
    usual: Option<RunTime>,
    in_zone: bool,
    occupancy: f64,
) -> Option<TargetView> {
    if status.service != service || status.state == TargetState::Closed {
        return None;
    }
    let load = &status.load;
    let run = usual.map_or_else(|| load.mean_run(), |usual| usual.slowed_by(load.slowdown));
    Some(TargetView {
        in_zone,
        slots: load.slots,
        occupancy,
        run_ms: run.mean.as_secs_f64() * 1_000.0,
        mean_deviation_ms: run.mean_deviation.as_secs_f64() * 1_000.0,
        queue_run_ms: load.run_ms,
        failure_rate: load.failure_rate,
        is_cold: status.is_cold,
        is_leaving: status.state == TargetState::Leaving,
        link_ms: load.link_ms,
        link_ms_per_kib: load.link_ms_per_kib,
    })
}

/// The view of the target beside this daemon: no link lies between.
fn beside(view: TargetView) -> TargetView {
    TargetView {
        link_ms: 0.0,
        link_ms_per_kib: 0.0,
        ..view
    }
}
