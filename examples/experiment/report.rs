//! Results of an experiment, and how they are printed.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

/// Figures of an experiment, and the required counts that were not met.
pub(crate) struct Outcome {
    figures: Map<String, Value>,
    failures: Vec<String>,
}

/// Percentiles of a set of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    pub(crate) count: usize,
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
    pub(crate) max: f64,
}

impl Percentiles {
    /// Computes the percentiles of `times`; all are zero if there are none.
    pub(crate) fn of(times: &[Duration]) -> Self {
        let mut ms: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1e3).collect();
        ms.sort_by(f64::total_cmp);
        let percentile = |share: f64| {
            let rank = (share * ms.len() as f64).ceil() as usize;
            let value = ms.get(rank.saturating_sub(1)).copied().unwrap_or(0.0);
            (value * 100.0).round() / 100.0
        };
        Self {
            count: ms.len(),
            p50: percentile(0.50),
            p95: percentile(0.95),
            p99: percentile(0.99),
            max: percentile(1.0),
        }
    }
}

impl Outcome {
    /// Creates an outcome that holds only the name of the experiment and the seed.
    pub(crate) fn new(experiment: &str, seed: u64) -> Self {
        let mut figures = Map::new();
        figures.insert("experiment".to_owned(), experiment.into());
        figures.insert("seed".to_owned(), seed.into());
        Self {
            figures,
            failures: Vec::new(),
        }
    }

    /// Adds a figure under its JSON key.
    pub(crate) fn set(&mut self, name: &str, value: impl Serialize) {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.figures.insert(name.to_owned(), value);
    }

    /// Adds a count that must equal `expected` for the experiment to pass.
    pub(crate) fn must_be(&mut self, name: &str, value: u64, expected: u64) {
        self.set(name, value);
        if value != expected {
            self.failures
                .push(format!("{name} is {value}, expected {expected}"));
        }
    }

    /// Reports whether a time is below a bound; never a failure, since a busy host can exceed it.
    pub(crate) fn bound(&mut self, name: &str, value_ms: f64, bound_ms: f64) {
        let verdict = if value_ms < bound_ms {
            "kept"
        } else {
            "missed"
        };
        self.set(&format!("{name}_below_{bound_ms}_ms"), verdict);
    }

    /// Returns true if every required count has its expected value.
    pub(crate) fn has_passed(&self) -> bool {
        self.failures.is_empty()
    }

    /// Prints the figures to standard output, and the wrong counts to standard error.
    pub(crate) fn print(&self, json: bool) {
        let value = Value::Object(self.figures.clone());
        if json {
            println!("{value}");
        } else {
            println!("{value:#}");
        }
        for failure in &self.failures {
            eprintln!("check failed: {failure}");
        }
    }
}

/// Rounds a figure to three decimals.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
