//! The table's key layout, in one place.

/// Builds the keys this project keeps in the platform's table.
pub struct StoreKey;

impl StoreKey {
    /// The row holding the number of the version in force.
    pub const CURRENT: &'static str = "current";
    /// The row holding the operators' pending tree.
    pub const DRAFT: &'static str = "draft";

    /// Object store key of an accepted version; `nonce` makes it unique per
    /// accept attempt.
    #[must_use]
    pub fn version_object(number: u64, nonce: u64) -> String {
        format!("versions/{number:012}-{nonce:016x}")
    }

    /// Object store key of the steps to an accepted version from the one
    /// before; `nonce` is the version object's.
    #[must_use]
    pub fn delta_object(number: u64, nonce: u64) -> String {
        format!("deltas/{number:012}-{nonce:016x}")
    }

    /// Prefix of every zone's lease row.
    pub const LEASE_PREFIX: &'static str = "leases/";
    /// Prefix of every zone's digest row.
    pub const DIGEST_PREFIX: &'static str = "digests/";

    /// A zone's lease row.
    #[must_use]
    pub fn lease(zone: &str) -> String {
        format!("leases/{zone}")
    }

    /// A zone's digest row.
    #[must_use]
    pub fn digest(zone: &str) -> String {
        format!("digests/{zone}")
    }

    /// The row that records a member's keyed call, so that it runs at most once.
    #[must_use]
    pub fn call_claim(member: &str, key: &str) -> String {
        format!("calls/{member}/{key}")
    }

    /// Prefix of every daemon status row.
    pub const DAEMON_PREFIX: &'static str = "daemons/";

    /// A daemon's status row.
    #[must_use]
    pub fn daemon(zone: &str, id: &str) -> String {
        format!("daemons/{zone}/{id}")
    }

    /// Prefix of the target rows of one zone.
    #[must_use]
    pub fn zone_target_prefix(zone: &str) -> String {
        format!("targets/{zone}/")
    }

    /// A target's row.
    #[must_use]
    pub fn target(zone: &str, service: &str, address: &str) -> String {
        format!("targets/{zone}/{service}/{address}")
    }
}
