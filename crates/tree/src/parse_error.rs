//! What is wrong in a settings file, for people.

use std::fmt;

/// A settings file that could not be read: where, which key, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line number, from 1, when known.
    pub line: Option<usize>,
    /// The key at fault, when the parser named one.
    pub key: Option<String>,
    /// The parser's message.
    pub message: String,
    /// The known key that is most like an unknown one, if any is.
    pub nearest: Option<String>,
}

impl ParseError {
    /// Builds an error from a `toml` error and the text it came from.
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
            .or_else(|| key_at(text, error.span().map(|span| span.start)));
        let nearest = nearest_key(&message);
        ParseError {
            line,
            key,
            message,
            nearest,
        }
    }
}

/// Likeness (0 to 1) from which a known key is named: below it, the word was
/// not meant.
const LIKE_ENOUGH: f64 = 0.5;

/// The known key most like the unknown one that `message` tells of. The
/// parser's message quotes the unknown key first, then the known ones.
fn nearest_key(message: &str) -> Option<String> {
    if !message.starts_with("unknown field") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    quoted
        .map(|known| {
            (
                strsim::normalized_damerau_levenshtein(unknown, known),
                known,
            )
        })
        .filter(|(likeness, _)| *likeness >= LIKE_ENOUGH)
        .max_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, known)| known.to_owned())
}

/// The key written at the start of the line holding `offset`, if any.
fn key_at(text: &str, offset: Option<usize>) -> Option<String> {
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
        match &self.nearest {
            Some(nearest) => write!(formatter, "; did you mean `{nearest}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ParseError {}
