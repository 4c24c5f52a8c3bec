//! The grammar of addresses.

use filbert_store::{check_target_address, parse_relay_address, AddressFault};

use AddressFault::{BadHost, BadPort, NoPort, NotAnIpAddress};

/// An address, and what is wrong with it as that of a target and of a relay.
struct AddressCase {
    text: &'static str,
    target: Option<AddressFault>,
    relay: Option<AddressFault>,
}

const fn refused(text: &'static str, fault: AddressFault) -> AddressCase {
    AddressCase {
        text,
        target: Some(fault),
        relay: Some(fault),
    }
}

const fn taken(text: &'static str) -> AddressCase {
    AddressCase {
        text,
        target: None,
        relay: None,
    }
}

const fn name(text: &'static str) -> AddressCase {
    AddressCase {
        text,
        target: None,
        relay: Some(NotAnIpAddress),
    }
}

const CASES: &[AddressCase] = &[
    taken("127.0.0.1:80"),
    taken("127.0.0.1:65535"),
    taken("[::1]:8080"),
    taken("[::ffff:127.0.0.1]:1"),
    name("localhost:80"),
    name("quotes-1.zone_a.example:8080"),
    name("quotes.example.:8080"),
    name("1a.2b:80"),
    refused("", NoPort),
    refused("   ", NoPort),
    refused("127.0.0.1", NoPort),
    refused("[[[[", NoPort),
    refused("127.0.0.1:", BadPort),
    refused("127.0.0.1:0", BadPort),
    refused("127.0.0.1:70000", BadPort),
    refused("127.0.0.1:+80", BadPort),
    refused("127.0.0.1:-1", BadPort),
    refused("127.0.0.1:000080", BadPort),
    refused("127.0.0.1: 80", BadPort),
    refused("h:http", BadPort),
    refused("http://127.0.0.1:80/", BadPort),
    refused("127.0.0.1:80\n", BadPort),
    refused("127.0.0.1:80/a", BadPort),
    refused("http://127.0.0.1:80", BadHost),
    refused("user@127.0.0.1:80", BadHost),
    refused(" 127.0.0.1:80", BadHost),
    refused("127.0.0.1\n:80", BadHost),
    refused(":80", BadHost),
    refused(".:80", BadHost),
    refused("a..b:80", BadHost),
    refused("-a:80", BadHost),
    refused("a-.b:80", BadHost),
    refused("réseau:80", BadHost),
    refused("127.1:80", BadHost),
    refused("256.0.0.1:80", BadHost),
    refused("0x7f000001:80", BadHost),
    refused("1.2.3.0x:80", BadHost),
    refused("::1:80", BadHost),
    refused("[::1:80", BadHost),
    refused("[h:80", BadHost),
    refused("[h]:80", BadHost),
    refused("[::1%1]:80", BadHost),
    refused("[::1]]:80", BadHost),
];

/// Guards against a place that takes an address to which no connection can be opened.
#[test]
fn an_address_is_a_host_and_a_port() {
    for case in CASES {
        let text = case.text;
        assert_eq!(check_target_address(text).err(), case.target, "{text:?}");
        assert_eq!(parse_relay_address(text).err(), case.relay, "{text:?}");
    }
}

/// Guards against a name that is longer than any.
#[test]
fn a_name_has_a_longest_length() {
    let label = "a".repeat(63);
    let longest = format!("{label}.{label}.{label}.{}", "a".repeat(61));
    assert_eq!(check_target_address(&format!("{longest}:80")), Ok(()));
    let cases = [format!("{longest}a:80"), format!("{label}a:80")];
    for text in cases {
        assert_eq!(check_target_address(&text), Err(BadHost), "{text}");
    }
    let brackets = "[".repeat(30_000);
    assert_eq!(check_target_address(&format!("{brackets}:1")), Err(BadHost));
}
