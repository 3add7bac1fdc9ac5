//! A client as customers write them: reads a stream and resumes it after a disconnect.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_net::{Body, HttpClient, HttpVersion, NetError, SseDecoder};
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

/// Maximum time that a token takes from its engine to the caller.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(10);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP client that sends the requests of one customer.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    authorization: String,
}

/// The part of a generation that a caller has received.
#[derive(Clone, Debug, Default)]
pub struct Transcript {
    /// Token ids in the order of arrival.
    pub tokens: Vec<u32>,
    /// Text in the order of arrival.
    pub text: String,
    /// Identifier of the last event.
    pub last_event_id: Option<String>,
    /// Arrivals of events with tokens, oldest first.
    pub arrivals: Vec<Arrival>,
    /// Why the generation finished; `None` while it is incomplete.
    pub finish_reason: Option<String>,
}

/// Arrival of one event with tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time at which the event arrived.
    pub at: Instant,
    /// Number of tokens received up to and including this event.
    pub tokens: usize,
    /// Backend server named in the event's identifier; empty if it names none.
    pub backend_server: String,
}

/// How one connection to a router ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The generation is complete.
    Done,
    /// The connection broke; the generation can be resumed at another router.
    Broken,
    /// The router refused the request or gave up on it; holds its response.
    Refused(String),
}

/// Reads one stream into a transcript.
#[derive(Debug)]
pub struct StreamReader {
    body: Incoming,
    decoder: SseDecoder,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    token_ids: Vec<u32>,
    finish_reason: Option<String>,
}

impl Caller {
    /// Creates a caller that authenticates with an API key.
    pub fn new(api_key: &str) -> Self {
        Self {
            http: HttpClient::new(HttpVersion::Http1),
            authorization: format!("Bearer {api_key}"),
        }
    }

    /// Sends a request and reads the whole response.
    pub async fn send(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, NetError> {
        let req = self.request(router, method, path, headers, body);
        self.http
            .send_and_collect("call router", req, timeout, MAX_RESPONSE_BYTES)
            .await
    }

    /// Opens a stream of completions, resuming after the transcript's last event if it has one.
    ///
    /// Returns how the connection ended if no stream was opened.
    pub async fn open(
        &self,
        router: SocketAddr,
        headers: &[(&str, &str)],
        body: &str,
        transcript: &Transcript,
    ) -> Result<StreamReader, StreamEnd> {
        let mut headers = headers.to_vec();
        if let Some(id) = &transcript.last_event_id {
            headers.push(("last-event-id", id));
        }
        let req = self.request(router, Method::POST, "/v1/completions", &headers, body);
        let res = self
            .http
            .send("open stream", req)
            .await
            .map_err(|_| StreamEnd::Broken)?;
        if res.status().is_success() {
            return Ok(StreamReader {
                body: res.into_body(),
                decoder: SseDecoder::default(),
            });
        }
        let text = match res.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => return Err(StreamEnd::Broken),
        };
        Err(StreamEnd::Refused(text))
    }

    fn request(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Request<Body> {
        let mut map = HeaderMap::new();
        for (name, value) in headers {
            let name = header::HeaderName::try_from(*name).expect("a valid header name");
            map.insert(name, value.parse().expect("a valid header value"));
        }
        map.insert(
            header::AUTHORIZATION,
            self.authorization.parse().expect("a valid API key"),
        );
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{router}{path}"))
            .body(Body::full(body.to_owned()))
            .expect("a valid request");
        *req.headers_mut() = map;
        req
    }
}

impl StreamReader {
    /// Appends to the transcript until the stream ends.
    pub async fn read(&mut self, transcript: &mut Transcript) -> StreamEnd {
        loop {
            match self.decoder.next_event() {
                Ok(Some(event)) if event.event == "error" => {
                    return StreamEnd::Refused(event.data);
                }
                Ok(Some(event)) if event.data == "[DONE]" => return StreamEnd::Done,
                Ok(Some(event)) => {
                    if event.id.is_some() {
                        transcript.last_event_id = event.id;
                    }
                    transcript.add(&event.data);
                    continue;
                }
                Ok(None) => {}
                Err(e) => return StreamEnd::Refused(e.to_string()),
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.decoder.push(&data);
                    }
                }
                Some(Err(_)) | None => return StreamEnd::Broken,
            }
        }
    }
}

impl Transcript {
    /// Returns the time from the failure of a backend server at `fault` to the next output.
    ///
    /// Returns `None` if the generation was not running there at that time or had finished.
    pub fn resume_delay(&self, fault: Instant, backend_server: &str) -> Option<Duration> {
        // Tokens in flight when the server failed are not resumed output.
        let is_in_flight =
            |a: &Arrival| a.backend_server == backend_server && a.at <= fault + MAX_DELIVERY_TIME;
        let is_next = |a: &Arrival| a.at > fault && !is_in_flight(a);
        let next = self.arrivals.iter().position(is_next)?;
        let last = &self.arrivals[next.checked_sub(1)?];
        let is_affected = last.backend_server == backend_server;
        is_affected.then(|| self.arrivals[next].at - fault)
    }

    /// Returns the time from `since` to the first token; `None` if no token has arrived.
    pub fn time_to_first_token(&self, since: Instant) -> Option<Duration> {
        Some(self.arrivals.first()?.at - since)
    }

    fn add(&mut self, data: &str) {
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            return;
        };
        for choice in chunk.choices {
            self.text += &choice.text;
            self.tokens.extend_from_slice(&choice.token_ids);
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
        let id = self.last_event_id.as_deref().unwrap_or_default();
        self.arrivals.push(Arrival {
            at: Instant::now(),
            tokens: self.tokens.len(),
            backend_server: id.splitn(4, '.').nth(3).unwrap_or_default().to_owned(),
        });
    }
}
