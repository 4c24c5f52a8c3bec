//! A client's side of a request.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{BodyEnd, Head, Reader};

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A complete answer.
    Answer(Head, Vec<u8>),
    /// The connection ended inside the answer, or the client left there.
    Partial(Head, usize),
    /// The connection ended without an answer.
    Closed(String),
    /// Nothing came in time.
    TimedOut,
}

impl Ending {
    /// A short text for the record.
    pub fn text(&self) -> String {
        match self {
            Ending::Answer(head, body) => format!("status={} bytes={}", head.status(), body.len()),
            Ending::Partial(head, bytes) => {
                format!("broken off, status={} bytes={bytes}", head.status())
            }
            Ending::Closed(reason) => format!("closed without an answer ({reason})"),
            Ending::TimedOut => "nothing in time".to_owned(),
        }
    }
}

/// A client's connection.
pub struct Connection {
    /// Reads answers.
    pub reader: Reader,
    /// Writes requests.
    pub writer: TcpStream,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The error of the connection.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let writer = stream.try_clone()?;
        Ok(Connection {
            reader: Reader::new(stream),
            writer,
        })
    }

    /// Reads the next answer, for which it waits `limit` at most.
    pub fn answer(&mut self, limit: Duration) -> Ending {
        self.reader.until = Some(Instant::now() + limit);
        match self.reader.head() {
            Ok(Some(head)) => match self.reader.body(&head) {
                (body, BodyEnd::Complete) => Ending::Answer(head, body),
                (body, BodyEnd::Broken) => Ending::Partial(head, body.len()),
            },
            Ok(None) => Ending::Closed("end of stream".to_owned()),
            Err(error) if is_timeout(&error) => Ending::TimedOut,
            Err(error) => Ending::Closed(error.to_string()),
        }
    }

    /// Sends the head of a request, and its body.
    ///
    /// # Errors
    /// The error of the connection.
    pub fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(body)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// The head of a request.
pub fn request_head(line: &str, id: &str, deadline_ms: u64, length: Option<usize>) -> String {
    let length = length.map_or(String::new(), |length| {
        format!("Content-Length: {length}\r\n")
    });
    format!(
        "{line} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
}
