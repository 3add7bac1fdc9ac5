//! Writes log lines on a thread of its own, so that a stalled reader delays no request.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use cactusbarrow_net::Clock;

use crate::line_limiter::{LineLimiter, LineVerdict};

/// Lines that wait for the writer before further ones are left out.
const QUEUED_LINES: usize = 2_048;

/// Lines of one kind per second, and at once.
const LINES_PER_SECOND: f64 = 100.0;
const BURST_LINES: f64 = 400.0;

/// Bounded queue of log lines in front of a writer.
#[derive(Clone)]
pub(crate) struct LineQueue<C> {
    clock: C,
    limiter: Arc<Mutex<LineLimiter>>,
    tx: SyncSender<String>,
    overflowed: Arc<AtomicU64>,
}

impl<C: Clock> LineQueue<C> {
    /// Starts the thread that writes lines to `out`.
    pub(crate) fn start(clock: C, out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUED_LINES);
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&rx, out))?;
        Ok(Self {
            clock,
            limiter: Arc::new(Mutex::new(LineLimiter::new(LINES_PER_SECOND, BURST_LINES))),
            tx,
            overflowed: Arc::default(),
        })
    }

    /// Queues a record that was formatted, or leaves it out; never waits.
    pub(crate) fn push(&self, record: &log::Record<'_>) {
        let kind = (
            record.module_path_static().unwrap_or_default(),
            record.line().unwrap_or(0),
        );
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = limiter.decide(kind, self.clock.now());
        drop(limiter);
        let LineVerdict::Write { dropped } = verdict else {
            metrics::counter!("log_lines_dropped_total", "cause" => "rate").increment(1);
            return;
        };
        let mut line = record.args().to_string();
        let lost = self.overflowed.swap(0, Ordering::Relaxed);
        if dropped + lost > 0 && line.ends_with('}') {
            line.pop();
            line.push_str(&format!(",\"dropped_before\":{}}}", dropped + lost));
        }
        line.push('\n');
        if self.tx.try_send(line).is_err() {
            self.overflowed.fetch_add(1 + lost, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped_total", "cause" => "queue").increment(1);
        }
    }
}

fn write_lines(rx: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = rx.recv() {
        // Nobody is left to be told when the log itself cannot be written.
        if out
            .write_all(line.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            return;
        }
    }
}
