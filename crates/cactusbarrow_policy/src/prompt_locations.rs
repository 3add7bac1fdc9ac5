//! Remembers which engines have lately read which prompts.
//!
//! Load pattern: a gateway ends with generations in flight, and all their callers return
//! to other gateways at the same moment. The engines still have the prompts in memory,
//! so a caller that is sent to its engine goes on at once, while everywhere else its
//! prompt is read again beside the running generations.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::hash::stable_hash;

/// Names a prompt by the part of it that no other request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptId(pub u64);

impl PromptId {
    /// Returns the name of the prompt with this last part.
    pub fn from_last_part(part: &str) -> Self {
        Self(stable_hash(part.as_bytes()))
    }
}

/// The engine that read a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptLocation {
    /// The prompt.
    pub prompt: PromptId,
    /// Hash of the engine's instance.
    pub engine: u64,
}

/// Tuning of [`PromptLocations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptLocationConfig {
    /// Time after which an engine has probably given the memory to others: callers notice
    /// a lost connection within 18 s, and engines fill their memory once in about 30 s.
    pub keep: Duration,
    /// Largest number of prompts that are remembered, 40 bytes each.
    pub max_known: usize,
}

impl Default for PromptLocationConfig {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(30),
            max_known: 8_192,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    engine: u64,
    at: Instant,
}

/// Prompts that engines have read, by this gateway's and other gateways' word.
#[derive(Clone, Debug)]
pub struct PromptLocations {
    cfg: PromptLocationConfig,
    known: HashMap<PromptId, Known>,
    /// Generations of this gateway that run now, the newest last.
    own: Vec<PromptLocation>,
}

impl PromptLocations {
    /// Creates an empty table.
    pub fn new(cfg: PromptLocationConfig) -> Self {
        Self {
            cfg,
            known: HashMap::new(),
            own: Vec::new(),
        }
    }

    /// Records that an engine has read the prompt of a generation of this gateway.
    pub fn begin(&mut self, location: PromptLocation, now: Instant) {
        self.own.retain(|own| own.prompt != location.prompt);
        self.own.push(location);
        self.record(location, now);
    }

    /// Records that a generation of this gateway no longer runs at an engine.
    pub fn end(&mut self, location: PromptLocation) {
        self.own.retain(|own| *own != location);
    }

    /// Returns the running generations of this gateway, the newest first.
    pub fn own(&self) -> impl Iterator<Item = PromptLocation> + '_ {
        self.own.iter().rev().copied()
    }

    /// Records where a prompt was read.
    pub fn record(&mut self, location: PromptLocation, now: Instant) {
        if self.known.len() >= self.cfg.max_known {
            let keep = self.cfg.keep;
            self.known
                .retain(|_, known| now.saturating_duration_since(known.at) < keep);
        }
        if self.known.len() < self.cfg.max_known || self.known.contains_key(&location.prompt) {
            let engine = location.engine;
            self.known
                .insert(location.prompt, Known { engine, at: now });
        }
    }

    /// Returns the engine that has read a prompt lately, by the hash of its instance.
    pub fn find(&self, prompt: PromptId, now: Instant) -> Option<u64> {
        let known = self.known.get(&prompt)?;
        (now.saturating_duration_since(known.at) < self.cfg.keep).then_some(known.engine)
    }
}
