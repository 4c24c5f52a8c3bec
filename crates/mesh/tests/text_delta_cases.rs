//! Deltas between two texts of the configuration.

use filbert_mesh::text_delta::{TextDelta, WrongBase};
use proptest::prelude::*;

fn config(version: u64, routes: usize, changed: usize) -> Vec<u8> {
    let mut text = format!("{{\"version\":\"{version:08x}\",\"routes\":[").into_bytes();
    for route in 0..routes {
        let timeout = if route == changed { version } else { 1 };
        let entry = format!(
            "{{\"name\":\"r{route}\",\"host\":\"h{route}.example\",\"prefix\":\"/p{route}/\",\"timeout\":\"{timeout}s\"}},"
        );
        text.extend_from_slice(entry.as_bytes());
    }
    text.extend_from_slice(b"],\"services\":[]}");
    text
}

/// One of 1,600 routes changes. The full text is over 100 KB for every daemon;
/// the delta must take a few hundred bytes.
#[test]
fn a_changed_route_takes_a_few_hundred_bytes() {
    let before = config(7, 1_600, 0);
    let after = config(8, 1_600, 900);
    let delta = TextDelta::between(&before, &after);
    assert_eq!(delta.apply(&before).as_deref(), Ok(&*after));
    assert!(before.len() > 100_000);
    assert!(delta.approx_size() < 500, "{}", delta.approx_size());
}

/// A daemon has another text than the one that the delta was made for. Applying
/// the delta would yield a version that nobody published.
#[test]
fn a_delta_for_another_text_is_rejected() {
    let delta = TextDelta::between(&config(7, 20, 0), &config(8, 20, 3));
    assert_eq!(delta.apply(&config(7, 20, 1)), Err(WrongBase));
    assert_eq!(delta.apply(b""), Err(WrongBase));
}

proptest! {
    #[test]
    fn a_delta_reproduces_the_new_text(before in "[a-c}{]{0,60}", after in "[a-c}{]{0,60}") {
        let delta = TextDelta::between(before.as_bytes(), after.as_bytes());
        let out = delta.apply(before.as_bytes());
        prop_assert_eq!(out.as_deref(), Ok(after.as_bytes()));
    }
}
