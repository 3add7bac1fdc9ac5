//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start, to the file that `RECORD` names and to standard output.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record; the file is `record.txt` if `RECORD` names none.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("a writable record"))),
        }
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} s  {}\n", text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().expect("the record");
        let _ = file.write_all(line.as_bytes());
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}
