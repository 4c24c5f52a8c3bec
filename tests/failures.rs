//! Failures of the thin path, each brought about in separate processes: the
//! platform going down, a bad version reaching the daemons, a target
//! leaving, a planned stop with calls in flight.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use filbert_standin::mesh::LocalMesh;
use filbert_standin::spec::MeshSpec;
use filbert_standin::target::{TargetHandle, TargetSpec};
use filbert_store::InjectedFaults;
use filbert_tree::BranchPath;
use support::{coop, eventually, get, status, DAEMON_EXE};

const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn zone_cut_off_from_the_platform_keeps_serving_its_other_hosts_targets() {
    // An installer fetches artwork through the daemon on a host that has no
    // artwork target of its own; the zone's only one is on another host. The
    // platform then goes down for longer than the target expiry. The daemon
    // must keep sending artwork calls to that target, which is still up,
    // and say in its status that the platform is unreachable.
    let mesh =
        LocalMesh::start(MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"]).zones(&["zone-a"]))
            .await;
    let artwork = TargetSpec {
        service: "artwork".to_owned(),
        daemon_admin_url: mesh.daemons[1].admin_url.clone(),
        delay: Duration::ZERO,
    };
    let _artwork = TargetHandle::start(&artwork, Arc::clone(&mesh.executions)).await;
    mesh.publish(1, &coop(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_WITHIN).await.is_some());
    let proxy = mesh.daemons[0].proxy_url.clone();
    let reachable = eventually(IN_FORCE_WITHIN, || async {
        get(&proxy, "north-signs", "/artwork/1").await.status() == 200
    })
    .await;
    assert!(reachable, "daemon 0 never learned of the artwork target");

    mesh.platform.store.set_faults(InjectedFaults {
        down: true,
        ..InjectedFaults::default()
    });
    // Past the mesh's 2 s target expiry.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let reply = get(&proxy, "north-signs", "/artwork/1").await;
    assert_eq!(
        reply.status(),
        200,
        "artwork lost while the platform is down"
    );
    let shown = status(&mesh.daemons[0]).await;
    assert_eq!(shown["platform_reachable"], false, "{shown}");
    assert_eq!(shown["applied"], 1, "{shown}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_version_reaching_the_daemons_is_rejected_whole() {
    // A version whose route names a service the member lacks reaches the
    // daemons without passing filbertctl. Every daemon must refuse it whole:
    // the previous version's routes keep working, its status names the
    // refused version, and a counter records it.
    let mesh = LocalMesh::start(MeshSpec::new(
        Path::new(DAEMON_EXE),
        &["quoting", "artwork"],
    ))
    .await;
    mesh.publish(1, &coop(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_WITHIN).await.is_some());
    let mut bad = coop();
    let stock = BranchPath::parse("site/north-signs/artwork/stock").expect("branch");
    bad.set(&stock, "service", "ghost").expect("edit");
    bad.set(&BranchPath::Site, "timeout_ms", "100")
        .expect("edit");
    mesh.publish(2, &bad, None).await;
    for daemon in &mesh.daemons {
        let refused = eventually(IN_FORCE_WITHIN, || async {
            status(daemon).await["rejected"][0] == 2
        })
        .await;
        assert!(refused, "{} did not refuse version 2", daemon.id);
        let shown = status(daemon).await;
        assert_eq!(shown["applied"], 1, "{shown}");
        assert_eq!(
            get(&daemon.proxy_url, "north-signs", "/stock/3")
                .await
                .status(),
            200
        );
        let rejected = daemon.counter("versions_rejected").await;
        assert_eq!(rejected, 1, "{}", daemon.id);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_target_gets_no_new_work_within_two_seconds() {
    // A quoting target announces that it is leaving. Within two seconds no
    // daemon of its zone may send it a new call; calls keep being answered by
    // the zone's other quoting targets.
    let mesh =
        LocalMesh::start(MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"]).zones(&["zone-a"]))
            .await;
    mesh.publish(1, &coop(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_WITHIN).await.is_some());
    let leaving = &mesh.targets[0];
    leaving.announce_leaving();
    tokio::time::sleep(Duration::from_secs(2)).await;
    for round in 0..20 {
        for daemon in &mesh.daemons {
            let reply = get(
                &daemon.proxy_url,
                "north-signs",
                &format!("/quotes/{round}"),
            )
            .await;
            assert_eq!(reply.status(), 200);
            let chosen = reply
                .headers()
                .get("x-filbert-target")
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned();
            assert_ne!(
                chosen, leaving.address,
                "{} sent new work to a leaving target",
                daemon.id
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop_lets_calls_in_flight_finish() {
    // An operator stops a daemon (SIGTERM) while a slow call is in flight
    // through it. The caller must still get the whole answer; the daemon
    // then exits.
    let spec = MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"])
        .zones(&["zone-a"])
        .daemons_per_zone(1)
        .target_delay(Duration::from_millis(800));
    let mut mesh = LocalMesh::start(spec).await;
    mesh.publish(1, &coop(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_WITHIN).await.is_some());
    let proxy = mesh.daemons[0].proxy_url.clone();
    let call = tokio::spawn(async move { get(&proxy, "north-signs", "/quotes/9").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stopped =
        tokio::task::block_in_place(|| mesh.daemons[0].terminate(Duration::from_secs(10)));
    let reply = call.await.expect("the call task ends");
    assert_eq!(reply.status(), 200);
    let answer: serde_json::Value = reply.json().await.expect("the whole answer");
    assert_eq!(answer["path"], "/quotes/9");
    assert!(stopped, "the daemon did not exit after SIGTERM");
}
