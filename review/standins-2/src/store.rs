//! The platform's metadata store: rows with versions, transactions with conditions, reads
//! and the feed of changes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::free_address;
use crate::http::{Head, Reader};
use crate::json::{quoted, Json};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(8);

#[derive(Clone, Debug)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// Base64 of the value; `None` if the row was deleted.
    value: Option<String>,
    version: u64,
}

impl Row {
    fn json(&self) -> String {
        let value = match &self.value {
            Some(value) => format!("\"value\":{}", quoted(value)),
            None => "\"deleted\":true".to_owned(),
        };
        format!(
            "{{\"table\":{},\"part\":{},\"key\":{},{value},\"row_version\":{}}}",
            quoted(&self.table),
            quoted(&self.part),
            quoted(&self.key),
            self.version
        )
    }
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String, String), Row>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    changed: Arc<Condvar>,
    started: Instant,
}

/// An address at which the store answers.
pub struct StorePort {
    /// The address.
    pub address: SocketAddr,
    is_open: Arc<AtomicBool>,
}

impl StorePort {
    /// Ends the service at this address: connections end, and new ones are refused.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }
}

impl Default for Store {
    fn default() -> Self {
        Store::new()
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Store {
        Store {
            rows: Arc::default(),
            changed: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Writes a row of the operator, and returns once it is written.
    ///
    /// # Panics
    /// If another thread has failed.
    pub fn operator_writes(&self, key: &str, value: &str) {
        let mut rows = self.rows.lock().expect("the rows");
        rows.version += 1;
        let row = Row {
            table: "op".to_owned(),
            part: String::new(),
            key: key.to_owned(),
            value: Some(base64(value.as_bytes())),
            version: rows.version,
        };
        rows.rows
            .insert((row.table.clone(), row.part.clone(), row.key.clone()), row);
        self.changed.notify_all();
    }

    /// Serves the store at a free address.
    ///
    /// # Panics
    /// If there is no free address.
    pub fn serve(&self) -> StorePort {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the store's address");
        let is_open = Arc::new(AtomicBool::new(true));
        let store = self.clone();
        let open = Arc::clone(&is_open);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !open.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let store = store.clone();
                let open = Arc::clone(&open);
                thread::spawn(move || store.serve_connection(stream, &open));
            }
        });
        StorePort { address, is_open }
    }

    fn serve_connection(&self, stream: TcpStream, open: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let (body, _) = reader.body(&head);
            if !open.load(Ordering::SeqCst) {
                return;
            }
            let (status, answer) = self.answer(&head, &body, open);
            thread::sleep(ANSWER_TIME);
            if !open.load(Ordering::SeqCst) {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8], open: &AtomicBool) -> (u16, String) {
        let target = head.part(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescaped(value)))
            .collect();
        let of = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/rows-get" => self.get(&of("table"), &of("part"), &of("from"), &of("to")),
            "/rows-feed" => {
                let after = of("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(of("wait_ms").parse().unwrap_or(0));
                self.feed(&of("table"), after, wait, open)
            }
            "/rows-tx" => self.transaction(body),
            _ => (404, String::new()),
        }
    }

    fn now(&self) -> String {
        format!("\"{}ms\"", self.started.elapsed().as_millis())
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str) -> (u16, String) {
        let rows = self.rows.lock().expect("the rows");
        let found: Vec<String> = rows
            .rows
            .values()
            .filter(|row| row.value.is_some() && row.table == table && row.part == part)
            .filter(|row| row.key.as_str() >= from && (to.is_empty() || row.key.as_str() < to))
            .map(Row::json)
            .collect();
        let text = format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{},\"now\":{}}}",
            found.join(","),
            rows.version,
            self.now()
        );
        (200, text)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration, open: &AtomicBool) -> (u16, String) {
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut rows = self.rows.lock().expect("the rows");
        loop {
            let mut found: Vec<&Row> = rows
                .rows
                .values()
                .filter(|row| row.table == table && row.version > after)
                .collect();
            found.sort_by_key(|row| row.version);
            let now = Instant::now();
            if !found.is_empty() || now >= until || !open.load(Ordering::SeqCst) {
                let found: Vec<String> = found.into_iter().map(Row::json).collect();
                let text = format!(
                    "{{\"rows\":[{}],\"row_version\":{},\"now\":{}}}",
                    found.join(","),
                    rows.version,
                    self.now()
                );
                return (200, text);
            }
            let pause = (until - now).min(Duration::from_millis(50));
            rows = self.changed.wait_timeout(rows, pause).expect("the rows").0;
        }
    }

    fn transaction(&self, body: &[u8]) -> (u16, String) {
        thread::sleep(TRANSACTION_TIME);
        let Some(call) = Json::parse(body) else {
            return (400, String::new());
        };
        let empty = Json::List(Vec::new());
        let entries = |name: &str| call.get(name).unwrap_or(&empty).list().to_vec();
        let field = |entry: &Json, name: &str| {
            entry
                .get(name)
                .map_or(String::new(), |value| value.text().to_owned())
        };
        let name_of = |entry: &Json| {
            (
                field(entry, "table"),
                field(entry, "part"),
                field(entry, "key"),
            )
        };
        let mut rows = self.rows.lock().expect("the rows");
        let conditions = entries("expected_rev");
        let version_of = |rows: &Rows, entry: &Json| {
            let row = rows.rows.get(&name_of(entry));
            row.filter(|row| row.value.is_some())
                .map_or(0, |row| row.version)
        };
        let holds = conditions
            .iter()
            .all(|entry| version_of(&rows, entry).to_string() == field(entry, "row_version"));
        if !holds {
            let current: Vec<String> = conditions
                .iter()
                .filter_map(|entry| rows.rows.get(&name_of(entry)))
                .filter(|row| row.value.is_some())
                .map(Row::json)
                .collect();
            let text = format!(
                "{{\"rows\":[{}],\"row_version\":{},\"now\":{}}}",
                current.join(","),
                rows.version,
                self.now()
            );
            return (412, text);
        }
        let is_forbidden =
            |entry: &Json| matches!(field(entry, "table").as_str(), "op" | "servers");
        if entries("set_keys").iter().any(is_forbidden) {
            return (403, String::new());
        }
        rows.version += 1;
        let version = rows.version;
        let sets = entries("set_keys").into_iter().map(|entry| {
            let value = Some(field(&entry, "value"));
            (entry, value)
        });
        let deletes = entries("delete_keys")
            .into_iter()
            .map(|entry| (entry, None));
        for (entry, value) in sets.chain(deletes) {
            let (table, part, key) = name_of(&entry);
            let row = Row {
                table: table.clone(),
                part: part.clone(),
                key: key.clone(),
                value,
                version,
            };
            rows.rows.insert((table, part, key), row);
        }
        self.changed.notify_all();
        let text = format!("{{\"row_version\":{version},\"now\":{}}}", self.now());
        (200, text)
    }
}

fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Encodes bytes as Base64.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let first = u32::from(three[0]) << 16;
        let second = three.get(1).map_or(0, |byte| u32::from(*byte) << 8);
        let third = three.get(2).map_or(0, |byte| u32::from(*byte));
        let bits = first | second | third;
        for index in 0..4 {
            if index <= three.len() {
                let letter = (bits >> (18 - 6 * index)) & 63;
                out.push(char::from(LETTERS[letter as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
