//! Processes of the daemon, and of the operators' client.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::time::Duration;

use cactusbarrow_adapter_standins::{reserve_ports, reserved_network};
use cactusbarrow_standins::Caller;

/// Daemon process that is killed when dropped.
pub(crate) struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may already have exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a role with a settings file.
    pub(crate) fn start(role: &str, settings: &Path) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_cactusbarrowd"))
            .args([role, "--settings"])
            .arg(settings)
            .spawn()
            .expect("the daemon starts");
        Self(child)
    }

    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn pid(&self) -> u32 {
        self.0.id()
    }

    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn signal(&self, name: &str) {
        Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status()
            .expect("a signal can be sent");
    }

    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn terminate(&mut self) -> i32 {
        self.signal("-TERM");
        self.0.wait().expect("the daemon ends").code().unwrap_or(-1)
    }
}

/// Returns the addresses at which a process accepts callers, control connections and the operators' requests.
pub(crate) fn reserve_addrs() -> [SocketAddr; 3] {
    let base = reserve_ports(&[Ipv4Addr::LOCALHOST]);
    [base, base + 1, base + 2].map(|port| (Ipv4Addr::LOCALHOST, port).into())
}

/// Writes a file that concurrent processes of this test do not share.
pub(crate) fn write_file(name: &str, text: &str) -> PathBuf {
    let name = format!("{}-{name}", reserved_network());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file can be written");
    path
}

/// Runs the operators' client to its end.
pub(crate) fn run_client(store: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cactusbarrow"))
        .args(["--store", &store.to_string(), "--json"])
        .args(args)
        .output()
        .expect("the client runs")
}

/// Waits until a process reports that it accepts work.
pub(crate) async fn wait_ready(admin: SocketAddr) {
    let caller = Caller::new("");
    for _ in 0..200 {
        let wait = Duration::from_millis(500);
        let ready = caller
            .send(admin, http_get(), "/readyz", &[], "", wait)
            .await;
        if ready.is_ok_and(|res| res.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the process at {admin} is not ready");
}

fn http_get() -> http::Method {
    http::Method::GET
}
