//! Logs: one `key=value` line per decision on a call or change of belief, on
//! standard output.
//!
//! Writing never blocks the daemon: lines go into a bounded buffer that a
//! thread empties. What does not fit, and what the [`LogRateLimiter`] holds back,
//! is counted and the count logged.

use std::cell::RefCell;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};

/// Libraries whose own lines say nothing about the daemon's decisions.
const LIBRARY_LEVELS: &str = "h2=warn,hyper=warn,reqwest=warn,hyper_util=warn,rocket=error,_=error";
/// Most bytes that wait for the writer: some seconds of lines at the budget's
/// rates, small against the memory a host has for the daemon.
const MOST_WAITING: usize = 256 * 1024;
/// Pause in which lines gather before they are written together. Each write
/// costs a wake-up and a system call.
const GATHER: Duration = Duration::from_millis(100);
/// How long a planned stop waits for the last lines to leave.
const FLUSH_WITHIN: Duration = Duration::from_millis(200);

#[derive(Default)]
struct BufferState {
    lines: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

#[derive(Default)]
struct LineBuffer {
    state: Mutex<BufferState>,
    filled: Condvar,
    emptied: Condvar,
}

impl LineBuffer {
    fn state(&self) -> MutexGuard<'_, BufferState> {
        // The state is whole after each operation, so a poisoned lock is
        // still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut state = self.state();
        if state.lines.len() + line.len() >= MOST_WAITING {
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

    /// Writes what comes in, for ever. A reader that stalls stalls this
    /// thread only.
    fn empty_into(&self, mut out: impl Write) {
        loop {
            let mut state = self.state();
            while state.lines.is_empty() {
                state = self
                    .filled
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            std::thread::sleep(GATHER);
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
            // With nobody left to read, there is nobody to tell either.
            let _ = out.write_all(&lines).and_then(|()| out.flush());
            self.state().is_writing = false;
            self.emptied.notify_all();
        }
    }

    fn wait_emptied(&self) {
        let until = Instant::now() + FLUSH_WITHIN;
        let mut state = self.state();
        while !state.lines.is_empty() || state.is_writing {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = self
                .emptied
                .wait_timeout(state, left)
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
        let mut line = Vec::with_capacity(256);
        line_format(&mut line, now, record)?;
        self.buffer.push(&line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.buffer.wait_emptied();
        Ok(())
    }
}

/// Starts logging at `spec` (such as `info`), overridable with `RUST_LOG`.
/// Returns `None` when a logger was already set, as in tests.
#[must_use]
pub fn start(spec: &str) -> Option<LoggerHandle> {
    let buffer = Arc::new(LineBuffer::default());
    let emptied = Arc::clone(&buffer);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || emptied.empty_into(std::io::stdout()))
        .ok()?;
    let levels = LogSpecification::env_or_parse(format!("{spec},{LIBRARY_LEVELS}")).ok()?;
    Logger::with(levels)
        .log_to_writer(Box::new(BufferWriter { buffer }))
        .start()
        .ok()
}

fn line_format(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    write!(
        writer,
        "ts={} level={} {}",
        now.format_rfc3339(),
        record.level().as_str().to_lowercase(),
        record.args()
    )
}

/// How much a line on a call matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// An ordinary success: a sample is enough.
    Ordinary,
    /// A call that failed, was refused, late or sent again.
    Notable,
}

/// Lines a second on ordinary calls. A sample for comparison.
const ORDINARY_RATE: f64 = 5.0;
/// Lines a second on notable calls: an overload refuses hundreds of calls a
/// second on a host, and the first of them tell as much as all.
const NOTABLE_RATE: f64 = 100.0;
/// Seconds of unused rate that may be spent at once.
const BURST: f64 = 2.0;
/// How often the counts of held-back lines are logged.
const TELL_EVERY: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct BudgetState {
    ordinary: f64,
    notable: f64,
    refilled: Instant,
    told: Instant,
    held_back: (u64, u64),
}

/// Bounds the lines on calls by weight; lines on beliefs are not bounded, as
/// they are few by nature.
#[derive(Debug)]
pub struct LogRateLimiter {
    state: RefCell<BudgetState>,
}

impl LogRateLimiter {
    /// A full budget.
    #[must_use]
    pub fn new(now: Instant) -> LogRateLimiter {
        LogRateLimiter {
            state: RefCell::new(BudgetState {
                ordinary: ORDINARY_RATE,
                notable: NOTABLE_RATE * BURST,
                refilled: now,
                told: now,
                held_back: (0, 0),
            }),
        }
    }

    /// Whether a line may be written now.
    pub fn allows(&self, weight: LinePriority, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let passed = now.saturating_duration_since(state.refilled).as_secs_f64();
        state.refilled = now;
        state.ordinary = (state.ordinary + passed * ORDINARY_RATE).min(ORDINARY_RATE * BURST);
        state.notable = (state.notable + passed * NOTABLE_RATE).min(NOTABLE_RATE * BURST);
        if now >= state.told + TELL_EVERY && state.held_back != (0, 0) {
            let (ordinary, notable) = std::mem::take(&mut state.held_back);
            state.told = now;
            log::info!("event=lines_held_back ordinary={ordinary} notable={notable}");
        }
        let tokens = match weight {
            LinePriority::Ordinary => &mut state.ordinary,
            LinePriority::Notable => &mut state.notable,
        };
        if *tokens >= 1.0 {
            *tokens -= 1.0;
            return true;
        }
        match weight {
            LinePriority::Ordinary => state.held_back.0 += 1,
            LinePriority::Notable => state.held_back.1 += 1,
        }
        false
    }
}
