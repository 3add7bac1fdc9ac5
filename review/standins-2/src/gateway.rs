//! A gateway of the project as a process, started with the command of the deploy file.

use std::fs::File;
use std::io::Read as _;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Program and arguments of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/cactusbarrowd";
const ARGUMENTS: [&str; 1] = ["gateway"];

/// Ports of every gateway; each has an address of its own.
const FRONT_PORT: u16 = 8740;
const READY_PORT: u16 = 8749;
const CONTROL_PORT: u16 = 8748;
const FIRST_PEER_PORT: u16 = 7200;

/// A gateway process, which is killed when it is dropped.
pub struct Gateway {
    pub ip: Ipv4Addr,
    child: Child,
    dir: PathBuf,
}

impl Gateway {
    /// Starts a gateway; `seeds` are the addresses of others, and `store` is the address under `platform`.
    pub fn start(ip: Ipv4Addr, seeds: &[Ipv4Addr], store: SocketAddr) -> Self {
        let dir = std::env::temp_dir().join(format!("review-2-{}-{ip}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let settings = dir.join("settings.yaml");
        std::fs::write(&settings, settings_yaml(ip, seeds, store)).expect("a settings file");
        let log = File::create(dir.join("log.jsonl")).expect("a log file");
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("CACTUSBARROW_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the gateway program; build it first");
        Self { ip, child, dir }
    }

    /// Returns the address to which clients connect.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::from((self.ip, READY_PORT));
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = format!("GET /ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
        let mut response = [0; 12];
        std::io::Write::write_all(&mut stream, request.as_bytes()).is_ok()
            && stream.read_exact(&mut response).is_ok()
            && response.ends_with(b"200")
    }

    /// Sends the process a signal, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), pid])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "signal {name} not sent"
        );
    }

    /// Returns the peak of the process's resident memory in KiB; 0 if it is not known.
    pub fn peak_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.dir.join("log.jsonl")).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns settings with the bounds of the small deployments.
fn settings_yaml(ip: Ipv4Addr, seeds: &[Ipv4Addr], store: SocketAddr) -> String {
    let seeds: String = seeds
        .iter()
        .map(|seed| format!("  - \"{seed}:{CONTROL_PORT}\"\n"))
        .collect();
    let seeds = if seeds.is_empty() {
        "seeds: []\n".to_owned()
    } else {
        format!("seeds:\n{seeds}")
    };
    let last_peer_port = FIRST_PEER_PORT + 15;
    format!(
        "nodeName: \"front-{ip}\"\nrole: \"gateway\"\nmachineClass: \"front\"\n\
         serves:\n  - \"front\"\n  - \"control\"\n\
         ip: \"{ip}\"\nzone: \"zona-pa\"\nregion: \"trinacria\"\n\
         listen:\n  front: \"{ip}:{FRONT_PORT}\"\n  ready: \"{ip}:{READY_PORT}\"\n  control: \"{ip}:{CONTROL_PORT}\"\n\
         portRange:\n  - {FIRST_PEER_PORT}\n  - {last_peer_port}\n\
         {seeds}bootstrap: true\nlossCounts: false\n\
         limits:\n  cpuShare: 0.19\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n\
         dataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n\
         bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  stableWindowMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  \
         drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  configMs: 2000\n  rollbackSlackMs: 250\n  \
         maxStretchMs: 5000\n  strictRevoke: false\n  revokeMs: 5000\n  retryBudgetRatio: 0.8\n  \
         budgetWindowS: 10\n  retrySlack: 150\n  recoverS: 12\n  passMs: 120\n  againS: 7.4\n\
         platform:\n  address: \"{store}\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  \
         valueBytes: 1048576\n  ttlMinMs: 1000\n"
    )
}
