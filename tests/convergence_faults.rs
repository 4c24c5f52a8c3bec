//! An accepted version comes into force on every daemon and is never replaced by
//! an older one, while processes, links and the platform fail. Each case runs a
//! mesh of processes and checks the version history of every daemon at the end.

mod support;

use std::time::Duration;

use filbert_standin::fault_proxy::FaultMode;
use filbert_standin::mesh::LocalMesh;
use filbert_store::InjectedFaults;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    assert_no_version_regressions, eventually, example_tree_with_timeout, get, mesh_spec,
    relay_index, start_mesh_with_example, status, wait_until_applied_on, DAEMON_EXE, WAIT_TIMEOUT,
};

/// A fault in a mesh of two zones with four daemons each, which all have version 1
/// in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MeshFault {
    /// Every daemon of zone-a is killed and restarted at the same time.
    ZoneKilled,
    /// The relay of zone-a is killed and restarted only after the change.
    RelayKilled,
    /// The relay of zone-a is paused (SIGSTOP) for longer than its lease, then resumed.
    RelayFrozen,
    /// The platform refuses every request, then recovers.
    PlatformDown,
    /// Each platform response takes 400 ms.
    PlatformSlow,
    /// The next writes to the platform take effect, but their responses are lost.
    RepliesLost,
    /// Zone-a is cut off from the platform, then reconnected.
    ZoneCut,
    /// Every open connection to the platform goes silent without closing; new
    /// connections work.
    PlatformSilent,
    /// Every open link between daemons goes silent without closing; new links work.
    LinksSilent,
}

/// A fault and the daemons that get a change while it lasts.
struct FaultCase {
    fault: MeshFault,
    /// Daemons of zone-a that must have the change in force during the fault.
    updated: UpdatedDaemons,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdatedDaemons {
    /// All daemons of zone-a.
    All,
    /// All daemons of zone-a except its relay at the start of the fault.
    AllButRelay,
    /// None; every daemon of zone-a keeps the previous version.
    None,
}

async fn inject_fault(mesh: &mut LocalMesh, fault: MeshFault, relay: usize) {
    let set_faults = |mesh: &LocalMesh, faults| mesh.platform.store.set_faults(faults);
    match fault {
        MeshFault::ZoneKilled => {
            for daemon in mesh
                .daemons
                .iter_mut()
                .filter(|daemon| daemon.zone == "zone-a")
            {
                daemon.signal(Signal::SIGKILL);
            }
            for daemon in mesh
                .daemons
                .iter_mut()
                .filter(|daemon| daemon.zone == "zone-a")
            {
                daemon.kill();
                daemon.start(DAEMON_EXE.as_ref());
            }
        }
        MeshFault::RelayKilled => mesh.daemons[relay].kill(),
        MeshFault::RelayFrozen => mesh.daemons[relay].signal(Signal::SIGSTOP),
        MeshFault::PlatformDown => set_faults(
            mesh,
            InjectedFaults {
                down: true,
                ..InjectedFaults::default()
            },
        ),
        MeshFault::PlatformSlow => set_faults(
            mesh,
            InjectedFaults {
                delay_ms: 400,
                ..InjectedFaults::default()
            },
        ),
        MeshFault::RepliesLost => set_faults(
            mesh,
            InjectedFaults {
                lose_replies: 12,
                ..InjectedFaults::default()
            },
        ),
        MeshFault::ZoneCut => mesh.platform_fault_proxies["zone-a"].set_mode(FaultMode::Disconnect),
        MeshFault::PlatformSilent => {
            for fault_proxy in mesh.platform_fault_proxies.values() {
                fault_proxy.blackhole_open_connections();
            }
        }
        MeshFault::LinksSilent => {
            for fault_proxy in mesh
                .daemons
                .iter()
                .filter_map(|daemon| daemon.relay_fault_proxy.as_ref())
            {
                fault_proxy.blackhole_open_connections();
            }
        }
    }
    // Longer than the lease, the target expiry and the PING timeout.
    if matches!(
        fault,
        MeshFault::PlatformDown | MeshFault::ZoneCut | MeshFault::RelayFrozen
    ) {
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
}

fn clear_fault(mesh: &mut LocalMesh, fault: MeshFault, relay: usize) {
    match fault {
        MeshFault::RelayKilled => mesh.daemons[relay].start(DAEMON_EXE.as_ref()),
        MeshFault::RelayFrozen => mesh.daemons[relay].signal(Signal::SIGCONT),
        MeshFault::PlatformDown | MeshFault::PlatformSlow | MeshFault::RepliesLost => {
            mesh.platform.store.set_faults(InjectedFaults::default());
        }
        MeshFault::ZoneCut => mesh.platform_fault_proxies["zone-a"].set_mode(FaultMode::Forward),
        MeshFault::ZoneKilled | MeshFault::PlatformSilent | MeshFault::LinksSilent => {}
    }
}

#[rstest]
#[case::herd_killed(FaultCase { fault: MeshFault::ZoneKilled, updated: UpdatedDaemons::All })]
#[case::relay_killed(FaultCase { fault: MeshFault::RelayKilled, updated: UpdatedDaemons::AllButRelay })]
#[case::relay_frozen(FaultCase { fault: MeshFault::RelayFrozen, updated: UpdatedDaemons::AllButRelay })]
#[case::platform_down(FaultCase { fault: MeshFault::PlatformDown, updated: UpdatedDaemons::None })]
#[case::platform_slow(FaultCase { fault: MeshFault::PlatformSlow, updated: UpdatedDaemons::All })]
#[case::replies_lost(FaultCase { fault: MeshFault::RepliesLost, updated: UpdatedDaemons::All })]
#[case::zone_cut(FaultCase { fault: MeshFault::ZoneCut, updated: UpdatedDaemons::None })]
#[case::platform_silent(FaultCase { fault: MeshFault::PlatformSilent, updated: UpdatedDaemons::All })]
#[case::links_silent(FaultCase { fault: MeshFault::LinksSilent, updated: UpdatedDaemons::All })]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_comes_into_force_everywhere_despite_a_fault(#[case] case: FaultCase) {
    // An operator accepts a change while something in zone-a or at the platform
    // fails. Daemons that the change can reach have it in force during the fault;
    // the others keep serving the previous version. After the fault, the change
    // is in force everywhere, and no daemon has gone back to an older version,
    // restarts included.
    let mut mesh = start_mesh_with_example(
        mesh_spec(&["quoting"])
            .daemons_per_zone(4)
            .with_fault_proxies(),
    )
    .await;
    let relay = relay_index(&mesh, "zone-a")
        .await
        .expect("zone-a has a relay");
    inject_fault(&mut mesh, case.fault, relay).await;
    let published = case.fault != MeshFault::PlatformDown;
    if published {
        mesh.publish(2, &example_tree_with_timeout(1_900), None)
            .await;
    }

    let zone_a = 0..4;
    let updated: Vec<usize> = match case.updated {
        UpdatedDaemons::All => zone_a.clone().collect(),
        UpdatedDaemons::AllButRelay => zone_a.clone().filter(|index| *index != relay).collect(),
        UpdatedDaemons::None => Vec::new(),
    };
    assert!(
        wait_until_applied_on(&mesh, &updated, 2).await,
        "version 2 not in force during the fault"
    );
    if case.updated == UpdatedDaemons::None {
        for index in zone_a {
            let daemon = &mesh.daemons[index];
            assert_eq!(status(daemon).await["applied"], 1, "{}", daemon.id);
            let response = get(&daemon.proxy_url, "north-signs", "/quotes/1").await;
            assert_eq!(response.status(), 200, "{} stopped serving", daemon.id);
        }
    }

    clear_fault(&mut mesh, case.fault, relay);
    if !published {
        mesh.publish(2, &example_tree_with_timeout(1_900), None)
            .await;
    }
    let everywhere: Vec<usize> = (0..mesh.daemons.len()).collect();
    assert!(
        wait_until_applied_on(&mesh, &everywhere, 2).await,
        "version 2 not in force after the fault"
    );
    let has_relay = eventually(WAIT_TIMEOUT, || async {
        relay_index(&mesh, "zone-a").await.is_some()
    });
    assert!(has_relay.await, "zone-a has no relay");
    mesh.publish(3, &example_tree_with_timeout(1_800), None)
        .await;
    assert!(
        wait_until_applied_on(&mesh, &everywhere, 3).await,
        "version 3 not in force after the fault"
    );
    assert_no_version_regressions(&mesh);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restart_of_all_daemons_does_not_flood_the_platform() {
    // All 24 daemons of two zones are killed and restarted at the same time (a
    // thundering herd). Until each has the version again, the platform may serve
    // a few reads for each daemon and the polls of the relays, but not polls of
    // every daemon.
    let mut mesh = start_mesh_with_example(
        mesh_spec(&["quoting"])
            .daemons_per_zone(12)
            .target_hosts_per_zone(2),
    )
    .await;
    let before = mesh.platform.store.stats();
    for daemon in &mut mesh.daemons {
        daemon.signal(Signal::SIGKILL);
    }
    let started = std::time::Instant::now();
    for daemon in &mut mesh.daemons {
        daemon.kill();
        daemon.start(DAEMON_EXE.as_ref());
    }
    let everywhere: Vec<usize> = (0..mesh.daemons.len()).collect();
    assert!(
        wait_until_applied_on(&mesh, &everywhere, 1).await,
        "version 1 not in force after the restart"
    );
    let reads = mesh.platform.store.stats().since(before).total_reads();
    // Each relay polls ten times a second; while a zone has no relay, two of its
    // daemons may poll. Each daemon reads the lease a few times and `current`
    // once.
    let polls = started.elapsed().as_millis() / 100 * 2 * 2;
    let allowed = u64::try_from(polls).unwrap_or(u64::MAX) + 24 * 8;
    assert!(reads <= allowed, "{reads} reads, {allowed} allowed");
    assert_no_version_regressions(&mesh);
}
