//! Which hosts a daemon links to, which daemons tell their availability zone
//! what lies in the store, and which ask the store for the whole fleet.

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
    /// Whether its daemon answers.
    pub reachability: Reachability,
    /// Whether its daemon said that it has lost the store.
    pub lost_store: bool,
    /// Whether its row is in the store. A host that just came and knows a few
    /// others only would take itself for the first of them all.
    pub is_registered: bool,
}

/// Whether a host's daemon answers, as far as one that links to it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It does, or was not asked yet.
    #[default]
    Reachable,
    /// It does not just now, over a link that stands. Its target is still
    /// linked to, but nobody waits to be told by it.
    Unresponsive,
    /// Links to it have failed of late.
    Unreachable,
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
    /// Daemons of a zone that tell all others there what lies in the store.
    /// Two, so that a change still comes at once when one of them dies.
    pub readers: usize,
    /// Daemons of the fleet that ask the store and tell the readers of all
    /// zones. Two for the same reason: one that stands still is noticed after
    /// a second and more, too late for a version that has two.
    pub sources: usize,
    /// Those and the ones that step in for sources that lost the store, at
    /// most. Where the store turns a third of the hosts away, all six are among
    /// them once in a thousand times.
    pub most_sources: usize,
    /// Services whose targets are linked to; with more of them in the fleet
    /// only those that were called of late. 270 services would be 4,320 links
    /// a daemon; calls from one host go to some ten.
    pub services: usize,
    /// Those and the ones that step in for readers that lost the store, at
    /// most.
    pub most_readers: usize,
}

/// Services linked to unless settings say otherwise: up to here a fleet is so
/// small that being ready for all of them costs less than a first call that
/// waits for a link.
pub const DEFAULT_LINKED_SERVICES: usize = 24;

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits {
            near: 10,
            per_service: 16,
            readers: 2,
            sources: 2,
            most_sources: 6,
            services: DEFAULT_LINKED_SERVICES,
            most_readers: 4,
        }
    }
}

/// What a daemon links to and follows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Hosts to link to.
    pub links: BTreeSet<String>,
    /// Hosts of the own zone, this one left out, that tell it what lies in the
    /// store.
    pub readers: BTreeSet<String>,
    /// Whether this daemon is one of them.
    pub is_reader: bool,
    /// Hosts, this one left out, that ask the store for the fleet; known to
    /// readers only.
    pub sources: BTreeSet<String>,
    /// Whether this daemon is one of them.
    pub is_source: bool,
    /// Services that are not linked to until a call wants one.
    pub unlinked_services: BTreeSet<String>,
}

impl LinkPlan {
    /// The hosts that tell this daemon what lies in the store: a reader is told
    /// by the sources, any other by the readers of its zone.
    #[must_use]
    pub fn upstreams(&self) -> &BTreeSet<String> {
        if self.is_reader {
            &self.sources
        } else {
            &self.readers
        }
    }
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
    choose_tellers(own, others, limits, &mut plan);
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
        plan.unlinked_services = services
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
        live += usize::from(host.reachability != Reachability::Unreachable);
    }
    live
}

/// Chooses the readers of the zone and, for one of them, the sources.
///
/// Load pattern: a fleet of many zones. Were each zone to ask the store by
/// itself, its calls would grow with the zones times the versions; two daemons
/// ask for all, and the readers of every zone are told by them.
///
/// Both are the first by one hash of their names, so all daemons come to the
/// same choice but for what each knows of failures; a difference costs the
/// store a few calls more, and never leaves anybody without. Whoever follows
/// follows daemons ahead of it in that order, so that nothing goes in circles.
fn choose_tellers(
    own: &HostView<'_>,
    others: &[HostView<'_>],
    limits: &LinkLimits,
    plan: &mut LinkPlan,
) {
    let mut ranked: Vec<(bool, u64, &HostView<'_>)> = others
        .iter()
        .chain(std::iter::once(own))
        .map(|host| {
            let rank = XxHash64::oneshot(TELLER_SEED, host.id.as_bytes());
            (!host.is_registered, rank, host)
        })
        .collect();
    ranked.sort_unstable_by_key(|(is_unlisted, rank, host)| (*is_unlisted, *rank, host.id));
    let fleet = ranked.iter().map(|(.., host)| *host);
    let zone = fleet.clone().filter(|host| host.zone == own.zone);
    let readers = take_tellers(zone, limits.readers, limits.most_readers);
    (plan.is_reader, plan.readers) = split_own(readers, own);
    plan.links.extend(plan.readers.iter().cloned());
    if plan.is_reader {
        let sources = take_tellers(fleet, limits.sources, limits.most_sources);
        (plan.is_source, plan.sources) = split_own(sources, own);
        plan.links.extend(plan.sources.iter().cloned());
    }
}

/// The first hosts until `wanted` of them answer and have the store, or `most`
/// of them answer. One whose row is not in the store yet is taken only where
/// there is no other: the hosts of a fleet that starts each know one or two
/// that came before them.
fn take_tellers<'a>(
    ranked: impl Iterator<Item = &'a HostView<'a>>,
    wanted: usize,
    most: usize,
) -> BTreeSet<String> {
    let mut taken = BTreeSet::new();
    let mut live = 0;
    let mut answering = 0;
    for host in ranked {
        if live == wanted || answering == most || (live > 0 && !host.is_registered) {
            break;
        }
        taken.insert(host.id.to_owned());
        let answers = host.reachability == Reachability::Reachable;
        live += usize::from(answers && !host.lost_store);
        answering += usize::from(answers);
    }
    taken
}

fn split_own(mut upstreams: BTreeSet<String>, own: &HostView<'_>) -> (bool, BTreeSet<String>) {
    let is_own = upstreams.remove(own.id);
    (is_own, upstreams)
}

/// Seed of the order in which daemons ask the store for others.
const TELLER_SEED: u64 = 0;

fn seed_of(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
