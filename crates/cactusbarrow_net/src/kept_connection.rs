//! Decides how long a connection is kept on which no request is being served.

use std::time::{Duration, Instant};

/// Part of the idle time-out that is not stated to the peer: a request that the peer sends at the
/// end of the stated time still arrives in time.
const STATED_MARGIN: Duration = Duration::from_millis(500);

/// Longest time after the beginning of a drain for which a connection waits for a request that may
/// be on its way.
const DRAIN_WAIT: Duration = Duration::from_secs(1);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// Its idle time-out is over.
    Idle,
    /// The process shuts down.
    Drain,
    /// It is given up, since the process has too many connections or too little memory.
    Overload,
}

impl CloseCause {
    /// Returns the value used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Drain => "drain",
            Self::Overload => "overload",
        }
    }
}

/// Use of one incoming connection.
#[derive(Clone, Debug)]
pub struct KeptConnection {
    /// Requests whose response has not been sent completely.
    in_flight: usize,
    /// When the last response was complete, or when data first arrived after it.
    last_used_at: Instant,
    /// Whether data has arrived since the last response.
    is_request_arriving: bool,
    /// Whether a response has been sent.
    is_used: bool,
    /// Idle time for which the peer may count on the connection.
    promised: Duration,
    drain_started_at: Option<Instant>,
}

impl KeptConnection {
    /// Creates the state of a connection that was accepted now, under an idle time-out.
    pub fn new(now: Instant, idle_timeout: Duration) -> Self {
        Self {
            in_flight: 0,
            last_used_at: now,
            is_request_arriving: false,
            is_used: false,
            promised: idle_timeout,
            drain_started_at: None,
        }
    }

    /// Records that data arrived.
    ///
    /// The first data of a request restart the idle time; later data do not, so that a peer cannot
    /// keep a connection open by sending a request slowly.
    pub fn record_data(&mut self, now: Instant) {
        if !self.is_request_arriving {
            self.is_request_arriving = true;
            self.last_used_at = now;
        }
    }

    /// Records that the head of a request was read.
    pub fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Records the idle time-out under which a response is sent, and returns the idle time to
    /// state in it, in whole seconds; `None` if there are none.
    pub fn promise(&mut self, idle_timeout: Duration) -> Option<u64> {
        self.promised = idle_timeout;
        let stated = idle_timeout.saturating_sub(STATED_MARGIN).as_secs();
        (stated > 0).then_some(stated)
    }

    /// Records that a response was sent completely, or its request was given up.
    pub fn end_request(&mut self, now: Instant) {
        self.in_flight -= 1;
        self.last_used_at = now;
        self.is_request_arriving = false;
        self.is_used = true;
    }

    /// Begins to close the connection as soon as no request is lost by it.
    pub fn begin_drain(&mut self, now: Instant) {
        self.drain_started_at.get_or_insert(now);
    }

    /// Returns whether a request is in flight.
    pub fn is_serving(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns whether a request has begun to arrive that is not in flight yet.
    pub fn is_request_arriving(&self) -> bool {
        self.in_flight == 0 && self.is_request_arriving
    }

    /// Returns why the connection is to be closed now, if it is.
    ///
    /// A connection with a request in flight is closed after the response.
    pub fn close_cause(&self, now: Instant, idle_timeout: Duration) -> Option<CloseCause> {
        if let Some(started_at) = self.drain_started_at {
            let may_bring_request = self.is_request_arriving() || !self.is_used;
            let is_waiting = self.in_flight == 0 && may_bring_request;
            let is_over = now.saturating_duration_since(started_at.max(self.last_used_at));
            return (!is_waiting || is_over >= DRAIN_WAIT).then_some(CloseCause::Drain);
        }
        let idle = now.saturating_duration_since(self.last_used_at);
        let is_over = self.in_flight == 0 && idle >= idle_timeout.max(self.promised);
        is_over.then_some(CloseCause::Idle)
    }
}
