//! Tests of crowds at all hosts at once, while something else fails or is changed.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/mesh_crowd.rs"]
mod mesh_crowd;
#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use crowd::{raise_descriptor_limit, run_alone, Crowd, CrowdKind};
use filbert_platform_standin::{RouteSpec, StoreFault};
use mesh_crowd::{
    check_hosts, check_ordinary_call, widen_limits, AT_THE_TARGET, BODIES, CROWD_TIME, FLOOD,
    LONG_HEADS, OVER_A_LINK, SMALL_CALLS, SMALL_HOST_MIB, UPLOADS, USUAL_BOUNDS,
};
use nix::sys::signal::Signal;
use rstest::rstest;
use users::{fleet, two_host_fleet, Fleet, WAIT_TIMEOUT};

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(800);
/// Number of hosts with crowds that call one target.
const CALLERS: usize = 8;
/// How long a fault lasts.
const FAULT_TIME: Duration = Duration::from_millis(700);

/// What goes wrong, or is changed, while crowds press.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The daemon of the target is told to stop, and started again.
    Stop,
    /// The daemon of the target is killed, and started again.
    Kill,
    /// The daemon of the target stands still.
    Freeze,
    /// The target ends, and another instance starts.
    TargetLoss,
    StoreLoss,
    /// The settings of all daemons change.
    Reload,
}

/// Faults in the order in which they occur; a frozen daemon is told to stop soon after.
const SERIES: [Fault; 8] = [
    Fault::StoreLoss,
    Fault::TargetLoss,
    Fault::Freeze,
    Fault::Stop,
    Fault::Reload,
    Fault::Kill,
    Fault::Freeze,
    Fault::Stop,
];

impl Fault {
    /// Occurs once in `fleet`.
    async fn occur(self, fleet: &mut Fleet) {
        match self {
            Fault::Stop => {
                let host = &mut fleet.hosts[AT_THE_TARGET];
                host.signal(Signal::SIGTERM);
                assert!(host.exited_cleanly_within(WAIT_TIMEOUT).await, "no stop");
                host.start_daemon();
            }
            Fault::Kill => {
                fleet.hosts[AT_THE_TARGET].kill();
                fleet.hosts[AT_THE_TARGET].start_daemon();
            }
            Fault::Freeze => {
                fleet.hosts[AT_THE_TARGET].signal(Signal::SIGSTOP);
                tokio::time::sleep(FAULT_TIME).await;
                fleet.hosts[AT_THE_TARGET].signal(Signal::SIGCONT);
            }
            Fault::TargetLoss => {
                fleet.hosts[AT_THE_TARGET].replace_target(2).await;
            }
            Fault::StoreLoss => {
                fleet.store.set_fault(StoreFault::ResetsConnections);
                tokio::time::sleep(FAULT_TIME).await;
                fleet.store.set_fault(StoreFault::None);
            }
            Fault::Reload => reload_all(fleet),
        }
    }
}

/// Lowers the memory of the machine in the settings of all hosts and has them followed.
fn reload_all(fleet: &Fleet) {
    for host in &fleet.hosts {
        let path = &host.settings_path;
        let text = std::fs::read_to_string(path).expect("the settings");
        let text = format!("{text}\n[machine]\nmemory_mb = {SMALL_HOST_MIB}\n");
        std::fs::write(path, text).expect("written");
        host.signal(Signal::SIGHUP);
    }
}

/// Guards against a process that ends, hangs or exceeds its memory when crowds press on all hosts
/// and other things fail meanwhile.
#[rstest]
#[case::small_calls(400, SMALL_CALLS)]
#[case::bodies(100, BODIES)]
#[case::uploads(400, UPLOADS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_everywhere_do_not_take_a_process(
    #[case] connections: usize,
    #[case] kind: CrowdKind,
) {
    let _alone = run_alone().await;
    raise_descriptor_limit();
    let mut fleet = two_host_fleet("a").await;
    widen_limits(&fleet).await;
    let hosts = [OVER_A_LINK, AT_THE_TARGET];
    let crowds = hosts.map(|host| Crowd::start(fleet.hosts[host].calls, connections, kind));
    for fault in SERIES {
        tokio::time::sleep(FAULT_INTERVAL).await;
        println!("before {fault:?}");
        check_hosts(&fleet, USUAL_BOUNDS);
        fault.occur(&mut fleet).await;
    }
    tokio::time::sleep(CROWD_TIME).await;
    check_hosts(&fleet, USUAL_BOUNDS);
    for crowd in crowds {
        crowd.leave().await;
    }
    for host in hosts {
        check_ordinary_call(&fleet, host).await;
    }
    check_hosts(&fleet, USUAL_BOUNDS);
}

/// Guards against a target's host that holds the calls of crowds on many other hosts, each of
/// which is within its own bounds.
#[rstest]
#[case::bodies(150, FLOOD, 200)]
#[case::long_heads(150, LONG_HEADS, 200)]
#[case::uploads(300, UPLOADS, 200)]
#[case::long_answers(32, SMALL_CALLS, 1_000_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowds_on_many_hosts_do_not_take_the_target(
    #[case] connections: usize,
    #[case] kind: CrowdKind,
    #[case] answer_bytes: usize,
) {
    const TARGET: usize = 0;
    let _alone = run_alone().await;
    raise_descriptor_limit();
    let names: Vec<String> = (1..=CALLERS)
        .map(|number| format!("caller-{number}"))
        .collect();
    let callers = names.iter().map(|name| (name.as_str(), "a", "shop"));
    let hosts: Vec<(&str, &str, &str)> = [("quoter", "a", "quotes")]
        .into_iter()
        .chain(callers)
        .collect();
    let routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ];
    let fleet = fleet(&routes, &hosts).await;
    widen_limits(&fleet).await;
    check_ordinary_call(&fleet, 1).await;
    fleet.hosts[TARGET].target.set_body_bytes(answer_bytes);
    let addresses = fleet.hosts[1..].iter().map(|host| host.calls);
    let crowds: Vec<Crowd> = addresses
        .map(|address| Crowd::start(address, connections, kind))
        .collect();
    tokio::time::sleep(CROWD_TIME).await;
    check_hosts(&fleet, USUAL_BOUNDS);
    for crowd in crowds {
        crowd.leave().await;
    }
    check_ordinary_call(&fleet, TARGET).await;
    check_ordinary_call(&fleet, 1).await;
    check_hosts(&fleet, USUAL_BOUNDS);
}
