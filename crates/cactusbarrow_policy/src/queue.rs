//! Queue of requests that wait because their service has no free capacity.
//!
//! Generations that lost their engine are started first. New requests are
//! started from the customer with the fewest requests running, so a burst from
//! one customer delays only that customer. A request that is not expected to
//! start before its caller's deadline is refused on arrival.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Weight of the newest gap in the moving average of the time between starts.
const GAP_WEIGHT: f64 = 0.1;
/// Bound on a gap in the moving average.
const MAX_START_GAP: Duration = Duration::from_secs(2);

/// Order in which waiting requests are started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Resumed generations first, then the customer with the fewest running requests.
    #[default]
    Fair,
    /// First in, first out; a baseline for measurements.
    Arrival,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A waiting request.
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
    mean_start_gap: Option<f64>,
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
            mean_start_gap: None,
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

    /// Adds a request; `None` if it is not expected to start before its deadline.
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

    /// Removes and returns the request to start next, dropping those past their deadline.
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

    /// Removes a request whose caller disconnected or that was abandoned.
    pub fn remove(&mut self, ticket: Ticket) {
        let before = self.count_waiting();
        self.resumes.retain(|w| w.ticket != ticket);
        for queue in self.customers.values_mut() {
            queue.waiting.retain(|w| w.ticket != ticket);
        }
        self.waiting -= before - self.count_waiting();
        self.remove_idle_customers();
    }

    /// Records that a request of a customer was started.
    pub fn record_start(&mut self, customer: &str, now: Instant) {
        self.customers
            .entry(customer.to_owned())
            .or_default()
            .running += 1;
        if let Some(last) = self.last_start.replace(now) {
            let gap = now.duration_since(last).min(MAX_START_GAP).as_secs_f64();
            let mean = *self.mean_start_gap.get_or_insert(gap);
            self.mean_start_gap = Some(mean + GAP_WEIGHT * (gap - mean));
        }
    }

    /// Records that a request of a customer ended.
    pub fn record_end(&mut self, customer: &str) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.remove_idle_customers();
    }

    /// Estimates how long a new request of a customer would wait.
    pub fn expected_wait(&self, customer: &str) -> Duration {
        let Some(gap) = self.mean_start_gap else {
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
        let is_in_time = |w: &Waiting| now < w.deadline;
        self.resumes.retain(is_in_time);
        for queue in self.customers.values_mut() {
            queue.waiting.retain(is_in_time);
        }
        self.waiting = self.count_waiting();
    }

    fn count_waiting(&self) -> usize {
        let customers = self.customers.values().map(|q| q.waiting.len());
        self.resumes.len() + customers.sum::<usize>()
    }

    fn remove_idle_customers(&mut self) {
        self.customers
            .retain(|_, queue| queue.running > 0 || !queue.waiting.is_empty());
        if self.waiting == 0 {
            self.arrivals.clear();
        }
    }
}
