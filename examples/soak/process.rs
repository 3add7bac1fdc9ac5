//! Gateways that run as processes.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use anyhow::Context;
use cactusbarrow_adapter_standins::{reserved_network, settings_yaml_with_grace};
use rustix::process::{Pid, Signal, kill_process};

/// How gateways are started: on one loopback address each, all with the same ports.
#[derive(Clone, Debug)]
pub(crate) struct LaunchConfig {
    /// Executable of the daemon.
    pub(crate) program: PathBuf,
    /// Directory of settings and logs.
    pub(crate) dir: PathBuf,
    /// First of the consecutive ports of each gateway.
    pub(crate) base_port: u16,
    /// Grace period of a graceful stop.
    pub(crate) grace: Duration,
}

/// One gateway: its settings, and its process if it runs.
#[derive(Debug)]
pub(crate) struct GatewayProcess {
    name: String,
    launch: LaunchConfig,
    settings: PathBuf,
    child: Option<Child>,
    start_count: u32,
    /// Whether the running process was sent SIGTERM or SIGKILL.
    is_termination_requested: bool,
}

impl GatewayProcess {
    /// Writes the settings of gateway `index`, which reaches the store at `store`.
    pub(crate) fn new(
        launch: &LaunchConfig,
        index: usize,
        store: SocketAddr,
    ) -> anyhow::Result<Self> {
        let (ip, seed) = (gateway_ip(index), gateway_ip(usize::from(index == 0)));
        let (ip, seed) = (ip.to_string(), seed.to_string());
        let name = format!("gateway-{index}");
        let settings = launch.dir.join(format!("{name}.yaml"));
        let (port, grace) = (launch.base_port, launch.grace);
        let text = settings_yaml_with_grace(&name, &ip, port, &seed, store, grace);
        std::fs::write(&settings, text).context("write settings")?;
        Ok(Self {
            name,
            launch: launch.clone(),
            settings,
            child: None,
            start_count: 0,
            is_termination_requested: false,
        })
    }

    /// Starts the process; each start logs to a file of its own.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        self.start_count += 1;
        let log = self.log_file(self.start_count);
        let log = File::create(&log).with_context(|| format!("create {}", log.display()))?;
        let child = Command::new(&self.launch.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(log.try_clone().context("share the log file")?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| format!("start {}", self.launch.program.display()))?;
        self.child = Some(child);
        self.is_termination_requested = false;
        Ok(())
    }

    fn log_file(&self, start: u32) -> PathBuf {
        self.launch.dir.join(format!("{}-{start}.jsonl", self.name))
    }

    /// Returns the number of the latest start of the process.
    pub(crate) fn incarnation(&self) -> u32 {
        self.start_count
    }

    /// Returns whether a process was started and its exit has not been observed.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the running process was told to terminate.
    pub(crate) fn is_termination_requested(&self) -> bool {
        self.is_termination_requested
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if matches!(signal, Signal::KILL | Signal::TERM) {
            self.is_termination_requested = true;
        }
        let Some(child) = &self.child else {
            return;
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid
            && let Err(e) = kill_process(pid, signal)
        {
            eprintln!("{}: cannot send signal: {e}", self.name);
        }
    }

    /// Reaps the process if it has exited; returns a description of an exit that was not requested.
    pub(crate) fn reap(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        (!self.is_termination_requested).then(|| self.describe_exit(status))
    }

    fn describe_exit(&self, status: ExitStatus) -> String {
        let log = self.log_file(self.start_count);
        format!(
            "{} exited unexpectedly: {status}; {}",
            self.name,
            log.display()
        )
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have exited already.
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }
}

/// Number of gateways in one /24 subnet of the loopback network.
const GATEWAYS_PER_SUBNET: usize = 200;

/// Returns the loopback address of a gateway; concurrent soaks use different networks.
pub(crate) fn gateway_ip(index: usize) -> Ipv4Addr {
    let (subnet, host) = (index / GATEWAYS_PER_SUBNET, index % GATEWAYS_PER_SUBNET);
    Ipv4Addr::new(127, reserved_network(), 1 + subnet as u8, 1 + host as u8)
}

/// Returns the path of the daemon that was built beside this program.
pub(crate) fn find_daemon(current_exe: &Path) -> anyhow::Result<PathBuf> {
    let mut dirs = current_exe.ancestors().skip(1).take(2);
    dirs.find_map(|dir| {
        let program = dir.join("cactusbarrowd");
        program.is_file().then_some(program)
    })
    .context("cactusbarrowd is not built; run `cargo build` with the same profile first")
}
