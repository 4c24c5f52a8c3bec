//! Answers of targets, drawn from a seed: whole ones in all framings with odd fields, and
//! ones with a fault.

use filbert_platform_standin::WrittenAnswer;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

/// Lengths of bodies, about the limits of what is read ahead.
const BODY_LENGTHS: [usize; 8] = [
    0,
    1,
    500,
    32 * 1024,
    32 * 1024 + 1,
    64 * 1024,
    64 * 1024 + 1,
    150_000,
];
/// Status lines without the version, of which none states that the call did not run.
const STATUSES: [&str; 7] = [
    "200 OK",
    "200 ",
    "201 Created",
    "299 Odd (but legal)",
    "404 Not Found",
    "409 Conflict",
    "500 Internal Server Error",
];
const INTERIM_ANSWERS: [&str; 3] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\nRequest-Id: another\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\nX-Twice: 9\r\n\r\n",
];
/// Fields that reach the client as they are.
const END_TO_END_FIELDS: [&str; 11] = [
    "X-Empty:",
    "X-Twice: 1\r\nX-Twice: 2",
    "Set-Cookie: a=1; Path=/\r\nSet-Cookie: b=2",
    "x-bytes: \u{e9}\u{fc}",
    "X-Padded: \t padded \t ",
    "X-Content-Length: 3",
    "X-Original-Transfer-Encoding: chunked",
    "X-Text: Transfer-Encoding: chunked",
    "X-Quoted: \"a\\\"b, c\"",
    "Server-Load: no load",
    "Retry-After: 5",
];
/// Fields that end at the daemon.
const HOP_BY_HOP_FIELDS: [&str; 3] = [
    "Connection: keep-alive",
    "Keep-Alive: timeout=5",
    "Connection: X-Hop\r\nX-Hop: 1",
];
/// Lines that make a head invalid, or leave in doubt where the answer ends or whose it is.
const FAULTY_LINES: [&str; 17] = [
    "Content-Length: 1\r\nContent-Length: 2",
    "Content-Length: +1",
    "Content-Length: -1",
    "Content-Length: 0x10",
    "Content-Length: 99999999999999999999",
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding: chunked\r\nContent-Length: 3",
    " folded: line",
    "no colon",
    ": no name",
    "X-N\u{1}me: 1",
    "X-Nul: a\0b",
    "Request-Id: another",
    "Server-Seal: another",
    "Content-Encoding: gzip",
];
const FAULTY_STATUS_LINES: [&str; 6] = [
    "HTTP/2.0 200 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 abc OK",
    "HTP/1.1 200 OK",
    "200 OK",
];
/// What a target may send in place of the size line of a chunk.
const FAULTY_CHUNK_SIZES: [&str; 5] = ["zz", "-1", "0x5", "", "FFFFFFFFFFFFFFFFF"];

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Line,
    StatusLine,
    OtherId,
    NoId,
    NoSeal,
    CutBody,
    Chunk,
}

/// A generated answer, as written and as meant.
pub struct GeneratedAnswer {
    pub written: WrittenAnswer,
    pub status: u16,
    pub body: Vec<u8>,
    /// End-to-end fields besides the id, the seal and the framing, in order.
    pub fields: Vec<(String, Vec<u8>)>,
    /// Whether it is whole; otherwise the client must get an error.
    pub is_whole: bool,
}

/// Draws the answer to call `id`.
pub fn generate_answer(id: &str, rng: &mut StdRng) -> GeneratedAnswer {
    let fault = rng.random_bool(0.35).then(|| draw_fault(rng));
    let framing = draw_framing(fault, rng);
    // A success has to state whose it is; an answer of another status need not.
    let status = match fault {
        Some(Fault::NoId | Fault::NoSeal) => STATUSES[0],
        _ => pick(&STATUSES, rng),
    };
    let mut length = pick(&BODY_LENGTHS, rng);
    if fault == Some(Fault::CutBody) {
        length = length.max(1);
    }
    let body: Vec<u8> = (0..length).map(|_| rng.random()).collect();
    let mut fields = Vec::new();
    let mut lines = vec![status_line(fault, status, framing, rng)];
    match fault {
        Some(Fault::NoId) => {}
        Some(Fault::OtherId) => lines.push("Request-Id: another".to_owned()),
        _ => lines.push(format!("Request-Id: {id}")),
    }
    if fault != Some(Fault::NoSeal) {
        lines.push("Server-Seal: seal".to_owned());
    }
    for _ in 0..rng.random_range(0..3) {
        let text = pick(&END_TO_END_FIELDS, rng);
        fields.extend(text.split("\r\n").map(parse_field));
        lines.push(text.to_owned());
    }
    if framing != Framing::UntilClose && rng.random_bool(0.2) {
        lines.push(pick(&HOP_BY_HOP_FIELDS, rng).to_owned());
    }
    if fault == Some(Fault::Line) {
        lines.push(pick(&FAULTY_LINES, rng).to_owned());
    }
    match framing {
        Framing::Length => lines.push(format!("Content-Length: {length}")),
        Framing::Chunked => lines.push("Transfer-Encoding: chunked".to_owned()),
        Framing::UntilClose if rng.random() => lines.push("Connection: close".to_owned()),
        Framing::UntilClose => {}
    }
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(0..3) {
        bytes.extend_from_slice(pick(&INTERIM_ANSWERS, rng).as_bytes());
    }
    // Fields may hold bytes that are no UTF-8: each character is one byte.
    let head = lines.join("\r\n") + "\r\n\r\n";
    bytes.extend(to_latin1(&head));
    let framed = match framing {
        Framing::Chunked => chunked(&body, fault == Some(Fault::Chunk), rng),
        _ => body.clone(),
    };
    let sent = match fault {
        Some(Fault::CutBody) => rng.random_range(0..framed.len()),
        _ => framed.len(),
    };
    bytes.extend_from_slice(&framed[..sent]);
    let closes = fault.is_some() || framing == Framing::UntilClose || rng.random_bool(0.1);
    if fault.is_none() && framing != Framing::UntilClose && rng.random_bool(0.1) {
        bytes.extend_from_slice(behind(id, rng).as_bytes());
    }
    GeneratedAnswer {
        written: WrittenAnswer { bytes, closes },
        status: status[..3].parse().expect("a status"),
        body,
        fields,
        is_whole: fault.is_none(),
    }
}

fn pick<T: Copy>(values: &[T], rng: &mut StdRng) -> T {
    *values.choose(rng).expect("values")
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let faults = [
        Fault::Line,
        Fault::Line,
        Fault::StatusLine,
        Fault::OtherId,
        Fault::NoId,
        Fault::NoSeal,
        Fault::CutBody,
        Fault::CutBody,
        Fault::Chunk,
    ];
    pick(&faults, rng)
}

fn draw_framing(fault: Option<Fault>, rng: &mut StdRng) -> Framing {
    match fault {
        Some(Fault::Chunk) => Framing::Chunked,
        // A body until the connection closes cannot show that it was cut.
        Some(Fault::CutBody) => pick(&[Framing::Length, Framing::Chunked], rng),
        // A faulty line must be the only one that frames the body.
        Some(Fault::Line) => Framing::UntilClose,
        _ => pick(
            &[Framing::Length, Framing::Chunked, Framing::UntilClose],
            rng,
        ),
    }
}

fn status_line(fault: Option<Fault>, status: &str, framing: Framing, rng: &mut StdRng) -> String {
    if fault == Some(Fault::StatusLine) {
        return pick(&FAULTY_STATUS_LINES, rng).to_owned();
    }
    let is_http10 = framing != Framing::Chunked && rng.random_bool(0.2);
    let version = if is_http10 { "HTTP/1.0" } else { "HTTP/1.1" };
    format!("{version} {status}")
}

/// Splits a field line; the value is without the white space around it.
fn parse_field(line: &str) -> (String, Vec<u8>) {
    let (name, value) = line.split_once(':').expect("a field");
    (name.to_owned(), to_latin1(value.trim()))
}

fn to_latin1(text: &str) -> Vec<u8> {
    let byte = |character| u8::try_from(u32::from(character)).expect("one byte");
    text.chars().map(byte).collect()
}

/// Bytes behind a whole answer, which belong to no call.
fn behind(id: &str, rng: &mut StdRng) -> String {
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal\r\n");
    let texts = [
        "junk".to_owned(),
        format!("{head}Content-Length: 4\r\n\r\nlate"),
    ];
    texts.choose(rng).expect("texts").clone()
}

fn chunked(body: &[u8], is_faulty: bool, rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, tail) = rest.split_at(rng.random_range(1..=rest.len()));
        let size = chunk.len();
        let line = match rng.random_range(0..4) {
            0 => format!("{size:X}"),
            1 => format!("00{size:x}"),
            2 => format!("{size:x};name=value"),
            _ => format!("{size:x};name=\"quoted; text\""),
        };
        bytes.extend_from_slice(format!("{line}\r\n").as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        rest = tail;
    }
    if is_faulty {
        let size = pick(&FAULTY_CHUNK_SIZES, rng);
        bytes.extend_from_slice(format!("{size}\r\nxxxxx\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"0\r\n");
    if rng.random_bool(0.3) {
        bytes.extend_from_slice(b"X-Trailer: 1\r\nX-Twice: 3\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
