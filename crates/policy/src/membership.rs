//! Plans which hosts a daemon links to, and elects the daemons that distribute
//! the contents of the store: the sources query the store for the whole fleet,
//! and the readers of each availability zone relay what the sources send to the
//! daemons of the zone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use twox_hash::XxHash64;

/// A host as seen by the daemon that plans its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostView<'a> {
    /// Name of the host.
    pub id: &'a str,
    /// Availability zone of the host.
    pub zone: &'a str,
    /// Service of the host's target.
    pub service: &'a str,
    /// Whether the host's daemon responds.
    pub reachability: Reachability,
    /// Whether the host's daemon has reported that it lost the store.
    pub lost_store: bool,
    /// Whether the host's row is in the store. Registered hosts are preferred
    /// as readers and sources: a new host knows only a few others, and could
    /// otherwise rank itself first among all hosts.
    pub is_registered: bool,
}

/// Whether a host's daemon responds, as observed by a daemon linked to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// The daemon responds, or has not been contacted yet.
    #[default]
    Reachable,
    /// The link is up, but the daemon does not respond at present. The link is
    /// kept and counts as live; the daemon does not count as a working upstream.
    Unresponsive,
    /// Recent attempts to link to the daemon have failed.
    Unreachable,
}

/// Time after which a host that said hello counts as registered, although its row has
/// not been seen in the store. A row is written within two seconds, unless the store
/// is away.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the time from which a host counts as registered that said hello at `hello_at`
/// and whose row has not been seen in the store since.
#[must_use]
pub fn registered_from(hello_at: Instant) -> Instant {
    hello_at + REGISTRATION_TIMEOUT
}

/// Limits on the number of links that a daemon keeps, and on the number of
/// readers and sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Maximum number of live targets of each service linked to in the daemon's
    /// own zone. The least loaded of ten targets is about as good a choice as
    /// the best of all.
    pub per_service_in_zone: usize,
    /// Maximum number of live targets of each service linked to in all zones.
    /// Targets in other zones take the overflow, or all calls when the own zone
    /// has no target.
    pub per_service: usize,
    /// Wanted number of working readers in each zone, that is of reachable ones that
    /// have not lost the store. With two of them, a change still arrives without
    /// delay when one dies.
    pub readers: usize,
    /// Wanted number of working sources in the fleet. Two are needed because a
    /// stalled daemon is detected only after more than a second, which is too late
    /// for a version that has to be in force within two seconds.
    pub sources: usize,
    /// Maximum number of reachable sources, including those that have lost the
    /// store and those that replace them. With six, a store that rejects a third
    /// of the hosts rejects every source about once in a thousand cases.
    pub max_sources: usize,
    /// Maximum number of services linked to. In a fleet with more services, only
    /// recently called ones are linked to: 270 services would need 4,320 links
    /// per daemon, while the calls from one host go to about ten services.
    pub services: usize,
    /// Maximum number of reachable readers in a zone, including those that have
    /// lost the store and those that replace them.
    pub max_readers: usize,
    /// Whether readers link to the readers of the other zones.
    pub links_zone_readers: bool,
}

/// Default of [`LinkLimits::services`]. In a fleet with no more services than
/// this, links to all of them cost less than a first call that has to wait for
/// a link.
pub const DEFAULT_LINKED_SERVICES: usize = 24;

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits {
            per_service_in_zone: 10,
            per_service: 16,
            readers: 2,
            sources: 2,
            max_sources: 6,
            services: DEFAULT_LINKED_SERVICES,
            max_readers: 4,
            links_zone_readers: false,
        }
    }
}

/// The hosts that a daemon links to, and the daemons that keep it up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Hosts to link to.
    pub links: BTreeSet<String>,
    /// Hosts of the readers in the daemon's own zone, except its own host.
    pub readers: BTreeSet<String>,
    /// Whether this daemon is a reader.
    pub is_reader: bool,
    /// Hosts of the fleet's sources, except the daemon's own host. Empty unless
    /// this daemon is a reader.
    pub sources: BTreeSet<String>,
    /// Whether this daemon is a source.
    pub is_source: bool,
    /// Hosts of the readers of other zones. Empty unless this daemon is a reader and
    /// [`LinkLimits::links_zone_readers`] is set.
    pub zone_readers: BTreeSet<String>,
    /// Services that are not linked to until they are called.
    pub unlinked_services: BTreeSet<String>,
}

impl LinkPlan {
    /// The hosts whose daemons send this daemon the contents of the store: the
    /// sources if it is a reader, otherwise the readers of its zone.
    #[must_use]
    pub fn upstreams(&self) -> &BTreeSet<String> {
        if self.is_reader {
            &self.sources
        } else {
            &self.readers
        }
    }
}

/// Plans the links of the daemon on `own` to the hosts in `others`.
/// `recently_called` lists the services called recently, the latest first.
///
/// The number of links per daemon is bounded, about 30 for two services at any
/// fleet size. A full mesh makes links, pings and load reports grow with the
/// square of the fleet: with 82 hosts, a simulated day that normally takes half
/// a minute had not finished after two minutes.
///
/// Each daemon ranks hosts by a hash of both names (rendezvous hashing). This
/// spreads the links evenly, needs no coordination, and changes one link when
/// one host joins or leaves. Unreachable hosts do not count towards the limits,
/// so the number of live links does not depend on how many hosts are gone for
/// good; unreachable hosts stay in the plan so that they are retried.
#[must_use]
pub fn plan_links(
    own: &HostView<'_>,
    others: &[HostView<'_>],
    recently_called: &[&str],
    limits: &LinkLimits,
) -> LinkPlan {
    let mut plan = LinkPlan::default();
    choose_upstreams(own, others, limits, &mut plan);
    let linked_services = choose_services(others, recently_called, limits, &mut plan);
    let mut services: BTreeMap<&str, Vec<(bool, u64, &HostView<'_>)>> = BTreeMap::new();
    for host in others
        .iter()
        .filter(|host| linked_services.contains(host.service))
    {
        let rank = XxHash64::oneshot(hash_name(own.id), host.id.as_bytes());
        let entry = (host.zone != own.zone, rank, host);
        services.entry(host.service).or_default().push(entry);
    }
    for ranked in services.values_mut() {
        ranked.sort_unstable_by_key(|(is_remote, rank, host)| (*is_remote, *rank, host.id));
        let in_zone = ranked
            .iter()
            .take_while(|(is_remote, ..)| !is_remote)
            .count();
        let (zone_hosts, remote_hosts) = ranked.split_at(in_zone);
        let linked = link_live_hosts(zone_hosts, limits.per_service_in_zone, &mut plan.links);
        let remaining = limits.per_service.saturating_sub(linked);
        link_live_hosts(remote_hosts, remaining, &mut plan.links);
    }
    plan
}

/// Chooses the services to link to: all of them up to `limits.services`,
/// otherwise only the most recently called ones. Records the rest in
/// `plan.unlinked_services`.
fn choose_services<'a>(
    others: &[HostView<'a>],
    recently_called: &[&str],
    limits: &LinkLimits,
    plan: &mut LinkPlan,
) -> BTreeSet<&'a str> {
    let mut services: BTreeSet<&str> = others.iter().map(|host| host.service).collect();
    if services.len() > limits.services {
        let kept = &recently_called[..recently_called.len().min(limits.services)];
        plan.unlinked_services = services
            .iter()
            .filter(|service| !kept.contains(service))
            .map(|service| (*service).to_owned())
            .collect();
        services.retain(|service| kept.contains(service));
    }
    services
}

/// Adds hosts to `links` in rank order until `max_live` of them are live, that is
/// not [`Reachability::Unreachable`]. Returns the number of live hosts added.
fn link_live_hosts(
    ranked: &[(bool, u64, &HostView<'_>)],
    max_live: usize,
    links: &mut BTreeSet<String>,
) -> usize {
    /// Maximum number of hosts tried per live host wanted. Bounds the connection
    /// attempts while a whole zone is down.
    const MAX_TRIED_PER_LIVE_HOST: usize = 3;
    let mut live = 0;
    for (_, _, host) in ranked.iter().take(max_live * MAX_TRIED_PER_LIVE_HOST) {
        if live == max_live {
            break;
        }
        links.insert(host.id.to_owned());
        live += usize::from(host.reachability != Reachability::Unreachable);
    }
    live
}

/// Chooses the readers of the daemon's zone and, if the daemon is one of them,
/// the sources of the fleet.
///
/// Two sources query the store for the whole fleet, and the readers of every
/// zone get its contents from them. If each zone queried the store itself, the
/// number of calls would grow with the number of zones times the number of
/// versions.
///
/// Readers and sources are the first hosts in an order by a hash of the host's
/// name. All daemons compute the same order, so their choices differ only by
/// what each knows of failures. Such a difference costs the store a few more
/// calls, but never leaves a daemon without an upstream. The upstreams of a
/// daemon always precede it in the order, so updates cannot loop.
fn choose_upstreams(
    own: &HostView<'_>,
    others: &[HostView<'_>],
    limits: &LinkLimits,
    plan: &mut LinkPlan,
) {
    let mut ranked: Vec<(bool, u64, &HostView<'_>)> = others
        .iter()
        .chain(std::iter::once(own))
        .map(|host| {
            let rank = XxHash64::oneshot(UPSTREAM_SEED, host.id.as_bytes());
            (!host.is_registered, rank, host)
        })
        .collect();
    ranked.sort_unstable_by_key(|(is_unregistered, rank, host)| (*is_unregistered, *rank, host.id));
    let fleet = ranked.iter().map(|(.., host)| *host);
    let readers_of = |zone: &str| {
        let hosts = fleet.clone().filter(|host| host.zone == zone);
        select_upstreams(hosts, limits.readers, limits.max_readers)
    };
    let readers = readers_of(own.zone);
    (plan.is_reader, plan.readers) = remove_own(readers, own);
    plan.links.extend(plan.readers.iter().cloned());
    if plan.is_reader && limits.links_zone_readers {
        let zones: BTreeSet<&str> = others.iter().map(|host| host.zone).collect();
        let other_zones = zones.into_iter().filter(|zone| *zone != own.zone);
        plan.zone_readers = other_zones.flat_map(readers_of).collect();
        plan.links.extend(plan.zone_readers.iter().cloned());
    }
    if plan.is_reader {
        let sources = select_upstreams(fleet, limits.sources, limits.max_sources);
        (plan.is_source, plan.sources) = remove_own(sources, own);
        plan.links.extend(plan.sources.iter().cloned());
    }
}

/// Selects hosts in rank order until `wanted` of them are reachable and have the
/// store, or `max_reachable` of them are reachable.
///
/// An unregistered host is selected only if no host before it is reachable and
/// has the store: while a fleet starts, each host knows only one or two that
/// started earlier.
fn select_upstreams<'a>(
    ranked: impl Iterator<Item = &'a HostView<'a>>,
    wanted: usize,
    max_reachable: usize,
) -> BTreeSet<String> {
    let mut selected = BTreeSet::new();
    let mut working = 0;
    let mut reachable = 0;
    for host in ranked {
        if working == wanted || reachable == max_reachable || (working > 0 && !host.is_registered) {
            break;
        }
        selected.insert(host.id.to_owned());
        let is_reachable = host.reachability == Reachability::Reachable;
        working += usize::from(is_reachable && !host.lost_store);
        reachable += usize::from(is_reachable);
    }
    selected
}

/// Removes the host `own` from `hosts`. Returns whether it was among them, and
/// the other hosts.
fn remove_own(mut hosts: BTreeSet<String>, own: &HostView<'_>) -> (bool, BTreeSet<String>) {
    let has_own = hosts.remove(own.id);
    (has_own, hosts)
}

/// Hash seed of the order in which hosts become readers and sources.
const UPSTREAM_SEED: u64 = 0;

fn hash_name(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
