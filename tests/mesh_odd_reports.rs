//! Tests of reports that no target sends, from another process at the control address of a host:
//! the live target goes on getting calls.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{Answer, Client, Host};
use rstest::rstest;
use users::{eventually, two_host_fleet, Fleet, WAIT_TIMEOUT};

/// How long calls are sent, to detect a fault that appears with a delay.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);
/// Longest log line about a report, in bytes.
const MAX_LINE_BYTES: usize = 1_000;
/// Length of a name that is none.
const LONG: usize = 4_000;
const NESTED: usize = 50_000;

/// What a report states, as JSON.
struct OddReport {
    address: String,
    software: String,
    slots: &'static str,
    sequence: &'static str,
    cold_left: &'static str,
    born: &'static str,
    /// Further members of the body, each behind a comma.
    more: String,
}

impl OddReport {
    /// A report as a target sends it.
    fn sound() -> OddReport {
        OddReport {
            address: "10.9.9.9:8080".to_owned(),
            software: "v1".to_owned(),
            slots: "9",
            sequence: "7",
            cold_left: "0ms",
            // Later than the start of any target.
            born: "9000000000000",
            more: String::new(),
        }
    }

    fn with_address(address: &str) -> OddReport {
        OddReport {
            address: address.to_owned(),
            ..OddReport::sound()
        }
    }

    fn with_software(software: String) -> OddReport {
        OddReport {
            software,
            ..OddReport::sound()
        }
    }

    fn with_more(more: String) -> OddReport {
        OddReport {
            more,
            ..OddReport::sound()
        }
    }

    fn body(&self) -> String {
        let OddReport {
            address,
            software,
            slots,
            sequence,
            cold_left,
            born,
            more,
        } = self;
        format!(
            r#"{{"addr":"{address}","info":{{"service":"quotes","version":"{software}","zone":"a","slots":{slots}}},"status":{{"state":"ready","sequence":{sequence},"cold_left":"{cold_left}"}},"born":{born}{more}}}"#
        )
    }
}

/// Reports of which each is odd in one place.
fn odd_reports() -> Vec<OddReport> {
    let addresses = [
        "10.9.9.9:65536",
        "10.9.9.9",
        "10.9.9.9 :80",
        "[10.9.9.9:80",
        "http://10.9.9.9:80/",
        "10.9.9.9:http",
        "::1:80:",
        "10.9:80",
        "10..9:80",
        "10.9.9.9:-1",
        "10.9.9.9:888888888888",
        "[::1%réseau]:",
        "10.9.9.9:0",
        "",
    ];
    let mut reports: Vec<OddReport> = addresses.map(OddReport::with_address).into();
    let sound = OddReport::sound;
    for slots in ["0", "-1", "4294967295", "4294967296", "1e999", "1.5"] {
        reports.push(OddReport { slots, ..sound() });
    }
    for number in ["18446744073709551616", "-1", "1e999"] {
        reports.push(OddReport {
            sequence: number,
            ..sound()
        });
        reports.push(OddReport {
            born: number,
            ..sound()
        });
    }
    for cold_left in ["1e300s", "-1s", "nans", "infs", "", "1e20s"] {
        reports.push(OddReport {
            cold_left,
            ..sound()
        });
    }
    reports.push(OddReport::with_software("v".repeat(LONG)));
    reports.push(OddReport::with_software(
        "v\\nlevel=error event=forged".to_owned(),
    ));
    reports.push(OddReport::with_software(String::new()));
    reports.push(OddReport::with_more(r#","weight":1e999"#.to_owned()));
    reports.push(OddReport::with_more(format!(
        r#","more":{}"#,
        "[".repeat(NESTED)
    )));
    let closed = NESTED / 2;
    let nested = format!(r#","more":{}{}"#, "[".repeat(closed), "]".repeat(closed));
    reports.push(OddReport::with_more(nested));
    reports
}

async fn put(host: &Host, id: &str, body: &str) -> Option<Answer> {
    let line = format!("PUT /instances/{id} HTTP/1.1");
    Client::once(host.control, &line, &[("Host", "host")], body.as_bytes()).await
}

/// Whether the target on host 1 answers every call of [`OBSERVATION_TIME`].
async fn check_calls(fleet: &Fleet, fault: &str) {
    let until = Instant::now() + OBSERVATION_TIME;
    while Instant::now() < until {
        let answer = fleet.hosts[0]
            .call("GET /read/a HTTP/1.1", "call", b"")
            .await;
        let status = answer.map(|answer| answer.status);
        assert_eq!(status, Some(200), "{fault}\n{}", fleet.hosts[1].log());
    }
}

fn check_log(host: &Host) {
    for line in host.log().lines() {
        assert!(line.len() <= MAX_LINE_BYTES, "{} bytes: {line}", line.len());
        assert!(line.starts_with("ts="), "{line}");
    }
}

/// Guards against an odd report that is taken for that of a new target, and closes the live one.
#[rstest]
#[case::another_id("i-odd")]
#[case::the_id_of_the_target("i-quoter-1")]
#[tokio::test]
async fn an_odd_report_does_not_take_the_place_of_the_target(#[case] id: &str) {
    let fleet = two_host_fleet("a").await;
    let host = &fleet.hosts[1];
    let mut taken = Vec::new();
    for report in odd_reports() {
        let body = report.body();
        let answer = put(host, id, &body).await;
        let shown: String = body.chars().take(200).collect();
        if answer.as_ref().is_none_or(|answer| answer.status != 400) {
            taken.push(format!("{:?}: {shown}", answer.map(|answer| answer.status)));
        }
    }
    assert!(taken.is_empty(), "{}", taken.join("\n"));
    check_calls(&fleet, "after all").await;
    check_log(host);
}

/// Guards against the same in the first report that a restarted daemon gets.
#[tokio::test]
async fn an_odd_report_is_not_the_first_of_a_restarted_daemon() {
    let mut fleet = two_host_fleet("a").await;
    for report in [
        OddReport::with_address("10.9.9.9:65536"),
        OddReport {
            slots: "4294967295",
            ..OddReport::sound()
        },
        OddReport::with_software("v".repeat(LONG)),
    ] {
        fleet.hosts[1].kill();
        fleet.hosts[1].start_daemon();
        let host = &fleet.hosts[1];
        let body = report.body();
        let is_refused = || async {
            let answer = put(host, "i-quoter-1", &body).await;
            answer.is_some_and(|answer| answer.status == 400)
        };
        assert!(eventually(WAIT_TIMEOUT, is_refused).await, "{}", host.log());
        let is_served = || async {
            let answer = fleet.hosts[0]
                .call("GET /read/a HTTP/1.1", "call", b"")
                .await;
            answer.is_some_and(|answer| answer.status == 200)
        };
        assert!(eventually(WAIT_TIMEOUT, is_served).await, "{}", host.log());
        check_calls(&fleet, &body[..100]).await;
    }
}

/// Guards against names that are kept, sent to all hosts and logged whatever their length.
#[rstest]
#[case::long(&"i".repeat(LONG))]
#[case::empty("")]
#[tokio::test]
async fn an_odd_id_is_refused(#[case] id: &str, #[values("PUT", "DELETE")] method: &str) {
    let fleet = two_host_fleet("a").await;
    let host = &fleet.hosts[1];
    let line = format!("{method} /instances/{id} HTTP/1.1");
    let body = match method {
        "PUT" => OddReport::sound().body(),
        _ => String::new(),
    };
    let answer = Client::once(host.control, &line, &[("Host", "host")], body.as_bytes()).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 400);
    assert!(!answer.body.is_empty());
    check_calls(&fleet, id).await;
    check_log(host);
}

/// Guards against a body that ends a connection without an answer.
#[tokio::test]
async fn a_body_that_is_too_long_is_answered() {
    let fleet = two_host_fleet("a").await;
    let nested = format!("{}{}", "[".repeat(NESTED), "]".repeat(NESTED));
    let answer = put(&fleet.hosts[1], "i-odd", &nested).await;
    assert_eq!(answer.map(|answer| answer.status), Some(413));
    check_calls(&fleet, "nested").await;
}
