//! Tests of what may be a host: its names and its address.

use filbert_mesh::codec::names::{is_name, shortened, MAX_NAME_BYTES};
use filbert_mesh::messages::PeerAddress;
use filbert_mesh::MeshSettings;
use rstest::rstest;

/// Guards against names that make a second line of a log, or one of any length.
#[rstest]
#[case::usual("sidecar-burnaby-hall-1", true)]
#[case::letters("r\u{e9}seau", true)]
#[case::blank("burnaby hall", true)]
#[case::longest(&"n".repeat(MAX_NAME_BYTES), true)]
#[case::too_long(&"n".repeat(MAX_NAME_BYTES + 1), false)]
#[case::empty("", false)]
#[case::line_break("a\nb", false)]
#[case::zero("a\0", false)]
#[case::escape("\u{1b}[2J", false)]
fn a_name_is_short_and_printable(#[case] name: &str, #[case] is_valid: bool) {
    assert_eq!(is_name(name), is_valid);
}

/// Guards against a name that is cut inside a character, which panics.
#[rstest]
#[case::short("abc", 3)]
#[case::long(&"n".repeat(300), 255)]
#[case::wide(&"\u{1f980}".repeat(100), 252)]
fn a_long_name_is_shortened_between_characters(#[case] name: &str, #[case] bytes: usize) {
    assert_eq!(shortened(name), &name[..bytes]);
}

/// Guards against an entry that names no host and is dialed or elected.
#[rstest]
#[case::usual("one", "127.0.0.1:80", "a", "quotes", true)]
#[case::no_service("one", "127.0.0.1:80", "a", "", true)]
#[case::ipv6("one", "[::1]:80", "a", "quotes", true)]
#[case::no_port("one", "127.0.0.1", "a", "quotes", false)]
#[case::host_name("one", "localhost:80", "a", "quotes", false)]
#[case::no_id("", "127.0.0.1:80", "a", "quotes", false)]
#[case::no_zone("one", "127.0.0.1:80", "", "quotes", false)]
#[case::id_with_a_line_break("o\ne", "127.0.0.1:80", "a", "quotes", false)]
#[case::zone_with_a_line_break("one", "127.0.0.1:80", "\n", "quotes", false)]
#[case::long_service("one", "127.0.0.1:80", "a", &"s".repeat(256), false)]
fn a_host_has_names_and_an_address(
    #[case] id: &str,
    #[case] address: &str,
    #[case] zone: &str,
    #[case] service: &str,
    #[case] is_valid: bool,
) {
    let host = PeerAddress {
        id: id.to_owned(),
        address: address.to_owned(),
        zone: zone.to_owned(),
        service: service.to_owned(),
    };
    assert_eq!(host.check().is_ok(), is_valid);
}

/// Guards against a daemon that starts under a name that the others refuse.
#[rstest]
#[case::id("id = \"a\\nb\"\nzone = \"a\"\nservice = \"s\"", "line 1, key `id`")]
#[case::zone(
    "id = \"a\"\nzone = \"\\u001b\"\nservice = \"s\"",
    "line 2, key `zone`"
)]
#[case::service("id = \"a\"\nzone = \"a\"\nservice = \"\\n\"", "line 3, key `service`")]
#[case::empty("id = \"\"\nzone = \"a\"\nservice = \"s\"", "line 1, key `id`")]
fn settings_with_an_invalid_name_are_refused(#[case] names: &str, #[case] place: &str) {
    let text = format!(
        "{names}
target = \"127.0.0.1:1\"
store = \"127.0.0.1:2\"
[listen]
calls = \"127.0.0.1:3\"
peers = \"127.0.0.1:4\"
ready = \"127.0.0.1:5\"
control = \"127.0.0.1:6\"
[times]
report_every = \"300ms\"
drain = \"2s\"
grace = \"6s\"
[retry]
ratio = 0.2
slack = 60
window = \"10s\"
"
    );
    let report = MeshSettings::parse(&text).expect_err("refused");
    let message = report.current_context().to_string();
    assert!(message.starts_with(place), "{message}");
    assert!(message.contains("1 to 255 bytes"), "{message}");
}
