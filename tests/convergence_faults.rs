//! An accepted version comes into force everywhere and never reverts, while
//! processes, links and the platform fail: one mesh of processes a case, and
//! the history of every proxy checked at the end.

mod support;

use std::time::Duration;

use filbert_standin::mesh::LocalMesh;
use filbert_standin::pipe::PipeMode;
use filbert_store::InjectedFaults;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    assert_never_backward, coop_with_timeout, eventually, get, in_force_on, leader_of,
    mesh_in_force, spec, status, DAEMON_EXE, WAIT_TIMEOUT,
};

/// A fault on a settled mesh of two zones with four daemons each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MeshFault {
    /// Every daemon of zone-a is killed at once; they return together.
    HerdKilled,
    /// The relay of zone-a is killed and returns only after the change.
    RelayKilled,
    /// The relay of zone-a is frozen past its lease and then resumed.
    RelayFrozen,
    /// The platform refuses everything, then returns.
    PlatformDown,
    /// Each platform answer takes 400 ms.
    PlatformSlow,
    /// Replies to the next writes are lost after they took effect.
    RepliesLost,
    /// Zone-a is cut off from the platform, then joined again.
    ZoneCut,
    /// Every connection to the platform goes silent; new ones work.
    PlatformSilent,
    /// Every link between daemons goes silent; new ones work.
    LinksSilent,
}

/// What a case expects while its fault lasts.
struct FaultCase {
    fault: MeshFault,
    /// Daemons of zone-a that must get the change during the fault.
    reached: Reached,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reached {
    /// All of zone-a.
    All,
    /// All of zone-a but its relay at the start.
    Others,
    /// None of zone-a; they keep the version they have.
    None,
}

async fn begin(mesh: &mut LocalMesh, fault: MeshFault, relay: usize) {
    let switch = |mesh: &LocalMesh, switches| mesh.platform.store.set_faults(switches);
    match fault {
        MeshFault::HerdKilled => {
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
        MeshFault::PlatformDown => switch(
            mesh,
            InjectedFaults {
                down: true,
                ..InjectedFaults::default()
            },
        ),
        MeshFault::PlatformSlow => switch(
            mesh,
            InjectedFaults {
                delay_ms: 400,
                ..InjectedFaults::default()
            },
        ),
        MeshFault::RepliesLost => switch(
            mesh,
            InjectedFaults {
                lose_replies: 12,
                ..InjectedFaults::default()
            },
        ),
        MeshFault::ZoneCut => mesh.platform_pipes["zone-a"].set_mode(PipeMode::Cut),
        MeshFault::PlatformSilent => {
            for pipe in mesh.platform_pipes.values() {
                pipe.silence_open();
            }
        }
        MeshFault::LinksSilent => {
            for pipe in mesh
                .daemons
                .iter()
                .filter_map(|daemon| daemon.link_pipe.as_ref())
            {
                pipe.silence_open();
            }
        }
    }
    // Past the lease, the target expiry and the PING timeout.
    if matches!(
        fault,
        MeshFault::PlatformDown | MeshFault::ZoneCut | MeshFault::RelayFrozen
    ) {
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
}

fn end(mesh: &mut LocalMesh, fault: MeshFault, relay: usize) {
    match fault {
        MeshFault::RelayKilled => mesh.daemons[relay].start(DAEMON_EXE.as_ref()),
        MeshFault::RelayFrozen => mesh.daemons[relay].signal(Signal::SIGCONT),
        MeshFault::PlatformDown | MeshFault::PlatformSlow | MeshFault::RepliesLost => {
            mesh.platform.store.set_faults(InjectedFaults::default());
        }
        MeshFault::ZoneCut => mesh.platform_pipes["zone-a"].set_mode(PipeMode::Pass),
        MeshFault::HerdKilled | MeshFault::PlatformSilent | MeshFault::LinksSilent => {}
    }
}

#[rstest]
#[case::herd_killed(FaultCase { fault: MeshFault::HerdKilled, reached: Reached::All })]
#[case::relay_killed(FaultCase { fault: MeshFault::RelayKilled, reached: Reached::Others })]
#[case::relay_frozen(FaultCase { fault: MeshFault::RelayFrozen, reached: Reached::Others })]
#[case::platform_down(FaultCase { fault: MeshFault::PlatformDown, reached: Reached::None })]
#[case::platform_slow(FaultCase { fault: MeshFault::PlatformSlow, reached: Reached::All })]
#[case::replies_lost(FaultCase { fault: MeshFault::RepliesLost, reached: Reached::All })]
#[case::zone_cut(FaultCase { fault: MeshFault::ZoneCut, reached: Reached::None })]
#[case::platform_silent(FaultCase { fault: MeshFault::PlatformSilent, reached: Reached::All })]
#[case::links_silent(FaultCase { fault: MeshFault::LinksSilent, reached: Reached::All })]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_holds_everywhere_through_a_fault(#[case] case: FaultCase) {
    // Something fails in zone-a (or at the platform) and an operator accepts
    // a change meanwhile. Daemons the change can reach get it during the
    // fault, the others keep serving what they have; after the fault it is in
    // force everywhere, and no proxy ever went back, restarts included.
    let mut mesh = mesh_in_force(spec(&["quoting"]).daemons_per_zone(4).piped()).await;
    let relay = leader_of(&mesh, "zone-a")
        .await
        .expect("zone-a has a relay");
    begin(&mut mesh, case.fault, relay).await;
    let published = case.fault != MeshFault::PlatformDown;
    if published {
        mesh.publish(2, &coop_with_timeout(1_900), None).await;
    }

    let zone_a = 0..4;
    let reached: Vec<usize> = match case.reached {
        Reached::All => zone_a.clone().collect(),
        Reached::Others => zone_a.clone().filter(|index| *index != relay).collect(),
        Reached::None => Vec::new(),
    };
    assert!(in_force_on(&mesh, &reached, 2).await, "not in force during");
    if case.reached == Reached::None {
        for index in zone_a {
            let daemon = &mesh.daemons[index];
            assert_eq!(status(daemon).await["applied"], 1, "{}", daemon.id);
            let reply = get(&daemon.proxy_url, "north-signs", "/quotes/1").await;
            assert_eq!(reply.status(), 200, "{} stopped serving", daemon.id);
        }
    }

    end(&mut mesh, case.fault, relay);
    if !published {
        mesh.publish(2, &coop_with_timeout(1_900), None).await;
    }
    let everywhere: Vec<usize> = (0..mesh.daemons.len()).collect();
    assert!(
        in_force_on(&mesh, &everywhere, 2).await,
        "not in force after"
    );
    let led = eventually(WAIT_TIMEOUT, || async {
        leader_of(&mesh, "zone-a").await.is_some()
    });
    assert!(led.await, "zone-a has no relay");
    mesh.publish(3, &coop_with_timeout(1_800), None).await;
    assert!(
        in_force_on(&mesh, &everywhere, 3).await,
        "the next change is stuck"
    );
    assert_never_backward(&mesh);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn herds_return_does_not_flood_the_platform() {
    // All 24 daemons of two zones die at once and come back together. Once
    // each has the version again, the platform has served a few reads for
    // each of them and the relays' polls, not a poll of every daemon.
    let mut mesh = mesh_in_force(spec(&["quoting"]).daemons_per_zone(12).target_hosts(2)).await;
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
        in_force_on(&mesh, &everywhere, 1).await,
        "not back in force"
    );
    let reads = mesh.platform.store.stats().since(before).total_reads();
    // Each relay polls ten times a second; two daemons of a zone may poll
    // while it has no relay. Each daemon reads the lease a few times and
    // `current` once.
    let polls = started.elapsed().as_millis() / 100 * 2 * 2;
    let allowed = u64::try_from(polls).unwrap_or(u64::MAX) + 24 * 8;
    assert!(reads <= allowed, "{reads} reads, {allowed} allowed");
    assert_never_backward(&mesh);
}
