//! Heads that are no answer, whatever their connection brings afterwards.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

/// Statuses that no answer has.
pub const FAULTY_STATUSES: [&str; 12] = [
    "000", "001", "099", "600", "999", "2e2", "+20", "-20", "20", "2000", "", "2 0",
];

/// Field lines whose name holds a byte that no name may hold, or that are no field.
pub const FAULTY_FIELDS: [&str; 18] = [
    "X Field: a",
    "X-Field : a",
    " X-Field: a",
    "\tX-Field: a",
    "X\tField: a",
    "X-Field\t: a",
    "X\u{0}Field: a",
    "X\u{1}Field: a",
    "X\u{b}Field: a",
    "X\u{1b}Field: a",
    "X\u{7f}Field: a",
    "X\rField: a",
    "X(Field): a",
    "X@Field: a",
    "X\u{e9}Field: a",
    ": a",
    "X-Field",
    "X-Field: a\u{0}b",
];

/// Bytes of an answer with this status line and field line, to the call `id`.
pub fn faulty_answer(status: &str, field: &str, id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} OK\r\nRequest-Id: {id}\r\nServer-Seal: seal\r\n{field}\r\nContent-Length: 6\r\n\r\nspoilt"
    )
    .into_bytes()
}

/// All faulty answers to the call `id`, with what is wrong with each.
pub fn faulty_answers(id: &str) -> Vec<(String, Vec<u8>)> {
    let statuses = FAULTY_STATUSES.iter().map(|status| {
        (
            format!("status {status:?}"),
            faulty_answer(status, "X: a", id),
        )
    });
    let fields = FAULTY_FIELDS
        .iter()
        .map(|field| (format!("field {field:?}"), faulty_answer("200", field, id)));
    statuses.chain(fields).collect()
}
