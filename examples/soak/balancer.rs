//! The platform's load balancer: chooses the gateway of each new connection by health checks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use cactusbarrow_net::{Body, HttpClient, HttpVersion};
use http::{Request, StatusCode};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::process::gateway_ip;

/// Interval between two health checks of a gateway, and the time-out of each.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of failed checks in a row after which a gateway gets no new connections.
const MAX_MISSES: u32 = 2;

/// Health of all gateways, as the load balancer sees it.
#[derive(Debug)]
pub(crate) struct Balancer {
    /// Failed checks in a row, by the index of the gateway.
    misses: Vec<AtomicU32>,
}

impl Balancer {
    /// Starts to check gateways, whose callers connect to `base_port` and health checks to the next one.
    pub(crate) fn start(gateways: usize, base_port: u16) -> Arc<Self> {
        let misses = (0..gateways).map(|_| AtomicU32::new(MAX_MISSES));
        let balancer = Arc::new(Self {
            misses: misses.collect(),
        });
        for gateway in 0..gateways {
            let balancer = balancer.clone();
            tokio::spawn(async move { balancer.check(gateway, base_port + 1).await });
        }
        balancer
    }

    async fn check(&self, gateway: usize, port: u16) {
        let http = HttpClient::new(HttpVersion::Http1);
        let uri = format!("http://{}:{port}/ready", gateway_ip(gateway));
        loop {
            let mut req = Request::new(Body::Empty);
            if let Ok(uri) = uri.parse() {
                *req.uri_mut() = uri;
            }
            let checked = tokio::time::timeout(CHECK_INTERVAL, http.send("check", req)).await;
            let is_ready = matches!(checked, Ok(Ok(res)) if res.status() == StatusCode::OK);
            if is_ready {
                self.misses[gateway].store(0, Ordering::Relaxed);
            } else {
                self.misses[gateway].fetch_add(1, Ordering::Relaxed);
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Chooses the gateway of a new connection: one in rotation, or any if under half of them are; a retry reaches
    /// another one than `last`, if there is one.
    pub(crate) fn choose(&self, last: Option<usize>, rng: &mut StdRng) -> usize {
        let is_in_rotation =
            |gateway: &usize| self.misses[*gateway].load(Ordering::Relaxed) < MAX_MISSES;
        let all = 0..self.misses.len();
        let mut usable: Vec<usize> = all.clone().filter(is_in_rotation).collect();
        if usable.len() * 2 < self.misses.len() {
            usable = all.collect();
        }
        if usable.len() > 1 {
            usable.retain(|gateway| Some(*gateway) != last);
        }
        usable[rng.random_range(0..usable.len())]
    }
}
