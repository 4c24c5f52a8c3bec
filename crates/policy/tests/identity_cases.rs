//! Tests which calls have the same identity, and parsing of its text form.

use filbert_policy::identity::{CallIdentity, IdentityParts, ParseIdentityError};
use rstest::rstest;

const LOOKUP: IdentityParts<'static> = IdentityParts {
    method: "GET",
    host: "shop.example",
    target: "/read/a?b=c",
    caller: &["key-1"],
    body_prefix: b"",
    body_length: Some(0),
};

#[test]
fn retry_of_a_call_has_the_same_identity() {
    assert_eq!(CallIdentity::of(&LOOKUP), CallIdentity::of(&LOOKUP.clone()));
}

#[rstest]
#[case::method(IdentityParts { method: "POST", ..LOOKUP })]
#[case::host(IdentityParts { host: "other.example", ..LOOKUP })]
#[case::path(IdentityParts { target: "/read/b?b=c", ..LOOKUP })]
#[case::query(IdentityParts { target: "/read/a?b=d", ..LOOKUP })]
#[case::caller(IdentityParts { caller: &["key-2"], ..LOOKUP })]
#[case::body(IdentityParts { body_prefix: b"x", body_length: Some(1), ..LOOKUP })]
#[case::longer_body(IdentityParts { body_length: Some(100_000), ..LOOKUP })]
#[case::unknown_length(IdentityParts { body_length: None, ..LOOKUP })]
#[case::moved_border(IdentityParts { host: "shop.exampl", target: "e/read/a?b=c", ..LOOKUP })]
fn different_calls_have_different_identities(#[case] other: IdentityParts<'static>) {
    assert_ne!(CallIdentity::of(&LOOKUP), CallIdentity::of(&other));
}

#[test]
fn identity_round_trips_through_its_text() {
    let call = CallIdentity::of(&LOOKUP);
    assert_eq!(call.to_string().parse(), Ok(call));
}

#[rstest]
#[case("")]
#[case("0123")]
#[case("zz3456789abcdef00123456789abcdef")]
#[case("ä123456789abcdef0123456789abcde")]
fn malformed_text_is_rejected(#[case] text: &str) {
    assert_eq!(text.parse::<CallIdentity>(), Err(ParseIdentityError));
}
