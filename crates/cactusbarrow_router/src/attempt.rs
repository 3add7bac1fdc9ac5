//! Carries one attempt: a stream of frames from an agent, as typed events.

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

/// What an attempt reports.
#[derive(Clone, Debug)]
pub(crate) enum AttemptEvent {
    /// It is the turn of an attempt that waited for room.
    Granted,
    /// The agent admitted it.
    Started {
        /// Requests in flight at the backend server.
        in_flight: usize,
    },
    /// Tokens arrived.
    Tokens {
        /// Offset of the first.
        offset: usize,
        /// The tokens.
        tokens: TokenBuffer,
    },
    /// The agent is alive.
    AgentHeartbeat {
        /// Whether its engine is.
        engine_alive: bool,
    },
    /// The agent asks for the generation to be moved.
    MoveRequested,
    /// The attempt ended.
    Ended {
        /// Tokens in the whole generation.
        length: usize,
        /// How it ended.
        end: AttemptEnd,
    },
}

/// An event with the attempt it belongs to.
pub(crate) type AttemptMessage = (AttemptNumber, AttemptEvent);

/// Frames from an agent.
pub(crate) struct FrameStream {
    body: Incoming,
    decoder: FrameDecoder,
}

impl FrameStream {
    /// Sends a message to an agent and returns the frames that it answers with.
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

    /// Returns the next frame; `None` if the stream broke.
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

/// Runs a new attempt to its end.
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
            // A driver that is gone needs no event.
            let _ = tx.send((attempt, event)).await;
        }
    }
}

/// Passes frames on as events until the attempt ends.
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

/// Reads an event from a frame; `None` if the frame makes no sense.
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

/// Reads the reason from an agent's refusal.
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
