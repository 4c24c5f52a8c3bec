//! Which names a host, a zone or a service may have. Names are in log lines, metrics and
//! messages, so that one of any length or with a line break in it does harm there.

/// Longest name of a host, a zone or a service, in bytes: that of a name in DNS.
pub const MAX_NAME_BYTES: usize = 255;

/// The rule of [`is_name`], for messages to operators.
pub const NAME_RULE: &str = "must have 1 to 255 bytes and no control characters";

/// Whether a host, a zone or a service may have the name `name`.
#[must_use]
pub fn is_name(name: &str) -> bool {
    !name.is_empty() && is_name_or_empty(name)
}

/// Like [`is_name`], for a service: a host may have none.
#[must_use]
pub fn is_name_or_empty(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && !name.contains(char::is_control)
}

/// The beginning of `name`, as long as a name may be, for logs and metrics.
#[must_use]
pub fn shortened(name: &str) -> &str {
    if name.len() <= MAX_NAME_BYTES {
        return name;
    }
    let is_end = |end: &usize| name.is_char_boundary(*end);
    let end = (0..=MAX_NAME_BYTES).rev().find(is_end).unwrap_or(0);
    &name[..end]
}
