//! Generations: a stream of events that goes on through the loss of its engine.

mod attempt;
mod copies;
mod course;

use cactusbarrow_net::{Body, BodySender, Clock};
use cactusbarrow_policy::{Outcome, Reason};
use http::{HeaderMap, Response, StatusCode};

use crate::answers::Refusal;
use crate::request::{Admitted, count_refusal};
use course::{Course, Step};

/// Serves one generation.
///
/// The head goes out with the first event, so an engine that fails before it costs
/// nothing but time.
pub(crate) async fn serve<C: Clock>(req: Admitted<C>, can_resume: bool) -> Response<Body> {
    req.shared.record_request(&req.service);
    let mut course = Course::new(req, can_resume);
    course.find_prompt().await;
    if !course.can_complete() {
        let refusal = Refusal::not_run(Reason::Expired, course.retry_after());
        return refuse(&mut course, &refusal);
    }
    match course.next().await {
        Step::Event(bytes) => {
            let head = course.take_head();
            record_first_event(&course);
            let (tx, body) = Body::channel();
            let first = bytes;
            tokio::spawn(async move {
                if tx.send(first).await {
                    relay(course, tx).await;
                }
            });
            respond(StatusCode::OK, head, body)
        }
        Step::End => {
            course.conclude();
            let head = course.take_head();
            respond(StatusCode::OK, head, Body::Empty)
        }
        Step::Answer(head, body) => {
            course.conclude();
            respond(head.status, head.headers, Body::full(body))
        }
        Step::Refused { outcome, reason } => {
            let refusal = match outcome {
                Outcome::NotRun => Refusal::not_run(reason, course.retry_after()),
                Outcome::Unknown | Outcome::Failed => Refusal::unknown(reason),
            };
            refuse(&mut course, &refusal)
        }
    }
}

fn refuse<C: Clock>(course: &mut Course<C>, refusal: &Refusal) -> Response<Body> {
    course.conclude();
    count_refusal("generation", refusal);
    log::info!(
        request_id = course.request_id(),
        status = refusal.status.as_u16(),
        outcome = refusal.outcome.as_str(),
        reason = refusal.reason.as_str(),
        last_event = course.last_event(),
        time_left_ms = course.time_left_ms(),
        elapsed_ms = course.elapsed_ms();
        "generation refused"
    );
    refusal.respond(course.request_id())
}

/// Passes events on until the end, or until the caller leaves.
async fn relay<C: Clock>(mut course: Course<C>, tx: BodySender) {
    loop {
        let step = tokio::select! {
            step = course.next() => step,
            () = tx.closed() => return,
        };
        match step {
            Step::Event(bytes) => {
                if !tx.send(bytes).await {
                    return;
                }
            }
            Step::End => return record_end(&mut course),
            Step::Answer(..) => return break_off(&mut course, &tx, Reason::BackendError).await,
            Step::Refused { reason, .. } => return break_off(&mut course, &tx, reason).await,
        }
    }
}

async fn break_off<C: Clock>(course: &mut Course<C>, tx: &BodySender, reason: Reason) {
    course.conclude();
    metrics::counter!("gateway_broken_generations_total", "reason" => reason.as_str()).increment(1);
    log::warn!(
        request_id = course.request_id(),
        reason = reason.as_str(),
        last_event = course.last_event(),
        elapsed_ms = course.elapsed_ms();
        "generation broken off"
    );
    tx.abort().await;
}

fn record_first_event<C: Clock>(course: &Course<C>) {
    metrics::histogram!("gateway_first_event_seconds").record(course.elapsed_ms() as f64 / 1_000.0);
}

fn record_end<C: Clock>(course: &mut Course<C>) {
    course.conclude();
    course.record_complete();
    metrics::histogram!("gateway_generation_seconds").record(course.elapsed_ms() as f64 / 1_000.0);
    log::info!(
        request_id = course.request_id(),
        last_event = course.last_event(),
        engines = course.engines(),
        first_event_ms = course.first_event_ms(),
        longest_pause_ms = course.longest_pause_ms(),
        elapsed_ms = course.elapsed_ms();
        "generation complete"
    );
}

fn respond(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
