//! What a call is, whichever client's try, host or attempt brings it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Bytes of an identity: enough that two calls never share one by chance.
const BYTES: usize = 16;

/// Names a call by what its caller sends: two tries of one call have the same
/// identity, wherever they arrive.
///
/// A cryptographic hash, as callers are rivals: none can make a call that is
/// taken for another's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallIdentity([u8; BYTES]);

/// What an identity is made of.
#[derive(Clone, Copy, Debug)]
pub struct IdentityParts<'a> {
    /// The call's method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// Values of the headers that name its caller.
    pub caller: &'a [&'a str],
    /// The body, or as much of a long one as is read before the call is placed.
    pub body_prefix: &'a [u8],
    /// Length of the whole body in bytes, where it is known.
    pub body_length: Option<u64>,
}

impl CallIdentity {
    /// The identity of a call.
    #[must_use]
    pub fn of(parts: &IdentityParts<'_>) -> CallIdentity {
        let mut hasher = blake3::Hasher::new();
        let mut add = |part: &[u8]| {
            // Its length keeps a part from passing for the end of another.
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
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..BYTES]);
        CallIdentity(bytes)
    }
}

impl CallIdentity {
    /// A fraction, 0 to 1, that differs from call to call.
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

/// The text is not an identity: 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdentityError;

impl fmt::Display for ParseIdentityError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a call's identity: 32 hexadecimal digits, as `call=` in the logs")
    }
}

impl std::error::Error for ParseIdentityError {}

impl FromStr for CallIdentity {
    type Err = ParseIdentityError;

    fn from_str(text: &str) -> Result<CallIdentity, ParseIdentityError> {
        if text.len() != 2 * BYTES || !text.is_ascii() {
            return Err(ParseIdentityError);
        }
        let mut bytes = [0; BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseIdentityError)?;
        }
        Ok(CallIdentity(bytes))
    }
}
