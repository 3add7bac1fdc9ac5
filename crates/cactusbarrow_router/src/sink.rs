//! Sinks for the tokens of a generation: a stream of server-sent events, or one buffered response.

use std::future::Future;
use std::ops::Range;
use std::time::Duration;

use cactusbarrow_net::{Body, BodySender};
use cactusbarrow_policy::{AttemptNumber, FinishReason, GenerationId, TokenBuffer, Utf8Assembler};
use http::{HeaderValue, Response, header};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::event_id::EventId;
use crate::refusal::Refusal;

/// Attempt and backend server that tokens come from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenSource<'a> {
    pub(crate) attempt: AttemptNumber,
    pub(crate) backend_server: &'a str,
}

/// Writes the tokens of one generation to its caller.
pub(crate) trait TokenSink: Send + 'static {
    /// Writes the tokens of a range; returns false if the caller has disconnected.
    fn write_tokens(
        &mut self,
        tokens: &TokenBuffer,
        range: Range<usize>,
        source: TokenSource<'_>,
    ) -> impl Future<Output = bool> + Send;

    /// Ends the response with the reason why the generation finished.
    fn finish(&mut self, reason: FinishReason) -> impl Future<Output = ()> + Send;

    /// Ends the response with an error.
    fn fail(&mut self, refusal: Refusal) -> impl Future<Output = ()> + Send;

    /// Aborts the response, so that the caller reconnects and resumes.
    fn abort(&mut self) -> impl Future<Output = ()> + Send;

    /// Completes when the caller disconnects.
    fn closed(&mut self) -> impl Future<Output = ()> + Send;
}

#[derive(Serialize)]
struct CompletionChunk<'a> {
    id: String,
    object: &'a str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    text: &'a str,
    token_ids: &'a [u32],
    finish_reason: Option<&'a str>,
}

/// Fields that every chunk of a completion repeats.
#[derive(Clone, Debug)]
pub(crate) struct CompletionMetadata {
    pub(crate) generation: GenerationId,
    pub(crate) model: String,
}

impl CompletionMetadata {
    fn chunk(&self, text: &str, token_ids: &[u32], finish: Option<FinishReason>) -> String {
        let finish_reason = finish.map(|reason| match reason {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        });
        let chunk = CompletionChunk {
            id: format!("cmpl-{}", self.generation),
            object: "text_completion",
            model: &self.model,
            choices: [CompletionChoice {
                index: 0,
                text,
                token_ids,
                finish_reason,
            }],
        };
        serde_json::to_string(&chunk).unwrap_or_default()
    }
}

enum SseState {
    /// The head of the response has not been sent yet.
    Head(oneshot::Sender<Response<Body>>),
    Open(BodySender),
    Closed,
}

/// Streams server-sent events; each ends at a character boundary and carries an [`EventId`].
pub(crate) struct SseSink {
    metadata: CompletionMetadata,
    state: SseState,
    stall_timeout: Duration,
    text: Utf8Assembler,
    pending_text: String,
    pending_ids: Vec<u32>,
}

impl SseSink {
    /// Creates a sink; the receiver yields the response with the first event or error.
    ///
    /// A caller that reads nothing for `stall_timeout` is treated as disconnected.
    pub(crate) fn new(
        metadata: CompletionMetadata,
        stall_timeout: Duration,
    ) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        let sink = Self {
            metadata,
            state: SseState::Head(tx),
            stall_timeout,
            text: Utf8Assembler::new(),
            pending_text: String::new(),
            pending_ids: Vec::new(),
        };
        (sink, rx)
    }

    async fn send(&mut self, event: String) -> bool {
        if matches!(self.state, SseState::Head(_)) {
            self.open();
        }
        let SseState::Open(tx) = &self.state else {
            return false;
        };
        let is_sent = tokio::time::timeout(self.stall_timeout, tx.send(event.into()))
            .await
            .unwrap_or(false);
        if !is_sent {
            self.state = SseState::Closed;
        }
        is_sent
    }

    fn open(&mut self) {
        let SseState::Head(head) = std::mem::replace(&mut self.state, SseState::Closed) else {
            return;
        };
        let (tx, body) = Body::channel();
        let mut res = Response::new(body);
        let headers = res.headers_mut();
        let event_stream = HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, event_stream);
        let no_cache = HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, no_cache);
        if head.send(res).is_ok() {
            self.state = SseState::Open(tx);
        }
    }
}

impl TokenSink for SseSink {
    async fn write_tokens(
        &mut self,
        tokens: &TokenBuffer,
        range: Range<usize>,
        source: TokenSource<'_>,
    ) -> bool {
        let position = range.end;
        self.pending_text += &self.text.push(tokens.range_bytes(range.clone()));
        self.pending_ids.extend_from_slice(&tokens.ids()[range]);
        if !self.text.is_at_boundary() {
            return true;
        }
        let id = EventId {
            generation: self.metadata.generation,
            attempt: source.attempt,
            position,
            backend_server: source.backend_server.to_owned(),
        };
        let data = self
            .metadata
            .chunk(&self.pending_text, &self.pending_ids, None);
        self.pending_text.clear();
        self.pending_ids.clear();
        self.send(format!("id: {id}\ndata: {data}\n\n")).await
    }

    async fn finish(&mut self, reason: FinishReason) {
        let rest = self.text.finish();
        self.pending_text += &rest;
        let data = self
            .metadata
            .chunk(&self.pending_text, &self.pending_ids, Some(reason));
        self.send(format!("data: {data}\n\ndata: [DONE]\n\n")).await;
        if let SseState::Open(tx) = std::mem::replace(&mut self.state, SseState::Closed) {
            tx.finish();
        }
    }

    async fn fail(&mut self, refusal: Refusal) {
        match std::mem::replace(&mut self.state, SseState::Closed) {
            SseState::Head(head) => {
                // The send fails only if the caller has disconnected.
                let _ = head.send(refusal.into_response());
            }
            SseState::Open(tx) => {
                refusal.record();
                let event = format!("event: error\ndata: {}\n\n", refusal.to_json());
                // The stream is not complete, which its framing has to show as well.
                let end = async {
                    if tx.send(event.into()).await {
                        tx.abort().await;
                    }
                };
                // A caller that does not read gets no more than a broken connection.
                let _ = tokio::time::timeout(self.stall_timeout, end).await;
            }
            SseState::Closed => {}
        }
    }

    async fn abort(&mut self) {
        if let SseState::Open(tx) = std::mem::replace(&mut self.state, SseState::Closed) {
            let _ = tokio::time::timeout(self.stall_timeout, tx.abort()).await;
        }
    }

    async fn closed(&mut self) {
        match &mut self.state {
            SseState::Head(head) => head.closed().await,
            SseState::Open(tx) => tx.closed().await,
            SseState::Closed => {}
        }
    }
}

/// Collects all tokens and sends them in one response.
pub(crate) struct BufferedSink {
    metadata: CompletionMetadata,
    response: Option<oneshot::Sender<Response<Body>>>,
    text: Utf8Assembler,
    collected: String,
    token_ids: Vec<u32>,
}

impl BufferedSink {
    /// Creates a sink; the receiver yields the response when the generation ends.
    pub(crate) fn new(metadata: CompletionMetadata) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        let sink = Self {
            metadata,
            response: Some(tx),
            text: Utf8Assembler::new(),
            collected: String::new(),
            token_ids: Vec::new(),
        };
        (sink, rx)
    }

    fn respond(&mut self, res: Response<Body>) {
        if let Some(tx) = self.response.take() {
            // The send fails only if the caller has disconnected.
            let _ = tx.send(res);
        }
    }
}

impl TokenSink for BufferedSink {
    async fn write_tokens(
        &mut self,
        tokens: &TokenBuffer,
        range: Range<usize>,
        _: TokenSource<'_>,
    ) -> bool {
        self.collected += &self.text.push(tokens.range_bytes(range.clone()));
        self.token_ids.extend_from_slice(&tokens.ids()[range]);
        true
    }

    async fn finish(&mut self, reason: FinishReason) {
        let rest = self.text.finish();
        self.collected += &rest;
        let data = self
            .metadata
            .chunk(&self.collected, &self.token_ids, Some(reason));
        let mut res = Response::new(Body::full(data));
        let json = HeaderValue::from_static("application/json");
        res.headers_mut().insert(header::CONTENT_TYPE, json);
        self.respond(res);
    }

    async fn fail(&mut self, refusal: Refusal) {
        self.respond(refusal.into_response());
    }

    async fn abort(&mut self) {
        self.response = None;
    }

    async fn closed(&mut self) {
        if let Some(tx) = &mut self.response {
            tx.closed().await;
        }
    }
}
