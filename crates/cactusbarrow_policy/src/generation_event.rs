//! Events, actions and settings of the state machine of a generation.

use std::time::Duration;

use crate::ids::AttemptNumber;
use crate::outcome::{Outcome, Reason};
use crate::retry::Backoff;
use crate::suspicion::SuspicionConfig;
use crate::token_buffer::TokenBuffer;

/// What a service optimizes for when an attempt is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Favor {
    /// Start a standby attempt before the suspected one is cancelled.
    Latency,
    /// Cancel the suspected attempt before another one is started.
    Resources,
}

/// Settings of one [`Generation`](crate::Generation).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationConfig {
    /// What to do when an attempt is suspected.
    pub favor: Favor,
    /// Time-outs after which an attempt is suspected.
    pub suspicion: SuspicionConfig,
    /// Maximum wait for the first accepted token before the generation is given up.
    pub first_progress_timeout: Duration,
    /// Maximum time between accepted tokens before the generation is given up.
    pub progress_timeout: Duration,
    /// Back-off between attempts that were refused, and between failed moves.
    pub backoff: Backoff,
}

impl GenerationConfig {
    /// Returns the default settings for a preference.
    pub const fn for_favor(favor: Favor) -> Self {
        let suspicion = match favor {
            Favor::Latency => SuspicionConfig::favor_latency(),
            Favor::Resources => SuspicionConfig::favor_resources(),
        };
        let progress_timeout = match favor {
            Favor::Latency => Duration::from_secs(10),
            Favor::Resources => Duration::from_secs(30),
        };
        Self {
            favor,
            suspicion,
            first_progress_timeout: Duration::from_secs(5),
            progress_timeout,
            backoff: Backoff::new(Duration::from_millis(40), Duration::from_millis(800)),
        }
    }
}

/// Why an engine completed a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model emitted its end-of-sequence token.
    Stop,
    /// The requested number of tokens was reached.
    Length,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine completed the generation.
    Finished(FinishReason),
    /// The attempt was not started; another one may be started after a back-off.
    Refused(Reason),
    /// The attempt failed after it was sent; another one may resume the generation.
    Lost(Reason),
    /// The backend server rejected the request as invalid; any other would do the same.
    Rejected(Reason),
    /// The attempt was not started, and would not start within the caller's deadline.
    Shed(Reason),
}

/// An event in the course of a generation.
#[derive(Clone, Debug)]
pub enum GenerationEvent<'a> {
    /// A queued attempt was sent to an agent.
    Launched {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The agent of an attempt is alive, and reports whether its engine is.
    AgentHeartbeat {
        /// Attempt that the agent runs.
        attempt: AttemptNumber,
        /// Whether the engine passed the agent's last health check.
        engine_alive: bool,
    },
    /// Tokens of an attempt arrived.
    Tokens {
        /// Attempt that produced the tokens.
        attempt: AttemptNumber,
        /// Offset of the first token within the generation.
        offset: usize,
        /// The tokens that arrived, at consecutive offsets.
        tokens: &'a TokenBuffer,
    },
    /// The agent asks to move the generation; its attempt keeps producing tokens meanwhile.
    MoveRequested {
        /// Attempt that another one shall replace.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    Ended {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Number of tokens from the start of the generation to the end of the attempt.
        length: usize,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The time of `Generation::next_wake` has come.
    Tick,
}

/// An action that the router must perform for a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationAction {
    /// Start an attempt that continues after the first `prefix` accepted tokens.
    Start {
        /// Number of the new attempt.
        attempt: AttemptNumber,
        /// Number of tokens that precede its first one.
        prefix: usize,
    },
    /// Cancel an attempt, without waiting for its agent to confirm.
    Cancel {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Whether it is cancelled because it was suspected.
        is_suspect: bool,
    },
    /// Send the accepted tokens `from..to` to the caller.
    Emit {
        /// Offset of the first token.
        from: usize,
        /// Offset after the last token.
        to: usize,
    },
    /// Complete the response: the caller has every token.
    Finish(FinishReason),
    /// End the response with an error: the generation cannot be completed.
    GiveUp(Outcome, Reason),
}

/// Counters of one generation, for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationStats {
    /// Attempts started.
    pub attempts: u32,
    /// Suspicions raised.
    pub suspicions: u32,
    /// Suspicions that the suspected attempt refuted by a token.
    pub false_suspicions: u32,
    /// Tokens that arrived but were not accepted.
    pub tokens_dropped: u64,
}
