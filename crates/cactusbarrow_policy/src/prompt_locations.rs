//! Tracks which engines have recently read which prompts.
//!
//! Load pattern: a gateway ends with generations in flight, and all their callers reconnect
//! to other gateways at the same moment. The engines still have the prompts cached, so a
//! caller that is routed to its engine resumes at once, while any other engine has to read
//! the prompt again beside its running generations.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::hash::stable_hash;

/// Identifies a prompt by the hash of its last part, which no other request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptId(pub u64);

impl PromptId {
    /// Returns the id of the prompt that ends with this part.
    pub fn from_last_part(part: &str) -> Self {
        Self(stable_hash(part.as_bytes()))
    }
}

/// Location of a prompt: the engine that has read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptLocation {
    /// Prompt that was read.
    pub prompt: PromptId,
    /// Hash of the engine's instance.
    pub engine: u64,
}

/// Settings of [`PromptLocations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptLocationConfig {
    /// Time after which an engine has probably evicted the prompt: callers notice a lost
    /// connection within 18 s, and engines fill their whole memory about every 30 s.
    pub retention: Duration,
    /// Maximum number of prompts in the table, 40 bytes each.
    pub max_entries: usize,
}

impl Default for PromptLocationConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(30),
            max_entries: 8_192,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    engine: u64,
    read_at: Instant,
}

/// Table of the prompts that engines have read, as reported by this gateway and its peers.
#[derive(Clone, Debug)]
pub struct PromptLocations {
    cfg: PromptLocationConfig,
    entries: HashMap<PromptId, Entry>,
    /// Running generations of this gateway, the newest last.
    own: Vec<PromptLocation>,
}

impl PromptLocations {
    /// Creates an empty table.
    pub fn new(cfg: PromptLocationConfig) -> Self {
        Self {
            cfg,
            entries: HashMap::new(),
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

    /// Records where a prompt was read; when the table is full, a new prompt is ignored.
    pub fn record(&mut self, location: PromptLocation, now: Instant) {
        if self.entries.len() >= self.cfg.max_entries {
            let retention = self.cfg.retention;
            self.entries
                .retain(|_, entry| now.saturating_duration_since(entry.read_at) < retention);
        }
        if self.entries.len() < self.cfg.max_entries || self.entries.contains_key(&location.prompt)
        {
            let engine = location.engine;
            self.entries.insert(
                location.prompt,
                Entry {
                    engine,
                    read_at: now,
                },
            );
        }
    }

    /// Returns the instance hash of the engine that has recently read a prompt, if any.
    pub fn find(&self, prompt: PromptId, now: Instant) -> Option<u64> {
        let entry = self.entries.get(&prompt)?;
        (now.saturating_duration_since(entry.read_at) < self.cfg.retention).then_some(entry.engine)
    }
}
