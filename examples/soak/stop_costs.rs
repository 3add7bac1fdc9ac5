//! What requests cost their callers that reach a gateway in its graceful stop.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ledger::{Attempt, Ledger, RequestKind};

/// Time after a stop signal that separates early from late requests: the rules excuse cuts of the early ones.
const EARLY: Duration = Duration::from_secs(3);

/// Retries that callers in production make.
const RETRIES: u32 = 1;

/// What a caller got in the end, over all attempts at one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Operation {
    pub(crate) kind: RequestKind,
    /// Gateway of the first attempt, and when it was sent.
    pub(crate) gateway: usize,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// Attempts that were refused as not run.
    pub(crate) refusals: u32,
    /// Attempts that no gateway took.
    pub(crate) not_taken: u32,
    /// Attempts whose response broke off, or that got none.
    pub(crate) cuts: u32,
    pub(crate) end: OperationEnd,
}

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperationEnd {
    /// With a whole response of status 200.
    Whole,
    /// With another response, or one that broke off, after which it cannot be repeated.
    Lost,
    /// Its caller had no time left.
    GivenUp,
}

impl Operation {
    /// Records how an attempt ended; returns whether the request may be sent again because it did not run.
    pub(crate) fn record(&mut self, attempt: &Attempt) -> bool {
        self.end = match attempt.status {
            Some(200) => OperationEnd::Whole,
            Some(503) => {
                self.refusals += 1;
                OperationEnd::GivenUp
            }
            None if attempt.is_not_taken() => {
                self.not_taken += 1;
                OperationEnd::GivenUp
            }
            None => {
                self.cuts += 1;
                OperationEnd::Lost
            }
            Some(_) => OperationEnd::Lost,
        };
        self.end == OperationEnd::GivenUp
    }

    /// Creates the record of an operation whose first attempt is sent now.
    pub(crate) fn begin(kind: RequestKind, gateway: usize) -> Self {
        let now = Instant::now();
        Self {
            kind,
            gateway,
            sent_at: now,
            ended_at: now,
            refusals: 0,
            not_taken: 0,
            cuts: 0,
            end: OperationEnd::GivenUp,
        }
    }
}

/// Describes the operations that began at a gateway in its stop, one line for each kind and time.
pub(crate) fn describe(ledger: &Ledger) -> Vec<String> {
    let mut groups: BTreeMap<(RequestKind, bool), Vec<Operation>> = BTreeMap::new();
    for operation in ledger.operations() {
        let at = operation.sent_at;
        if ledger.was_stopping(operation.gateway, at, |_| true) {
            let is_early = ledger.was_stopping(operation.gateway, at, |stop| at <= stop + EARLY);
            let group = groups.entry((operation.kind, !is_early)).or_default();
            group.push(operation);
        }
    }
    let lines = groups.iter().map(|((kind, is_late), operations)| {
        let count = |is_counted: &dyn Fn(&Operation) -> bool| {
            operations.iter().filter(|one| is_counted(one)).count()
        };
        let is_whole = |one: &Operation| one.end == OperationEnd::Whole;
        let retries = |one: &Operation| one.refusals + one.not_taken + one.cuts;
        let mut times: Vec<Duration> = operations
            .iter()
            .filter(|one| is_whole(one))
            .map(|one| one.ended_at - one.sent_at)
            .collect();
        times.sort_unstable();
        let percentile = |p: usize| {
            let time = times.get(times.len().saturating_sub(1) * p / 100);
            time.copied().unwrap_or_default().as_millis()
        };
        format!(
            "{kind:?} {}: {} began, {} whole ({} within {RETRIES} retry), {} lost, {} given up; \
             {} refused, {} not taken, {} cut at times; whole after p50 {} ms, p95 {} ms",
            if *is_late {
                "later than 3 s"
            } else {
                "within 3 s"
            },
            operations.len(),
            count(&is_whole),
            count(&|one| is_whole(one) && retries(one) <= RETRIES),
            count(&|one| one.end == OperationEnd::Lost),
            count(&|one| one.end == OperationEnd::GivenUp),
            count(&|one| one.refusals > 0),
            count(&|one| one.not_taken > 0),
            count(&|one| one.cuts > 0),
            percentile(50),
            percentile(95),
        )
    });
    lines.collect()
}
