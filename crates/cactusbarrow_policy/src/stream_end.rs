//! Decides whether the end of an engine's stream is the end of the generation.
//!
//! Load pattern: most engines of one zone fail, and generations go on at engines that fail next. A
//! failing engine may end a stream in order although events are missing.

/// How the stream of one attempt ended in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStreamEnd {
    /// Whether the attempt delivered an event.
    pub has_events: bool,
    /// Whether its framing shows that it is whole; otherwise only its connection was closed.
    pub is_framed: bool,
}

/// What is known about the end of a generation's stream, across its attempts.
#[derive(Clone, Debug, Default)]
pub struct StreamEnd {
    /// Whether an attempt broke off after it had delivered an event.
    has_broken_off: bool,
    /// Whether an attempt ended in order behind the last event.
    is_stated: bool,
}

impl StreamEnd {
    /// Records that an event was delivered, so that no earlier statement of an end was right.
    pub fn record_event(&mut self) {
        self.is_stated = false;
    }

    /// Records that an attempt broke off after it had delivered an event.
    pub fn record_break(&mut self) {
        self.has_broken_off = true;
    }

    /// Returns whether the end of an attempt's stream shows that the generation is complete.
    ///
    /// An engine that sent events shows it by the framing of its response. A stream that broke off
    /// is not completed by a closed connection, and no stream by a response without events, unless
    /// a second engine ends it behind the same event. `is_only_engine` tells whether there is none
    /// that could; the only one is believed if it says that a caller has all events.
    pub fn is_complete(&mut self, end: AttemptStreamEnd, is_only_engine: bool) -> bool {
        let is_shown = if end.has_events {
            end.is_framed || !self.has_broken_off
        } else {
            end.is_framed && !self.has_broken_off && is_only_engine
        };
        let is_confirmed = std::mem::replace(&mut self.is_stated, true);
        is_shown || is_confirmed
    }
}
