//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{now:9.3} s  {text}");
    }

    /// Notes a line of the result, which is also printed.
    pub fn result(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.note(text);
    }
}
