//! Stand-ins for the platform, its engines and its clients, for the cases of the second review.
//!
//! They use the standard library only. All addresses are loopback addresses, and each case has a network of its
//! own.

pub mod client;
pub mod config;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod json;
pub mod proxy;
pub mod record;
pub mod store;

use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

/// Returns whether the case runs with its disruption, which `TROUBLE=0` leaves out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a loopback address that differs between processes that run at the same time.
pub fn own_ip(last: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 20 + (pid >> 8 & 0x7f) as u8, (pid & 0xff) as u8, last)
}

/// Listens on a free port.
pub fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port")
}

/// Sleeps for some milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until `is_done` holds, for `timeout` at most; returns whether it does.
pub fn wait_until(timeout: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let started = std::time::Instant::now();
    while started.elapsed() < timeout {
        if is_done() {
            return true;
        }
        sleep_ms(20);
    }
    is_done()
}
