//! Which hosts a daemon links to, and who follows the store for a zone.

use std::collections::{BTreeMap, BTreeSet};

use filbert_policy::membership::{plan_links, HostView, LinkLimits, LinkPlan, Reachability};
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

/// `count` hosts over three zones, one in six beside a target of `art`.
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
    plan_calling(hosts, own, &[])
}

fn plan_calling(hosts: &[TestHost], own: usize, called: &[&str]) -> LinkPlan {
    let others: Vec<HostView<'_>> = hosts
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != own)
        .map(|(_, host)| host.view())
        .collect();
    plan_links(&hosts[own].view(), &others, called, &LinkLimits::default())
}

fn plans(hosts: &[TestHost]) -> Vec<LinkPlan> {
    (0..hosts.len()).map(|own| plan_of(hosts, own)).collect()
}

/// A fleet of the size aimed at starts. Were each daemon to link to each
/// other, links, pings and reports would grow with the square of the fleet.
#[rstest]
#[case::small(12, 11, 11)]
#[case::grown(82, 20, 34)]
#[case::large(300, 20, 34)]
#[case::aimed_at(2_300, 20, 34)]
fn a_daemons_links_do_not_grow_with_the_fleet(
    #[case] count: usize,
    #[case] least: usize,
    #[case] most: usize,
) {
    /// Hosts looked at: enough of the largest fleet.
    const LOOKED_AT: usize = 100;
    let hosts = fleet(count);
    for own in (0..count).step_by(count.div_ceil(LOOKED_AT)) {
        let plan = plan_of(&hosts, own);
        assert!((least..=most).contains(&plan.links.len()), "{plan:?}");
    }
}

/// A mesh of the size aimed at: 270 services on 2,300 hosts. A daemon must link
/// to the few that its callers use, not to all; those left out are named, so
/// that a call can ask for them.
#[test]
fn a_daemon_among_many_services_links_to_those_it_calls() {
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
    let plan = plan_calling(&hosts, 0, &["s7", "s9", "s200"]);
    let wanted = ["s7", "s9", "s200"];
    for host in &hosts {
        let is_wanted = wanted.contains(&host.service);
        let is_linked = plan.links.contains(&host.id) && !plan.readers.contains(&host.id);
        assert_eq!(is_linked, is_wanted, "{} of {}", host.id, host.service);
    }
    assert_eq!(plan.unlinked_services.len(), SERVICES - wanted.len());
}

/// More services are called than are linked to: the latest are kept.
#[test]
fn the_services_called_last_are_linked_to() {
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
    let most = LinkLimits::default().services;
    let plan = plan_calling(&hosts, 0, &called);
    for (place, service) in called.iter().enumerate() {
        assert_eq!(
            plan.unlinked_services.contains(*service),
            place >= most,
            "{service}"
        );
    }
}

/// Every target must be found by enough callers, none by so many that it is
/// herded upon: the links that lead to a target stay near their mean.
#[test]
fn links_spread_evenly_over_the_targets() {
    let hosts = fleet(300);
    let mut incoming: BTreeMap<String, usize> = BTreeMap::new();
    for plan in plans(&hosts) {
        for id in plan.links {
            *incoming.entry(id).or_default() += 1;
        }
    }
    for host in &hosts {
        let links = incoming.get(&host.id).copied().unwrap_or(0);
        let least = if host.service == "art" { 40 } else { 5 };
        assert!(links >= least, "{} has {links}", host.id);
    }
}

#[test]
fn most_links_stay_in_the_zone_and_some_leave_it() {
    let hosts = fleet(300);
    let zone_of: BTreeMap<&str, &str> = hosts.iter().map(|host| (&*host.id, host.zone)).collect();
    for own in 0..hosts.len() {
        let plan = plan_of(&hosts, own);
        let near = plan
            .links
            .iter()
            .filter(|id| zone_of[&***id] == hosts[own].zone)
            .count();
        assert!(near >= 20, "{near} near");
        assert!(
            plan.links.len() - near >= 8,
            "{near} near of {}",
            plan.links.len()
        );
    }
}

/// One host comes. Others must not drop the links they use: each changes one
/// at most, for each service and as a reader.
#[test]
fn a_newcomer_moves_few_links_and_is_linked_to() {
    let hosts = fleet(83);
    let before = plans(&hosts[..82]);
    let after = plans(&hosts);
    let mut found = 0;
    for (before, after) in before.iter().zip(&after) {
        let dropped = before.links.difference(&after.links).count();
        assert!(dropped <= 2, "{dropped} dropped");
        found += usize::from(after.links.contains("host-82"));
    }
    assert!(found >= 5, "{found} link to the newcomer");
}

/// A third of the hosts is gone for good and their rows are left. As many live
/// targets must be linked as before, and the dead be tried again.
#[test]
fn dead_hosts_take_no_place_among_the_links() {
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

/// One case of who follows the store.
struct ReaderCase {
    story: &'static str,
    /// Applied to the two daemons that follow it while all is well.
    spoil: fn(&mut TestHost),
    /// Daemons of the zone that follow it then.
    readers: usize,
}

#[test]
fn two_daemons_of_each_zone_follow_the_store_and_others_step_in() {
    let cases = [
        ReaderCase {
            story: "all is well",
            spoil: |_| {},
            readers: 2,
        },
        ReaderCase {
            story: "both died",
            spoil: |host| host.is_failing = true,
            readers: 4,
        },
        ReaderCase {
            story: "both were cut off from the store",
            spoil: |host| host.lost_store = true,
            readers: 4,
        },
    ];
    for case in cases {
        let mut hosts = fleet(82);
        let first: Vec<usize> = (0..82)
            .filter(|own| hosts[*own].zone == "a" && plan_of(&hosts, *own).is_reader)
            .collect();
        assert_eq!(first.len(), 2, "{}", case.story);
        for index in first {
            (case.spoil)(&mut hosts[index]);
        }
        let in_zone: Vec<usize> = (0..82).filter(|own| hosts[*own].zone == "a").collect();
        let readers: BTreeSet<&str> = in_zone
            .iter()
            .filter(|own| plan_of(&hosts, **own).is_reader)
            .map(|own| &*hosts[*own].id)
            .collect();
        assert_eq!(readers.len(), case.readers, "{}", case.story);
        for own in in_zone {
            let plan = plan_of(&hosts, own);
            let mut named: BTreeSet<&str> = plan.readers.iter().map(|id| &**id).collect();
            if plan.is_reader {
                named.insert(&hosts[own].id);
            }
            assert_eq!(named, readers, "{} on {}", case.story, hosts[own].id);
            assert!(plan.readers.is_subset(&plan.links), "{}", case.story);
        }
    }
}

/// One case of who asks the store for the fleet.
struct SourceCase {
    story: &'static str,
    /// Applied to the two daemons that ask it while all is well.
    spoil: fn(&mut TestHost),
    /// Daemons that ask it then, of those that answer.
    live: usize,
}

/// A fleet of three zones, and the two daemons that ask the store for it die or
/// lose the store. As many others must step in, whatever their zone; all must
/// come to the same choice, and none may follow one behind it.
#[test]
fn two_daemons_of_the_fleet_ask_the_store_and_others_step_in() {
    let cases = [
        SourceCase {
            story: "all is well",
            spoil: |_| {},
            live: 2,
        },
        SourceCase {
            story: "both died",
            spoil: |host| host.is_failing = true,
            live: 2,
        },
        SourceCase {
            story: "both were cut off from the store",
            spoil: |host| host.lost_store = true,
            live: 4,
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
        assert_eq!(first.len(), 2, "{}", case.story);
        for index in first {
            (case.spoil)(&mut hosts[index]);
        }
        let sources: BTreeSet<&str> = sources_of(&hosts)
            .into_iter()
            .map(|own| &*hosts[own].id)
            .collect();
        let live = hosts
            .iter()
            .filter(|host| sources.contains(&*host.id) && !host.is_failing)
            .count();
        assert_eq!(live, case.live, "{}", case.story);
        for (own, host) in hosts.iter().enumerate() {
            let plan = plan_of(&hosts, own);
            assert!(plan.sources.is_subset(&plan.links), "{}", case.story);
            assert!(plan.is_reader || plan.sources.is_empty());
            if plan.is_reader && !plan.is_source {
                let named: BTreeSet<&str> = plan.sources.iter().map(|id| &**id).collect();
                assert_eq!(named, sources, "{} on {}", case.story, host.id);
            }
        }
    }
}

/// The store is away for all. Only a few daemons of the fleet ask it in vain.
#[test]
fn a_lost_store_is_asked_by_a_few() {
    let mut hosts = fleet(300);
    for host in &mut hosts {
        host.lost_store = true;
    }
    let sources = plans(&hosts).iter().filter(|plan| plan.is_source).count();
    assert_eq!(sources, LinkLimits::default().most_sources);
}

/// A host comes that knows one other and is not in the table yet. It must leave
/// asking to that one, or each host of a fleet that starts would ask for all.
#[test]
fn a_host_without_a_row_leaves_asking_to_others() {
    let mut hosts = fleet(2);
    for host in &mut hosts {
        host.zone = "a";
    }
    hosts[1].is_registered = false;
    let newcomer = plan_of(&hosts, 1);
    assert!(!newcomer.is_reader && !newcomer.is_source);
    assert!(newcomer.readers.contains("host-0"));
    hosts[0].is_failing = true;
    let alone = plan_of(&hosts, 1);
    assert!(alone.is_reader && alone.is_source);
}
