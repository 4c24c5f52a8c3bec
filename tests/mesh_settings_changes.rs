//! Tests of settings that change while a daemon runs: each key is followed, or refused by
//! name as one that takes a restart.

#[path = "support/users.rs"]
mod users;

use std::fs::OpenOptions;
use std::io::Write;
use std::time::Duration;

use filbert_platform_standin::{Client, Host, RouteSpec, StandinStore};
use filbert_standin::fault_proxy::{FaultMode, FaultProxy};
use nix::sys::signal::Signal;
use nix::sys::stat::Mode;
use nix::unistd::mkfifo;
use rstest::rstest;
use users::{eventually, eventually_logs, host_spec, publish, Fleet, WAIT_TIMEOUT};

/// Time within which a version must be in force.
const VERSION_TIMEOUT: Duration = Duration::from_secs(2);
const READ: &str = "GET /read/a HTTP/1.1";

/// Replaces `from` by `to` in the settings of `host`.
fn edit_settings(host: &Host, from: &str, to: &str) {
    let text = std::fs::read_to_string(&host.settings_path).expect("the settings");
    let edited = text.replace(from, to);
    assert_ne!(text, edited, "{from} is not in the settings");
    std::fs::write(&host.settings_path, edited).expect("written");
}

/// A change of one key, and what the daemon logs of it.
struct KeyChange {
    key: &'static str,
    from: &'static str,
    to: &'static str,
    is_followed: bool,
}

const fn change(
    key: &'static str,
    from: &'static str,
    to: &'static str,
    is_followed: bool,
) -> KeyChange {
    KeyChange {
        key,
        from,
        to,
        is_followed,
    }
}

/// A change of each key, in an order in which they can follow each other.
const KEY_CHANGES: [KeyChange; 31] = [
    change("id", "id = \"host\"", "id = \"other\"", false),
    change("zone", "zone = \"a\"", "zone = \"b\"", false),
    change("service", "service = \"quotes\"", "service = \"art\"", true),
    change(
        "target",
        "target = \"127",
        "target = \"127.0.0.1:1\" # \"",
        true,
    ),
    change(
        "store",
        "store = \"127",
        "store = \"127.0.0.1:1\" # \"",
        true,
    ),
    change(
        "first_start",
        "first_start = false",
        "first_start = true",
        true,
    ),
    change("zones", "zones = []", "zones = [\"a\"]", true),
    change(
        "listen.calls",
        "calls = \"127",
        "calls = \"127.0.0.1:1\" # \"",
        false,
    ),
    change(
        "listen.peers",
        "peers = \"127",
        "peers = \"127.0.0.1:1\" # \"",
        false,
    ),
    change(
        "listen.advertised",
        "advertised = \"127",
        "advertised = \"127.0.0.1:1\" # \"",
        true,
    ),
    change(
        "listen.ready",
        "ready = \"127",
        "ready = \"127.0.0.1:1\" # \"",
        false,
    ),
    change(
        "listen.control",
        "control = \"127",
        "control = \"127.0.0.1:1\" # \"",
        false,
    ),
    change(
        "listen.metrics",
        "metrics = \"127",
        "metrics = \"127.0.0.1:1\" # \"",
        false,
    ),
    change(
        "times.report_every",
        "report_every = \"300ms\"",
        "report_every = \"400ms\"",
        true,
    ),
    change(
        "times.drain",
        "drain = \"2000ms\"",
        "drain = \"2100ms\"",
        true,
    ),
    change("times.grace", "grace = \"6s\"", "grace = \"5s\"", true),
    change("retry.ratio", "ratio = 0.2", "ratio = 0.3", true),
    change("retry.slack", "slack = 60", "slack = 61", true),
    change("retry.window", "window = \"10s\"", "window = \"11s\"", true),
    change("rollout.share", "share = 0.2", "share = 0.3", true),
    change("rollout.slack", "slack = 20", "slack = 21", true),
    change("quota.slack", "slack = 1.0", "slack = 2.0", false),
    change("quota.window", "window = \"5s\"", "window = \"4s\"", false),
    change(
        "withdrawal.within",
        "within = \"5s\"",
        "within = \"6s\"",
        true,
    ),
    change("crossing.base", "base = 0.2", "base = 0.3", true),
    change("crossing.per_kib", "per_kib = 0.1", "per_kib = 0.2", true),
    change("crossing.most", "most = 0.8", "most = 0.7", true),
    change("link.mbps", "mbps = 900.0", "mbps = 800.0", true),
    change("link.services", "services = 20", "services = 21", true),
    change(
        "machine.memory_mb",
        "memory_mb = 100",
        "memory_mb = 200",
        true,
    ),
    change(
        "machine.descriptors",
        "descriptors = 900",
        "descriptors = 800",
        true,
    ),
];

/// Tables that the settings of a stand-in host lack.
const TABLES: &str = r#"
[rollout]
share = 0.2
slack = 20
[quota]
slack = 1.0
window = "5s"
[withdrawal]
within = "5s"
[crossing]
base = 0.2
per_kib = 0.1
most = 0.8
[link]
mbps = 900.0
services = 20
[machine]
memory_mb = 100
descriptors = 900
"#;

/// Guards against a key whose change is neither followed nor refused: each key of the
/// reference is changed in a running process.
#[tokio::test]
async fn each_changed_key_is_followed_or_refused_by_name() {
    const REFERENCE: &str = include_str!("../docs/RUNNING.md");
    let listed = REFERENCE
        .lines()
        .filter_map(|line| line.strip_prefix("| mesh `"))
        .filter_map(|line| line.split('`').next());
    for key in listed {
        let is_changed = KEY_CHANGES.iter().any(|change| change.key == key);
        assert!(is_changed, "`{key}` is not tested");
    }
    let store = StandinStore::start().await;
    publish(&store, 1, &[RouteSpec::reads("/read/", "quotes")]);
    let mut spec = host_spec(&store, "host", "a", "quotes");
    spec.tables = TABLES.to_owned();
    let host = Host::start(spec).await;
    assert!(eventually(WAIT_TIMEOUT, || host.is_ready()).await);
    for KeyChange {
        key,
        from,
        to,
        is_followed,
    } in KEY_CHANGES
    {
        let before = host.log().len();
        edit_settings(&host, from, to);
        host.signal(Signal::SIGHUP);
        let is_said = || async {
            let log = host.log().split_off(before);
            log.lines().any(|line| {
                if is_followed {
                    let keys = line.split(" keys=").nth(1).unwrap_or_default();
                    let mut keys = keys.split(',');
                    keys.any(|name| name == key)
                } else {
                    let name = line.split("event=reload_partial key=").nth(1);
                    let name = name.unwrap_or_default().split(' ').next();
                    name == Some(key)
                }
            })
        };
        assert!(
            eventually(WAIT_TIMEOUT, is_said).await,
            "{key}:\n{}",
            host.log().split_off(before)
        );
    }
}

/// Starts two hosts that reach the store at the address of a fault proxy.
async fn fleet_behind(proxy: &FaultProxy, store: StandinStore) -> Fleet {
    let mut hosts = Vec::new();
    for (name, service) in [("caller", "art"), ("quoter", "quotes")] {
        let mut spec = host_spec(&store, name, "a", service);
        spec.store = proxy.address;
        hosts.push(Host::start(spec).await);
    }
    let fleet = Fleet { store, hosts };
    fleet.wait_until_ready().await;
    fleet
}

/// Guards against a store that has moved and is not followed: the old version stayed in
/// force for good.
#[rstest]
#[case::old_address_answers(FaultMode::Forward)]
#[case::old_address_is_silent(FaultMode::Blackhole)]
#[case::old_address_refuses(FaultMode::Disconnect)]
#[tokio::test]
async fn a_moved_store_is_followed(#[case] old_address: FaultMode) {
    let store = StandinStore::start().await;
    publish(&store, 1, &[RouteSpec::reads("/read/", "quotes")]);
    let old = FaultProxy::start(store.address).await;
    let fleet = fleet_behind(&old, store).await;
    let new = FaultProxy::start(fleet.store.address).await;
    for (host, is_signalled) in fleet.hosts.iter().zip([true, false]) {
        edit_settings(host, &old.address.to_string(), &new.address.to_string());
        if is_signalled {
            host.signal(Signal::SIGHUP);
        }
    }
    for host in &fleet.hosts {
        assert!(
            eventually_logs(host, "event=store_moved").await,
            "{}",
            host.log()
        );
    }
    old.set_mode(old_address);
    publish(&fleet.store, 2, &[RouteSpec::reads("/moved/", "quotes")]);
    for host in &fleet.hosts {
        let is_in_force = || async {
            host.log()
                .contains("event=version_in_force version=00000002")
        };
        assert!(
            eventually(VERSION_TIMEOUT, is_in_force).await,
            "{}",
            host.log()
        );
    }
}

/// Guards against a daemon that leaves a store that answers for an address that does not.
#[rstest]
#[case::silent(FaultMode::Blackhole)]
#[case::refusing(FaultMode::Disconnect)]
#[tokio::test]
async fn a_new_address_that_never_answers_leaves_the_old_one(#[case] new_address: FaultMode) {
    let store = StandinStore::start().await;
    publish(&store, 1, &[RouteSpec::reads("/read/", "quotes")]);
    let old = FaultProxy::start(store.address).await;
    let fleet = fleet_behind(&old, store).await;
    let new = FaultProxy::start(fleet.store.address).await;
    new.set_mode(new_address);
    for host in &fleet.hosts {
        edit_settings(host, &old.address.to_string(), &new.address.to_string());
        host.signal(Signal::SIGHUP);
    }
    for host in &fleet.hosts {
        assert!(eventually_logs(host, "event=store_move_pending").await);
        let metrics = Client::once(host.metrics, "GET /metrics HTTP/1.1", &[], b"").await;
        let text = String::from_utf8(metrics.expect("metrics").body).expect("text");
        assert!(
            text.contains("filbert_settings_unfollowed_store 1"),
            "{text}"
        );
    }
    publish(&fleet.store, 2, &[RouteSpec::reads("/read/", "quotes")]);
    for host in &fleet.hosts {
        let is_in_force = || async {
            host.log()
                .contains("event=version_in_force version=00000002")
        };
        assert!(
            eventually(VERSION_TIMEOUT, is_in_force).await,
            "{}",
            host.log()
        );
    }
    new.set_mode(FaultMode::Forward);
    for host in &fleet.hosts {
        assert!(eventually_logs(host, "event=store_moved").await);
    }
    let answer = fleet.hosts[0].call(READ, "read-1", b"").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

/// Guards against a SIGHUP that ends a process which has just started, from the reading of its
/// settings until it is ready. The settings are a pipe at first, whose opening shows that the
/// process runs.
#[tokio::test]
async fn a_hangup_at_the_start_does_no_harm() {
    const HANGUPS: u32 = 20;
    let store = StandinStore::start().await;
    publish(&store, 1, &[RouteSpec::reads("/read/", "quotes")]);
    let mut host = Host::start(host_spec(&store, "host", "a", "quotes")).await;
    host.kill();
    let path = host.settings_path.clone();
    let file = path.with_extension("file");
    std::fs::rename(&path, &file).expect("renamed");
    let text = std::fs::read(&file).expect("the settings");
    mkfifo(&path, Mode::S_IRUSR | Mode::S_IWUSR).expect("a pipe");
    host.start_daemon();
    let opened = tokio::task::spawn_blocking({
        let path = path.clone();
        move || OpenOptions::new().write(true).open(path)
    });
    let mut pipe = opened.await.expect("no panic").expect("opened");
    host.signal(Signal::SIGHUP);
    // Later reads find a file.
    std::fs::rename(&file, &path).expect("renamed");
    let written = pipe.write_all(&text);
    drop(pipe);
    for _ in 0..HANGUPS {
        host.signal(Signal::SIGHUP);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let is_ready = eventually(WAIT_TIMEOUT, || host.is_ready()).await;
    assert!(is_ready && written.is_ok(), "{}", host.log());
}
