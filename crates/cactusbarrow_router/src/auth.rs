//! Authentication of callers and the limits of their customers.

use std::sync::Arc;

use cactusbarrow_document::{Customer, Fleet, hash_api_key};
use cactusbarrow_net::Clock;
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{CustomerLimits, LimitRefusal, Reason};
use http::{HeaderMap, header};

use crate::refusal::Refusal;
use crate::request::outcome_from_headers;
use crate::router::Router;

/// Finds the customer whose API key a request carries as its bearer token.
pub(crate) fn authenticate(fleet: &Fleet, headers: &HeaderMap) -> Result<Arc<Customer>, Refusal> {
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    token
        .and_then(|token| fleet.customer_by_key_hash(&hash_api_key(token.trim())))
        .cloned()
        .ok_or_else(|| {
            Refusal::new(
                outcome_from_headers(headers),
                Reason::Unauthorized,
                "authenticate",
            )
            .with_message("the bearer token names no customer")
        })
}

/// Counts one request of a customer as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct CustomerPermit<S: Store + HostList, C: Clock> {
    router: Arc<Router<S, C>>,
    customer: Arc<Customer>,
}

impl<S: Store + HostList, C: Clock> CustomerPermit<S, C> {
    /// Admits a request if the customer's limits allow it.
    pub(crate) fn admit(
        router: &Arc<Router<S, C>>,
        customer: &Arc<Customer>,
    ) -> Result<Self, Reason> {
        let limits = CustomerLimits {
            in_flight: customer.max_in_flight,
            tokens_per_second: customer.tokens_per_second,
        };
        let routers = router.peers.all().len();
        let now = router.clock.now();
        router
            .customers(&customer.name)
            .admit(&customer.name, limits, routers, now)
            .map_err(|refusal| match refusal {
                LimitRefusal::InFlight => Reason::CustomerInFlight,
                LimitRefusal::Rate => Reason::CustomerRate,
            })?;
        Ok(Self {
            router: router.clone(),
            customer: customer.clone(),
        })
    }

    /// Charges generated tokens to the customer's token rate.
    pub(crate) fn charge(&self, tokens: usize) {
        let name = &self.customer.name;
        self.router.customers(name).charge(name, tokens);
    }
}

impl<S: Store + HostList, C: Clock> Drop for CustomerPermit<S, C> {
    fn drop(&mut self) {
        let name = &self.customer.name;
        self.router.customers(name).release(name);
    }
}
