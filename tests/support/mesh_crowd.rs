//! Crowds at the hosts of a fleet, and the checks of its daemons afterwards.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::time::Duration;

use filbert_platform_standin::{config_text, RouteSpec};

use crate::crowd::{check_usage, CrowdKind, UsageBounds};
use crate::users::{eventually, eventually_logs, Fleet, WAIT_TIMEOUT};

pub const READ: &str = "GET /read/a HTTP/1.1";
pub const HEADERS: &str = "Host: shop.example\r\nDeadline-Ms: 2000\r\n";
/// How long a crowd presses.
pub const CROWD_TIME: Duration = Duration::from_secs(5);
/// Descriptors of a daemon on the users' hosts.
pub const MAX_DESCRIPTORS: usize = 4_100;
/// Memory of the users' smallest hosts, in MiB.
pub const SMALL_HOST_MIB: u64 = 88;
/// Bounds of a daemon without settings of its machine.
pub const USUAL_BOUNDS: UsageBounds = UsageBounds::with_descriptors(MAX_DESCRIPTORS);

pub const SMALL_CALLS: CrowdKind = requests("GET /read/a", 0, 0);
pub const LONG_HEADS: CrowdKind = requests("GET /read/a", 15_000, 0);
pub const BODIES: CrowdKind = requests("POST /read/a", 0, 60_000);
pub const UNROUTED: CrowdKind = requests("GET /none/a", 15_000, 0);
pub const FLOOD: CrowdKind = CrowdKind::Flood {
    line: "POST /read/a",
    headers: HEADERS,
    body_bytes: 60_000,
};
pub const UPLOADS: CrowdKind = CrowdKind::Upload {
    line: "POST /order/a",
    headers: HEADERS,
    body_bytes: 64 * 1024 * 1024,
};

pub const fn requests(line: &'static str, field_bytes: usize, body_bytes: usize) -> CrowdKind {
    CrowdKind::Requests {
        line,
        headers: HEADERS,
        field_bytes,
        body_bytes,
    }
}

/// Host whose clients call the target on the host with index 1.
pub const OVER_A_LINK: usize = 0;
pub const AT_THE_TARGET: usize = 1;

/// Allows bodies of 64 MiB, the usual limit, and connections that are idle for two minutes.
pub async fn widen_limits(fleet: &Fleet) {
    let routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ];
    let mut text = String::from_utf8(config_text(2, &routes)).expect("JSON");
    for (usual, wide) in [
        (r#""body_bytes":1048576"#, r#""body_bytes":67108864"#),
        (r#""idle":"15s""#, r#""idle":"120s""#),
    ] {
        assert!(text.contains(usual));
        text = text.replace(usual, wide);
    }
    fleet.store.put("op", "config", text.as_bytes());
    for host in &fleet.hosts {
        assert!(eventually_logs(host, "event=version_in_force version=00000002").await);
    }
}

/// An ordinary client comes back until it has an answer of the target.
pub async fn check_ordinary_call(fleet: &Fleet, host: usize) {
    let host = &fleet.hosts[host];
    let is_answered = || async {
        let answer = host.call(READ, "ordinary", b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    };
    let name = &host.spec.name;
    assert!(
        eventually(WAIT_TIMEOUT, is_answered).await,
        "no answer at {name}"
    );
}

pub fn check_hosts(fleet: &Fleet, bounds: UsageBounds) {
    for host in &fleet.hosts {
        let pid = host.pid().expect("a process");
        check_usage(pid, &host.spec.name, bounds);
    }
}
