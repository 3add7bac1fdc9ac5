//! The platform's load balancer: it asks each gateway once per second whether it is ready, and
//! sends no new channels to one that missed twice.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::http1::Reader;

/// Interval and time-out of the question.
const INTERVAL: Duration = Duration::from_secs(1);

/// Misses after which a gateway is taken out.
const MAX_MISSES: u32 = 2;

/// The balancer of one zone.
#[derive(Clone, Debug)]
pub struct Balancer {
    gateways: Vec<SocketAddr>,
    misses: Arc<Mutex<Vec<u32>>>,
}

impl Balancer {
    /// Starts to ask gateways, given as their addresses for callers and for health checks.
    pub fn start(gateways: Vec<(SocketAddr, SocketAddr)>) -> Self {
        let balancer = Self {
            gateways: gateways.iter().map(|(callers, _)| *callers).collect(),
            misses: Arc::new(Mutex::new(vec![MAX_MISSES; gateways.len()])),
        };
        for (index, (_, health)) in gateways.into_iter().enumerate() {
            let misses = balancer.misses.clone();
            tokio::spawn(async move {
                loop {
                    let is_ready = tokio::time::timeout(INTERVAL, is_ready(health)).await;
                    {
                        let mut misses = misses.lock().unwrap_or_else(PoisonError::into_inner);
                        let count = if is_ready == Ok(true) {
                            0
                        } else {
                            misses[index] + 1
                        };
                        misses[index] = count;
                    }
                    tokio::time::sleep(INTERVAL).await;
                }
            });
        }
        balancer
    }

    /// Returns the gateways that are in rotation.
    pub fn in_rotation(&self) -> Vec<SocketAddr> {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        let gateways = self.gateways.iter().zip(misses.iter());
        gateways
            .filter(|(_, m)| **m < MAX_MISSES)
            .map(|(g, _)| *g)
            .collect()
    }

    /// Chooses the gateway of a new channel: of those in rotation, or of all if these are fewer
    /// than half.
    pub fn choose(&self, client: usize) -> SocketAddr {
        let in_rotation = self.in_rotation();
        if in_rotation.len() * 2 < self.gateways.len() {
            return self.gateways[client % self.gateways.len()];
        }
        in_rotation[client % in_rotation.len()]
    }
}

async fn is_ready(health: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(health).await else {
        return false;
    };
    let req = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if stream.write_all(req).await.is_err() {
        return false;
    }
    let head = Reader::new(stream).head().await;
    head.is_some_and(|head| head.word(1) == "200")
}
