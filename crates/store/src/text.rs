//! Text that others wrote, as it is shown in a line of the log or of an answer.

/// Number of characters of a text that are shown.
const MAX_SHOWN_CHARS: usize = 64;

/// The start of `text`, without line breaks and quotation marks: escaped, and with `...` in
/// place of what is cut.
#[must_use]
pub fn shortened(text: &str) -> String {
    let mut shown: String = text
        .chars()
        .take(MAX_SHOWN_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().nth(MAX_SHOWN_CHARS).is_some() {
        shown.push_str("...");
    }
    shown
}
