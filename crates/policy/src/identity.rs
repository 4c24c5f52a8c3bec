//! Identity of a call, independent of client retries, hosts and attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Length of an identity in bytes: long enough that two calls do not share an
/// identity by chance.
const IDENTITY_BYTES: usize = 16;

/// Identity of a call, derived from its request: all retries of a call have the
/// same identity, on every host.
///
/// The identity is a cryptographic hash, because callers may be competitors: no
/// caller can construct a call with the identity of another caller's call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallIdentity([u8; IDENTITY_BYTES]);

/// The parts of a request that its identity is computed from.
#[derive(Clone, Copy, Debug)]
pub struct IdentityParts<'a> {
    /// The request method.
    pub method: &'a str,
    /// The host name in the request.
    pub host: &'a str,
    /// The request target: path and query.
    pub target: &'a str,
    /// Values of the headers that identify the caller.
    pub caller: &'a [&'a str],
    /// The body, or the part of a long body that is read before the call is placed.
    pub body_prefix: &'a [u8],
    /// Length of the whole body in bytes; `None` if unknown.
    pub body_length: Option<u64>,
}

impl CallIdentity {
    /// Computes the identity of a call.
    #[must_use]
    pub fn of(parts: &IdentityParts<'_>) -> CallIdentity {
        let mut hasher = blake3::Hasher::new();
        let mut add = |part: &[u8]| {
            // The length prefix keeps bytes from moving between adjacent parts
            // without a change of the hash.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        };
        add(parts.method.as_bytes());
        add(parts.host.as_bytes());
        add(parts.target.as_bytes());
        for value in parts.caller {
            add(value.as_bytes());
        }
        let length = parts.body_length.unwrap_or(u64::MAX);
        add(&length.to_le_bytes());
        add(parts.body_prefix);
        let mut bytes = [0; IDENTITY_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..IDENTITY_BYTES]);
        CallIdentity(bytes)
    }
}

impl CallIdentity {
    /// A number from 0 to 1 that is evenly distributed over calls.
    #[must_use]
    pub fn fraction(self) -> f64 {
        let high = u32::from_le_bytes([self.0[0], self.0[1], self.0[2], self.0[3]]);
        f64::from(high) / f64::from(u32::MAX)
    }
}

impl fmt::Display for CallIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for CallIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CallIdentity({self})")
    }
}

/// Error for a text that is not an identity of 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdentityError;

impl fmt::Display for ParseIdentityError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a call identity: expected 32 hexadecimal digits, like the value of `call=` in the logs")
    }
}

impl std::error::Error for ParseIdentityError {}

impl FromStr for CallIdentity {
    type Err = ParseIdentityError;

    fn from_str(text: &str) -> Result<CallIdentity, ParseIdentityError> {
        if text.len() != 2 * IDENTITY_BYTES || !text.is_ascii() {
            return Err(ParseIdentityError);
        }
        let mut bytes = [0; IDENTITY_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseIdentityError)?;
        }
        Ok(CallIdentity(bytes))
    }
}
