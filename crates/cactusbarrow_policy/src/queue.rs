//! Order in which waiting requests of a service are started when it has no room.
//!
//! Generations that lost their engine go first. New requests go by customer:
//! next is the one with the fewest requests running, so a flood of one customer
//! delays only itself. A request that cannot be started within its caller's
//! patience is refused when it arrives.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Weight of the newest start in the moving average of the start rate.
const RATE_WEIGHT: f64 = 0.1;
/// Longest gap between starts that counts for the rate.
const MAX_START_GAP: Duration = Duration::from_secs(2);

/// How waiting requests are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Generations to resume first, then by customers' shares and deadlines.
    #[default]
    Fair,
    /// In the order of arrival; a baseline for measurements.
    Arrival,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    waiting: VecDeque<Waiting>,
    running: u32,
}

/// Waiting requests of one service at one router.
#[derive(Clone, Debug)]
pub struct FairQueue {
    order: QueueOrder,
    resumes: VecDeque<Waiting>,
    customers: BTreeMap<String, CustomerQueue>,
    arrivals: VecDeque<Ticket>,
    waiting: usize,
    next_ticket: u64,
    start_gap: Option<f64>,
    last_start: Option<Instant>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            resumes: VecDeque::new(),
            customers: BTreeMap::new(),
            arrivals: VecDeque::new(),
            waiting: 0,
            next_ticket: 0,
            start_gap: None,
            last_start: None,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Adds a request; `None` if it cannot be started before its deadline.
    pub fn push(
        &mut self,
        customer: &str,
        is_resume: bool,
        deadline: Instant,
        now: Instant,
    ) -> Option<Ticket> {
        let is_fair = self.order == QueueOrder::Fair;
        if is_fair && !is_resume && now + self.expected_wait(customer) > deadline {
            return None;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = Waiting { ticket, deadline };
        if is_resume && is_fair {
            self.resumes.push_back(waiting);
        } else {
            let queue = self.customers.entry(customer.to_owned()).or_default();
            queue.waiting.push_back(waiting);
            self.arrivals.push_back(ticket);
        }
        self.waiting += 1;
        Some(ticket)
    }

    /// Takes the request that is started next; passes over those whose deadline is over.
    pub fn pop(&mut self, now: Instant) -> Option<Ticket> {
        self.drop_expired(now);
        if let Some(waiting) = self.resumes.pop_front() {
            self.waiting -= 1;
            return Some(waiting.ticket);
        }
        let ticket = match self.order {
            QueueOrder::Fair => self.pop_fair(),
            QueueOrder::Arrival => self.pop_arrival(),
        }?;
        self.waiting -= 1;
        Some(ticket)
    }

    /// Removes a request whose caller is gone or that was given up.
    pub fn remove(&mut self, ticket: Ticket) {
        let before = self.queued();
        self.resumes.retain(|w| w.ticket != ticket);
        for queue in self.customers.values_mut() {
            queue.waiting.retain(|w| w.ticket != ticket);
        }
        self.waiting -= before - self.queued();
        self.forget_idle();
    }

    /// Records that a request of a customer was started.
    pub fn record_start(&mut self, customer: &str, now: Instant) {
        self.customers
            .entry(customer.to_owned())
            .or_default()
            .running += 1;
        if let Some(last) = self.last_start.replace(now) {
            let gap = now.duration_since(last).min(MAX_START_GAP).as_secs_f64();
            let mean = *self.start_gap.get_or_insert(gap);
            self.start_gap = Some(mean + RATE_WEIGHT * (gap - mean));
        }
    }

    /// Records that a request of a customer ended.
    pub fn record_end(&mut self, customer: &str) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.forget_idle();
    }

    /// Estimates how long a new request of a customer would wait.
    pub fn expected_wait(&self, customer: &str) -> Duration {
        let Some(gap) = self.start_gap else {
            return Duration::ZERO;
        };
        let own = self.customers.get(customer).map_or(0, |q| q.waiting.len());
        let active = |q: &&CustomerQueue| !q.waiting.is_empty();
        let others = self.customers.values().filter(active).count().max(1);
        let ahead = self.resumes.len() + self.waiting.min(own * others);
        Duration::from_secs_f64(gap * ahead as f64)
    }

    fn pop_fair(&mut self) -> Option<Ticket> {
        let (_, queue) = self
            .customers
            .iter_mut()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .min_by_key(|(_, queue)| {
                let oldest = queue.waiting.front().map(|w| w.ticket);
                (queue.running, oldest)
            })?;
        Some(queue.waiting.pop_front()?.ticket)
    }

    fn pop_arrival(&mut self) -> Option<Ticket> {
        while let Some(ticket) = self.arrivals.pop_front() {
            for queue in self.customers.values_mut() {
                if queue.waiting.front().map(|w| w.ticket) == Some(ticket) {
                    queue.waiting.pop_front();
                    return Some(ticket);
                }
            }
        }
        None
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_live = |w: &Waiting| now < w.deadline;
        self.resumes.retain(is_live);
        for queue in self.customers.values_mut() {
            queue.waiting.retain(is_live);
        }
        self.waiting = self.queued();
    }

    fn queued(&self) -> usize {
        let customers = self.customers.values().map(|q| q.waiting.len());
        self.resumes.len() + customers.sum::<usize>()
    }

    fn forget_idle(&mut self) {
        self.customers
            .retain(|_, queue| queue.running > 0 || !queue.waiting.is_empty());
        if self.waiting == 0 {
            self.arrivals.clear();
        }
    }
}
