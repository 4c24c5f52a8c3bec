//! A small JSON reader, for the bodies of the store's requests.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`, as text.
    Word(String),
    /// A number, as text.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Json>),
    /// An object.
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is no JSON.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        skip_space(text, &mut at);
        (at == text.len()).then_some(value)
    }

    /// A field of an object.
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    /// The text of a string, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) | Json::Word(text) => text,
            _ => "",
        }
    }

    /// The entries of an array; none for other values.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        b'"' => string(text, at).map(Json::Text),
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(text, at);
                if *text.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if *text.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                let key = string(text, at)?;
                skip_space(text, at);
                if *text.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.insert(key, value(text, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut entries = Vec::new();
            loop {
                skip_space(text, at);
                if *text.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::List(entries));
                }
                if *text.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                entries.push(value(text, at)?);
            }
        }
        first => {
            let from = *at;
            while text
                .get(*at)
                .is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(byte))
            {
                *at += 1;
            }
            let word = String::from_utf8(text[from..*at].to_vec()).ok()?;
            if word.is_empty() {
                None
            } else if first.is_ascii_digit() || first == b'-' {
                Some(Json::Number(word))
            } else {
                Some(Json::Word(word))
            }
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let letter = char::from_u32(code)?;
                        bytes.extend_from_slice(letter.to_string().as_bytes());
                    }
                    other => bytes.push(other),
                }
            }
            other => bytes.push(other),
        }
    }
}

/// Writes a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}
