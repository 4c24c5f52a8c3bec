//! Link plans beside many hosts of another writer at whose addresses nobody is.

use filbert_policy::membership::{plan_links, HostView, LinkLimits, LinkPlan, Reachability};
use rstest::rstest;

const SERVICE: &str = "quotes";
/// Number of hosts that exist, beside the one that plans.
const LIVE: usize = 4;
/// Links that a daemon of a fleet of this size may hold open or dial.
const MAX_LINKS: usize = 100;

fn view(id: &str, reachability: Reachability) -> HostView<'_> {
    HostView {
        id,
        zone: "a",
        service: SERVICE,
        reachability,
        lost_store: false,
        is_registered: true,
    }
}

fn plan_beside(ghosts: usize) -> LinkPlan {
    let live: Vec<String> = (0..LIVE).map(|number| format!("host-{number}")).collect();
    let gone: Vec<String> = (0..ghosts).map(|number| format!("g{number}")).collect();
    let others: Vec<HostView<'_>> = live
        .iter()
        .map(|id| view(id, Reachability::Reachable))
        .chain(gone.iter().map(|id| view(id, Reachability::Unreachable)))
        .collect();
    let limits = LinkLimits::default();
    plan_links(&view("own", Reachability::Reachable), &others, &[], &limits)
}

/// Guards against hosts that do not exist and take the places of all targets of a service.
#[rstest]
#[case::few(20)]
#[case::many(300)]
#[case::a_page(1_000)]
fn hosts_that_do_not_exist_keep_no_target_from_its_link(#[case] ghosts: usize) {
    let plan = plan_beside(ghosts);
    let linked = (0..LIVE).filter(|number| plan.links.contains(&format!("host-{number}")));
    assert_eq!(linked.count(), LIVE);
}

/// Guards against a daemon that dials every host that does not exist, again and again.
#[rstest]
#[case::few(20)]
#[case::many(300)]
#[case::a_page(1_000)]
fn links_to_hosts_that_do_not_exist_are_bounded(#[case] ghosts: usize) {
    let plan = plan_beside(ghosts);
    assert!(plan.links.len() <= MAX_LINKS, "{}", plan.links.len());
}
