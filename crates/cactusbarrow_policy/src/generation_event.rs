//! What happens to a generation, and what its state machine asks for.

use std::time::Duration;

use crate::ids::AttemptNumber;
use crate::outcome::{Outcome, Reason};
use crate::retry::Backoff;
use crate::suspicion::SuspicionConfig;
use crate::token_buffer::TokenBuffer;

/// What a service prefers when an attempt is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Favor {
    /// Prepare a second attempt before the first is given up.
    Latency,
    /// Give the first attempt up before a second is started.
    Resources,
}

/// Tuning of one [`Generation`](crate::Generation).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationConfig {
    /// What to do on suspicion.
    pub favor: Favor,
    /// When to suspect an attempt.
    pub suspicion: SuspicionConfig,
    /// Longest wait for the first accepted token before the generation is given up.
    pub first_progress_timeout: Duration,
    /// Longest time without an accepted token after the first.
    pub progress_timeout: Duration,
    /// Waits between attempts that were refused.
    pub backoff: Backoff,
}

impl GenerationConfig {
    /// Returns the default tuning for a preference.
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

/// Why an engine ended a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model emitted its end token.
    Stop,
    /// The requested number of tokens was reached.
    Length,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The generation is complete.
    Finished(FinishReason),
    /// The attempt was not started.
    Refused(Reason),
    /// The attempt broke off, and a new one may go on.
    Lost(Reason),
    /// The backend server refused the request itself; no other would accept it.
    Rejected(Reason),
    /// The attempt was not started, and cannot be within the caller's patience.
    Shed(Reason),
}

/// What happened to a generation.
#[derive(Clone, Debug)]
pub enum GenerationEvent<'a> {
    /// The attempt was sent to an agent.
    Launched {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The agent is alive, and says whether its engine is.
    AgentHeartbeat {
        /// The attempt the agent speaks of.
        attempt: AttemptNumber,
        /// Whether the engine answered the agent's last probe.
        engine_alive: bool,
    },
    /// Tokens arrived.
    Tokens {
        /// The attempt they come from.
        attempt: AttemptNumber,
        /// Offset of the first token within the generation.
        offset: usize,
        /// The tokens.
        tokens: &'a TokenBuffer,
    },
    /// The agent asks for the generation to be moved; it keeps producing meanwhile.
    MoveRequested {
        /// The attempt to move.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptNumber,
        /// Number of tokens in the whole generation at its end.
        length: usize,
        /// How it ended.
        end: AttemptEnd,
    },
    /// Time has passed.
    Tick,
}

/// What the router has to do for a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationAction {
    /// Start an attempt from the first `prefix` accepted tokens.
    Start {
        /// Number of the new attempt.
        attempt: AttemptNumber,
        /// Number of tokens it starts from.
        prefix: usize,
    },
    /// Cancel an attempt, whether or not its agent answers.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether it is cancelled because it went quiet.
        is_suspect: bool,
    },
    /// Hand the tokens in `from..to` to the reader.
    Emit {
        /// First token.
        from: usize,
        /// One past the last token.
        to: usize,
    },
    /// The generation is complete.
    Finish(FinishReason),
    /// The generation cannot be completed.
    GiveUp(Outcome, Reason),
}

/// Counts of one generation, for measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationStats {
    /// Attempts started.
    pub attempts: u32,
    /// Suspicions raised.
    pub suspicions: u32,
    /// Suspicions that the suspected attempt refuted by going on.
    pub false_suspicions: u32,
    /// Tokens that arrived and were not accepted.
    pub tokens_dropped: u64,
}
