//! Writes log lines on a dedicated thread, so that a stalled log reader never blocks a request.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactusbarrow_net::Clock;

use crate::line_limiter::{LineLimiter, LineVerdict};

/// Capacity of the queue; lines that arrive while it is full are dropped.
const MAX_QUEUED_LINES: usize = 2_048;

/// Rate limit and burst size of each call site.
const MAX_LINES_PER_SECOND: f64 = 100.0;
const MAX_BURST_LINES: f64 = 400.0;

/// Interval at which a flush looks for room in a full queue.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// An item of the queue.
enum QueueItem {
    Line(String),
    /// Asks the writer to respond once it has written all lines before.
    Flush(SyncSender<()>),
}

/// Bounded queue of log lines in front of a writer.
#[derive(Clone)]
pub(crate) struct LineQueue<C> {
    clock: C,
    limiter: Arc<Mutex<LineLimiter>>,
    tx: SyncSender<QueueItem>,
    overflow_count: Arc<AtomicU64>,
}

impl<C: Clock> LineQueue<C> {
    /// Starts the thread that writes lines to `out`.
    pub(crate) fn start(clock: C, out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&rx, out))?;
        Ok(Self {
            clock,
            limiter: Arc::new(Mutex::new(LineLimiter::new(
                MAX_LINES_PER_SECOND,
                MAX_BURST_LINES,
            ))),
            tx,
            overflow_count: Arc::default(),
        })
    }

    /// Queues a formatted record; drops it if the rate limit is exceeded or the queue is full.
    ///
    /// Never blocks on the writer.
    pub(crate) fn push(&self, record: &log::Record<'_>) {
        let call_site = (
            record.module_path_static().unwrap_or_default(),
            record.line().unwrap_or(0),
        );
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = limiter.decide(call_site, self.clock.now());
        drop(limiter);
        let LineVerdict::Write { dropped } = verdict else {
            metrics::counter!("log_lines_dropped_total", "cause" => "rate").increment(1);
            return;
        };
        let mut line = record.args().to_string();
        let overflow = self.overflow_count.swap(0, Ordering::Relaxed);
        if dropped + overflow > 0 && line.ends_with('}') {
            line.pop();
            line.push_str(&format!(",\"dropped_before\":{}}}", dropped + overflow));
        }
        line.push('\n');
        if self.tx.try_send(QueueItem::Line(line)).is_err() {
            self.overflow_count
                .fetch_add(1 + overflow, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped_total", "cause" => "queue").increment(1);
        }
    }

    /// Waits until the lines that are queued now have been written, at most for `timeout`.
    ///
    /// Returns whether they have been written.
    pub(crate) fn flush(&self, timeout: Duration) -> bool {
        let deadline = self.clock.now() + timeout;
        let (tx, written) = sync_channel(1);
        let mut item = QueueItem::Flush(tx);
        loop {
            match self.tx.try_send(item) {
                Ok(()) => break,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(unsent)) => item = unsent,
            }
            if self.clock.now() >= deadline {
                return false;
            }
            std::thread::sleep(FLUSH_INTERVAL);
        }
        let time_left = deadline.saturating_duration_since(self.clock.now());
        written.recv_timeout(time_left).is_ok()
    }
}

fn write_lines(rx: &Receiver<QueueItem>, mut out: impl Write) {
    while let Ok(item) = rx.recv() {
        let line = match item {
            QueueItem::Line(line) => line,
            QueueItem::Flush(written) => {
                // A flush that has timed out needs no response.
                let _ = written.send(());
                continue;
            }
        };
        // A failed write cannot be logged, because the log itself is what failed.
        if out
            .write_all(line.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            return;
        }
    }
}
