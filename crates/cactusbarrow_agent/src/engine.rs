//! Client of a model engine: the streaming completions protocol with token ids.
//!
//! Source: the completions API of OpenAI, with extensions that such engines have in common:
//! `resume_token_ids`, `priority`, and the ids and bytes of tokens in each chunk.

use bytes::Bytes;
use cactusbarrow_net::{Body, Clock, HeldBody, NetError, SseDecoder};
use cactusbarrow_policy::{FinishReason, TokenBuffer};
use cactusbarrow_protocol::generated::GenerateRequest;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::agent::Agent;

/// Why an engine's stream failed or did not start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine could not be reached, or its stream broke off or was malformed.
    #[error("{0}")]
    Connection(#[from] NetError),
    /// The engine rejected the request, with this status or finish reason.
    #[error("engine rejected the request: {0}")]
    Rejected(String),
    /// The engine has no capacity or is not ready; it responded with this status code.
    #[error("engine responded with status {0}")]
    Unavailable(u16),
}

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// New tokens.
    Tokens(TokenBuffer),
    /// The generation is complete.
    Finished(FinishReason),
}

#[derive(Serialize)]
struct CompletionRequest<'a> {
    model: &'a str,
    model_version: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    adapter: &'a str,
    prompt: &'a str,
    stream: bool,
    return_token_ids: bool,
    max_tokens: u32,
    seed: u64,
    temperature: f32,
    priority: i32,
    resume_token_ids: &'a [u32],
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    token_ids: Vec<u32>,
    #[serde(default)]
    logprobs: Option<Logprobs>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Logprobs {
    content: Vec<TokenBytes>,
}

#[derive(Deserialize)]
struct TokenBytes {
    bytes: Vec<u8>,
}

/// Stream of events of one attempt from an engine.
#[derive(Debug)]
pub(crate) struct EngineStream {
    peer: String,
    body: Incoming,
    decoder: SseDecoder,
    /// Counts what the decoder buffers.
    held: HeldBody,
    pending_finish: Option<FinishReason>,
}

impl EngineStream {
    /// Starts an attempt; the engine continues after the token ids of `prefix`.
    pub(crate) async fn start<C: Clock>(
        agent: &Agent<C>,
        req: &GenerateRequest,
        prefix: &[u32],
    ) -> Result<Self, EngineError> {
        const STEP: &str = "start generation";
        let (http, engine) = (&agent.http, agent.cfg.backend);
        let peer = engine.to_string();
        let body = serde_json::to_vec(&CompletionRequest {
            model: &req.model,
            model_version: &req.version,
            adapter: &req.adapter,
            prompt: &req.prompt,
            stream: true,
            return_token_ids: true,
            max_tokens: req.max_tokens,
            seed: req.seed,
            temperature: req.temperature,
            priority: req.priority,
            resume_token_ids: prefix,
        })
        .map_err(|e| NetError::new(STEP, &peer, e))?;
        let http_req = Request::post(format!("http://{engine}/v1/completions"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::full(body))
            .map_err(|e| NetError::new(STEP, &peer, e))?;
        let res = http.send(STEP, http_req).await?;
        match res.status() {
            StatusCode::OK => Ok(Self {
                peer,
                body: res.into_body(),
                decoder: SseDecoder::default(),
                held: agent.process_memory.begin(),
                pending_finish: None,
            }),
            status if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
                Err(EngineError::Rejected(status.to_string()))
            }
            status => Err(EngineError::Unavailable(status.as_u16())),
        }
    }

    /// Returns the next event; cancel-safe.
    pub(crate) async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        const STEP: &str = "read generation";
        loop {
            if let Some(reason) = self.pending_finish.take() {
                return Ok(EngineEvent::Finished(reason));
            }
            let event = self
                .decoder
                .next_event()
                .map_err(|e| NetError::new(STEP, &self.peer, e))?;
            if let Some(event) = event {
                if event.data == "[DONE]" {
                    return Err(NetError::new(STEP, &self.peer, "stream ended early").into());
                }
                if let Some(tokens) = self.decode_chunk(event.data.as_bytes())? {
                    return Ok(EngineEvent::Tokens(tokens));
                }
                continue;
            }
            self.held.resize(self.decoder.buffered());
            let bytes = self.next_bytes().await?;
            self.decoder.push(&bytes);
        }
    }

    fn decode_chunk(&mut self, data: &[u8]) -> Result<Option<TokenBuffer>, EngineError> {
        const STEP: &str = "read generation";
        let chunk: Chunk =
            serde_json::from_slice(data).map_err(|e| NetError::new(STEP, &self.peer, e))?;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        self.pending_finish = match choice.finish_reason.as_deref() {
            None => None,
            Some("stop") => Some(FinishReason::Stop),
            Some("length") => Some(FinishReason::Length),
            Some(other) => return Err(EngineError::Rejected(other.to_owned())),
        };
        let bytes = choice.logprobs.map_or(Vec::new(), |l| l.content);
        if bytes.len() != choice.token_ids.len() {
            let message = "chunk has different numbers of token ids and token bytes";
            return Err(NetError::new(STEP, &self.peer, message).into());
        }
        let mut tokens = TokenBuffer::new();
        for (id, token) in choice.token_ids.iter().zip(&bytes) {
            tokens.push(*id, &token.bytes);
        }
        Ok((!tokens.is_empty()).then_some(tokens))
    }

    async fn next_bytes(&mut self) -> Result<Bytes, EngineError> {
        const STEP: &str = "read generation";
        loop {
            let frame = tokio::select! {
                biased;
                () = self.held.given_up() => {
                    self.decoder = SseDecoder::default();
                    let message = "no memory for the event";
                    return Err(NetError::new(STEP, &self.peer, message).into());
                }
                frame = self.body.frame() => frame,
            };
            let frame = frame
                .ok_or_else(|| NetError::new(STEP, &self.peer, "stream ended early"))?
                .map_err(|e| NetError::new(STEP, &self.peer, e))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(bytes);
            }
        }
    }
}
