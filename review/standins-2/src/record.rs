//! The record of a case: what was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record file of a case and the clock of its lines.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record file at `path`.
    ///
    /// # Panics
    /// If the file cannot be created.
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record file");
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes one line, and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
