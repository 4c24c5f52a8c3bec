//! Logging to standard output, in lines of `key=value` pairs: one line for each
//! decision on a call and for each change in the daemon's view of the fleet.
//!
//! Logging never blocks the daemon: lines go into a bounded buffer, and a separate
//! thread writes them. Lines that do not fit into the buffer and lines that the
//! [`LogRateLimiter`] suppresses are counted, and their number is logged.

use std::borrow::Cow;
use std::cell::RefCell;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};

/// Log levels of libraries, whose lines say nothing about the daemon's decisions.
const LIBRARY_LEVELS: &str = "h2=warn,hyper=warn,reqwest=warn,hyper_util=warn,rocket=error,_=error";
/// Upper limit of the log buffer, in bytes: some seconds of lines at the rates of
/// the [`LogRateLimiter`], and little of the memory that a host has for the daemon.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Time for which lines are collected before they are written in one batch, because
/// each write costs a wake-up and a system call.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Longest line in bytes, so that no text of another process fills the buffer. Longer ones are
/// cut, and end with the number of bytes that were left out.
pub const MAX_LINE_BYTES: usize = 4 * 1024;
/// Longest time that a flush, as at a planned stop, waits for the last lines to be
/// written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines that are not written yet.
#[derive(Default)]
struct BufferState {
    lines: Vec<u8>,
    /// Number of lines that did not fit since the last batch.
    dropped: u64,
    /// Whether the writer thread is writing a batch.
    is_writing: bool,
}

/// Bounded buffer between the daemon and the thread that writes its log.
#[derive(Default)]
struct LineBuffer {
    state: Mutex<BufferState>,
    filled: Condvar,
    emptied: Condvar,
}

impl LineBuffer {
    fn state(&self) -> MutexGuard<'_, BufferState> {
        // The state is consistent after each operation, so it can be used even if
        // the lock is poisoned.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut state = self.state();
        if state.lines.len() + line.len() >= MAX_BUFFERED_BYTES {
            state.dropped += 1;
            return;
        }
        let was_empty = state.lines.is_empty();
        state.lines.extend_from_slice(line);
        state.lines.push(b'\n');
        if was_empty {
            self.filled.notify_one();
        }
    }

    /// Writes buffered lines to `out`. Never returns. If the reader of `out` stalls,
    /// only this thread blocks.
    fn write_to(&self, mut out: impl Write) {
        loop {
            let mut state = self.state();
            while state.lines.is_empty() {
                state = self
                    .filled
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            std::thread::sleep(BATCH_DELAY);
            let mut state = self.state();
            let mut lines = std::mem::take(&mut state.lines);
            let dropped = std::mem::take(&mut state.dropped);
            state.is_writing = true;
            drop(state);
            if dropped > 0 {
                lines.extend_from_slice(
                    format!(
                        "level=warn event=lines_dropped count={dropped} reason=\"buffer full\"\n"
                    )
                    .as_bytes(),
                );
            }
            // If the output is closed, the error cannot be reported either.
            let _ = out.write_all(&lines).and_then(|()| out.flush());
            self.state().is_writing = false;
            self.emptied.notify_all();
        }
    }

    /// Waits until all lines are written, for at most [`FLUSH_TIMEOUT`].
    fn wait_until_empty(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut state = self.state();
        while !state.lines.is_empty() || state.is_writing {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            state = self
                .emptied
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

struct BufferWriter {
    buffer: Arc<LineBuffer>,
}

impl LogWriter for BufferWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        let line = format_line(now, record);
        self.buffer.push(as_one_line(&line).as_bytes());
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.buffer.wait_until_empty();
        Ok(())
    }
}

/// Starts logging at the levels in `spec` (such as `info`) or, if set, in `RUST_LOG`.
/// Returns `None` if the logger cannot be started, for example because one is set
/// already, as in tests.
#[must_use]
pub fn start(spec: &str) -> Option<LoggerHandle> {
    let buffer = Arc::new(LineBuffer::default());
    let writer_buffer = Arc::clone(&buffer);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || writer_buffer.write_to(std::io::stdout()))
        .ok()?;
    let levels = LogSpecification::env_or_parse(format!("{spec},{LIBRARY_LEVELS}")).ok()?;
    Logger::with(levels)
        .log_to_writer(Box::new(BufferWriter { buffer }))
        .start()
        .ok()
}

fn format_line(now: &mut DeferredNow, record: &log::Record<'_>) -> String {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_lowercase();
    format!("ts={time} level={level} {}", record.args())
}

/// Returns `text` as one line of at most [`MAX_LINE_BYTES`], the note on what was cut not
/// counted: texts of other processes are logged, and a line break in one must not begin a
/// line that looks like the daemon's own.
#[must_use]
pub fn as_one_line(text: &str) -> Cow<'_, str> {
    if text.len() <= MAX_LINE_BYTES && !text.contains(needs_escape) {
        return Cow::Borrowed(text);
    }
    let mut line = String::with_capacity(text.len().min(MAX_LINE_BYTES));
    for (position, character) in text.char_indices() {
        let before = line.len();
        if needs_escape(character) {
            line.extend(character.escape_debug());
        } else {
            line.push(character);
        }
        if line.len() > MAX_LINE_BYTES {
            line.truncate(before);
            // Writing to a string does not fail.
            let _ = write!(line, " cut_bytes={}", text.len() - position);
            break;
        }
    }
    Cow::Owned(line)
}

/// Whether `character` could end a line or change how a terminal shows it.
fn needs_escape(character: char) -> bool {
    character.is_control() || matches!(character, '\u{2028}' | '\u{2029}')
}

/// Priority of a log line about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// A call that succeeded in time, at its first attempt. A sample of these lines
    /// is enough.
    Ordinary,
    /// A call that failed, was refused, was late or was retried.
    Notable,
}

/// Limit of [`LinePriority::Ordinary`] lines per second: a sample to compare notable
/// calls with.
const ORDINARY_LINES_PER_S: f64 = 5.0;
/// Limit of [`LinePriority::Notable`] lines per second. In an overload, a host
/// refuses hundreds of calls per second, and the first of their lines tell as much as
/// all of them.
const NOTABLE_LINES_PER_S: f64 = 100.0;
/// Capacity of a token bucket, in seconds at its rate.
const BURST_S: f64 = 2.0;
/// Shortest time between two reports of the number of suppressed lines.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Token buckets of the [`LogRateLimiter`].
#[derive(Debug)]
struct LimiterState {
    /// Tokens for [`LinePriority::Ordinary`] lines.
    ordinary: f64,
    /// Tokens for [`LinePriority::Notable`] lines.
    notable: f64,
    refilled_at: Instant,
    reported_at: Instant,
    /// Number of ordinary and of notable lines suppressed since the last report.
    suppressed: (u64, u64),
}

/// Limits the rate of log lines about calls, by their priority. Lines about changes in
/// the daemon's view of the fleet are not limited, because they are rare.
#[derive(Debug)]
pub struct LogRateLimiter {
    state: RefCell<LimiterState>,
}

impl LogRateLimiter {
    /// Creates a limiter that allows one second of ordinary lines and a full burst of
    /// notable ones.
    #[must_use]
    pub fn new(now: Instant) -> LogRateLimiter {
        LogRateLimiter {
            state: RefCell::new(LimiterState {
                ordinary: ORDINARY_LINES_PER_S,
                notable: NOTABLE_LINES_PER_S * BURST_S,
                refilled_at: now,
                reported_at: now,
                suppressed: (0, 0),
            }),
        }
    }

    /// Returns whether a line of this priority may be written now, and takes a token for
    /// it if so. Also logs the number of suppressed lines when a report is due.
    pub fn allows(&self, priority: LinePriority, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let elapsed = now
            .saturating_duration_since(state.refilled_at)
            .as_secs_f64();
        state.refilled_at = now;
        state.ordinary =
            (state.ordinary + elapsed * ORDINARY_LINES_PER_S).min(ORDINARY_LINES_PER_S * BURST_S);
        state.notable =
            (state.notable + elapsed * NOTABLE_LINES_PER_S).min(NOTABLE_LINES_PER_S * BURST_S);
        if now >= state.reported_at + MIN_REPORT_INTERVAL && state.suppressed != (0, 0) {
            let (ordinary, notable) = std::mem::take(&mut state.suppressed);
            state.reported_at = now;
            log::info!("event=lines_held_back ordinary={ordinary} notable={notable}");
        }
        let tokens = match priority {
            LinePriority::Ordinary => &mut state.ordinary,
            LinePriority::Notable => &mut state.notable,
        };
        if *tokens >= 1.0 {
            *tokens -= 1.0;
            return true;
        }
        match priority {
            LinePriority::Ordinary => state.suppressed.0 += 1,
            LinePriority::Notable => state.suppressed.1 += 1,
        }
        false
    }
}
