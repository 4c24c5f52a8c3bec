//! Tests of the control reducer with entries of other writers, without I/O.

use filbert_daemon::clock::{Clock, SystemClock};
use filbert_daemon::control::{
    ControlEffect, ControlEvent, ControlSettings, ControlState, LeaseRow,
};
use filbert_daemon::messages::{RelayMessage, TargetChange};
use filbert_store::{LeaseRecord, TargetRecord};

/// A daemon that has opened a link to the relay, and the link's number.
fn linked_daemon() -> (ControlState, u64) {
    let settings = ControlSettings::new("a1", "zone-a", "127.0.0.1:1");
    let mut control = ControlState::new(settings, SystemClock.reading());
    let record = LeaseRecord {
        holder: "a2".to_owned(),
        incarnation: 1,
        token: 1,
        address: "127.0.0.1:2".to_owned(),
        renewed_at_ms: 0,
    };
    let row = Some(LeaseRow { version: 1, record });
    let effects = control.step(SystemClock.reading(), ControlEvent::LeaseRead { row });
    let link = effects.iter().find_map(|effect| match effect {
        ControlEffect::Connect { link, .. } => Some(*link),
        _ => None,
    });
    (control, link.expect("a link to the lease holder"))
}

fn target(address: &str) -> TargetRecord {
    TargetRecord {
        service: "quoting".to_owned(),
        address: address.to_owned(),
        zone: "zone-a".to_owned(),
        daemon: "a3".to_owned(),
        load: 0,
        leaving: false,
        heard_at_ms: u64::MAX,
    }
}

/// Guards against a target that another daemon passes on with an address to which no call can
/// be sent.
#[test]
fn passed_on_target_with_an_unusable_address_is_left_out() {
    let (mut control, link) = linked_daemon();
    let change = TargetChange {
        upserts: ["[h:80", "127.0.0.1:9001", "127.0.0.1:0"]
            .map(target)
            .into(),
        ..TargetChange::default()
    };
    let message = RelayMessage::Targets(change);
    let event = ControlEvent::RelayMessageReceived { link, message };
    control.step(SystemClock.reading(), event);
    assert_eq!(control.view().targets.get("quoting"), Some(&1));
}
