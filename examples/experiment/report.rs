//! What an experiment found.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

/// Figures of an experiment, and the promises that they must keep.
pub(crate) struct Outcome {
    figures: Map<String, Value>,
    broken: Vec<String>,
}

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    pub(crate) count: usize,
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
    pub(crate) max: f64,
}

impl Percentiles {
    /// Computes the percentiles of times.
    pub(crate) fn of(times: &[Duration]) -> Self {
        let mut ms: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1e3).collect();
        ms.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let rank = (share * ms.len() as f64).ceil() as usize;
            let value = ms.get(rank.saturating_sub(1)).copied().unwrap_or(0.0);
            (value * 100.0).round() / 100.0
        };
        Self {
            count: ms.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}

impl Outcome {
    /// Starts an outcome.
    pub(crate) fn new(experiment: &str, seed: u64) -> Self {
        let mut figures = Map::new();
        figures.insert("experiment".to_owned(), experiment.into());
        figures.insert("seed".to_owned(), seed.into());
        Self {
            figures,
            broken: Vec::new(),
        }
    }

    /// Adds a figure.
    pub(crate) fn set(&mut self, name: &str, value: impl Serialize) {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.figures.insert(name.to_owned(), value);
    }

    /// Adds a count that must be `expected`.
    pub(crate) fn must_be(&mut self, name: &str, value: u64, expected: u64) {
        self.set(name, value);
        if value != expected {
            self.broken
                .push(format!("{name} is {value}, not {expected}"));
        }
    }

    /// Requires a time to be below a bound; only reported, since a busy machine can break it.
    pub(crate) fn bound(&mut self, name: &str, value_ms: f64, bound_ms: f64) {
        let verdict = if value_ms < bound_ms {
            "kept"
        } else {
            "missed"
        };
        self.set(&format!("{name}_below_{bound_ms}_ms"), verdict);
    }

    /// Returns true if every count is what it must be.
    pub(crate) fn is_kept(&self) -> bool {
        self.broken.is_empty()
    }

    /// Prints the figures, and on standard error the counts that are wrong.
    pub(crate) fn print(&self, json: bool) {
        let value = Value::Object(self.figures.clone());
        if json {
            println!("{value}");
        } else {
            println!("{value:#}");
        }
        for broken in &self.broken {
            eprintln!("broken: {broken}");
        }
    }
}

/// Rounds a figure to three decimals.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
