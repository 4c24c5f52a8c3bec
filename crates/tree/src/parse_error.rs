//! Errors in settings files, in a form for people to read.

use std::fmt;

/// An error in a settings file, with its position and the key where known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// The line of the error, counted from 1, if known.
    pub line: Option<usize>,
    /// The key to which the error applies: the first name that the parser's message
    /// quotes, or else the key on the line of the error, if there is one.
    pub key: Option<String>,
    /// The message of the TOML parser.
    pub message: String,
    /// The valid key most similar to an unknown key, if one is similar enough.
    pub suggestion: Option<String>,
}

impl ParseError {
    /// Converts the error that the TOML parser returned for `text`.
    #[must_use]
    pub fn from_toml(text: &str, error: &toml::de::Error) -> ParseError {
        let line = error
            .span()
            .map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        let message = error.message().to_owned();
        let key = message
            .split('`')
            .nth(1)
            .map(str::to_owned)
            .or_else(|| key_on_line_at(text, error.span().map(|span| span.start)));
        let suggestion = suggest_key(&message);
        ParseError {
            line,
            key,
            message,
            suggestion,
        }
    }
}

/// Minimum similarity to an unknown key (0 to 1, normalized Damerau-Levenshtein)
/// at which a valid key is suggested. A less similar key is unlikely to be the
/// intended one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.5;

/// Returns the valid key most similar to the unknown key that the parser's
/// `message` reports. The message quotes the unknown key first and the valid
/// keys after it.
fn suggest_key(message: &str) -> Option<String> {
    if !message.starts_with("unknown field") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown_key = quoted.next()?;
    quoted
        .map(|valid_key| {
            (
                strsim::normalized_damerau_levenshtein(unknown_key, valid_key),
                valid_key,
            )
        })
        .filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, valid_key)| valid_key.to_owned())
}

/// Returns the key that is assigned on the line at the byte offset `offset` of
/// `text`, if there is one.
fn key_on_line_at(text: &str, offset: Option<usize>) -> Option<String> {
    let offset = offset?.min(text.len());
    let line_start = text[..offset].rfind('\n').map_or(0, |index| index + 1);
    let line = text[line_start..].lines().next()?;
    let (key, _) = line.split_once('=')?;
    Some(key.trim().to_owned())
}

impl fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.line, &self.key) {
            (Some(line), Some(key)) => {
                write!(formatter, "line {line}, key `{key}`: {}", self.message)
            }
            (Some(line), None) => write!(formatter, "line {line}: {}", self.message),
            (None, Some(key)) => write!(formatter, "key `{key}`: {}", self.message),
            (None, None) => write!(formatter, "{}", self.message),
        }?;
        match &self.suggestion {
            Some(suggestion) => write!(formatter, "; did you mean `{suggestion}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ParseError {}
