//! The record of a run: what was sent, answered and run, with the time of each event.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Returns the value behind a lock, also after a thread has panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A clock that all parts of a run share, and the lines that they have written.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { began: Instant::now(), lines: Arc::new(Mutex::new(Vec::new())) }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Adds a line with the present time, which is returned.
    pub fn add(&self, text: String) -> Duration {
        let now = self.now();
        lock(&self.lines).push((now, text));
        now
    }

    /// Writes all lines in order of time.
    pub fn write_to(&self, path: &str) -> std::io::Result<()> {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|(time, _)| *time);
        let mut file = std::io::BufWriter::new(File::create(path)?);
        for (time, text) in lines {
            writeln!(file, "{:10.3} {text}", time.as_secs_f64())?;
        }
        file.flush()
    }
}
