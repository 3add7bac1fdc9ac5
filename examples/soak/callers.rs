//! Callers that send requests and judge what they get.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter_standins::CallerHead;
use cactusbarrow_net::{Body, EventSplitter, HttpClient, HttpVersion};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio_util::sync::CancellationToken;

use crate::ledger::{Ledger, Scope, Try};
use crate::process::ip;
use crate::world::{EVENTS, KEY, World, key_of, lock};

/// How long a caller waits for a call and for a generation.
const CALL_PATIENCE: Duration = Duration::from_millis(2_500);
const GENERATION_PATIENCE: Duration = Duration::from_secs(10);

/// Longest pause in a stream before its caller returns elsewhere.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Time after its acceptance in which a configuration has to be in force.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);

/// Time after which an older configuration must not show again.
const REVERT_BOUND: Duration = Duration::from_millis(250);

/// Allowance for the callers' own delays on a busy machine.
const OWN_DELAY: Duration = Duration::from_millis(300);

/// Pause between two requests of a caller.
const THINK_MS: std::ops::Range<u64> = 5..60;

/// What all callers share.
pub(crate) struct Callers {
    pub(crate) world: Arc<World>,
    pub(crate) ledger: Arc<Ledger>,
    next_id: AtomicU64,
    /// Newest version that each gateway has shown: its start, version, time.
    shown: Vec<std::sync::Mutex<(u32, u64, Instant)>>,
}

impl Callers {
    pub(crate) fn new(world: Arc<World>, ledger: Arc<Ledger>) -> Self {
        let gateways = world.gateways.len();
        let never = || std::sync::Mutex::new((0, 0, Instant::now()));
        Self {
            world,
            ledger,
            next_id: AtomicU64::new(1),
            shown: (0..gateways).map(|_| never()).collect(),
        }
    }

    fn draw_id(&self, kind: &str) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{number:x}")
    }
}

/// One caller, with connections that it keeps.
pub(crate) struct Caller {
    all: Arc<Callers>,
    http: HttpClient,
    rng: StdRng,
}

/// How the answer to a generation ended.
struct Received {
    last: u64,
    is_ended: bool,
}

impl Caller {
    pub(crate) fn new(all: Arc<Callers>, seed: u64) -> Self {
        Self {
            all,
            http: HttpClient::new(HttpVersion::Http1),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sends one request after the other until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            match self.rng.random_range(0..100) {
                0..40 => self.call("read").await,
                40..65 => self.call("write").await,
                65..82 => self.generation().await,
                82..92 => self.probe_route().await,
                _ => self.probe_removed_key().await,
            }
            let pause = self.rng.random_range(THINK_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn draw_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.all.world.gateways.len())
    }

    async fn send(
        &self,
        gateway: usize,
        head: &CallerHead<'_>,
        method: &str,
    ) -> Option<Response<Incoming>> {
        let addr = format!("{}:{}", ip(gateway), self.all.world.base_port);
        let body = if method == "GET" {
            Body::Empty
        } else {
            Body::full("the body")
        };
        let now = Instant::now();
        let sent = Try {
            gateway,
            sent: now,
            ended: now,
            status: None,
            is_once: head.path.starts_with("/write/"),
        };
        self.all.ledger.record_sent(head.request_id, sent);
        let req = head.encode(addr.parse().ok()?, method, body);
        let sent = self.http.send("call", req);
        let patience = Duration::from_millis(head.deadline_ms) + OWN_DELAY;
        tokio::time::timeout(patience, sent).await.ok()?.ok()
    }

    /// Sends a call and returns its status, if its answer is whole.
    async fn status_of(&self, gateway: usize, head: &CallerHead<'_>, method: &str) -> Option<u16> {
        let exchange = async {
            let res = self.send(gateway, head, method).await?;
            let (head, body) = res.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some((head, body))
        };
        let patience = Duration::from_millis(head.deadline_ms) + OWN_DELAY;
        let answer = tokio::time::timeout(patience, exchange)
            .await
            .ok()
            .flatten();
        let status = answer.as_ref().map(|(head, _)| head.status.as_u16());
        self.all.ledger.record_end(head.request_id, status);
        if let Some((parts, body)) = answer
            && parts.status.is_success()
        {
            self.judge_success(head.request_id, &parts, &body);
        }
        status
    }

    fn judge_success(&self, id: &str, head: &http::response::Parts, body: &Bytes) {
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let is_own = text("cactusbarrow-request-id") == Some(id);
        let signature = text("cactusbarrow-server-signature").unwrap_or("");
        let is_signed = signature.ends_with(&format!(".{id}"));
        let is_whole = body == format!("answer to {id}").as_bytes();
        if !(is_own && is_signed && is_whole) {
            let text = format!("{id}: own {is_own}, signed {is_signed}, whole {is_whole}");
            self.all.ledger.violate("answer whole and its own", text);
        }
    }

    async fn call(&mut self, kind: &'static str) {
        let id = self.all.draw_id(kind);
        let gateway = self.draw_gateway();
        let path = format!("/{kind}/a");
        let method = if kind == "read" { "GET" } else { "POST" };
        let status = self
            .status_of(gateway, &call_head(&id, &path, KEY), method)
            .await;
        self.all.ledger.count(match status {
            Some(200) => "calls served",
            Some(503) => "calls refused",
            Some(_) => "calls failed",
            None => "calls without an answer",
        });
    }

    /// Asks for a route that only the newest configuration has.
    async fn probe_route(&mut self) {
        let gateway = self.draw_gateway();
        let newest = self.all.world.newest();
        let id = self.all.draw_id("probe");
        let path = format!("/v{}/a", newest.version);
        let incarnation = lock(&self.all.world.gateways[gateway]).incarnation();
        let sent = Instant::now();
        let status = self
            .status_of(gateway, &call_head(&id, &path, KEY), "GET")
            .await;
        let after = lock(&self.all.world.gateways[gateway]).incarnation();
        if after != incarnation || self.all.world.newest().version != newest.version {
            return;
        }
        let mut shown = lock(&self.all.shown[gateway]);
        match status {
            Some(200) if (shown.0, shown.1) != (incarnation, newest.version) => {
                *shown = (incarnation, newest.version, Instant::now());
            }
            Some(404) => {
                let is_reverted = (shown.0, shown.1) == (incarnation, newest.version)
                    && sent > shown.2 + REVERT_BOUND;
                drop(shown);
                if is_reverted {
                    let text = format!("{id}: gateway {gateway} fell behind {}", newest.version);
                    self.all.ledger.violate("configuration never reverts", text);
                }
                self.judge_age(gateway, newest.at, sent, &format!("{id}: 404 for {path}"));
            }
            _ => {}
        }
    }

    /// Uses a key that the newest configuration no longer has.
    async fn probe_removed_key(&mut self) {
        let gateway = self.draw_gateway();
        let newest = self.all.world.newest();
        let id = self.all.draw_id("key");
        let key = key_of(newest.previous);
        let sent = Instant::now();
        let status = self
            .status_of(gateway, &call_head(&id, "/read/a", &key), "GET")
            .await;
        if status == Some(200) {
            self.judge_age(
                gateway,
                newest.at,
                sent,
                &format!("{id}: removed key served"),
            );
        }
    }

    fn judge_age(&self, gateway: usize, written: Instant, sent: Instant, text: &str) {
        if sent < written + CONFIG_BOUND + OWN_DELAY {
            return;
        }
        let scopes = [Scope::Store, Scope::Gateway(gateway), Scope::Stop(gateway)];
        if self.all.ledger.is_calm(&scopes, written, sent) {
            let age = sent.saturating_duration_since(written).as_millis();
            let text = format!("{text} at gateway {gateway}, {age} ms after the change");
            self.all
                .ledger
                .violate("configuration in force in time", text);
        }
    }

    /// Asks for a generation, and returns with the last event where it breaks off.
    async fn generation(&mut self) {
        let name = self.all.next_id.fetch_add(1, Ordering::Relaxed);
        let prompt = format!("{name:x}");
        let prefix = format!("c0ffee:200,{prompt}:5000");
        let begun = Instant::now();
        let mut last = 0;
        while begun.elapsed() < GENERATION_PATIENCE {
            let id = self.all.draw_id("stream");
            let gateway = self.draw_gateway();
            let left = GENERATION_PATIENCE.saturating_sub(begun.elapsed());
            let last_id = last.to_string();
            let mut extra = vec![("cactusbarrow-prompt-prefix", prefix.as_str())];
            if last > 0 {
                extra.push(("last-event-id", last_id.as_str()));
            }
            let head = CallerHead {
                request_id: &id,
                path: "/stream/a",
                key: KEY,
                deadline_ms: left.as_millis() as u64,
                extra: &extra,
            };
            let Some(res) = self.send(gateway, &head, "POST").await else {
                self.all.ledger.record_end(&id, None);
                continue;
            };
            let status = res.status().as_u16();
            if status != 200 {
                self.all.ledger.record_end(&id, Some(status));
                self.wait_as_told(&res).await;
                continue;
            }
            let received = self.receive(res, &id, &prompt, last).await;
            last = received.last;
            let status = received.is_ended.then_some(200);
            self.all.ledger.record_end(&id, status);
            if received.is_ended {
                if last != EVENTS {
                    let text = format!("{id}: ended as complete after event {last}");
                    self.all.ledger.violate("generation whole", text);
                }
                self.all.ledger.count("generations served");
                return;
            }
            self.all.ledger.count("generations broken off");
        }
        self.all.ledger.count("generations given up");
    }

    async fn wait_as_told<B>(&self, res: &Response<B>) {
        let wait = res
            .headers()
            .get("retry-after")
            .and_then(|v| v.to_str().ok());
        let wait = wait.and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.1);
        tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.01, 2.0))).await;
    }

    async fn receive(
        &self,
        res: Response<Incoming>,
        id: &str,
        prompt: &str,
        mut last: u64,
    ) -> Received {
        let mut body = res.into_body();
        let mut cutter = EventSplitter::default();
        let is_ended = loop {
            let Ok(frame) = tokio::time::timeout(LONGEST_PAUSE, body.frame()).await else {
                break false;
            };
            match frame {
                None => break cutter.is_empty(),
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        cutter.push(data);
                    }
                }
            }
            while let Ok(Some(event)) = cutter.next_event() {
                let expected = format!("id: {0}\ndata: token {0} of {prompt}\n\n", last + 1);
                if event.bytes != expected.as_bytes() {
                    let got = String::from_utf8_lossy(&event.bytes);
                    let text = format!("{id}: {got:?} in place of {expected:?}");
                    self.all
                        .ledger
                        .violate("no token missing, repeated or mixed", text);
                }
                last += 1;
            }
        };
        Received { last, is_ended }
    }
}

fn call_head<'a>(id: &'a str, path: &'a str, key: &'a str) -> CallerHead<'a> {
    CallerHead {
        request_id: id,
        path,
        key,
        deadline_ms: CALL_PATIENCE.as_millis() as u64,
        extra: &[],
    }
}
