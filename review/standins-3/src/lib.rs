//! Parts that the stand-ins of the third review share: gateways as processes, a plain HTTP client,
//! configurations, and the record of a run.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Host of all routes.
pub const HOST: &str = "ficu.example";

/// Exit code of a run in which the rule was broken.
pub const EXIT_BROKEN: u8 = 1;

/// Exit code of a run that could not be carried out.
pub const EXIT_NOT_RUN: u8 = 2;

/// Time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(100);

/// Record of a run, which is also printed.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> anyhow::Result<Self> {
        let file = File::create(path).with_context(|| format!("create {}", path.display()))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    /// Writes one line with the time since the start of the run.
    pub fn line(&self, text: impl Display) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            // The exit code does not depend on the record.
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// What a case is run with, from the command line and the environment.
pub struct Setup {
    pub record: Record,
    /// Whether the disruption takes place; `TROUBLE=0` leaves it out.
    pub has_trouble: bool,
    daemon: PathBuf,
    work_dir: PathBuf,
}

impl Setup {
    fn from_args() -> anyhow::Result<Self> {
        let args: Vec<String> = std::env::args().collect();
        let [_, daemon, record, work_dir] = args.as_slice() else {
            bail!("usage: CASE DAEMON RECORD WORK_DIR");
        };
        Ok(Self {
            record: Record::create(Path::new(record))?,
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            daemon: daemon.into(),
            work_dir: work_dir.into(),
        })
    }

    /// Starts a gateway with this settings file.
    pub fn start_gateway(&self, name: &str, settings: &str) -> anyhow::Result<Gateway> {
        let file = self.work_dir.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).context("write a settings file")?;
        let log = File::create(self.work_dir.join(format!("{name}.log")))?;
        let child = Command::new(&self.daemon)
            .arg("gateway")
            .env_clear()
            .env("CACTUSBARROW_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .with_context(|| format!("start {}", self.daemon.display()))?;
        self.record
            .line(format!("gateway {name} started, process {}", child.id()));
        Ok(Gateway(child))
    }

    /// Replaces the settings file of a gateway.
    pub fn change_settings(&self, name: &str, settings: &str) -> anyhow::Result<()> {
        let file = self.work_dir.join(format!("{name}.yaml"));
        std::fs::write(file, settings).context("replace a settings file")
    }
}

/// A gateway process, which ends with this value.
pub struct Gateway(Child);

impl Gateway {
    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An engine as a process of its own, which ends with this value.
pub struct EngineProcess(Child);

impl EngineProcess {
    /// Starts `plain_engine`, which stands beside the running program.
    pub fn start(
        address: SocketAddr,
        instance: &str,
        born: u64,
        events: u64,
        interval: Duration,
    ) -> anyhow::Result<Self> {
        let program = std::env::current_exe()?.with_file_name("plain_engine");
        let numbers = [born, events, interval.as_millis() as u64].map(|number| number.to_string());
        let child = Command::new(&program)
            .args([address.to_string(), instance.to_owned()])
            .args(numbers)
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| format!("start {}", program.display()))?;
        Ok(Self(child))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the entry of an engine in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u64, born: u64) -> String {
    json!({
        "service": service, "address": address.to_string(), "zone": zone, "version": "v1", "slots": slots,
        "state": "ready", "coldLeftMs": 0, "sequence": 4, "born": born,
    })
    .to_string()
}

/// Runs a case; it returns whether the rule held.
pub fn run_case<F>(case: impl FnOnce(Setup) -> F) -> ExitCode
where
    F: Future<Output = anyhow::Result<bool>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let result = Setup::from_args().and_then(|setup| {
        let record = setup.record.clone();
        let result = runtime?.block_on(async {
            let result = tokio::time::timeout(LONGEST_RUN, case(setup)).await;
            result.unwrap_or_else(|_| bail!("not done in {} s", LONGEST_RUN.as_secs()))
        });
        match &result {
            Ok(true) => record.line("result: the rule held"),
            Ok(false) => record.line("result: the rule was broken"),
            Err(e) => record.line(format!("result: the case could not run: {e:#}")),
        }
        result
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BROKEN),
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

/// Sizes of a gateway's host, as the settings state them.
pub struct HostSize {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub cores: u64,
}

/// Returns the settings of a gateway at `ip`, whose callers use `port`, health checks `port + 1` and peers `port + 2`;
/// its metrics have the next one.
pub fn settings(
    name: &str,
    ip: &str,
    port: u16,
    seeds: &[&str],
    store: SocketAddr,
    size: &HostSize,
) -> String {
    let peers = port + 2;
    let seeds: String = seeds
        .iter()
        .map(|ip| format!("  - \"{ip}:{peers}\"\n"))
        .collect();
    let HostSize {
        memory_mb,
        max_fds,
        cores,
    } = size;
    format!(
        "nodeName: \"{name}\"\nrole: gateway\nmachineClass: front\nip: \"{ip}\"\nzone: nc-a\n\
         listen:\n  front: \"{ip}:{port}\"\n  ready: \"{ip}:{ready}\"\n  control: \"{ip}:{peers}\"\n\
         portRange:\n  - {peers}\n  - {last}\nseeds:\n{seeds}heartbeatMs: 1200\n\
         limits:\n  cpuShare: 0.19\n  cores: {cores}\n  memoryMb: {memory_mb}\n  maxFds: {max_fds}\n\
         bounds:\n  stableWindowMs: 3000\n  configMs: 2000\n  drainMs: 2000\n  graceS: 8\n  \
         retryBudgetRatio: 0.8\n  retrySlack: 150\n  budgetWindowS: 10\n\
         platform:\n  address: \"{store}\"\n  form: kv\n  writesPerS: 400\n  readsPerS: 2000\n  \
         historyS: 20\n  valueBytes: 1048576\n",
        ready = port + 1,
        last = peers + 13,
    )
}

/// Returns a route of the operator's configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> Value {
    let is_stream = kind == "stream";
    json!({
        "name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": if is_stream { 4_500 } else { 300 }, "priority": 1, "service": service,
        "attempts": match kind { "stream" => 5, "idempotent" => 2, _ => 1 },
        "public": false, "stickySessions": is_stream, "streamResume": is_stream, "gapAimMs": 700,
    })
}

/// Returns a configuration with these routes, limits and tenants, each a name and its keys.
pub fn config(
    version: u64,
    routes: &[Value],
    limits: &Value,
    tenants: &[(String, Vec<String>)],
) -> String {
    let tenants: Vec<Value> = tenants
        .iter()
        .map(|(name, keys)| json!({"name": name, "apiKeys": keys, "priority": 1}))
        .collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
             "engine": {"slots": 64, "kvCapacity": 55_000, "backups": true, "moves": true}},
            {"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
        ],
        "limits": limits,
        "tenants": tenants,
    })
    .to_string()
}

/// Returns the limits of the examples of messages.
pub fn default_limits() -> Value {
    json!({"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000})
}

/// A request of a client.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Further header lines, each with its end.
    pub headers: &'a str,
    pub body: &'a [u8],
}

impl ClientRequest<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let Self {
            method,
            path,
            id,
            key,
            deadline_ms,
            headers,
            body,
        } = self;
        let length = if body.is_empty() && *method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nCactusbarrow-Request-Id: {id}\r\n\
             Cactusbarrow-Key: {key}\r\nCactusbarrow-Deadline-Ms: {deadline_ms}\r\n{headers}{length}\r\n"
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Head of a response, and what of its body was read with it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// Reads the head of a response, and its body if that has a length.
pub async fn read_answer(stream: &mut TcpStream) -> anyhow::Result<Answer> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        let mut buf = [0; 16 << 10];
        let count = stream.read(&mut buf).await?;
        if count == 0 {
            bail!("connection closed after {} bytes of a head", bytes.len());
        }
        bytes.extend_from_slice(&buf[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.context("response without a status")?;
    let mut body = bytes.split_off(end);
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    while let Some(length) = length
        && body.len() < length
    {
        let mut buf = [0; 16 << 10];
        let count = stream.read(&mut buf).await?;
        if count == 0 {
            bail!("connection closed within a body");
        }
        body.extend_from_slice(&buf[..count]);
    }
    Ok(Answer { status, head, body })
}

/// Sends a request on a connection and reads the answer.
pub async fn exchange(stream: &mut TcpStream, req: &ClientRequest<'_>) -> anyhow::Result<Answer> {
    stream.write_all(&req.encode()).await?;
    read_answer(stream).await
}

/// Sends a request on a new connection and reads the answer.
pub async fn ask(to: SocketAddr, req: &ClientRequest<'_>) -> anyhow::Result<Answer> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        exchange(&mut stream, req).await
    };
    tokio::time::timeout(Duration::from_millis(req.deadline_ms), exchange).await?
}

/// Waits until a gateway answers its health check with 200.
pub async fn wait_until_ready(ready: SocketAddr, timeout: Duration) -> anyhow::Result<()> {
    let check = async {
        loop {
            if let Ok(mut stream) = TcpStream::connect(ready).await
                && stream
                    .write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    .await
                    .is_ok()
                && let Ok(answer) = read_answer(&mut stream).await
                && answer.status == 200
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(timeout, check)
        .await
        .context("gateway is not ready in time")
}
