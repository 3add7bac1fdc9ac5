//! Serves generations as event streams that continue at another engine if theirs is lost.

mod attempt;
mod copy_manager;
mod loss_watch;
mod stream;

use cactusbarrow_net::{Body, BodySender, Clock};
use cactusbarrow_policy::{Outcome, Reason};
use http::{HeaderMap, Response, StatusCode};

use crate::refusal::Refusal;
use crate::request::{AdmittedRequest, count_refusal};
use stream::{GenerationItem, GenerationStream};

/// Serves one generation.
///
/// The head of the response is sent with the first event, so an engine that fails before it
/// only delays the response.
pub(crate) async fn serve<C: Clock>(req: AdmittedRequest<C>, can_resume: bool) -> Response<Body> {
    req.shared.record_request(&req.service);
    let mut stream = GenerationStream::new(req, can_resume);
    if let Some(time_left) = stream.quarantine_time_left() {
        let refusal = Refusal::not_run(Reason::QuarantinedPrompt, time_left);
        return refuse(&mut stream, &refusal);
    }
    let (exit, holding) = (stream.exit(), stream.holding());
    let first = tokio::select! {
        // An event that has arrived is delivered.
        biased;
        first = first_item(&mut stream) => Ok(first),
        () = exit.cancelled() => Err(Reason::ShuttingDown),
        () = holding.given_up() => Err(Reason::NoMemory),
    };
    match first.unwrap_or_else(|reason| stream.refusal(reason)) {
        GenerationItem::Event(bytes) => {
            let head = stream.take_head();
            record_first_event(&stream);
            let (tx, body) = Body::channel();
            let first = bytes;
            tokio::spawn(async move {
                if tx.send(first).await {
                    relay(stream, tx).await;
                } else {
                    stream.mark_caller_gone();
                }
            });
            respond(StatusCode::OK, head, body)
        }
        GenerationItem::End => {
            stream.mark_concluded();
            let head = stream.take_head();
            respond(StatusCode::OK, head, Body::Empty)
        }
        GenerationItem::Response(head, body, framing) => {
            stream.mark_concluded();
            framing.apply(respond(head.status, head.headers, Body::full(body)))
        }
        GenerationItem::Refused { outcome, reason } => {
            let refusal = match outcome {
                Outcome::NotRun => {
                    let wait = stream.quarantine_time_left();
                    Refusal::not_run(reason, wait.unwrap_or_else(|| stream.retry_after(reason)))
                }
                Outcome::Unknown | Outcome::Failed => Refusal::unknown(reason),
            };
            refuse(&mut stream, &refusal)
        }
    }
}

/// Waits for the first item of a generation, which is a refusal if it cannot be served.
async fn first_item<C: Clock>(stream: &mut GenerationStream<C>) -> GenerationItem {
    if !stream.find_origin().await {
        return stream.refusal(Reason::UnknownOrigin);
    }
    stream.find_cached_prompt().await;
    if !stream.can_complete() {
        return stream.refusal(Reason::Expired);
    }
    stream.next().await
}

fn refuse<C: Clock>(stream: &mut GenerationStream<C>, refusal: &Refusal) -> Response<Body> {
    stream.mark_concluded();
    count_refusal("generation", refusal);
    log::info!(
        request_id = stream.request_id(),
        status = refusal.status.as_u16(),
        outcome = refusal.outcome.as_str(),
        reason = refusal.reason.as_str(),
        last_event = stream.last_event(),
        time_left_ms = stream.time_left_ms(),
        elapsed_ms = stream.elapsed_ms();
        "generation refused"
    );
    refusal.to_response(stream.request_id())
}

/// Passes events on until the generation ends or the caller disconnects.
async fn relay<C: Clock>(mut stream: GenerationStream<C>, tx: BodySender) {
    loop {
        let item = tokio::select! {
            item = stream.next() => item,
            () = tx.closed() => return stream.mark_caller_gone(),
        };
        match item {
            GenerationItem::Event(bytes) => {
                if !tx.send(bytes).await {
                    return stream.mark_caller_gone();
                }
            }
            GenerationItem::End => {
                record_end(&mut stream);
                return tx.finish();
            }
            GenerationItem::Response(..) => {
                return abort(&mut stream, &tx, Reason::BackendError).await;
            }
            GenerationItem::Refused { reason, .. } => return abort(&mut stream, &tx, reason).await,
        }
    }
}

/// Aborts a response whose head has been sent.
async fn abort<C: Clock>(stream: &mut GenerationStream<C>, tx: &BodySender, reason: Reason) {
    stream.mark_concluded();
    metrics::counter!("gateway_broken_generations_total", "reason" => reason.as_str()).increment(1);
    log::warn!(
        request_id = stream.request_id(),
        reason = reason.as_str(),
        last_event = stream.last_event(),
        elapsed_ms = stream.elapsed_ms();
        "generation aborted"
    );
    tx.abort().await;
}

fn record_first_event<C: Clock>(stream: &GenerationStream<C>) {
    metrics::histogram!("gateway_first_event_seconds").record(stream.elapsed_ms() as f64 / 1_000.0);
}

fn record_end<C: Clock>(stream: &mut GenerationStream<C>) {
    stream.mark_concluded();
    stream.record_complete();
    metrics::histogram!("gateway_generation_seconds").record(stream.elapsed_ms() as f64 / 1_000.0);
    log::info!(
        request_id = stream.request_id(),
        last_event = stream.last_event(),
        engines = stream.attempt_count(),
        first_event_ms = stream.first_event_ms(),
        longest_pause_ms = stream.longest_pause_ms(),
        elapsed_ms = stream.elapsed_ms();
        "generation complete"
    );
}

fn respond(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
