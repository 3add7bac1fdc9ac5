//! Runs an attempt: appends tokens from the engine's stream to the generation's record.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_net::{Clock, NetError};
use cactusbarrow_policy::{FinishReason, GenerationId, Reason};
use cactusbarrow_protocol::generated::EndKind;

use crate::agent::{Agent, AgentPermit};
use crate::engine::{EngineError, EngineEvent, EngineStream};
use crate::generation_table::GenerationRecord;

const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs one attempt to its end, then retains the record for readers that attach later.
pub(crate) async fn run<C: Clock>(
    agent: Arc<Agent<C>>,
    id: GenerationId,
    record: Arc<GenerationRecord>,
    permit: AgentPermit<C>,
) {
    let kind = record_tokens(&agent, id, &record).await;
    let reason = match kind {
        EndKind::Stop | EndKind::Length => "",
        EndKind::Rejected => Reason::BackendError.as_str(),
        EndKind::Refused => Reason::BackendFull.as_str(),
        _ => Reason::EngineLost.as_str(),
    };
    record.end(kind, reason);
    drop(permit);
    let kept = agent.generations.get(id);
    if kept.is_none_or(|kept| kept.attempt != record.attempt) {
        return;
    }
    tokio::select! {
        () = tokio::time::sleep(agent.cfg.finished_retention) => {}
        () = agent.stop.cancelled() => {}
    }
    agent.generations.remove(id, record.attempt);
}

async fn record_tokens<C: Clock>(
    agent: &Agent<C>,
    id: GenerationId,
    record: &GenerationRecord,
) -> EndKind {
    let prefix = record.state().tokens.ids().to_vec();
    let start = EngineStream::start(agent, &record.req, &prefix);
    let mut stream = tokio::select! {
        () = record.cancel.cancelled() => return EndKind::Cancelled,
        started = start => match started {
            Ok(stream) => stream,
            Err(e) => return end_kind_of(agent, &e),
        },
    };
    let mut decode_tracker = DecodeTracker::new(agent);
    let mut held = agent.process_memory.begin();
    let mut orphan_check = tokio::time::interval(ORPHAN_CHECK_INTERVAL);
    loop {
        tokio::select! {
            () = record.cancel.cancelled() => return EndKind::Cancelled,
            () = held.given_up() => {
                agent.generations.remove(id, record.attempt);
                return fail(agent, "no memory for the tokens");
            }
            _ = orphan_check.tick() => {
                if is_orphaned(agent, record, agent.clock.now()) {
                    metrics::counter!("cactusbarrow_agent_orphans_total").increment(1);
                    return EndKind::Cancelled;
                }
            }
            event = stream.next() => match event {
                Ok(EngineEvent::Tokens(tokens)) => {
                    let count = record.state().tokens.len() + tokens.len();
                    if count > record.req.max_tokens as usize {
                        return fail(agent, "engine sent more tokens than were requested");
                    }
                    decode_tracker.record_token();
                    record.push(&tokens);
                    held.resize(record.state().tokens.memory_bytes());
                }
                Ok(EngineEvent::Finished(FinishReason::Stop)) => return EndKind::Stop,
                Ok(EngineEvent::Finished(FinishReason::Length)) => return EndKind::Length,
                Err(e) => return end_kind_of(agent, &e),
            },
        }
    }
}

/// Ends an attempt whose engine sends what cannot be used.
fn fail<C: Clock>(agent: &Agent<C>, message: &str) -> EndKind {
    let error = NetError::new("generate", agent.cfg.backend, message);
    end_kind_of(agent, &error.into())
}

/// Reports the decoding progress of one stream to the health check of its backend server.
struct DecodeTracker<'a, C: Clock> {
    agent: &'a Agent<C>,
    has_token: bool,
}

impl<'a, C: Clock> DecodeTracker<'a, C> {
    fn new(agent: &'a Agent<C>) -> Self {
        Self {
            agent,
            has_token: false,
        }
    }

    fn record_token(&mut self) {
        let now = self.agent.clock.now();
        let mut health = self.agent.health();
        if self.has_token {
            health.record_token(now);
        } else {
            self.has_token = true;
            health.record_decode_start(now);
        }
    }
}

impl<C: Clock> Drop for DecodeTracker<'_, C> {
    fn drop(&mut self) {
        if self.has_token {
            let now = self.agent.clock.now();
            self.agent.health().record_decode_end(now);
        }
    }
}

fn end_kind_of<C: Clock>(agent: &Agent<C>, error: &EngineError) -> EndKind {
    log::warn!(step = "generate", backend_server = agent.cfg.name; "{error}");
    match error {
        EngineError::Rejected(_) => EndKind::Rejected,
        EngineError::Unavailable(_) => EndKind::Refused,
        EngineError::Connection(_) => EndKind::EngineLost,
    }
}

fn is_orphaned<C: Clock>(agent: &Agent<C>, record: &GenerationRecord, now: Instant) -> bool {
    let state = record.state();
    state.readers == 0
        && state
            .orphaned_at
            .is_some_and(|orphaned_at| now.duration_since(orphaned_at) >= agent.cfg.orphan_timeout)
}
