//! Streams the record of a generation to one reader.

use std::sync::Arc;

use cactusbarrow_net::{BodySender, Clock};
use cactusbarrow_protocol::generated::generate_frame::Frame;
use cactusbarrow_protocol::generated::{
    Alive, Ended, GenerateFrame, MoveRequested, Started, Tokens,
};
use cactusbarrow_protocol::{encode_frame, token_run_from_buffer};

use crate::agent::Agent;
use crate::generation_table::GenerationRecord;

/// Largest number of tokens in one frame.
const MAX_FRAME_TOKENS: usize = 4_096;

/// Keeps a reader counted as attached to a record until dropped.
struct ReaderGuard<'a, C: Clock> {
    agent: &'a Agent<C>,
    record: &'a GenerationRecord,
}

impl<'a, C: Clock> ReaderGuard<'a, C> {
    fn new(agent: &'a Agent<C>, record: &'a GenerationRecord) -> Self {
        let mut state = record.state();
        state.readers += 1;
        state.orphaned_at = None;
        Self { agent, record }
    }
}

impl<C: Clock> Drop for ReaderGuard<'_, C> {
    fn drop(&mut self) {
        let mut state = self.record.state();
        state.readers -= 1;
        if state.readers == 0 {
            state.orphaned_at = Some(self.agent.clock.now());
        }
    }
}

/// Sends all tokens from offset `from` on until the generation ends or the reader disconnects.
pub(crate) async fn run<C: Clock>(
    agent: Arc<Agent<C>>,
    record: Arc<GenerationRecord>,
    mut from: usize,
    with_request: bool,
    tx: BodySender,
) {
    let reader_guard = ReaderGuard::new(&agent, &record);
    let mut changed = record.subscribe();
    let mut drain_started_at = agent.watch_drain_start();
    let mut is_move_sent = false;
    let started = Frame::Started(Started {
        attempt: record.attempt.0,
        in_flight: agent.admission().in_flight() as u32,
        request: with_request.then(|| record.req.clone()),
    });
    if !send(&tx, started).await {
        return;
    }
    loop {
        changed.mark_unchanged();
        let (frame, end) = next_frame(&record, &mut from);
        if let Some(frame) = frame {
            if !send(&tx, frame).await {
                return;
            }
            continue;
        }
        if let Some(end) = end {
            if send(&tx, end).await {
                tx.finish();
            }
            return;
        }
        let move_at = drain_started_at
            .borrow_and_update()
            .filter(|_| !is_move_sent)
            .map(|started_at| started_at + agent.cfg.move_after);
        tokio::select! {
            _ = changed.changed() => {}
            () = tx.closed() => break,
            _ = drain_started_at.changed() => {}
            () = sleep_until(move_at) => {
                is_move_sent = true;
                if !send(&tx, Frame::MoveRequested(MoveRequested {})).await {
                    return;
                }
            }
            () = tokio::time::sleep(agent.cfg.heartbeat_interval) => {
                let engine_alive = agent.is_backend_alive();
                if !send(&tx, Frame::Alive(Alive { engine_alive })).await {
                    return;
                }
            }
        }
    }
    drop(reader_guard);
}

fn next_frame(record: &GenerationRecord, from: &mut usize) -> (Option<Frame>, Option<Frame>) {
    let state = record.state();
    let len = state.tokens.len();
    if *from < len {
        let to = len.min(*from + MAX_FRAME_TOKENS);
        let run = token_run_from_buffer(&state.tokens, *from..to);
        let frame = Frame::Tokens(Tokens {
            offset: *from as u64,
            run: Some(run),
        });
        *from = to;
        return (Some(frame), None);
    }
    let end = state.end.as_ref().map(|end| {
        Frame::Ended(Ended {
            kind: end.kind.into(),
            length: len as u64,
            reason: end.reason.to_owned(),
        })
    });
    (None, end)
}

async fn send(tx: &BodySender, frame: Frame) -> bool {
    tx.send(encode_frame(&GenerateFrame { frame: Some(frame) }))
        .await
}

async fn sleep_until(at: Option<std::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
