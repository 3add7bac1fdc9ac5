//! Runs one attempt: turns the stream of frames from an agent into typed events.

use std::net::SocketAddr;

use cactusbarrow_net::{Body, HttpClient};
use cactusbarrow_policy::{AttemptEnd, AttemptNumber, FinishReason, Reason, TokenBuffer};
use cactusbarrow_protocol::generated::generate_frame::Frame;
use cactusbarrow_protocol::generated::{EndKind, Ended, GenerateFrame, GenerateRequest};
use cactusbarrow_protocol::{FrameDecoder, REASON_HEADER, token_run_to_buffer};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use prost::Message;
use tokio::sync::mpsc;

/// Event that an attempt reports to its driver.
#[derive(Clone, Debug)]
pub(crate) enum AttemptEvent {
    /// A queued attempt may start now.
    Granted,
    /// The agent admitted the attempt.
    Started {
        /// Number of requests in flight at the backend server.
        in_flight: usize,
    },
    /// Tokens arrived.
    Tokens {
        /// Offset of the first token within the generation.
        offset: usize,
        /// Ids and bytes of the tokens.
        tokens: TokenBuffer,
    },
    /// The agent sent a heartbeat.
    AgentHeartbeat {
        /// Whether the agent considers its engine alive.
        engine_alive: bool,
    },
    /// The agent asks to move the generation to another backend server.
    MoveRequested,
    /// The attempt ended.
    Ended {
        /// Number of tokens in the whole generation.
        length: usize,
        /// How the attempt ended.
        end: AttemptEnd,
    },
}

/// An event and the attempt that it belongs to.
pub(crate) type AttemptMessage = (AttemptNumber, AttemptEvent);

/// Stream of frames from an agent.
pub(crate) struct FrameStream {
    body: Incoming,
    decoder: FrameDecoder,
}

impl FrameStream {
    /// Posts a message to an agent and returns the stream of frames in its response.
    ///
    /// A failure to connect means that the attempt was not started; a connection that fails later
    /// counts as a lost attempt.
    pub(crate) async fn open(
        http: &HttpClient,
        agent: SocketAddr,
        path: &str,
        message: &impl Message,
    ) -> Result<Self, AttemptEnd> {
        let req = Request::post(format!("http://{agent}{path}"))
            .body(Body::full(message.encode_to_vec()))
            .map_err(|_| AttemptEnd::Rejected(Reason::BadRequest))?;
        let res = http.send("start attempt", req).await.map_err(|e| {
            log::debug!(step = e.step, peer = e.peer; "{e}");
            if e.is_connect {
                AttemptEnd::Refused(Reason::AgentUnreachable)
            } else {
                AttemptEnd::Lost(Reason::AgentLost)
            }
        })?;
        match res.status() {
            StatusCode::OK => Ok(Self {
                body: res.into_body(),
                decoder: FrameDecoder::default(),
            }),
            StatusCode::BAD_REQUEST => Err(AttemptEnd::Rejected(Reason::BadRequest)),
            _ => Err(AttemptEnd::Refused(refusal_reason(&res))),
        }
    }

    /// Returns the next frame; `None` if the stream ended or a frame is malformed.
    pub(crate) async fn next(&mut self) -> Option<Frame> {
        loop {
            match self.decoder.next_frame::<GenerateFrame>() {
                Ok(Some(frame)) => return frame.frame,
                Ok(None) => {}
                Err(e) => {
                    log::warn!(step = "read attempt"; "{e}");
                    return None;
                }
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.decoder.push(&data);
            }
        }
    }
}

/// Starts an attempt at an agent and forwards its events until it ends.
pub(crate) async fn run(
    http: HttpClient,
    agent: SocketAddr,
    req: GenerateRequest,
    tx: mpsc::Sender<AttemptMessage>,
) {
    let attempt = AttemptNumber(req.attempt);
    let path = cactusbarrow_protocol::GENERATE_PATH;
    let opened = FrameStream::open(&http, agent, path, &req).await;
    drop(req);
    match opened {
        Ok(frames) => forward_events(frames, attempt, tx).await,
        Err(end) => {
            let event = AttemptEvent::Ended { length: 0, end };
            // The send fails only if the driver has ended; the event is then not needed.
            let _ = tx.send((attempt, event)).await;
        }
    }
}

/// Forwards frames as events until the attempt ends.
///
/// A broken stream is reported as the loss of the agent.
pub(crate) async fn forward_events(
    mut frames: FrameStream,
    attempt: AttemptNumber,
    tx: mpsc::Sender<AttemptMessage>,
) {
    loop {
        let event = frames.next().await.and_then(event_from_frame).unwrap_or({
            AttemptEvent::Ended {
                length: 0,
                end: AttemptEnd::Lost(Reason::AgentLost),
            }
        });
        let is_last = matches!(event, AttemptEvent::Ended { .. });
        if tx.send((attempt, event)).await.is_err() || is_last {
            return;
        }
    }
}

/// Converts a frame to an event; `None` if a field is missing or invalid.
fn event_from_frame(frame: Frame) -> Option<AttemptEvent> {
    Some(match frame {
        Frame::Started(started) => AttemptEvent::Started {
            in_flight: started.in_flight as usize,
        },
        Frame::Tokens(tokens) => AttemptEvent::Tokens {
            offset: tokens.offset as usize,
            tokens: token_run_to_buffer(tokens.run?)?,
        },
        Frame::Alive(alive) => AttemptEvent::AgentHeartbeat {
            engine_alive: alive.engine_alive,
        },
        Frame::MoveRequested(_) => AttemptEvent::MoveRequested,
        Frame::Ended(ended) => AttemptEvent::Ended {
            length: ended.length as usize,
            end: end_from_frame(&ended),
        },
    })
}

fn end_from_frame(ended: &Ended) -> AttemptEnd {
    match ended.kind() {
        EndKind::Stop => AttemptEnd::Finished(FinishReason::Stop),
        EndKind::Length => AttemptEnd::Finished(FinishReason::Length),
        EndKind::Refused => AttemptEnd::Refused(Reason::BackendFull),
        EndKind::Rejected => AttemptEnd::Rejected(Reason::BackendError),
        EndKind::Cancelled => AttemptEnd::Lost(Reason::AgentLost),
        EndKind::ShuttingDown => AttemptEnd::Lost(Reason::ShuttingDown),
        EndKind::EngineLost | EndKind::Unspecified => AttemptEnd::Lost(Reason::EngineLost),
    }
}

/// Reads the reason from the header of an agent's refusal; an unknown one counts as `NoBackend`.
pub(crate) fn refusal_reason<B>(res: &Response<B>) -> Reason {
    let text = res
        .headers()
        .get(REASON_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    Reason::ALL
        .iter()
        .copied()
        .find(|reason| reason.as_str() == text)
        .unwrap_or(Reason::NoBackend)
}
