//! The record of a script, and its exit code.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Result of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Returns whether the script is to bring about the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the process with the exit code of a verdict.
pub fn exit_with(verdict: Verdict) -> ! {
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}

/// Writes lines with the seconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file whose path is the first argument of the program.
    pub fn create() -> Self {
        let path = std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Returns the seconds from the start to `at`.
    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes a line about what happened at `at`.
    pub fn line(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3} {text}", self.at(at));
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(Instant::now(), text);
    }
}
