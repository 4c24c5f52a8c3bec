//! The targets a call can go to, and the choice among them.

use std::rc::Rc;

use filbert_policy::placement::{assumed_occupancy, choose, CallShape, TargetView};
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
        .routes
        .borrow()
        .get(&route.name)
        .map_or(0.0, |history| history.answer_kib);
    let usual = head.usual_run.map(RunTime::from);
    let carried_kib = answer_kib + kib(head.body_length.unwrap_or(0));
    let mut views = Vec::new();
    let mut candidates = Vec::new();
    let mut is_served_at_home = false;
    if let Some(status) = shared.gate.status() {
        let occupancy = f64::from(status.load.running + status.load.waiting);
        if let Some(view) = view_of(&status, service, usual, true, occupancy).map(beside) {
            is_served_at_home |= !view.is_leaving;
            if !tried.contains(&settings.id) {
                views.push(view);
                candidates.push((Candidate::Here, settings.id.clone()));
            }
        }
    }
    for peer in shared.peers.all() {
        let Some((status, sent)) = peer.target() else {
            continue;
        };
        let in_zone = peer.address.zone == settings.zone;
        let reported = status.load.running + status.load.waiting;
        let occupancy = assumed_occupancy(reported, sent, shared.daemons().min(MOST_ALIKE));
        let Some(mut view) = view_of(&status, service, usual, in_zone, occupancy) else {
            continue;
        };
        is_served_at_home |= in_zone && !view.is_leaving;
        if tried.contains(&peer.address.id) {
            continue;
        }
        // What was placed there since the report will want the link too.
        let unseen = occupancy - f64::from(reported);
        view.link_ms += unseen * carried_kib * view.link_ms_per_kib;
        views.push(view);
        let id = peer.address.id.clone();
        candidates.push((Candidate::Peer(peer), id));
    }
    let shape = CallShape {
        carried_kib,
        aim_ms: millis(head.aim_us),
        left_ms: millis(head.left_us),
        is_served_at_home,
        goes_before: route.priority < shared.current_index().last_rank(),
    };
    let index = choose(&views, &shape, &settings.crossing_cost(), &mut rand::rng())?;
    let count = candidates.len();
    let (candidate, host) = candidates.swap_remove(index);
    Some(PickedTarget {
        candidate,
        host,
        view: views[index],
        candidates: count,
    })
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
    let run = usual.map_or_else(|| load.mean_run(), |usual| usual.at_pace(load.pace));
    Some(TargetView {
        in_zone,
        slots: load.slots,
        occupancy,
        run_ms: run.mean.as_secs_f64() * 1_000.0,
        spread_ms: run.spread.as_secs_f64() * 1_000.0,
        turn_ms: load.run_ms,
        ill_share: load.ill_share,
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
