//! Limits per customer, held at each router without a call to the store.
//!
//! The platform's balancer spreads a customer's requests over the routers, so
//! each router enforces its share of the customer's limits.

use std::collections::HashMap;
use std::time::Instant;

/// Share of an even split that one router may use, since the balancer's split is uneven.
const UNEVENNESS: f64 = 1.5;

/// Seconds of tokens that a customer may save up.
const BURST_SECONDS: f64 = 2.0;

/// Limits of one customer over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerLimits {
    /// Requests in flight at once.
    pub in_flight: u32,
    /// Generated tokens per second.
    pub tokens_per_second: u32,
}

/// Why a customer's request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// Too many requests in flight.
    InFlight,
    /// The tokens of the past seconds exceed the rate.
    Rate,
}

#[derive(Clone, Debug)]
struct Usage {
    in_flight: u32,
    tokens: f64,
    refilled: Instant,
}

/// What the customers of one router use.
#[derive(Clone, Debug, Default)]
pub struct CustomerLimiter {
    usage: HashMap<String, Usage>,
}

impl CustomerLimiter {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits one request of a customer, or says which limit it meets.
    pub fn admit(
        &mut self,
        customer: &str,
        limits: CustomerLimits,
        routers: usize,
        now: Instant,
    ) -> Result<(), LimitRefusal> {
        let share = router_share(routers);
        let rate = f64::from(limits.tokens_per_second) * share;
        let usage = self.usage.entry(customer.to_owned()).or_insert(Usage {
            in_flight: 0,
            tokens: rate * BURST_SECONDS,
            refilled: now,
        });
        let earned = now.duration_since(usage.refilled).as_secs_f64() * rate;
        usage.tokens = (usage.tokens + earned).min(rate * BURST_SECONDS);
        usage.refilled = now;
        let in_flight_limit = (f64::from(limits.in_flight) * share).ceil();
        if f64::from(usage.in_flight) >= in_flight_limit {
            return Err(LimitRefusal::InFlight);
        }
        if usage.tokens < 0.0 {
            return Err(LimitRefusal::Rate);
        }
        usage.in_flight += 1;
        Ok(())
    }

    /// Charges generated tokens; the balance may go below zero.
    pub fn charge(&mut self, customer: &str, tokens: usize) {
        if let Some(usage) = self.usage.get_mut(customer) {
            usage.tokens -= tokens as f64;
        }
    }

    /// Records that a request ended.
    pub fn release(&mut self, customer: &str) {
        let Some(usage) = self.usage.get_mut(customer) else {
            return;
        };
        usage.in_flight = usage.in_flight.saturating_sub(1);
    }
}

fn router_share(routers: usize) -> f64 {
    match routers {
        0 | 1 => 1.0,
        n => (UNEVENNESS / n as f64).min(1.0),
    }
}
