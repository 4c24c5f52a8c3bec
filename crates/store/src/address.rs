//! The grammar of the addresses that targets and daemons give: `HOST:PORT`.
//!
//! HOST is an IPv4 address, an IPv6 address in brackets without a zone, or a DNS name in its
//! ASCII form. PORT is a number from 1 to 65535. Relays are named by an IP address only.

use std::fmt;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

/// Maximum length of a DNS name, in bytes.
const MAX_NAME_BYTES: usize = 253;
/// Maximum length of a label of a DNS name, in bytes.
const MAX_LABEL_BYTES: usize = 63;
/// Number of digits of the highest port.
const MAX_PORT_DIGITS: usize = 5;

/// Why no connection can be opened to an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressFault {
    /// There is no colon between a host and a port.
    NoPort,
    /// The port is not a number from 1 to 65535.
    BadPort,
    /// The host is neither an IP address nor a DNS name.
    BadHost,
    /// The host is a DNS name where an IP address is needed.
    NotAnIpAddress,
}

impl fmt::Display for AddressFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            AddressFault::NoPort => "it has no port; HOST:PORT is expected",
            AddressFault::BadPort => "its port is not a number from 1 to 65535",
            AddressFault::BadHost => "its host is neither an IP address nor a DNS name",
            AddressFault::NotAnIpAddress => "its host is not an IP address",
        })
    }
}

impl std::error::Error for AddressFault {}

/// Checks the address of a target.
///
/// # Errors
/// An [`AddressFault`] if no call can be sent to the address.
pub fn check_target_address(text: &str) -> Result<(), AddressFault> {
    let (host, port) = text.rsplit_once(':').ok_or(AddressFault::NoPort)?;
    check_port(port)?;
    let is_host = match host.strip_prefix('[') {
        Some(rest) => rest
            .strip_suffix(']')
            .is_some_and(|ip| ip.parse::<Ipv6Addr>().is_ok()),
        None => host.parse::<Ipv4Addr>().is_ok() || is_dns_name(host),
    };
    is_host.then_some(()).ok_or(AddressFault::BadHost)
}

/// Decodes the address of a relay port.
///
/// # Errors
/// An [`AddressFault`] if no link can be opened to the address.
pub fn parse_relay_address(text: &str) -> Result<SocketAddr, AddressFault> {
    check_target_address(text)?;
    text.parse().map_err(|_| AddressFault::NotAnIpAddress)
}

fn check_port(text: &str) -> Result<(), AddressFault> {
    let is_number = text.len() <= MAX_PORT_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    let port: u16 = text.parse().map_err(|_| AddressFault::BadPort)?;
    (is_number && port > 0)
        .then_some(())
        .ok_or(AddressFault::BadPort)
}

/// Whether `host` can be a DNS name. One dot may end it. A name whose last label is a number
/// is none: URLs read it as an IPv4 address in another notation.
fn is_dns_name(host: &str) -> bool {
    let name = host.strip_suffix('.').unwrap_or(host);
    let last = name.rsplit('.').next().unwrap_or_default();
    name.len() <= MAX_NAME_BYTES && name.split('.').all(is_label) && !is_number(last)
}

fn is_label(label: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_LABEL_BYTES).contains(&label.len())
        && label.bytes().all(is_allowed)
        && !label.starts_with('-')
        && !label.ends_with('-')
}

/// Whether a label is a decimal, octal or hexadecimal number.
fn is_number(label: &str) -> bool {
    let hex = label.strip_prefix("0x").or(label.strip_prefix("0X"));
    match hex {
        Some(digits) => digits.bytes().all(|byte| byte.is_ascii_hexdigit()),
        None => label.bytes().all(|byte| byte.is_ascii_digit()),
    }
}
