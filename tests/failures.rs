//! Failures of a mesh of separate processes: the platform goes down, an invalid
//! version reaches the daemons, a target leaves, and a daemon is stopped with
//! calls in flight.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use filbert_standin::mesh::LocalMesh;
use filbert_standin::spec::MeshSpec;
use filbert_standin::target::{TargetHandle, TargetSpec};
use filbert_store::InjectedFaults;
use filbert_tree::BranchPath;
use support::{eventually, example_tree, get, status, DAEMON_EXE};

/// Longest wait for a version to come into force on every daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn zone_keeps_calling_targets_on_other_hosts_while_the_platform_is_down() {
    // Artwork is called through the daemon of a host without an artwork target;
    // the zone's only one is on another host. The platform then goes down for
    // longer than the target expiry. The daemon must keep sending artwork calls
    // to the target, which is still up, and report in its status that the
    // platform is unreachable.
    let mesh =
        LocalMesh::start(MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"]).zones(&["zone-a"]))
            .await;
    let artwork = TargetSpec {
        service: "artwork".to_owned(),
        daemon_admin_url: mesh.daemons[1].admin_url.clone(),
        delay: Duration::ZERO,
    };
    let _artwork = TargetHandle::start(&artwork, Arc::clone(&mesh.executions)).await;
    mesh.publish(1, &example_tree(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_TIMEOUT).await.is_some());
    let proxy = mesh.daemons[0].proxy_url.clone();
    let reachable = eventually(IN_FORCE_TIMEOUT, || async {
        get(&proxy, "north-signs", "/artwork/1").await.status() == 200
    })
    .await;
    assert!(reachable, "daemon 0 never learned of the artwork target");

    mesh.platform.store.set_faults(InjectedFaults {
        down: true,
        ..InjectedFaults::default()
    });
    // Longer than the mesh's target expiry of 2 s.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let response = get(&proxy, "north-signs", "/artwork/1").await;
    assert_eq!(
        response.status(),
        200,
        "artwork target lost while the platform is down"
    );
    let shown = status(&mesh.daemons[0]).await;
    assert_eq!(shown["platform_reachable"], false, "{shown}");
    assert_eq!(shown["applied"], 1, "{shown}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_version_that_reaches_the_daemons_is_rejected_whole() {
    // A version with a route to a service that the member lacks reaches the
    // daemons without filbertctl's checks. Every daemon must reject the whole
    // version: the previous version's routes keep working, the daemon's status
    // names the rejected version, and a counter records the rejection.
    let mesh = LocalMesh::start(MeshSpec::new(
        Path::new(DAEMON_EXE),
        &["quoting", "artwork"],
    ))
    .await;
    mesh.publish(1, &example_tree(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_TIMEOUT).await.is_some());
    let mut invalid = example_tree();
    let stock = BranchPath::parse("site/north-signs/artwork/stock").expect("branch");
    invalid.set(&stock, "service", "ghost").expect("edit");
    invalid
        .set(&BranchPath::Site, "timeout_ms", "100")
        .expect("edit");
    mesh.publish(2, &invalid, None).await;
    for daemon in &mesh.daemons {
        let is_rejected = eventually(IN_FORCE_TIMEOUT, || async {
            status(daemon).await["rejected"][0] == 2
        })
        .await;
        assert!(is_rejected, "{} did not reject version 2", daemon.id);
        let shown = status(daemon).await;
        assert_eq!(shown["applied"], 1, "{shown}");
        assert_eq!(
            get(&daemon.proxy_url, "north-signs", "/stock/3")
                .await
                .status(),
            200
        );
        let rejections = daemon.counter("versions_rejected").await;
        assert_eq!(rejections, 1, "{}", daemon.id);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_target_gets_no_new_calls_after_two_seconds() {
    // A quoting target announces that it is leaving. Two seconds later, no daemon
    // of its zone may send it a new call any more, and the zone's other quoting
    // targets must still serve calls.
    let mesh =
        LocalMesh::start(MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"]).zones(&["zone-a"]))
            .await;
    mesh.publish(1, &example_tree(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_TIMEOUT).await.is_some());
    let leaving = &mesh.targets[0];
    leaving.announce_leaving();
    tokio::time::sleep(Duration::from_secs(2)).await;
    for round in 0..20 {
        for daemon in &mesh.daemons {
            let response = get(
                &daemon.proxy_url,
                "north-signs",
                &format!("/quotes/{round}"),
            )
            .await;
            assert_eq!(response.status(), 200);
            let chosen = response
                .headers()
                .get("x-filbert-target")
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned();
            assert_ne!(
                chosen, leaving.address,
                "{} sent a new call to a leaving target",
                daemon.id
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop_lets_calls_in_flight_finish() {
    // A daemon is stopped (SIGTERM) while a slow call is in flight through it. The
    // caller must still get the whole response, and the daemon must then exit.
    let spec = MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"])
        .zones(&["zone-a"])
        .daemons_per_zone(1)
        .target_delay(Duration::from_millis(800));
    let mut mesh = LocalMesh::start(spec).await;
    mesh.publish(1, &example_tree(), None).await;
    assert!(mesh.wait_until_applied(1, IN_FORCE_TIMEOUT).await.is_some());
    let proxy = mesh.daemons[0].proxy_url.clone();
    let call = tokio::spawn(async move { get(&proxy, "north-signs", "/quotes/9").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stopped =
        tokio::task::block_in_place(|| mesh.daemons[0].terminate(Duration::from_secs(10)));
    let response = call.await.expect("the call task ends");
    assert_eq!(response.status(), 200);
    let body: serde_json::Value = response.json().await.expect("the whole response");
    assert_eq!(body["path"], "/quotes/9");
    assert!(stopped, "the daemon did not exit after SIGTERM");
}
