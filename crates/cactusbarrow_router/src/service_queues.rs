//! Queues of attempts that wait for a free slot, in the order that the policy determines.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use cactusbarrow_net::Clock;
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{FairQueue, QueueOrder, Ticket};
use tokio::sync::oneshot;

use crate::router::Router;

#[derive(Debug)]
struct ServiceQueue {
    queue: FairQueue,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

/// Queues of all services.
#[derive(Debug)]
pub(crate) struct ServiceQueues {
    order: QueueOrder,
    services: Mutex<HashMap<String, ServiceQueue>>,
}

/// A request in a service's queue; it leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct QueuedRequest<S: Store + HostList, C: Clock> {
    router: Arc<Router<S, C>>,
    service: String,
    ticket: Ticket,
    granted: Option<oneshot::Receiver<()>>,
}

impl ServiceQueues {
    /// Creates empty queues.
    pub(crate) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            services: Mutex::default(),
        }
    }

    fn with_queue<T>(&self, service: &str, f: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut services = self.lock();
        if let Some(queue) = services.get_mut(service) {
            return f(queue);
        }
        let queue = services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceQueue {
                queue: FairQueue::new(self.order),
                waiting: HashMap::new(),
            });
        f(queue)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ServiceQueue>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: Store + HostList, C: Clock> Router<S, C> {
    /// Returns true if the queue of a service is not empty.
    pub(crate) fn has_queue(&self, service: &str) -> bool {
        self.queues.with_queue(service, |q| !q.queue.is_empty())
    }

    /// Adds a request to a service's queue; `None` if the expected wait exceeds the deadline.
    pub(crate) fn enqueue(
        self: &Arc<Self>,
        service: &str,
        customer: &str,
        is_resume: bool,
        deadline: Instant,
    ) -> Option<QueuedRequest<S, C>> {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let ticket = self.queues.with_queue(service, |q| {
            let ticket = q.queue.push(customer, is_resume, deadline, now)?;
            q.waiting.insert(ticket, tx);
            Some(ticket)
        })?;
        metrics::counter!("cactusbarrow_queued_total").increment(1);
        Some(QueuedRequest {
            router: self.clone(),
            service: service.to_owned(),
            ticket,
            granted: Some(rx),
        })
    }

    /// Records that an attempt of a customer started.
    pub(crate) fn record_attempt_start(&self, service: &str, customer: &str) {
        let now = self.clock.now();
        self.queues
            .with_queue(service, |q| q.queue.record_start(customer, now));
    }

    /// Records that an attempt of a customer ended, and grants the next request in the queue.
    pub(crate) fn record_attempt_end(&self, service: &str, customer: &str) {
        self.queues
            .with_queue(service, |q| q.queue.record_end(customer));
        self.grant_next(service);
    }

    /// Grants the next request in a service's queue an attempt to start.
    pub(crate) fn grant_next(&self, service: &str) {
        let now = self.clock.now();
        self.queues.with_queue(service, |q| {
            while let Some(ticket) = q.queue.pop(now) {
                let granted = q.waiting.remove(&ticket).map(|tx| tx.send(()));
                if granted == Some(Ok(())) {
                    return;
                }
            }
        });
    }
}

impl<S: Store + HostList, C: Clock> QueuedRequest<S, C> {
    /// Waits until the request is granted; returns false if it can no longer be granted.
    pub(crate) async fn wait(mut self) -> bool {
        let Some(granted) = self.granted.take() else {
            return false;
        };
        granted.await.is_ok()
    }
}

impl<S: Store + HostList, C: Clock> Drop for QueuedRequest<S, C> {
    fn drop(&mut self) {
        self.router.queues.with_queue(&self.service, |q| {
            q.queue.remove(self.ticket);
            q.waiting.remove(&self.ticket);
        });
    }
}
