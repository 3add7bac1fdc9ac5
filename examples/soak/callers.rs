//! Callers that send requests and check the responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter_standins::{CallerHead, DeadlyRequest};
use cactusbarrow_net::{Body, EventSplitter, HttpClient, HttpVersion};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio_util::sync::CancellationToken;

use crate::balancer::Balancer;
use crate::client::{Client, SentWhole};
use crate::environment::{
    ENGINE_PACE, EVENT_INTERVAL, EVENTS_PER_GENERATION, Environment, ONCE_PREFIX, PERMANENT_KEY,
    SERVICES, lock, version_key,
};
use crate::ledger::{Attempt, Ledger, RequestKind, Scope};
use crate::process::gateway_ip;
use crate::scenarios::SLOWDOWN;
use crate::stop_costs::{Operation, OperationEnd};

/// Time that a caller waits for the response to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that a caller spends on one generation, all its attempts included.
pub(crate) const GENERATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a caller behind the load balancer spends on one generation: the engines may be slow.
pub(crate) const LONG_GENERATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest pause in a stream before its caller resumes at another gateway.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after its acceptance within which every gateway has to adopt a configuration.
const CONFIG_ADOPTION_BOUND: Duration = Duration::from_millis(2_000);

/// Time after which a gateway that has served a configuration must not serve an older one.
const REVERT_BOUND: Duration = Duration::from_millis(250);

/// Allowance for delays in the callers themselves on a busy host.
const CALLER_DELAY_ALLOWANCE: Duration = Duration::from_millis(300);

/// Pause between two requests of a caller, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 5..60;

/// Time between the connect of a late request and its head, in milliseconds.
const LATE_CONNECT_MS: std::ops::Range<u64> = 0..900;

/// Pause between two requests that end backend servers, of one caller, in milliseconds.
const DEADLY_THINK_TIME_MS: std::ops::Range<u64> = 200..700;

/// Prefix of the ids of requests that end backend servers.
pub(crate) const DEADLY_ID_PREFIX: &str = "deadly-";

/// Prefix of the ids of prompts of which a shared part ends engines; the part and a number follow.
pub(crate) const DEADLY_PART_ID_PREFIX: &str = "deadly-part-";

/// Prefix of the ids of whole requests that end servers; a name and a number follow.
pub(crate) const DEADLY_REQUEST_ID_PREFIX: &str = "deadly-request-";

/// Body of all other requests.
const BODY: &str = "the body";

/// Part that all prompts have in common.
const COMMON_PART: &str = "c0ffee:200";

/// Prompt tokens and output tokens of a generation.
#[derive(Clone, Copy, Debug)]
struct GenerationTokens {
    prompt: u64,
    output: u64,
}

/// Sizes of generations at engines that run them by [`ENGINE_PACE`]: 0.6, 3 and 7 s, the first one most often.
const GENERATION_SIZES: [GenerationTokens; 6] = [
    GenerationTokens::new(500, 128),
    GenerationTokens::new(500, 128),
    GenerationTokens::new(500, 128),
    GenerationTokens::new(500, 128),
    GenerationTokens::new(5_000, 560),
    GenerationTokens::new(5_000, 1_600),
];

impl GenerationTokens {
    const fn new(prompt: u64, output: u64) -> Self {
        Self { prompt, output }
    }

    /// Returns the time that the generation takes at the slowest pace of its engine.
    fn longest_time(self) -> Duration {
        let read = Duration::from_millis(self.prompt / ENGINE_PACE.prompt_tokens_per_ms);
        let events = self.output / ENGINE_PACE.tokens_per_event;
        let write = EVENT_INTERVAL.mul_f64(events as f64 * SLOWDOWN.end);
        read + write + CALLER_DELAY_ALLOWANCE
    }

    /// Returns the value of the header that names the tokens.
    fn header(self) -> String {
        format!("{},{}", self.prompt, self.output)
    }
}

/// State that all callers of a run share.
pub(crate) struct CallerContext {
    pub(crate) environment: Arc<Environment>,
    pub(crate) ledger: Arc<Ledger>,
    next_id: AtomicU64,
    /// Newest version that each gateway has served: its incarnation, the version, and when it was
    /// first served.
    served_versions: Vec<std::sync::Mutex<(u32, u64, Instant)>>,
}

impl CallerContext {
    pub(crate) fn new(environment: Arc<Environment>, ledger: Arc<Ledger>) -> Self {
        let gateways = environment.gateways.len();
        let unserved = || std::sync::Mutex::new((0, 0, Instant::now()));
        Self {
            environment,
            ledger,
            next_id: AtomicU64::new(1),
            served_versions: (0..gateways).map(|_| unserved()).collect(),
        }
    }

    fn create_id(&self, kind: &str) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{number:x}")
    }
}

/// One caller, with its persistent connections.
pub(crate) struct Caller {
    shared: Arc<CallerContext>,
    http: HttpClient,
    /// Client of the load balancer, if the caller connects through it.
    client: Option<Client>,
    /// Time that the current request takes at the slowest pace of its engine, if that depends on its size.
    needed: Duration,
    /// Time to wait before a retry, as the last response to a call names it.
    retry_after: Duration,
    rng: StdRng,
}

/// How far a generation came, over all attempts of its caller.
#[derive(Default)]
struct Progress {
    last_event: u64,
    /// Id of the attempt that brought the first event.
    first_attempt: Option<String>,
    /// Software version that wrote the events so far.
    software: Option<String>,
}

impl Caller {
    pub(crate) fn new(shared: Arc<CallerContext>, seed: u64) -> Self {
        Self {
            shared,
            http: HttpClient::new(HttpVersion::Http1),
            client: None,
            needed: Duration::ZERO,
            retry_after: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Creates a caller behind a load balancer.
    pub(crate) fn behind(shared: Arc<CallerContext>, seed: u64, balancer: Arc<Balancer>) -> Self {
        let client = Client::new(balancer, shared.environment.base_port);
        Self {
            client: Some(client),
            ..Self::new(shared, seed)
        }
    }

    /// Sends one request after the other until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            match self.rng.random_range(0..100) {
                kind if self.client.is_some() => match kind {
                    0..15 => self.call("read").await,
                    15..30 => self.call("write").await,
                    30..50 => self.run_once_generation().await,
                    _ => self.run_generation().await,
                },
                0..40 => self.call("read").await,
                40..65 => self.call("write").await,
                65..82 => self.run_generation().await,
                82..92 => self.probe_route().await,
                _ => self.probe_removed_key().await,
            }
            let pause = self.rng.random_range(THINK_TIME_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn draw_gateway(&mut self) -> usize {
        match &mut self.client {
            Some(client) => client.choose_gateway(&mut self.rng).await,
            None => {
                let count = self.shared.environment.gateways.len();
                self.rng.random_range(0..count)
            }
        }
    }

    async fn send(
        &mut self,
        gateway: usize,
        head: &CallerHead<'_>,
        method: &str,
        body: &str,
    ) -> Option<Response<Incoming>> {
        let addr = format!(
            "{}:{}",
            gateway_ip(gateway),
            self.shared.environment.base_port
        );
        let sent_whole = SentWhole::default();
        let body = if method == "GET" {
            Body::Empty
        } else if let Some(client) = &self.client {
            client.draw_body(body, &sent_whole, &mut self.rng)
        } else {
            Body::full(body.to_owned())
        };
        let now = Instant::now();
        let attempt = Attempt {
            gateway,
            sent_at: now,
            timeout: Duration::from_millis(head.deadline_ms),
            needed: self.needed,
            sent_whole_at: None,
            answered_at: None,
            ended_at: now,
            status: None,
            service: SERVICES[usize::from(!head.path.starts_with("/stream/"))],
            kind: RequestKind::of_path(head.path),
        };
        self.shared.ledger.record_sent(head.request_id, attempt);
        let req = head.encode(addr.parse().ok()?, method, body);
        let exchange = async {
            match &mut self.client {
                Some(client) => client.send(req).await,
                None => self.http.send("call", req).await.ok(),
            }
        };
        let timeout = Duration::from_millis(head.deadline_ms) + CALLER_DELAY_ALLOWANCE;
        let response = tokio::time::timeout(timeout, exchange).await.ok().flatten();
        if let Some(at) = *lock(&sent_whole) {
            self.shared.ledger.record_sent_whole(head.request_id, at);
        }
        let response = response?;
        self.shared.ledger.record_answered(head.request_id);
        Some(response)
    }

    /// Sends a call and returns its status if the response is complete.
    async fn call_status(
        &mut self,
        gateway: usize,
        head: &CallerHead<'_>,
        method: &str,
    ) -> Option<u16> {
        self.status_of(gateway, head, method, BODY).await
    }

    /// Does the same with another body.
    async fn status_of(
        &mut self,
        gateway: usize,
        head: &CallerHead<'_>,
        method: &str,
        body: &str,
    ) -> Option<u16> {
        let exchange = async {
            let res = self.send(gateway, head, method, body).await?;
            let (head, body) = res.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some((head, body))
        };
        let timeout = Duration::from_millis(head.deadline_ms) + CALLER_DELAY_ALLOWANCE;
        let response = tokio::time::timeout(timeout, exchange).await.ok().flatten();
        let status = response.as_ref().map(|(head, _)| head.status.as_u16());
        self.shared.ledger.record_response(head.request_id, status);
        if let Some((parts, body)) = response {
            self.retry_after = retry_after(&parts, Duration::from_millis(head.deadline_ms));
            if parts.status.is_success() {
                self.check_success(head.request_id, &parts, &body);
            }
        }
        status
    }

    fn check_success(&self, id: &str, head: &http::response::Parts, body: &Bytes) {
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let is_matching = text("cactusbarrow-request-id") == Some(id);
        let signature = text("cactusbarrow-server-signature").unwrap_or("");
        let is_signed = signature.ends_with(&format!(".{id}"));
        let is_complete = body == format!("answer to {id}").as_bytes();
        if !(is_matching && is_signed && is_complete) {
            let text =
                format!("{id}: matching {is_matching}, signed {is_signed}, complete {is_complete}");
            self.shared
                .ledger
                .record_violation("a response is complete and belongs to its request", text);
        }
    }

    /// Sends prompts with a shared part that ends engines, to any gateways, until `until`.
    pub(crate) async fn send_deadly_prompts(mut self, part: String, until: Instant) {
        while Instant::now() < until {
            let id = self
                .shared
                .create_id(&format!("{DEADLY_PART_ID_PREFIX}{part}"));
            let unique = id.replace('-', "");
            let prefix = format!("{COMMON_PART},{part}:400,{unique}:900");
            let head = CallerHead {
                extra: &[("cactusbarrow-prompt-prefix", &prefix)],
                ..call_head(&id, "/stream/a", PERMANENT_KEY)
            };
            let gateway = self.draw_gateway().await;
            self.call_status(gateway, &head, "POST").await;
            let pause = self.rng.random_range(DEADLY_THINK_TIME_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends one request that ends servers, to any gateways, until `until`.
    pub(crate) async fn send_deadly_requests(
        mut self,
        request: DeadlyRequest,
        name: String,
        until: Instant,
    ) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let method = if body.is_empty() { "GET" } else { "POST" };
        while Instant::now() < until {
            let id = format!("{DEADLY_REQUEST_ID_PREFIX}{name}");
            let id = self.shared.create_id(&id);
            let head = call_head(&id, &request.path, PERMANENT_KEY);
            let gateway = self.draw_gateway().await;
            self.status_of(gateway, &head, method, &body).await;
            let pause = self.rng.random_range(DEADLY_THINK_TIME_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Makes a call; a caller behind the load balancer makes it once more if it has not run.
    async fn call(&mut self, kind: &'static str) {
        self.needed = Duration::ZERO;
        let path = format!("/{kind}/a");
        let method = if kind == "read" { "GET" } else { "POST" };
        let gateway = self.draw_gateway().await;
        let mut operation = Operation::begin(RequestKind::of_path(&path), gateway);
        let id = self.call_once(gateway, kind, &path, method).await;
        if self.record_attempt(&mut operation, &id) && self.client.is_some() {
            tokio::time::sleep(self.retry_after).await;
            let gateway = self.draw_gateway().await;
            let id = self.call_once(gateway, kind, &path, method).await;
            self.record_attempt(&mut operation, &id);
        }
        self.record_operation(operation);
    }

    async fn call_once(
        &mut self,
        gateway: usize,
        kind: &'static str,
        path: &str,
        method: &str,
    ) -> String {
        let id = self.shared.create_id(kind);
        let status = self
            .call_status(gateway, &call_head(&id, path, PERMANENT_KEY), method)
            .await;
        self.shared.ledger.increment(match status {
            Some(200) => "calls served",
            Some(503) => "calls refused",
            Some(_) => "calls failed",
            None => "calls without a response",
        });
        id
    }

    /// Records how an attempt at an operation ended; returns whether it may be sent again because it did not run.
    fn record_attempt(&mut self, operation: &mut Operation, id: &str) -> bool {
        let Some(attempt) = self.shared.ledger.attempt(id) else {
            return false;
        };
        let has_not_run = operation.record(&attempt);
        if let Some(client) = &mut self.client {
            client.record_refusal(has_not_run.then_some(attempt.gateway));
        }
        has_not_run
    }

    fn record_operation(&mut self, operation: Operation) {
        if let Some(client) = &mut self.client {
            client.record_refusal(None);
        }
        self.shared.ledger.record_operation(Operation {
            ended_at: Instant::now(),
            ..operation
        });
    }

    /// Calls a route that only the newest configuration contains.
    async fn probe_route(&mut self) {
        let gateway = self.draw_gateway().await;
        let newest = self.shared.environment.newest_config();
        let id = self.shared.create_id("probe");
        let path = format!("/v{}/a", newest.version);
        let incarnation = lock(&self.shared.environment.gateways[gateway]).incarnation();
        let sent_at = Instant::now();
        let status = self
            .call_status(gateway, &call_head(&id, &path, PERMANENT_KEY), "GET")
            .await;
        let after = lock(&self.shared.environment.gateways[gateway]).incarnation();
        if after != incarnation || self.shared.environment.newest_config().version != newest.version
        {
            return;
        }
        let mut served = lock(&self.shared.served_versions[gateway]);
        match status {
            Some(200) if (served.0, served.1) != (incarnation, newest.version) => {
                *served = (incarnation, newest.version, Instant::now());
            }
            Some(404) => {
                let is_reverted = (served.0, served.1) == (incarnation, newest.version)
                    && sent_at > served.2 + REVERT_BOUND;
                drop(served);
                if is_reverted {
                    let text = format!("{id}: gateway {gateway} reverted from {}", newest.version);
                    self.shared
                        .ledger
                        .record_violation("configuration never reverts", text);
                }
                self.check_config_age(
                    gateway,
                    newest.written_at,
                    sent_at,
                    &format!("{id}: 404 for {path}"),
                );
            }
            _ => {}
        }
    }

    /// Makes a call with a key that the newest configuration no longer contains.
    async fn probe_removed_key(&mut self) {
        let gateway = self.draw_gateway().await;
        let newest = self.shared.environment.newest_config();
        let id = self.shared.create_id("key");
        let key = version_key(newest.previous);
        let sent_at = Instant::now();
        let status = self
            .call_status(gateway, &call_head(&id, "/read/a", &key), "GET")
            .await;
        if status == Some(200) {
            self.check_config_age(
                gateway,
                newest.written_at,
                sent_at,
                &format!("{id}: served with a removed key"),
            );
        }
    }

    fn check_config_age(&self, gateway: usize, written_at: Instant, sent_at: Instant, text: &str) {
        if sent_at < written_at + CONFIG_ADOPTION_BOUND + CALLER_DELAY_ALLOWANCE {
            return;
        }
        let ledger = &self.shared.ledger;
        let is_undisrupted = |scopes: &[Scope]| ledger.is_undisrupted(scopes, written_at, sent_at);
        if is_undisrupted(&[Scope::Store]) && is_undisrupted(&Scope::of_gateway(gateway)) {
            let age = sent_at.saturating_duration_since(written_at).as_millis();
            let text = format!("{text} at gateway {gateway}, {age} ms after the change");
            self.shared
                .ledger
                .record_violation("a configuration is adopted in time", text);
        }
    }

    /// Requests a generation, and resumes it after the last event wherever its stream breaks.
    async fn run_generation(&mut self) {
        let number = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let prompt = format!("{number:x}");
        let prefix = format!("{COMMON_PART},{prompt}:5000");
        let size = self.draw_size();
        let usage = size.map(GenerationTokens::header);
        let timeout = size.map_or(GENERATION_TIMEOUT, |_| LONG_GENERATION_TIMEOUT);
        let expected = size.map_or(EVENTS_PER_GENERATION, |size| {
            size.output / ENGINE_PACE.tokens_per_event
        });
        self.needed = size.map_or(Duration::ZERO, GenerationTokens::longest_time);
        let started = Instant::now();
        let mut progress = Progress::default();
        let mut operation = None;
        while started.elapsed() < timeout {
            let id = self.shared.create_id("stream");
            let gateway = self.draw_gateway().await;
            let operation =
                operation.get_or_insert_with(|| Operation::begin(RequestKind::Generation, gateway));
            let time_left = timeout.saturating_sub(started.elapsed());
            let last_id = progress.last_event.to_string();
            let mut extra = vec![("cactusbarrow-prompt-prefix", prefix.as_str())];
            if let Some(usage) = &usage {
                extra.push(("cactusbarrow-token-usage", usage));
            }
            if let Some(first_attempt) = &progress.first_attempt {
                extra.push(("last-event-id", &last_id));
                extra.push(("resumes", first_attempt));
            }
            let head = CallerHead {
                request_id: &id,
                path: "/stream/a",
                key: PERMANENT_KEY,
                deadline_ms: time_left.as_millis() as u64,
                extra: &extra,
            };
            let Some(res) = self.send(gateway, &head, "POST", BODY).await else {
                self.shared.ledger.record_response(&id, None);
                self.record_attempt(operation, &id);
                continue;
            };
            let status = res.status().as_u16();
            if status != 200 {
                self.shared.ledger.record_response(&id, Some(status));
                self.record_attempt(operation, &id);
                let (head, _) = res.into_parts();
                tokio::time::sleep(retry_after(&head, time_left)).await;
                continue;
            }
            let is_complete = self.read_stream(res, &id, &prompt, &mut progress).await;
            let status = is_complete.then_some(200);
            self.shared.ledger.record_response(&id, status);
            self.record_attempt(operation, &id);
            if is_complete {
                let operation = *operation;
                self.record_operation(operation);
                let last_event = progress.last_event;
                if last_event != expected {
                    let text = format!("{id}: ended as complete after event {last_event}");
                    self.shared
                        .ledger
                        .record_violation("a complete generation has all events", text);
                }
                self.shared.ledger.increment("generations served");
                return;
            }
            self.shared.ledger.increment("generations broken off");
        }
        if let Some(operation) = operation {
            let end = OperationEnd::GivenUp;
            self.record_operation(Operation { end, ..operation });
        }
        self.shared.ledger.increment("generations given up");
    }

    /// Requests a generation that cannot be resumed; one that has not run is sent once more.
    async fn run_once_generation(&mut self) {
        let size = GENERATION_SIZES[self.rng.random_range(0..GENERATION_SIZES.len())];
        self.needed = size.longest_time();
        let gateway = self.draw_gateway().await;
        let mut operation = Operation::begin(RequestKind::OnceGeneration, gateway);
        let id = self.run_once_attempt(gateway, size).await;
        if self.record_attempt(&mut operation, &id) {
            tokio::time::sleep(self.retry_after).await;
            let gateway = self.draw_gateway().await;
            let id = self.run_once_attempt(gateway, size).await;
            self.record_attempt(&mut operation, &id);
        }
        self.shared.ledger.increment(match operation.end {
            OperationEnd::Whole => "single generations served",
            OperationEnd::Lost => "single generations lost",
            OperationEnd::GivenUp => "single generations refused",
        });
        self.record_operation(operation);
    }

    async fn run_once_attempt(&mut self, gateway: usize, size: GenerationTokens) -> String {
        let id = self.shared.create_id("once");
        let prompt = id.replace('-', "");
        let prefix = format!("{COMMON_PART},{prompt}:5000");
        let usage = size.header();
        let path = format!("{ONCE_PREFIX}a");
        let head = CallerHead {
            request_id: &id,
            path: &path,
            key: PERMANENT_KEY,
            deadline_ms: LONG_GENERATION_TIMEOUT.as_millis() as u64,
            extra: &[
                ("cactusbarrow-prompt-prefix", &prefix),
                ("cactusbarrow-token-usage", &usage),
            ],
        };
        let mut status = None;
        self.retry_after = Duration::ZERO;
        if let Some(res) = self.send(gateway, &head, "POST", BODY).await {
            status = Some(res.status().as_u16());
            if status == Some(200) {
                let mut progress = Progress::default();
                let is_complete = self.read_stream(res, &id, &prompt, &mut progress).await;
                status = is_complete.then_some(200);
            } else {
                self.retry_after = retry_after(&res.into_parts().0, LONG_GENERATION_TIMEOUT);
            }
        }
        self.shared.ledger.record_response(&id, status);
        id
    }

    /// Sends one request of a drawn kind to a gateway at a time, on a connection that was opened before.
    pub(crate) async fn send_late(mut self, gateway: usize, at: Instant) {
        if let Some(client) = &mut self.client {
            let early = Duration::from_millis(self.rng.random_range(LATE_CONNECT_MS));
            tokio::time::sleep_until((at - early).into()).await;
            client.bind_to(gateway).await;
        }
        tokio::time::sleep_until(at.into()).await;
        match self.rng.random_range(0..4) {
            0 => self.call("read").await,
            1 => self.call("write").await,
            2 => self.run_once_generation().await,
            _ => self.run_generation().await,
        }
    }

    /// Draws the size of a generation; `None` if the engines give all of them the same.
    fn draw_size(&mut self) -> Option<GenerationTokens> {
        self.client.as_ref()?;
        Some(GENERATION_SIZES[self.rng.random_range(0..GENERATION_SIZES.len())])
    }

    /// Reads a stream; returns whether it closed in order after its last whole event.
    async fn read_stream(
        &mut self,
        res: Response<Incoming>,
        id: &str,
        prompt: &str,
        progress: &mut Progress,
    ) -> bool {
        let mut body = res.into_body();
        let mut splitter = EventSplitter::default();
        loop {
            let client = self.client.as_ref();
            if let Some(pause) = client.and_then(|client| client.read_pause(&mut self.rng)) {
                tokio::time::sleep(pause).await;
            }
            let Ok(frame) = tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.frame()).await else {
                return false;
            };
            match frame {
                None => return splitter.is_empty(),
                Some(Err(_)) => return false,
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        splitter.push(data);
                    }
                }
            }
            while let Ok(Some(event)) = splitter.next_event() {
                self.check_event(&event.bytes, id, prompt, progress);
            }
        }
    }

    /// Checks the next event of a generation.
    fn check_event(&self, event: &[u8], id: &str, prompt: &str, progress: &mut Progress) {
        let ledger = &self.shared.ledger;
        let got = String::from_utf8_lossy(event);
        progress.last_event += 1;
        progress.first_attempt.get_or_insert_with(|| id.to_owned());
        let expected = format!(
            "id: {0}\ndata: token {0} of {prompt} by ",
            progress.last_event
        );
        let software = got.strip_prefix(&expected);
        let Some(software) = software.and_then(|rest| rest.strip_suffix("\n\n")) else {
            let text = format!("{id}: got {got:?}, expected {expected:?}");
            ledger.record_violation("no token missing, repeated or mixed", text);
            return;
        };
        let previous = progress.software.replace(software.to_owned());
        if let Some(previous) = previous.filter(|previous| previous != software) {
            let first = progress.first_attempt.as_deref().unwrap_or("");
            let last_event = progress.last_event;
            let text =
                format!("{id} (began as {first}): {software} after {previous}, event {last_event}");
            ledger.record_violation("a stream holds events of one software version", text);
        }
    }
}

/// Returns the time that a response names to wait before a retry; a caller waits for up to a third of its time.
fn retry_after(head: &http::response::Parts, time_left: Duration) -> Duration {
    let wait = head.headers.get("retry-after");
    let wait = wait.and_then(|value| value.to_str().ok());
    let wait = wait.and_then(|value| value.parse::<f64>().ok());
    let longest = time_left.as_secs_f64() / 3.0;
    Duration::from_secs_f64(wait.unwrap_or(0.1).max(0.01).min(longest))
}

fn call_head<'a>(id: &'a str, path: &'a str, key: &'a str) -> CallerHead<'a> {
    CallerHead {
        request_id: id,
        path,
        key,
        deadline_ms: CALL_TIMEOUT.as_millis() as u64,
        extra: &[],
    }
}
