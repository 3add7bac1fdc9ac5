//! Memory and file descriptors that a process takes, as the operating system reports them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The most that a process has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessUsage {
    /// Resident memory, in bytes.
    pub(crate) memory_bytes: usize,
    /// Resident memory together with the bytes that have arrived for its listeners and were not read.
    pub(crate) with_unread_bytes: usize,
    /// Open file descriptors.
    pub(crate) descriptors: usize,
}

/// Watches a process until it is dropped.
pub(crate) struct UsageWatch {
    pid: u32,
    with_unread_bytes: Arc<AtomicUsize>,
    descriptors: Arc<AtomicUsize>,
    sampling: JoinHandle<()>,
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}

impl UsageWatch {
    /// Begins to watch a process with listeners on `addrs`.
    pub(crate) fn start(pid: u32, addrs: Vec<SocketAddr>) -> Self {
        let (with_unread_bytes, descriptors) = (Arc::default(), Arc::default());
        let (unread_max, descriptors_max): (Arc<AtomicUsize>, Arc<AtomicUsize>) =
            (Arc::clone(&with_unread_bytes), Arc::clone(&descriptors));
        let sampling = tokio::spawn(async move {
            loop {
                if let (Some(memory), Some(count)) = (memory(pid, "VmRSS:"), descriptors_of(pid)) {
                    unread_max.fetch_max(memory + unread_bytes(&addrs), Ordering::Relaxed);
                    descriptors_max.fetch_max(count, Ordering::Relaxed);
                }
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self {
            pid,
            with_unread_bytes,
            descriptors,
            sampling,
        }
    }

    /// Returns the most that the process has taken so far; `None` if it has ended.
    pub(crate) fn peak(&self) -> Option<ProcessUsage> {
        Some(ProcessUsage {
            memory_bytes: memory(self.pid, "VmHWM:")?,
            with_unread_bytes: self.with_unread_bytes.load(Ordering::Relaxed),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        })
    }
}

/// Returns a field of a process's memory, in bytes; `None` if the process has ended.
fn memory(pid: u32, field: &str) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kilobytes: usize = value.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kilobytes * 1_024)
}

fn descriptors_of(pid: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}

/// Returns the bytes in the receive queues of connections to `addrs`.
fn unread_bytes(addrs: &[SocketAddr]) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local: Vec<String> = addrs.iter().filter_map(encode_addr).collect();
    let queued = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let addr = fields.next()?;
        // Of a listener the queue holds connections.
        let is_connection = fields.nth(1)? != "0A";
        let (_, queue) = fields.next()?.split_once(':')?;
        let is_local = is_connection && local.iter().any(|other| other == addr);
        is_local.then(|| usize::from_str_radix(queue, 16).ok())?
    });
    queued.sum()
}

/// Returns an address as the operating system's table writes it.
fn encode_addr(addr: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    Some(format!("{ip:08X}:{:04X}", addr.port()))
}
