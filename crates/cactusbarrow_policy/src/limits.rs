//! Limits per customer, enforced by each router without a call to the store.
//!
//! The platform's load balancer distributes a customer's requests over the
//! routers, so each router enforces its share of the customer's limits.

use std::collections::HashMap;
use std::time::Instant;

/// Factor on each router's even share, since the load balancer distributes requests unevenly.
const LOAD_SKEW_FACTOR: f64 = 1.5;

/// Capacity of a customer's token bucket, in seconds of its token rate.
const BURST_SECONDS: f64 = 2.0;

/// Limits of one customer, summed over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerLimits {
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Maximum number of generated tokens per second.
    pub tokens_per_second: u32,
}

/// Limit for which a customer's request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// The customer has too many requests in flight.
    InFlight,
    /// The customer's recent requests have used up its token rate.
    Rate,
}

#[derive(Clone, Debug)]
struct Usage {
    in_flight: u32,
    tokens: f64,
    refilled_at: Instant,
}

/// Enforces the limits of all customers at one router.
#[derive(Clone, Debug, Default)]
pub struct CustomerLimiter {
    usage: HashMap<String, Usage>,
}

impl CustomerLimiter {
    /// Creates a limiter without any customers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits one request of a customer, or returns the limit that it exceeds.
    ///
    /// `routers` is the number of routers among which the limits are divided.
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
            refilled_at: now,
        });
        let earned = now.duration_since(usage.refilled_at).as_secs_f64() * rate;
        usage.tokens = (usage.tokens + earned).min(rate * BURST_SECONDS);
        usage.refilled_at = now;
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

    /// Deducts generated tokens from the customer's balance, which may become negative.
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
        n => (LOAD_SKEW_FACTOR / n as f64).min(1.0),
    }
}
