//! Gateways as processes of their own.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::Context;
use cactusbarrow_adapter_standins::settings_yaml;
use rustix::process::{Pid, Signal, kill_process};

/// Where gateways live: one loopback address each, the same ports everywhere.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    /// Program that is run.
    pub(crate) program: PathBuf,
    /// Folder of settings and logs.
    pub(crate) folder: PathBuf,
    /// First of the ports.
    pub(crate) base_port: u16,
}

/// One gateway: its settings, and its process if it runs.
#[derive(Debug)]
pub(crate) struct GatewayProcess {
    name: String,
    site: Site,
    settings: PathBuf,
    child: Option<Child>,
    starts: u32,
    /// Whether its end was ordered.
    is_ending: bool,
}

impl GatewayProcess {
    /// Writes the settings of gateway `index`, which reaches the store at `store`.
    pub(crate) fn new(site: &Site, index: usize, store: SocketAddr) -> anyhow::Result<Self> {
        let (ip, seed) = (ip(index), ip(index ^ 1));
        let name = format!("gateway-{index}");
        let settings = site.folder.join(format!("{name}.yaml"));
        let text = settings_yaml(&name, &ip, site.base_port, &seed, store);
        std::fs::write(&settings, text).context("write settings")?;
        Ok(Self {
            name,
            site: site.clone(),
            settings,
            child: None,
            starts: 0,
            is_ending: false,
        })
    }

    /// Starts the process; its log goes to a file of its own.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        self.starts += 1;
        let log = self.log_file(self.starts);
        let log = File::create(&log).with_context(|| format!("create {}", log.display()))?;
        let child = Command::new(&self.site.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(log.try_clone().context("share the log file")?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| format!("start {}", self.site.program.display()))?;
        self.child = Some(child);
        self.is_ending = false;
        Ok(())
    }

    fn log_file(&self, start: u32) -> PathBuf {
        self.site
            .folder
            .join(format!("{}-{start}.jsonl", self.name))
    }

    /// Returns which start of the process runs now.
    pub(crate) fn incarnation(&self) -> u32 {
        self.starts
    }

    /// Returns whether a process was started and has not been seen to end.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the running process was told to end.
    pub(crate) fn is_told_to_end(&self) -> bool {
        self.is_ending
    }

    /// Sends a signal to the process that this soak started.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if matches!(signal, Signal::KILL | Signal::TERM) {
            self.is_ending = true;
        }
        let Some(child) = &self.child else {
            return;
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid
            && let Err(e) = kill_process(pid, signal)
        {
            eprintln!("{}: signal not sent: {e}", self.name);
        }
    }

    /// Takes note of an end; `Some` describes one that nobody ordered.
    pub(crate) fn reap(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        (!self.is_ending).then(|| self.describe(status))
    }

    fn describe(&self, status: ExitStatus) -> String {
        let log = self.log_file(self.starts);
        format!("{} ended by itself: {status}; {}", self.name, log.display())
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended by itself.
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }
}

/// Gateways in one part of the loopback network.
const GATEWAYS_PER_PART: usize = 200;

/// Returns the loopback address of a gateway; soaks that run at once have networks of their own.
pub(crate) fn ip(index: usize) -> String {
    let network = 1 + std::process::id() % 250;
    let (part, host) = (index / GATEWAYS_PER_PART, index % GATEWAYS_PER_PART);
    format!("127.{network}.{}.{}", 1 + part, 1 + host)
}

/// Returns the daemon that was built beside this program.
pub(crate) fn daemon(own: &Path) -> anyhow::Result<PathBuf> {
    let mut folders = own.ancestors().skip(1).take(2);
    folders
        .find_map(|folder| {
            let program = folder.join("cactusbarrowd");
            program.is_file().then_some(program)
        })
        .context("cactusbarrowd is not built; run `cargo build` with the same profile first")
}
