//! Emulated process of a stand-in, router or agent, which can be killed or frozen.

use std::future::Future;
use std::thread;
use std::time::Duration;

use tokio::runtime::{Builder, Handle};
use tokio_util::sync::CancellationToken;

/// Runtime on a thread of its own that emulates one process.
///
/// Killing it drops all its tasks and closes their sockets, as when a process
/// is killed. Freezing it stops all tasks while their sockets stay open.
#[derive(Debug)]
pub struct EmulatedProcess {
    handle: Handle,
    kill: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
    thread_id: String,
}

/// Returns the CPU time used by a thread of this process; zero if the thread is unknown.
pub fn thread_cpu_time(thread_id: &str) -> Duration {
    let path = format!("/proc/self/task/{thread_id}/schedstat");
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

fn current_thread_id() -> String {
    let link = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    let name = link.file_name().unwrap_or_default();
    name.to_string_lossy().into_owned()
}

impl EmulatedProcess {
    /// Starts a process and runs `start` in it; returns the process and the output of `start`.
    pub async fn start<T, F>(start: F) -> (Self, T)
    where
        F: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        let (handle_tx, handle_rx) = tokio::sync::oneshot::channel();
        let kill = CancellationToken::new();
        let kill_signal = kill.clone();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime can be built");
            // Sending fails only if the caller no longer awaits the handle.
            let _ = handle_tx.send((runtime.handle().clone(), current_thread_id()));
            runtime.block_on(kill_signal.cancelled());
            runtime.shutdown_background();
        });
        let (handle, thread_id) = handle_rx.await.expect("the thread sends its handle");
        let value = handle.spawn(start).await.expect("the start does not panic");
        let process = Self {
            handle,
            kill,
            thread: Some(thread),
            thread_id,
        };
        (process, value)
    }

    /// Spawns a future in the process.
    pub fn spawn<F>(&self, future: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.handle.spawn(future)
    }

    /// Returns the CPU time used by the tasks of the process.
    pub fn cpu_time(&self) -> Duration {
        thread_cpu_time(&self.thread_id)
    }

    /// Kills the process without waiting until it has ended.
    pub fn kill(&self) {
        self.kill.cancel();
    }

    /// Kills the process and waits until its sockets are closed.
    ///
    /// A frozen process ends only when its freeze is over.
    pub async fn kill_and_wait(&mut self) {
        self.kill();
        if let Some(thread) = self.thread.take() {
            let joined = tokio::task::spawn_blocking(move || thread.join());
            // A panic on that thread has already been reported there.
            let _ = joined.await;
        }
    }

    /// Blocks the thread of the process for a duration, so that none of its tasks run.
    pub fn freeze(&self, time: Duration) {
        self.handle.spawn(async move { thread::sleep(time) });
    }
}

impl Drop for EmulatedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
