//! Link planning, and the choice of the readers and sources of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbert_policy::membership::{
    plan_links, registered_from, HostView, LinkLimits, LinkPlan, Reachability,
};
use rstest::rstest;

const ZONES: [&str; 3] = ["a", "b", "c"];

struct TestHost {
    id: String,
    zone: &'static str,
    service: &'static str,
    is_failing: bool,
    lost_store: bool,
    is_registered: bool,
}

impl TestHost {
    fn view(&self) -> HostView<'_> {
        HostView {
            id: &self.id,
            zone: self.zone,
            service: self.service,
            reachability: if self.is_failing {
                Reachability::Unreachable
            } else {
                Reachability::Reachable
            },
            lost_store: self.lost_store,
            is_registered: self.is_registered,
        }
    }
}

/// Returns `count` hosts in three zones. The target of every sixth host serves
/// `art`, the others serve `quotes`.
fn fleet(count: usize) -> Vec<TestHost> {
    (0..count)
        .map(|number| TestHost {
            id: format!("host-{number}"),
            zone: ZONES[(number + number / 6) % ZONES.len()],
            service: if number % 6 == 5 { "art" } else { "quotes" },
            is_failing: false,
            lost_store: false,
            is_registered: true,
        })
        .collect()
}

fn plan_of(hosts: &[TestHost], own: usize) -> LinkPlan {
    plan_with_calls(hosts, own, &[])
}

fn plan_with_calls(hosts: &[TestHost], own: usize, recently_called: &[&str]) -> LinkPlan {
    let others: Vec<HostView<'_>> = hosts
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != own)
        .map(|(_, host)| host.view())
        .collect();
    plan_links(
        &hosts[own].view(),
        &others,
        recently_called,
        &LinkLimits::default(),
    )
}

fn plans(hosts: &[TestHost]) -> Vec<LinkPlan> {
    (0..hosts.len()).map(|own| plan_of(hosts, own)).collect()
}

/// Guards against links, pings and load reports that grow with the square of the
/// fleet, as they do when every daemon links to every other. The largest case is
/// the size that the system is designed for.
#[rstest]
#[case::small(12, 11, 11)]
#[case::medium(82, 20, 34)]
#[case::large(300, 20, 34)]
#[case::design_size(2_300, 20, 34)]
fn number_of_links_is_independent_of_fleet_size(
    #[case] count: usize,
    #[case] min_links: usize,
    #[case] max_links: usize,
) {
    /// Number of hosts whose plans are checked, a sample of larger fleets.
    const SAMPLED_HOSTS: usize = 100;
    let hosts = fleet(count);
    for own in (0..count).step_by(count.div_ceil(SAMPLED_HOSTS)) {
        let plan = plan_of(&hosts, own);
        assert!(
            (min_links..=max_links).contains(&plan.links.len()),
            "{plan:?}"
        );
    }
}

/// Guards against links to all services of a large mesh: 270 services on 2,300
/// hosts. A daemon links only to the services that its callers use, and lists the
/// others so that a call can request a link to them.
#[test]
fn only_called_services_are_linked_in_a_large_mesh() {
    const SERVICES: usize = 270;
    let names: Vec<String> = (0..SERVICES).map(|number| format!("s{number}")).collect();
    let names: &'static [String] = names.leak();
    let hosts: Vec<TestHost> = (0..2_300)
        .map(|number| TestHost {
            id: format!("host-{number}"),
            zone: ZONES[(number + number / SERVICES) % ZONES.len()],
            service: &names[number % SERVICES],
            is_failing: false,
            lost_store: false,
            is_registered: true,
        })
        .collect();
    let idle = plan_of(&hosts, 0);
    assert!(idle.links.len() <= 2, "{:?}", idle.links);
    assert_eq!(idle.unlinked_services.len(), SERVICES);
    let plan = plan_with_calls(&hosts, 0, &["s7", "s9", "s200"]);
    let called = ["s7", "s9", "s200"];
    for host in &hosts {
        let is_called = called.contains(&host.service);
        let is_linked = plan.links.contains(&host.id) && !plan.readers.contains(&host.id);
        assert_eq!(is_linked, is_called, "{} of {}", host.id, host.service);
    }
    assert_eq!(plan.unlinked_services.len(), SERVICES - called.len());
}

/// When more services are called than may be linked, the most recently called
/// ones are linked.
#[test]
fn most_recently_called_services_are_linked() {
    let names: Vec<String> = (0..60).map(|number| format!("s{number}")).collect();
    let names: &'static [String] = names.leak();
    let hosts: Vec<TestHost> = (0..120)
        .map(|number| TestHost {
            id: format!("host-{number}"),
            zone: "a",
            service: &names[number % names.len()],
            is_failing: false,
            lost_store: false,
            is_registered: true,
        })
        .collect();
    let called: Vec<&str> = names[1..].iter().map(String::as_str).collect();
    let max_services = LinkLimits::default().services;
    let plan = plan_with_calls(&hosts, 0, &called);
    for (position, service) in called.iter().enumerate() {
        assert_eq!(
            plan.unlinked_services.contains(*service),
            position >= max_services,
            "{service}"
        );
    }
}

/// Guards against targets that few daemons link to, while others attract most of
/// the callers. The test checks that each target has a minimum number of incoming
/// links.
#[test]
fn every_target_has_enough_incoming_links() {
    let hosts = fleet(300);
    let mut incoming: BTreeMap<String, usize> = BTreeMap::new();
    for plan in plans(&hosts) {
        for id in plan.links {
            *incoming.entry(id).or_default() += 1;
        }
    }
    for host in &hosts {
        let links = incoming.get(&host.id).copied().unwrap_or(0);
        let min_links = if host.service == "art" { 40 } else { 5 };
        assert!(links >= min_links, "{} has {links}", host.id);
    }
}

#[test]
fn most_links_are_in_the_own_zone_and_some_in_others() {
    let hosts = fleet(300);
    let zone_of: BTreeMap<&str, &str> = hosts.iter().map(|host| (&*host.id, host.zone)).collect();
    for own in 0..hosts.len() {
        let plan = plan_of(&hosts, own);
        let in_zone = plan
            .links
            .iter()
            .filter(|id| zone_of[&***id] == hosts[own].zone)
            .count();
        assert!(in_zone >= 20, "{in_zone} in the own zone");
        assert!(
            plan.links.len() - in_zone >= 8,
            "{in_zone} in the own zone of {}",
            plan.links.len()
        );
    }
}

/// Guards against daemons that drop links in use when a host joins. Each daemon
/// may replace one link per service and one to a reader.
#[test]
fn a_new_host_replaces_few_links_and_is_linked_to() {
    let hosts = fleet(83);
    let before = plans(&hosts[..82]);
    let after = plans(&hosts);
    let mut linked = 0;
    for (before, after) in before.iter().zip(&after) {
        let dropped = before.links.difference(&after.links).count();
        assert!(dropped <= 2, "{dropped} dropped");
        linked += usize::from(after.links.contains("host-82"));
    }
    assert!(linked >= 5, "{linked} link to the new host");
}

/// Guards against dead hosts that use up the limit on links: a third of the hosts
/// is gone for good, with their rows still in the store. As many live targets as
/// before must be linked, and dead hosts must stay in the plan to be retried.
#[test]
fn dead_hosts_do_not_count_towards_the_link_limits() {
    let mut hosts = fleet(82);
    for number in (0..82).step_by(3) {
        hosts[number].is_failing = true;
    }
    let dead: BTreeSet<&str> = hosts
        .iter()
        .filter(|host| host.is_failing)
        .map(|host| &*host.id)
        .collect();
    let plan = plan_of(&hosts, 1);
    let live = plan
        .links
        .iter()
        .filter(|id| !dead.contains(&***id))
        .count();
    assert!(live >= 16 + 9, "{live} live in {plan:?}");
    assert!(plan.links.iter().any(|id| dead.contains(&**id)));
}

/// A fault of the readers, and the expected number of readers.
struct ReaderCase {
    name: &'static str,
    /// Applied to the hosts of the two readers that are chosen without faults.
    inject_fault: fn(&mut TestHost),
    /// Expected number of readers in the zone under the fault.
    readers: usize,
}

#[test]
fn each_zone_has_two_readers_and_replaces_failed_ones() {
    let cases = [
        ReaderCase {
            name: "no fault",
            inject_fault: |_| {},
            readers: 2,
        },
        ReaderCase {
            name: "both unreachable",
            inject_fault: |host| host.is_failing = true,
            readers: 4,
        },
        ReaderCase {
            name: "both lost the store",
            inject_fault: |host| host.lost_store = true,
            readers: 4,
        },
    ];
    for case in cases {
        let mut hosts = fleet(82);
        let first: Vec<usize> = (0..82)
            .filter(|own| hosts[*own].zone == "a" && plan_of(&hosts, *own).is_reader)
            .collect();
        assert_eq!(first.len(), 2, "{}", case.name);
        for index in first {
            (case.inject_fault)(&mut hosts[index]);
        }
        let in_zone: Vec<usize> = (0..82).filter(|own| hosts[*own].zone == "a").collect();
        let readers: BTreeSet<&str> = in_zone
            .iter()
            .filter(|own| plan_of(&hosts, **own).is_reader)
            .map(|own| &*hosts[*own].id)
            .collect();
        assert_eq!(readers.len(), case.readers, "{}", case.name);
        for own in in_zone {
            let plan = plan_of(&hosts, own);
            let mut named: BTreeSet<&str> = plan.readers.iter().map(|id| &**id).collect();
            if plan.is_reader {
                named.insert(&hosts[own].id);
            }
            assert_eq!(named, readers, "{} on {}", case.name, hosts[own].id);
            assert!(plan.readers.is_subset(&plan.links), "{}", case.name);
        }
    }
}

/// A fault of the sources, and the expected number of reachable sources.
struct SourceCase {
    name: &'static str,
    /// Applied to the hosts of the two sources that are chosen without faults.
    inject_fault: fn(&mut TestHost),
    /// Expected number of reachable sources in the fleet under the fault.
    reachable: usize,
}

/// Guards against a fleet of three zones without a working source when both
/// sources die or lose the store. As many other daemons must replace them,
/// whatever their zone, and all readers must choose the same sources.
#[test]
fn the_fleet_has_two_sources_and_replaces_failed_ones() {
    let cases = [
        SourceCase {
            name: "no fault",
            inject_fault: |_| {},
            reachable: 2,
        },
        SourceCase {
            name: "both unreachable",
            inject_fault: |host| host.is_failing = true,
            reachable: 2,
        },
        SourceCase {
            name: "both lost the store",
            inject_fault: |host| host.lost_store = true,
            reachable: 4,
        },
    ];
    for case in cases {
        let mut hosts = fleet(82);
        let sources_of = |hosts: &[TestHost]| -> Vec<usize> {
            (0..hosts.len())
                .filter(|own| plan_of(hosts, *own).is_source)
                .collect()
        };
        let first = sources_of(&hosts);
        assert_eq!(first.len(), 2, "{}", case.name);
        for index in first {
            (case.inject_fault)(&mut hosts[index]);
        }
        let sources: BTreeSet<&str> = sources_of(&hosts)
            .into_iter()
            .map(|own| &*hosts[own].id)
            .collect();
        let reachable = hosts
            .iter()
            .filter(|host| sources.contains(&*host.id) && !host.is_failing)
            .count();
        assert_eq!(reachable, case.reachable, "{}", case.name);
        for (own, host) in hosts.iter().enumerate() {
            let plan = plan_of(&hosts, own);
            assert!(plan.sources.is_subset(&plan.links), "{}", case.name);
            assert!(plan.is_reader || plan.sources.is_empty());
            if plan.is_reader && !plan.is_source {
                let named: BTreeSet<&str> = plan.sources.iter().map(|id| &**id).collect();
                assert_eq!(named, sources, "{} on {}", case.name, host.id);
            }
        }
    }
}

/// Guards against a fleet in which every daemon becomes a source when the store is
/// unavailable to all of them.
#[test]
fn an_unavailable_store_is_queried_by_few_daemons() {
    let mut hosts = fleet(300);
    for host in &mut hosts {
        host.lost_store = true;
    }
    let sources = plans(&hosts).iter().filter(|plan| plan.is_source).count();
    assert_eq!(sources, LinkLimits::default().max_sources);
}

/// Guards against a reader that gives its place to hosts that have just said hello and
/// know no other host, and against hosts that never count as registered since the store
/// is away.
#[test]
fn a_host_that_said_hello_is_no_upstream_before_it_is_registered() {
    let hello_at = Instant::now();
    let row_written = hello_at + Duration::from_secs(2);
    assert!(registered_from(hello_at) > row_written);
    assert!(registered_from(hello_at) <= hello_at + Duration::from_secs(10));
    let mut hosts = fleet(40);
    for host in &mut hosts {
        host.zone = "a";
        host.is_registered = false;
    }
    let first = hosts.len() - 1;
    hosts[first].is_registered = true;
    let plan = plan_of(&hosts, first);
    assert!(plan.is_reader && plan.is_source && plan.readers.is_empty());
}

/// Guards against a starting fleet in which each host makes itself a source. A new
/// host that knows one other host and is not registered yet must leave the queries
/// to that host, unless it is unreachable.
#[test]
fn an_unregistered_host_is_source_only_without_others() {
    let mut hosts = fleet(2);
    for host in &mut hosts {
        host.zone = "a";
    }
    hosts[1].is_registered = false;
    let new_host = plan_of(&hosts, 1);
    assert!(!new_host.is_reader && !new_host.is_source);
    assert!(new_host.readers.contains("host-0"));
    hosts[0].is_failing = true;
    let alone = plan_of(&hosts, 1);
    assert!(alone.is_reader && alone.is_source);
}
