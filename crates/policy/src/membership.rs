//! Which hosts a daemon links to, and which daemons follow the store for
//! their availability zone.

use std::collections::{BTreeMap, BTreeSet};

use twox_hash::XxHash64;

/// A host as a daemon sees it when it plans its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostView<'a> {
    /// Its name.
    pub id: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The service of its target.
    pub service: &'a str,
    /// Whether links to it have failed of late.
    pub is_failing: bool,
    /// Whether its daemon said that it has lost the store.
    pub lost_store: bool,
}

/// How many links a daemon keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Targets of each service in the own zone. With ten to choose from the
    /// least loaded is about as good as the best of all.
    pub near: usize,
    /// Targets of each service altogether; those in other zones take what
    /// spills over, and all when the own zone has none.
    pub per_service: usize,
    /// Daemons of a zone that follow the store for all others there. Two, so
    /// that a change still comes at once when one of them dies.
    pub readers: usize,
    /// Services whose targets are linked to; with more of them in the fleet
    /// only those that were called of late. 270 services would be 4,320 links
    /// a daemon; calls from one host go to some ten.
    pub services: usize,
    /// Those and the ones that step in for readers that lost the store, at
    /// most. A store that is away for all is asked in vain by these only: with
    /// no such limit 69 hosts made 4,638 calls on a day with an outage of 8 s.
    pub most_readers: usize,
}

/// Services linked to unless settings say otherwise: up to here a fleet is so
/// small that being ready for all of them costs less than a first call that
/// waits for a link.
pub const DEFAULT_SERVICES: usize = 24;

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits {
            near: 10,
            per_service: 16,
            readers: 2,
            services: DEFAULT_SERVICES,
            most_readers: 4,
        }
    }
}

/// What a daemon links to and follows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Hosts to link to.
    pub links: BTreeSet<String>,
    /// Hosts of the own zone, this one left out, that follow the store.
    pub readers: BTreeSet<String>,
    /// Whether this daemon follows the store itself.
    pub is_reader: bool,
    /// Services that are not linked to until a call wants one.
    pub left_out: BTreeSet<String>,
}

/// Plans the links of the daemon on `own` among `others`, where `called` are
/// the services called of late, the latest first.
///
/// Load pattern: a fleet that grows. With a link from each daemon to each
/// other, links, pings and reports of load grow with the square of the fleet
/// (82 hosts: a day that takes half a minute to play was not done after two);
/// with a bounded choice each daemon has the same number at any size, about
/// 30 for two services.
///
/// Each daemon ranks hosts by a hash of both names (rendezvous hashing), so
/// choices are spread evenly, need no agreement, and change by one when one
/// host comes or goes. Hosts that do not answer do not count, so that as many
/// live ones are linked however many are gone for good; they stay in the plan
/// to be tried again.
#[must_use]
pub fn plan_links(
    own: &HostView<'_>,
    others: &[HostView<'_>],
    called: &[&str],
    limits: &LinkLimits,
) -> LinkPlan {
    let mut plan = LinkPlan::default();
    choose_readers(own, others, limits, &mut plan);
    let linked_to = choose_services(others, called, limits, &mut plan);
    let mut services: BTreeMap<&str, Vec<(bool, u64, &HostView<'_>)>> = BTreeMap::new();
    for host in others
        .iter()
        .filter(|host| linked_to.contains(host.service))
    {
        let rank = XxHash64::oneshot(seed_of(own.id), host.id.as_bytes());
        let entry = (host.zone != own.zone, rank, host);
        services.entry(host.service).or_default().push(entry);
    }
    for ranked in services.values_mut() {
        ranked.sort_unstable_by_key(|(is_far, rank, host)| (*is_far, *rank, host.id));
        let near = ranked.iter().take_while(|(is_far, ..)| !is_far).count();
        let (near_hosts, far_hosts) = ranked.split_at(near);
        let linked = take_live(near_hosts, limits.near, &mut plan.links);
        let far = limits.per_service.saturating_sub(linked);
        take_live(far_hosts, far, &mut plan.links);
    }
    plan
}

/// The services to link to: all while they are few, else those called of late.
fn choose_services<'a>(
    others: &[HostView<'a>],
    called: &[&str],
    limits: &LinkLimits,
    plan: &mut LinkPlan,
) -> BTreeSet<&'a str> {
    let mut services: BTreeSet<&str> = others.iter().map(|host| host.service).collect();
    if services.len() > limits.services {
        let kept = &called[..called.len().min(limits.services)];
        plan.left_out = services
            .iter()
            .filter(|service| !kept.contains(service))
            .map(|service| (*service).to_owned())
            .collect();
        services.retain(|service| kept.contains(service));
    }
    services
}

/// Adds hosts in the order of their rank until `most` live ones are among
/// them; the number of live ones.
fn take_live(
    ranked: &[(bool, u64, &HostView<'_>)],
    most: usize,
    links: &mut BTreeSet<String>,
) -> usize {
    /// Hosts tried for each live one wanted: bounds the dialing while a whole
    /// zone is away.
    const MOST_TRIED: usize = 3;
    let mut live = 0;
    for (_, _, host) in ranked.iter().take(most * MOST_TRIED) {
        if live == most {
            break;
        }
        links.insert(host.id.to_owned());
        live += usize::from(!host.is_failing);
    }
    live
}

/// The first of the zone by a hash of their names follow the store. All its
/// daemons come to the same choice but for what each knows of failures; a
/// difference costs a reader more, never one less.
fn choose_readers(
    own: &HostView<'_>,
    others: &[HostView<'_>],
    limits: &LinkLimits,
    plan: &mut LinkPlan,
) {
    let mut ranked: Vec<(u64, &HostView<'_>)> = others
        .iter()
        .filter(|host| host.zone == own.zone)
        .chain(std::iter::once(own))
        .map(|host| {
            let rank = XxHash64::oneshot(seed_of(own.zone), host.id.as_bytes());
            (rank, host)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, host)| (*rank, host.id));
    let mut live = 0;
    let mut linked = 0;
    for (_, host) in ranked {
        if live == limits.readers || linked == limits.most_readers {
            break;
        }
        if host.id == own.id {
            plan.is_reader = true;
        } else {
            plan.readers.insert(host.id.to_owned());
            plan.links.insert(host.id.to_owned());
        }
        live += usize::from(!host.is_failing && !host.lost_store);
        linked += usize::from(!host.is_failing);
    }
}

fn seed_of(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
