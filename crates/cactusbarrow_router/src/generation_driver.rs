//! Drives one generation: feeds events to its state machine and performs the resulting actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_net::{Clock, HeldBody};
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{
    AttemptEnd, AttemptNumber, BalancingRequest, Generation, GenerationAction, GenerationEvent,
    GenerationId, KeyHash, Outcome, Reason,
};
use cactusbarrow_protocol::generated::control_request::Request;
use cactusbarrow_protocol::generated::{CancelAttempt, GenerateRequest};
use cactusbarrow_protocol::token_run_from_buffer;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::attempt::{self, AttemptEvent, AttemptMessage, FrameStream};
use crate::auth::CustomerPermit;
use crate::refusal::Refusal;
use crate::router::Router;
use crate::sink::{TokenSink, TokenSource};

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Identity and request of the generation that a driver runs.
#[derive(Clone, Debug)]
pub(crate) struct DriverRequest {
    /// Identifier of the generation, the same over all its attempts.
    pub(crate) generation: GenerationId,
    /// Request to the agent; attempt, backend server and prefix are set for each attempt.
    pub(crate) template: GenerateRequest,
    /// Name of the service.
    pub(crate) service: String,
    /// Name of the customer, for queueing and accounting.
    pub(crate) customer: String,
    /// Hash of the caller's idempotency key, if it sent one.
    pub(crate) key: Option<KeyHash>,
    /// Whether no earlier request can have used the idempotency key.
    pub(crate) is_first_use: bool,
    /// Number of tokens that the caller already has; they are not emitted again.
    pub(crate) position: usize,
}

/// An attempt that is already running at an agent and that this router has attached to.
pub(crate) struct AttachedAttempt {
    /// Number of the attempt within its generation.
    pub(crate) attempt: AttemptNumber,
    /// Name of the backend server that runs it.
    pub(crate) backend_server: String,
    /// Control address of its agent.
    pub(crate) control: SocketAddr,
    /// Frames of the attempt, from its first token on.
    pub(crate) frames: FrameStream,
}

/// An attempt that waits in the service's queue.
struct QueuedAttempt {
    attempt: AttemptNumber,
    task: AbortHandle,
}

struct RunningAttempt {
    backend_server: String,
    control: SocketAddr,
    task: AbortHandle,
}

/// Runs one generation until it finishes, fails, or its caller disconnects.
pub(crate) struct GenerationDriver<S: Store + HostList, C: Clock, K> {
    router: Arc<Router<S, C>>,
    req: DriverRequest,
    state_machine: Generation,
    running: HashMap<AttemptNumber, RunningAttempt>,
    queued: Option<QueuedAttempt>,
    excluded: Vec<String>,
    last_reason: Reason,
    is_last_attempt_lost: bool,
    tx: mpsc::Sender<AttemptMessage>,
    rx: mpsc::Receiver<AttemptMessage>,
    permit: CustomerPermit<S, C>,
    /// Counts the tokens of the generation.
    held: HeldBody,
    sink: K,
}

impl<S: Store + HostList, C: Clock, K: TokenSink> GenerationDriver<S, C, K> {
    /// Runs a new generation to its end.
    pub(crate) async fn run_new(
        router: Arc<Router<S, C>>,
        req: DriverRequest,
        permit: CustomerPermit<S, C>,
        sink: K,
    ) {
        let cfg = router.generation_config(&req.service);
        let now = router.clock.now();
        let (state_machine, actions) = Generation::start(cfg, now);
        let mut driver = Self::new(router, req, state_machine, permit, sink);
        if driver.perform_actions(actions).await {
            driver.run().await;
        }
    }

    /// Continues a generation from an attached attempt, whose frames start at its first token.
    pub(crate) async fn run_attached(
        router: Arc<Router<S, C>>,
        req: DriverRequest,
        attached: AttachedAttempt,
        permit: CustomerPermit<S, C>,
        sink: K,
    ) {
        let cfg = router.generation_config(&req.service);
        let now = router.clock.now();
        let state_machine = Generation::take_over(cfg, attached.attempt, req.position, now);
        let mut driver = Self::new(router, req, state_machine, permit, sink);
        let forward = attempt::forward_events(attached.frames, attached.attempt, driver.tx.clone());
        let task = driver.router.tasks.spawn(forward).abort_handle();
        driver.add_running(
            attached.attempt,
            &attached.backend_server,
            attached.control,
            task,
        );
        driver.run().await;
    }

    fn new(
        router: Arc<Router<S, C>>,
        req: DriverRequest,
        state_machine: Generation,
        permit: CustomerPermit<S, C>,
        sink: K,
    ) -> Self {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let held = router.process_memory.begin();
        Self {
            router,
            req,
            state_machine,
            running: HashMap::new(),
            queued: None,
            excluded: Vec::new(),
            last_reason: Reason::NoBackend,
            is_last_attempt_lost: false,
            tx,
            rx,
            permit,
            held,
            sink,
        }
    }

    async fn run(&mut self) {
        let abort_streams = self.router.abort_streams.clone();
        while !self.state_machine.is_done() {
            let wake = self.state_machine.next_wake();
            // Events take precedence over the timer: tokens that are still queued here must not be
            // mistaken for a stall.
            tokio::select! {
                biased;
                () = self.sink.closed() => return,
                () = abort_streams.cancelled() => {
                    log::warn!(
                        generation:% = self.req.generation,
                        tokens = self.state_machine.accepted().len();
                        "generation is cut at the exit"
                    );
                    self.sink.abort().await;
                    return;
                }
                () = self.held.given_up() => {
                    log::warn!(
                        generation:% = self.req.generation,
                        tokens = self.state_machine.accepted().len();
                        "generation is cut for lack of memory"
                    );
                    self.sink.abort().await;
                    return;
                }
                Some((attempt, event)) = self.rx.recv() => {
                    if !self.on_event(attempt, event).await {
                        return;
                    }
                }
                () = sleep_until(wake) => {
                    if !self.apply(GenerationEvent::Tick).await {
                        return;
                    }
                }
            }
        }
    }

    async fn on_event(&mut self, attempt: AttemptNumber, event: AttemptEvent) -> bool {
        match event {
            AttemptEvent::Granted => self.on_granted(attempt).await,
            AttemptEvent::Started { in_flight } => {
                self.on_started(attempt, in_flight);
                let engine_alive = true;
                self.apply(GenerationEvent::AgentHeartbeat {
                    attempt,
                    engine_alive,
                })
                .await
            }
            AttemptEvent::Tokens { offset, tokens } => {
                self.apply(GenerationEvent::Tokens {
                    attempt,
                    offset,
                    tokens: &tokens,
                })
                .await
            }
            AttemptEvent::AgentHeartbeat { engine_alive } => {
                self.apply(GenerationEvent::AgentHeartbeat {
                    attempt,
                    engine_alive,
                })
                .await
            }
            AttemptEvent::MoveRequested => {
                if let Some(running) = self.running.get(&attempt) {
                    self.excluded.push(running.backend_server.clone());
                    self.last_reason = Reason::Moved;
                }
                self.apply(GenerationEvent::MoveRequested { attempt }).await
            }
            AttemptEvent::Ended { length, end } => {
                self.on_ended(attempt, end);
                self.apply(GenerationEvent::Ended {
                    attempt,
                    length,
                    end,
                })
                .await
            }
        }
    }

    async fn apply(&mut self, event: GenerationEvent<'_>) -> bool {
        let now = self.router.clock.now();
        let actions = self.state_machine.handle(event, now, &mut rand::rng());
        self.held
            .resize(self.state_machine.accepted().memory_bytes());
        self.perform_actions(actions).await
    }

    /// Performs actions in order; returns false if the caller has disconnected.
    async fn perform_actions(&mut self, actions: Vec<GenerationAction>) -> bool {
        for action in actions {
            match action {
                GenerationAction::Start { attempt, prefix } => self.start(attempt, prefix),
                GenerationAction::Cancel {
                    attempt,
                    is_suspect,
                } => self.cancel(attempt, is_suspect),
                GenerationAction::Emit { from, to } => {
                    if !self.emit(from, to).await {
                        return false;
                    }
                }
                GenerationAction::Finish(reason) => self.sink.finish(reason).await,
                GenerationAction::GiveUp(outcome, reason) => {
                    let refusal = self.refusal(outcome, reason);
                    self.sink.fail(refusal).await;
                }
            }
        }
        true
    }

    fn start(&mut self, attempt: AttemptNumber, prefix: usize) {
        if self.is_refused_by_stop() {
            self.report_not_started(attempt, AttemptEnd::Shed(Reason::ShuttingDown));
            return;
        }
        // Only a repeat from the start spends retry budget: a refused attempt used no engine time,
        // and an attempt with a prefix preserves tokens that were already generated.
        let is_repeat = self.is_last_attempt_lost && prefix == 0;
        if is_repeat && !self.router.try_retry(&self.req.service, self.last_reason) {
            self.report_not_started(attempt, AttemptEnd::Refused(Reason::RetryBudget));
            return;
        }
        if attempt.0 > 1 {
            let reason = self.last_reason.as_str();
            metrics::counter!("cactusbarrow_resumes_total", "reason" => reason).increment(1);
        }
        let is_resume = prefix > 0;
        let must_wait = !is_resume && self.router.has_queue(&self.req.service);
        if must_wait || !self.launch(attempt, prefix) {
            self.enqueue(attempt, is_resume);
        }
    }

    /// Returns whether the shutdown has begun before any engine can have run the generation, whose time nothing bounds.
    ///
    /// One that may have run goes on: its caller cannot be told that it has not.
    fn is_refused_by_stop(&self) -> bool {
        !self.state_machine.may_have_run() && self.router.stopping.is_cancelled()
    }

    /// Starts an attempt at a backend server; returns false if none has a free slot.
    fn launch(&mut self, attempt: AttemptNumber, prefix: usize) -> bool {
        let template = &self.req.template;
        let req = BalancingRequest {
            prompt: Some(template.prompt.as_bytes()),
            is_resume: prefix > 0,
        };
        let choose = |excluded: &[String]| {
            let version = Some(template.version.as_str());
            self.router
                .choose(&self.req.service, version, req, excluded)
        };
        // If every server is excluded, those that refused earlier may have a free slot by now.
        let Some(server) = choose(&self.excluded).or_else(|| choose(&[])) else {
            return false;
        };
        let mut req = template.clone();
        req.attempt = attempt.0;
        req.backend_server = server.name().to_owned();
        req.prefix = Some(token_run_from_buffer(
            self.state_machine.accepted(),
            0..prefix,
        ));
        let http = self.router.agent_client.clone();
        let run = attempt::run(http, server.agent_address(), req, self.tx.clone());
        let task = self.router.tasks.spawn(run).abort_handle();
        self.add_running(attempt, server.name(), server.control_address(), task);
        true
    }

    fn add_running(
        &mut self,
        attempt: AttemptNumber,
        backend_server: &str,
        control: SocketAddr,
        task: AbortHandle,
    ) {
        let (service, customer) = (&self.req.service, &self.req.customer);
        self.router.load().record_start(backend_server);
        self.router.record_attempt_start(service, customer);
        let running = RunningAttempt {
            backend_server: backend_server.to_owned(),
            control,
            task,
        };
        self.running.insert(attempt, running);
    }

    fn remove_running(&mut self, attempt: AttemptNumber) -> Option<RunningAttempt> {
        let running = self.running.remove(&attempt)?;
        let (service, customer) = (&self.req.service, &self.req.customer);
        self.router.load().record_end(&running.backend_server);
        self.router.record_attempt_end(service, customer);
        Some(running)
    }

    /// Queues an attempt, or sheds it if the expected wait exceeds the generation's deadline.
    fn enqueue(&mut self, attempt: AttemptNumber, is_resume: bool) {
        let deadline = self.state_machine.give_up_at();
        let queued_request =
            self.router
                .enqueue(&self.req.service, &self.req.customer, is_resume, deadline);
        let Some(queued_request) = queued_request else {
            self.report_not_started(attempt, AttemptEnd::Shed(Reason::QueueTooLong));
            return;
        };
        let tx = self.tx.clone();
        let may_have_run = self.state_machine.may_have_run();
        let stopping = self.router.stopping.clone();
        let wait = async move {
            let event = tokio::select! {
                is_granted = queued_request.wait() => is_granted.then_some(AttemptEvent::Granted),
                () = stopping.cancelled(), if !may_have_run => Some(AttemptEvent::Ended {
                    length: 0,
                    end: AttemptEnd::Shed(Reason::ShuttingDown),
                }),
            };
            if let Some(event) = event {
                // The send fails only if the driver has ended; a grant is then not needed.
                let _ = tx.send((attempt, event)).await;
            }
        };
        let task = self.router.tasks.spawn(wait).abort_handle();
        self.queued = Some(QueuedAttempt { attempt, task });
        self.state_machine.set_queued(attempt);
    }

    async fn on_granted(&mut self, attempt: AttemptNumber) -> bool {
        let is_queued = self.queued.as_ref().is_some_and(|q| q.attempt == attempt);
        if !is_queued {
            self.router.grant_next(&self.req.service);
            return true;
        }
        self.queued = None;
        let prefix = self.state_machine.accepted().len();
        if self.is_refused_by_stop() {
            self.report_not_started(attempt, AttemptEnd::Shed(Reason::ShuttingDown));
            return true;
        }
        if self.launch(attempt, prefix) {
            // More than one slot may be free.
            self.router.grant_next(&self.req.service);
            return self.apply(GenerationEvent::Launched { attempt }).await;
        }
        self.enqueue(attempt, prefix > 0);
        true
    }

    /// Queues an end event for an attempt that could not be started.
    fn report_not_started(&mut self, attempt: AttemptNumber, end: AttemptEnd) {
        let event = AttemptEvent::Ended { length: 0, end };
        let tx = self.tx.clone();
        // Sent from another task: the channel may be full, and this task is its only receiver, so
        // sending here would deadlock.
        self.router
            .tasks
            .spawn(async move { tx.send((attempt, event)).await });
    }

    fn cancel(&mut self, attempt: AttemptNumber, is_suspect: bool) {
        if let Some(queued) = self.queued.take_if(|q| q.attempt == attempt) {
            queued.task.abort();
        }
        let Some(running) = self.remove_running(attempt) else {
            return;
        };
        running.task.abort();
        if is_suspect {
            let now = self.router.clock.now();
            self.router
                .load()
                .record_failure(&running.backend_server, now);
            self.excluded.push(running.backend_server.clone());
            self.is_last_attempt_lost = true;
            self.last_reason = Reason::Stalled;
        }
        let cancel = Request::Cancel(CancelAttempt {
            generation: self.req.generation.to_bytes().to_vec().into(),
            attempt: attempt.0,
        });
        let control = self.router.control.clone();
        self.router.tasks.spawn(async move {
            let cancelled = control.call(running.control, cancel, CANCEL_TIMEOUT).await;
            if let Err(e) = cancelled {
                log::debug!(step = "cancel attempt", peer = e.peer; "{e}");
            }
        });
    }

    async fn emit(&mut self, from: usize, to: usize) -> bool {
        self.permit.charge(to - from);
        let from = from.max(self.req.position);
        if from >= to {
            return true;
        }
        let attempt = self.state_machine.current_attempt().unwrap_or_default();
        let backend_server = self
            .running
            .get(&attempt)
            .map_or("", |running| running.backend_server.as_str());
        let source = TokenSource {
            attempt,
            backend_server,
        };
        self.sink
            .write_tokens(self.state_machine.accepted(), from..to, source)
            .await
    }

    fn on_started(&mut self, attempt: AttemptNumber, in_flight: usize) {
        let Some(running) = self.running.get(&attempt) else {
            return;
        };
        let load = cactusbarrow_policy::BackendLoad {
            in_flight,
            is_draining: false,
            is_alive: true,
        };
        self.router
            .load()
            .record_report(&running.backend_server, load);
        if self.req.key.is_some() || attempt.0 > 1 {
            self.router
                .clone()
                .record_backend_server(&self.req, attempt, &running.backend_server);
        }
    }

    fn on_ended(&mut self, attempt: AttemptNumber, end: AttemptEnd) {
        let Some(running) = self.running.get(&attempt) else {
            return;
        };
        let now = self.router.clock.now();
        let server = running.backend_server.clone();
        let mut load = self.router.load();
        match end {
            AttemptEnd::Finished(_) | AttemptEnd::Rejected(_) | AttemptEnd::Shed(_) => {}
            AttemptEnd::Refused(reason) => {
                if reason == Reason::Draining {
                    load.record_draining(&server);
                } else if reason != Reason::BackendFull {
                    load.record_failure(&server, now);
                }
                self.last_reason = reason;
                self.is_last_attempt_lost = false;
                self.excluded.push(server.clone());
            }
            AttemptEnd::Lost(reason) => {
                load.record_failure(&server, now);
                self.last_reason = reason;
                self.is_last_attempt_lost = true;
                self.excluded.push(server.clone());
            }
        }
        drop(load);
        if matches!(end, AttemptEnd::Refused(_)) {
            self.remove_running(attempt);
        }
    }

    fn refusal(&self, outcome: Outcome, reason: Reason) -> Refusal {
        let outcome = match outcome {
            Outcome::NotRun if !self.req.is_first_use => Outcome::Unknown,
            other => other,
        };
        Refusal::new(outcome, reason, "generate").with_message(format!(
            "gave up after {} attempts and {} tokens",
            self.state_machine.stats().attempts,
            self.state_machine.accepted().len()
        ))
    }
}

impl<S: Store + HostList, C: Clock, K> Drop for GenerationDriver<S, C, K> {
    fn drop(&mut self) {
        // Running attempts are not cancelled: agents keep them for a while, so that a caller that
        // reconnects can attach to them.
        if let Some(queued) = &self.queued {
            queued.task.abort();
        }
        for running in self.running.values() {
            running.task.abort();
            self.router.load().record_end(&running.backend_server);
            self.router
                .record_attempt_end(&self.req.service, &self.req.customer);
        }
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
