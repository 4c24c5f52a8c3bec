//! Tests of the control reducer with entries of other writers, without I/O.

use std::sync::Arc;

use filbert_daemon::clock::{Clock, SystemClock};
use filbert_daemon::control::{
    ControlEffect, ControlEvent, ControlSettings, ControlState, LeaseRow,
};
use filbert_daemon::messages::{RelayMessage, TargetChange, VersionUpdate};
use filbert_store::{LeaseRecord, TargetRecord};
use filbert_tree::{SettingsTree, VersionRecord};
use rstest::rstest;

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

fn version(number: u64) -> VersionRecord {
    let text = include_str!("../../../examples/coop.toml");
    VersionRecord {
        number,
        parent: number - 1,
        restores: None,
        parent_object: None,
        tree: SettingsTree::from_toml(text).expect("example parses"),
    }
}

/// What follows the named version 7 while the relay has version 6, and what is applied then.
struct NamedCase {
    then: fn() -> ControlEvent,
    applied: u64,
}

/// Guards against a restarted daemon that goes back to an older version of its relay, and
/// against one that waits for a version which the store does not have.
#[rstest]
#[case::found(NamedCase { then: || ControlEvent::VersionFetched { record: Arc::new(version(7)), bytes: 1 }, applied: 7 })]
#[case::missing(NamedCase { then: || ControlEvent::ObjectUnusable { number: 7, is_whole: true }, applied: 6 })]
#[case::delta_missing(NamedCase { then: || ControlEvent::ObjectUnusable { number: 7, is_whole: false }, applied: 0 })]
#[case::another_missing(NamedCase { then: || ControlEvent::ObjectUnusable { number: 5, is_whole: true }, applied: 0 })]
#[case::mended(NamedCase { then: || named(6), applied: 6 })]
#[case::unreadable(NamedCase { then: || ControlEvent::CurrentUnreadable, applied: 6 })]
#[case::named_again(NamedCase { then: || named(7), applied: 0 })]
fn version_below_the_named_one_waits_for_it(#[case] case: NamedCase) {
    let (mut control, link) = linked_daemon();
    let mut step = |event| control.step(SystemClock.reading(), event);
    step(named(7));
    let update = VersionUpdate::Full(version(6));
    let message = RelayMessage::Version(update);
    step(ControlEvent::RelayMessageReceived { link, message });
    step((case.then)());
    assert_eq!(control.applied(), case.applied);
}

/// A read of the `current` row that names version `number`.
fn named(number: u64) -> ControlEvent {
    ControlEvent::CurrentRead {
        number,
        object: String::new(),
        delta: None,
    }
}
