//! Gateways as processes.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Ports of each gateway; each has a loopback address of its own.
const CALLERS_PORT: u16 = 23_100;
const HEALTH_PORT: u16 = 23_101;
const PEERS_PORT: u16 = 23_110;

/// Creates a temporary folder for settings and logs.
pub fn workdir() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder can be created");
    dir
}

/// Returns the loopback address of a gateway; concurrent scripts use different networks.
pub fn gateway_ip(index: usize) -> String {
    let network = 10 + std::process::id() % 200;
    format!("127.{network}.7.{}", 1 + index)
}

/// One gateway.
pub struct GatewayProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    dir: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Writes the settings of gateway `index`, as the platform's deploy page shows them.
    pub fn new(dir: &Path, index: usize, zone: &str, store: SocketAddr) -> Self {
        let ip = gateway_ip(index);
        let seed = gateway_ip(usize::from(index == 0));
        let name = format!("front-{zone}-{}", index + 1);
        let text = format!(
            "nodeName: \"{name}\"\nrole: \"gateway\"\nmachineClass: \"front\"\n\
             serves:\n  - \"front\"\n  - \"control\"\nip: \"{ip}\"\nzone: \"{zone}\"\n\
             region: \"trinacria\"\nlisten:\n  front: \"{ip}:{CALLERS_PORT}\"\n  \
             ready: \"{ip}:{HEALTH_PORT}\"\n  control: \"{ip}:{PEERS_PORT}\"\n\
             portRange:\n  - {PEERS_PORT}\n  - {last}\n\
             seeds:\n  - \"{seed}:{PEERS_PORT}\"\nbootstrap: true\nlossCounts: false\n\
             limits:\n  cpuShare: 0.19\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n\
             dataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n\
             bounds:\n  stableWindowMs: 3000\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  \
             configMs: 2000\n  rollbackSlackMs: 250\n  retryBudgetRatio: 0.8\n  \
             budgetWindowS: 10\n  retrySlack: 150\n  recoverS: 12\n\
             platform:\n  address: \"{store}\"\n  form: \"kv\"\n  writesPerS: 400\n  \
             readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n",
            last = PEERS_PORT + 15,
        );
        let settings = dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("settings can be written");
        let addr = |port: u16| format!("{ip}:{port}").parse().expect("a valid address");
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        Self {
            name,
            callers: addr(CALLERS_PORT),
            health: addr(HEALTH_PORT),
            program: root.join("target/release/cactusbarrowd"),
            settings,
            dir: dir.to_owned(),
            starts: 0,
            child: None,
        }
    }

    /// Starts the process as the deploy file does.
    pub fn start(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        let log = File::create(
            self.dir
                .join(format!("{}-{}.jsonl", self.name, self.starts)),
        )?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .env("CACTUSBARROW_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &pid])
                .status();
        }
    }

    /// Writes the settings file again with a new field, as the platform may at any time.
    pub fn touch_settings(&self) {
        if let Ok(text) = std::fs::read_to_string(&self.settings) {
            let base = text.split("newField").next().unwrap_or(&text);
            let _ = std::fs::write(&self.settings, format!("{base}newField: 1\n"));
        }
    }

    /// Sends a signal by its number without starting a process for it.
    pub fn signal_now(&self, signal: i32) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        let pid = pid.and_then(rustix::process::Pid::from_raw);
        let signal = rustix::process::Signal::from_named_raw(signal);
        if let (Some(pid), Some(signal)) = (pid, signal) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))));
        if ended {
            self.child = None;
        }
        ended
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
