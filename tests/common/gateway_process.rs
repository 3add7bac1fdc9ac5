//! A gateway that runs as a process, and its log.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use cactusbarrow_adapter_standins::{reserved_network, settings_yaml_with_grace};
use rustix::process::{Pid, Signal, kill_process};

const BASE_PORT: u16 = 24_900;

/// A gateway process, whose log is read from a pipe.
pub(crate) struct GatewayProcess {
    child: Child,
    log: BufReader<ChildStdout>,
    pub(crate) callers: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Starts a gateway at an address of this process's loopback network; each test uses other hosts.
    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn start(host: u8, store: SocketAddr, grace: Duration) -> Self {
        Self::start_with_edits(host, store, grace, &[])
    }

    /// Starts a gateway with parts of its settings' text replaced.
    pub(crate) fn start_with_edits(
        host: u8,
        store: SocketAddr,
        grace: Duration,
        edits: &[(&str, &str)],
    ) -> Self {
        let ip = &format!("127.{}.0.{host}", reserved_network());
        let mut settings = settings_yaml_with_grace("gateway", ip, BASE_PORT, ip, store, grace);
        for (from, to) in edits {
            assert!(settings.contains(from), "the settings have no {from:?}");
            settings = settings.replace(from, to);
        }
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("gateway-{ip}.yaml"));
        std::fs::write(&file, settings).expect("a file can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactusbarrowd"))
            .args(["gateway", "--settings"])
            .arg(file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let log = BufReader::new(child.stdout.take().expect("a piped log"));
        let callers = format!("{ip}:{BASE_PORT}").parse().expect("an address");
        Self {
            child,
            log,
            callers,
        }
    }

    /// Reads the log until a line that contains `text`.
    pub(crate) fn wait_for_line(&mut self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let count = self.log.read_line(&mut line).expect("the log is text");
            assert!(count > 0, "the log ended without {text:?}");
        }
    }

    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory that the process has had so far.
    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn peak_memory_bytes(&self) -> usize {
        let file = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(file).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let kilobytes = kilobytes.and_then(|kilobytes| kilobytes.trim().parse::<usize>().ok());
        kilobytes.expect("a size") * 1_024
    }

    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a signal can be sent");
    }

    /// Reads the rest of the log and returns it with the exit code, if the process has one.
    #[allow(dead_code, reason = "each test file uses some of the functions")]
    pub(crate) fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log is text");
        let status = self.child.wait().expect("the daemon ends");
        (status.code(), log)
    }
}
