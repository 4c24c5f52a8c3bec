//! An application server beside a daemon.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{BodyEnd, Head, Reader};
use crate::record::Record;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Idle time after which a connection is closed; stated in `Keep-Alive`.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest body of an answer to a request below `/look/`.
const SHORT_ANSWER_BYTES: usize = 5_000;

/// Time between two looks at the clock while a server works on a request.
const WORK_STEP: Duration = Duration::from_millis(10);

/// How the work on a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkEnd {
    Done,
    DeadlinePassed,
    /// The connection was closed, so the request was dropped.
    Closed,
}

/// What a server does.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Name of the server, for the record.
    pub name: String,
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it sends its heartbeats.
    pub control: SocketAddr,
    /// Requests that it processes concurrently.
    pub slots: usize,
    /// Requests that it queues beyond these.
    pub queue: usize,
    /// Time of a request's work.
    pub work: Duration,
    /// Length of the body of an answer.
    pub answer_bytes: usize,
    /// Time over which the body of an answer is sent, after the work.
    pub send_time: Duration,
}

/// One request that reached the server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the server.
    pub server: String,
    /// When the head of the request was read.
    pub arrived: Duration,
    /// When the server began to work on it; `None` if it never did.
    pub began: Option<Duration>,
    /// When the work ended, or was dropped.
    pub ended: Option<Duration>,
    /// Whether the whole answer was written.
    pub is_answered: bool,
    /// Whether the server rejected the request, and has not run it.
    pub is_rejected: bool,
    /// Whether the server dropped the request because its connection closed.
    pub is_dropped: bool,
}

/// The requests that reached any server, by their ids.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

/// A running server.
#[derive(Clone)]
pub struct Server {
    /// What it does.
    pub spec: ServerSpec,
    /// Whether it answers before it has read a long body, and reads on later.
    pub answers_early: Arc<AtomicBool>,
    /// Whether it has gone silent: it neither works nor writes any more.
    pub is_silent: Arc<AtomicBool>,
    /// Whether heartbeats are sent.
    pub beats: Arc<AtomicBool>,
    runs: Runs,
    record: Record,
    slots: Arc<(Mutex<Slots>, Condvar)>,
    sequence: Arc<AtomicU64>,
}

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

impl Server {
    /// Starts the server and its heartbeats.
    ///
    /// # Panics
    /// If it cannot listen.
    pub fn start(spec: ServerSpec, runs: Runs, record: Record) -> Server {
        let listener = TcpListener::bind(spec.address).expect("the server's address");
        let server = Server {
            spec,
            answers_early: Arc::default(),
            is_silent: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            runs,
            record,
            slots: Arc::default(),
            sequence: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = server.clone();
        thread::spawn(move || loop {
            if beating.beats.load(Ordering::SeqCst) && !beating.is_silent.load(Ordering::SeqCst) {
                beating.beat();
            }
            thread::sleep(HEARTBEAT);
        });
        server
    }

    fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"addr\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"cold_left\":\"0ms\"}}}}",
            self.spec.address, self.spec.service, self.spec.zone, self.spec.slots
        );
        let send = || -> Option<()> {
            let limit = Duration::from_secs(1);
            let mut stream = TcpStream::connect_timeout(&self.spec.control, limit).ok()?;
            stream.set_read_timeout(Some(limit)).ok()?;
            let head = format!(
                "PUT /instances/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                self.spec.id,
                body.len()
            );
            stream.write_all(head.as_bytes()).ok()?;
            Reader::new(stream).head().ok()?;
            Some(())
        };
        let _ = send();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            if !self.handle(&head, &mut reader, &mut writer) {
                return;
            }
        }
    }

    /// Handles one request. Returns whether the connection stays open.
    fn handle(&self, head: &Head, reader: &mut Reader, writer: &mut TcpStream) -> bool {
        let id = head.field("request-id").to_owned();
        let arrived = self.record.now();
        if head.part(1) == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.spec.id,
                self.load()
            );
            return writer.write_all(text.as_bytes()).is_ok();
        }
        let run = self.add_run(&id, arrived);
        self.record
            .line(&format!("arrived request={id} server={}", self.spec.name));
        let expected = head.field("target-instance");
        if !expected.is_empty() && expected != self.spec.id {
            let _ = reader.body(head);
            self.change(&id, run, |run| run.is_rejected = true);
            return self.reject(writer, 421, "Misdirected Request", &id);
        }
        let answers_early = self.answers_early.load(Ordering::SeqCst)
            && head.length().is_some_and(|length| length > 64 * 1024);
        if !answers_early {
            let (_, end) = reader.body(head);
            if end == BodyEnd::Broken {
                self.change(&id, run, |run| run.is_dropped = true);
                self.record
                    .line(&format!("broken request={id} server={}", self.spec.name));
                return false;
            }
        }
        if !self.take_slot(writer) {
            self.change(&id, run, |run| run.is_rejected = true);
            return self.reject(writer, 503, "Service Unavailable", &id);
        }
        let began = self.record.now();
        self.change(&id, run, |run| run.began = Some(began));
        self.record
            .line(&format!("runs request={id} server={}", self.spec.name));
        let work_end = self.work(head, writer);
        let ended = self.record.now();
        self.free_slot();
        self.change(&id, run, |run| run.ended = Some(ended));
        if work_end == WorkEnd::DeadlinePassed {
            self.record
                .line(&format!("deadline request={id} server={}", self.spec.name));
            // A server's own 504 at the deadline counts as run.
            let text = format!(
                "HTTP/1.1 504 Gateway Timeout\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}.{}\r\nContent-Length: 0\r\n\r\n",
                self.spec.id
            );
            return writer.write_all(text.as_bytes()).is_ok();
        }
        if work_end == WorkEnd::Closed {
            self.change(&id, run, |run| run.is_dropped = true);
            self.record
                .line(&format!("dropped request={id} server={}", self.spec.name));
            return false;
        }
        if !self.write_answer(writer, &id, head.part(1).starts_with("/look/")) {
            self.record.line(&format!(
                "unanswered request={id} server={}",
                self.spec.name
            ));
            return false;
        }
        self.change(&id, run, |run| run.is_answered = true);
        self.record
            .line(&format!("answered request={id} server={}", self.spec.name));
        if answers_early {
            // Reads on later what it has not read of the body.
            let (_, end) = reader.body(head);
            return end == BodyEnd::Complete;
        }
        true
    }

    /// Works on a request, in steps of [`WORK_STEP`], until it is done or its deadline has
    /// passed.
    fn work(&self, head: &Head, connection: &TcpStream) -> WorkEnd {
        let limit: u64 = head.field("deadline-ms").parse().unwrap_or(60_000);
        let limit = Duration::from_millis(limit);
        let began = Instant::now();
        loop {
            thread::sleep(WORK_STEP);
            if is_closed(connection) {
                return WorkEnd::Closed;
            }
            while self.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
            }
            if began.elapsed() >= limit {
                return WorkEnd::DeadlinePassed;
            }
            if began.elapsed() >= self.spec.work {
                return WorkEnd::Done;
            }
        }
    }

    fn write_answer(&self, writer: &mut TcpStream, id: &str, is_short: bool) -> bool {
        const PIECES: usize = 20;
        let (answer_bytes, send_time) = if is_short {
            (
                self.spec.answer_bytes.min(SHORT_ANSWER_BYTES),
                Duration::ZERO,
            )
        } else {
            (self.spec.answer_bytes, self.spec.send_time)
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}.{}\r\nServer-Load: {}\r\nKeep-Alive: {}\r\nContent-Length: {}\r\n\r\n",
            self.spec.id,
            self.load(),
            IDLE_TIMEOUT.as_secs(),
            answer_bytes
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let body = vec![b'x'; answer_bytes];
        if send_time.is_zero() {
            return writer.write_all(&body).is_ok();
        }
        for piece in body.chunks(answer_bytes.div_ceil(PIECES).max(1)) {
            while self.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
            }
            if writer.write_all(piece).is_err() {
                return false;
            }
            thread::sleep(send_time / PIECES as u32);
        }
        true
    }

    fn reject(&self, writer: &mut TcpStream, status: u16, reason: &str, id: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status} {reason}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.spec.id
        );
        writer.write_all(text.as_bytes()).is_ok()
    }

    fn load(&self) -> String {
        let slots = self.slots.0.lock().expect("the slots");
        format!("{},{},{}", slots.running, slots.waiting, self.spec.slots)
    }

    fn take_slot(&self, connection: &TcpStream) -> bool {
        let (lock, freed) = &*self.slots;
        let mut slots = lock.lock().expect("the slots");
        if slots.running >= self.spec.slots {
            if slots.waiting >= self.spec.queue {
                return false;
            }
            slots.waiting += 1;
            while slots.running >= self.spec.slots {
                let pause = Duration::from_millis(10);
                slots = freed.wait_timeout(slots, pause).expect("the slots").0;
                if is_closed(connection) {
                    slots.waiting -= 1;
                    return false;
                }
            }
            slots.waiting -= 1;
        }
        slots.running += 1;
        true
    }

    fn free_slot(&self) {
        self.slots.0.lock().expect("the slots").running -= 1;
        self.slots.1.notify_all();
    }

    fn add_run(&self, id: &str, arrived: Duration) -> usize {
        let mut runs = self.runs.lock().expect("the runs");
        let of_id = runs.entry(id.to_owned()).or_default();
        of_id.push(Run {
            server: self.spec.name.clone(),
            arrived,
            began: None,
            ended: None,
            is_answered: false,
            is_rejected: false,
            is_dropped: false,
        });
        of_id.len() - 1
    }

    fn change(&self, id: &str, run: usize, change: impl FnOnce(&mut Run)) {
        let mut runs = self.runs.lock().expect("the runs");
        if let Some(run) = runs.get_mut(id).and_then(|of_id| of_id.get_mut(run)) {
            change(run);
        }
    }
}

/// Whether the other side has closed or reset the connection.
fn is_closed(connection: &TcpStream) -> bool {
    let mut byte = [0; 1];
    if connection.set_nonblocking(true).is_err() {
        return true;
    }
    let outcome = connection.peek(&mut byte);
    let _ = connection.set_nonblocking(false);
    match outcome {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
