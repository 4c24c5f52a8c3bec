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

/// A head that is no answer's.
pub struct FaultyHead {
    /// What is wrong with it.
    pub fault: String,
    pub status: &'static str,
    /// Field line, without its end.
    pub field: &'static str,
}

impl FaultyHead {
    /// A sound head, to compare with.
    pub const NONE: FaultyHead = FaultyHead {
        fault: String::new(),
        status: "200",
        field: "X: a",
    };

    /// Bytes of an answer with this head, `fields` (each with its line's end) and `body`.
    pub fn answer(&self, fields: &str, body: &str) -> Vec<u8> {
        let FaultyHead { status, field, .. } = self;
        let length = body.len();
        format!("HTTP/1.1 {status} OK\r\n{fields}{field}\r\nContent-Length: {length}\r\n\r\n{body}")
            .into_bytes()
    }
}

/// One head for each faulty status and field.
pub fn faulty_heads() -> Vec<FaultyHead> {
    let statuses = FAULTY_STATUSES.iter().map(|status| FaultyHead {
        fault: format!("status {status:?}"),
        status,
        field: "X: a",
    });
    let fields = FAULTY_FIELDS.iter().map(|field| FaultyHead {
        fault: format!("field {field:?}"),
        status: "200",
        field,
    });
    statuses.chain(fields).collect()
}

/// All faulty answers to the call `id`, with what is wrong with each.
pub fn faulty_answers(id: &str) -> Vec<(String, Vec<u8>)> {
    let fields = format!("Request-Id: {id}\r\nServer-Seal: seal\r\n");
    let answer = |head: FaultyHead| {
        let bytes = head.answer(&fields, "spoilt");
        (head.fault, bytes)
    };
    faulty_heads().into_iter().map(answer).collect()
}
