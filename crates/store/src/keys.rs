//! Layout of the keys in the platform's table and object store.

use percent_encoding::{utf8_percent_encode, AsciiSet, CONTROLS};

/// Characters of an object's key that are escaped in the path of a URL.
const ESCAPED: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'[')
    .add(b'\\')
    .add(b']')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// The path of an object in the URL of a request. `None` for a key that no object has: an empty
/// one, and one with a segment `.` or `..`, which would lead to another path.
pub(crate) fn object_path(key: &str) -> Option<String> {
    let is_path = !key.is_empty() && key.split('/').all(|segment| !matches!(segment, "." | ".."));
    is_path.then(|| format!("/object/{}", utf8_percent_encode(key, ESCAPED)))
}

/// Builds the keys of table rows and stored objects.
pub struct StoreKey;

impl StoreKey {
    /// Key of the row that points to the version in force
    /// ([`CurrentPointer`](crate::CurrentPointer)).
    pub const CURRENT: &'static str = "current";
    /// Key of the row that holds the operators' pending tree.
    pub const DRAFT: &'static str = "draft";

    /// Key of the object that holds an accepted version. `nonce` makes the key
    /// unique to each attempt to accept a version.
    #[must_use]
    pub fn version_object(number: u64, nonce: u64) -> String {
        format!("versions/{number:012}-{nonce:016x}")
    }

    /// Key of the object that holds the delta from the previous version to
    /// version `number`. `nonce` is the same as in the key of the version object.
    #[must_use]
    pub fn delta_object(number: u64, nonce: u64) -> String {
        format!("deltas/{number:012}-{nonce:016x}")
    }

    /// Key prefix of the lease rows of all zones.
    pub const LEASE_PREFIX: &'static str = "leases/";
    /// Key prefix of the digest rows of all zones.
    pub const DIGEST_PREFIX: &'static str = "digests/";

    /// Key of the lease row of a zone ([`LeaseRecord`](crate::LeaseRecord)).
    #[must_use]
    pub fn lease(zone: &str) -> String {
        format!("leases/{zone}")
    }

    /// Key of the digest row of a zone ([`ZoneDigest`](crate::ZoneDigest)).
    #[must_use]
    pub fn digest(zone: &str) -> String {
        format!("digests/{zone}")
    }

    /// Key of the claim row of a member's call with the idempotency key `key`.
    /// The claim ensures that the call runs at most once.
    #[must_use]
    pub fn call_claim(member: &str, key: &str) -> String {
        format!("calls/{member}/{key}")
    }

    /// Key prefix of the status rows of all daemons.
    pub const DAEMON_PREFIX: &'static str = "daemons/";

    /// Key of the status row of a daemon ([`DaemonStatus`](crate::DaemonStatus)).
    #[must_use]
    pub fn daemon(zone: &str, id: &str) -> String {
        format!("daemons/{zone}/{id}")
    }

    /// Key prefix of the target rows of a zone.
    #[must_use]
    pub fn zone_target_prefix(zone: &str) -> String {
        format!("targets/{zone}/")
    }

    /// Key of the row of a target ([`TargetRecord`](crate::TargetRecord)).
    #[must_use]
    pub fn target(zone: &str, service: &str, address: &str) -> String {
        format!("targets/{zone}/{service}/{address}")
    }
}
