//! What the daemon beside a target makes of a call that came over a link.

use std::time::Duration;

use filbert_http1::BodyFraming;
use filbert_mesh::messages::CallHead;
use filbert_policy::identity::{CallIdentity, IdentityParts};
use rstest::rstest;

fn head() -> CallHead {
    CallHead {
        id: "call-1".to_owned(),
        identity: CallIdentity::of(&IdentityParts {
            method: "POST",
            host: "shop.example",
            target: "/order/a",
            caller: &[],
            body_prefix: b"",
            body_length: None,
        }),
        service: "quotes".to_owned(),
        method: "POST".to_owned(),
        target: "/order/a".to_owned(),
        lines: Vec::new(),
        body_length: None,
        has_body: false,
        deadline_us: 900_000,
        soft_deadline_us: 100_000,
        priority: 1,
        answer_bytes: 0,
        kind: "r-1".to_owned(),
        expected_run_time: None,
        organisation: None,
    }
}

/// Guards against a target that is handed more time than is left, because a call's body
/// was long on its way.
#[test]
fn time_on_the_way_counts_against_the_deadlines() {
    let mut call = head();
    call.count_elapsed(Duration::from_millis(300));
    assert_eq!((call.deadline_us, call.soft_deadline_us), (600_000, 0));
}

/// Guards against a body whose framing differs from what its sender stated.
#[rstest]
#[case(false, None, BodyFraming::Empty)]
#[case(false, Some(5), BodyFraming::Empty)]
#[case(true, Some(0), BodyFraming::Length(0))]
#[case(true, Some(5), BodyFraming::Length(5))]
#[case(true, None, BodyFraming::Chunked)]
fn the_framing_follows_from_what_the_sender_states(
    #[case] has_body: bool,
    #[case] body_length: Option<u64>,
    #[case] framing: BodyFraming,
) {
    let call = CallHead {
        has_body,
        body_length,
        ..head()
    };
    assert_eq!(call.body_framing(), framing);
}
