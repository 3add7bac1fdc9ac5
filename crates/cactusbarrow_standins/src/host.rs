//! One process's worth of tasks on a thread of its own, which can be killed or frozen.

use std::future::Future;
use std::thread;
use std::time::Duration;

use tokio::runtime::{Builder, Handle};
use tokio_util::sync::CancellationToken;

/// A runtime on one thread.
///
/// Killing it drops all its tasks and closes their sockets, as the end of a
/// process does. Freezing it stops all of them while their sockets stay open.
#[derive(Debug)]
pub struct Host {
    handle: Handle,
    kill: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
    thread_id: String,
}

/// Returns the processor time that a thread of this process has used, by its number.
pub fn thread_cpu_time(thread_id: &str) -> Duration {
    let path = format!("/proc/self/task/{thread_id}/schedstat");
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

fn own_thread_id() -> String {
    let link = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    let name = link.file_name().unwrap_or_default();
    name.to_string_lossy().into_owned()
}

impl Host {
    /// Starts a host and runs `start` on it; returns when that is done.
    pub async fn start<T, F>(start: F) -> (Self, T)
    where
        F: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        let (handle_tx, handle_rx) = tokio::sync::oneshot::channel();
        let kill = CancellationToken::new();
        let killed = kill.clone();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime can be built");
            // The starter waits for the handle until it is there.
            let _ = handle_tx.send((runtime.handle().clone(), own_thread_id()));
            runtime.block_on(killed.cancelled());
            runtime.shutdown_background();
        });
        let (handle, thread_id) = handle_rx.await.expect("the thread sends its handle");
        let value = handle.spawn(start).await.expect("the start does not panic");
        let host = Self {
            handle,
            kill,
            thread: Some(thread),
            thread_id,
        };
        (host, value)
    }

    /// Runs a future on the host.
    pub fn spawn<F>(&self, future: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.handle.spawn(future)
    }

    /// Returns the processor time that the host's tasks have used.
    pub fn cpu_time(&self) -> Duration {
        thread_cpu_time(&self.thread_id)
    }

    /// Ends the host at once.
    pub fn kill(&self) {
        self.kill.cancel();
    }

    /// Ends the host and waits until its sockets are closed; a frozen host ends when it thaws.
    pub async fn kill_and_wait(&mut self) {
        self.kill();
        if let Some(thread) = self.thread.take() {
            let joined = tokio::task::spawn_blocking(move || thread.join());
            // A panic on the host was reported there.
            let _ = joined.await;
        }
    }

    /// Freezes the host for a time.
    pub fn freeze(&self, time: Duration) {
        self.handle.spawn(async move { thread::sleep(time) });
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
