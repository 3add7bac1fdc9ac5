//! A key is granted at most once under store failures, lost responses, delayed writes and
//! concurrent processes.

mod common;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    ClaimAction, ClaimConfig, ClaimEvent, ClaimNonce, ClaimPage, ClaimRequest, ClaimShard,
    ClaimVerdict, KeyHash,
};
use common::fixed_seed_config;
use proptest::prelude::*;

const PROCESSES: usize = 3;

/// One step of a generated schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A process receives a claim request.
    Claim { process: usize, key: u128 },
    /// A process performs its oldest pending action, under a store fault.
    Perform { process: usize, fault: StoreFault },
    /// A delayed swap reaches the store.
    Deliver,
    /// A granted call turns out not to have been run.
    Release { grant: usize },
    /// The clock advances.
    Wait { ms: u64 },
}

#[derive(Clone, Copy, Debug)]
enum StoreFault {
    None,
    /// The store does not respond, and the operation has no effect.
    Down,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write takes effect later, and its response is lost.
    Delayed,
}

fn fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        6 => Just(StoreFault::None),
        1 => Just(StoreFault::Down),
        1 => Just(StoreFault::ResponseLost),
        1 => Just(StoreFault::Delayed),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..PROCESSES, 0..6_u128).prop_map(|(process, key)| Step::Claim { process, key }),
        10 => (0..PROCESSES, fault())
            .prop_map(|(process, fault)| Step::Perform { process, fault }),
        1 => Just(Step::Deliver),
        1 => (0..64_usize).prop_map(|grant| Step::Release { grant }),
        2 => (1..400_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

#[derive(Default)]
struct Store {
    index: u64,
    head: Option<(u64, Vec<u8>)>,
    segments: HashMap<u64, Vec<u8>>,
    delayed: VecDeque<(Vec<u8>, u64)>,
}

impl Store {
    fn swap(&mut self, value: Vec<u8>, expected: u64) -> bool {
        let current = self.head.as_ref().map_or(0, |head| head.0);
        if current != expected {
            return false;
        }
        self.index += 1;
        self.head = Some((self.index, value));
        true
    }
}

struct Process {
    shard: ClaimShard,
    actions: VecDeque<ClaimAction>,
}

struct Model {
    store: Store,
    processes: Vec<Process>,
    now: Instant,
    nonces: u64,
    requests: HashMap<ClaimNonce, (usize, KeyHash)>,
    granted: Vec<ClaimNonce>,
    decided: HashSet<ClaimNonce>,
    /// The current grant of each key.
    granted_by_key: HashMap<KeyHash, ClaimNonce>,
}

impl Model {
    fn new() -> Self {
        let cfg = ClaimConfig {
            seal_threshold: 4,
            ..ClaimConfig::default()
        };
        let process = || Process {
            shard: ClaimShard::new(cfg),
            actions: VecDeque::new(),
        };
        Self {
            store: Store::default(),
            processes: (0..PROCESSES).map(|_| process()).collect(),
            now: Instant::now(),
            nonces: 0,
            requests: HashMap::new(),
            granted: Vec::new(),
            decided: HashSet::new(),
            granted_by_key: HashMap::new(),
        }
    }

    fn handle(&mut self, process: usize, event: ClaimEvent) {
        let actions = self.processes[process].shard.handle(event, self.now, 1_000);
        for action in actions {
            match action {
                ClaimAction::DeliverVerdict { nonce, verdict } => {
                    self.deliver_verdict(nonce, verdict);
                }
                other => self.processes[process].actions.push_back(other),
            }
        }
    }

    fn deliver_verdict(&mut self, nonce: ClaimNonce, verdict: ClaimVerdict) {
        assert!(
            self.decided.insert(nonce),
            "each request gets only one verdict"
        );
        if verdict != ClaimVerdict::Granted {
            return;
        }
        let key = self.requests[&nonce].1;
        let old = self.granted_by_key.insert(key, nonce);
        assert!(
            old.is_none(),
            "key {key} is granted to {nonce:?} while it is still granted to {old:?}"
        );
        let (_, head) = self
            .store
            .head
            .as_ref()
            .expect("a granted claim is in the store");
        let mut pages = vec![ClaimPage::decode(head).unwrap()];
        pages.extend(
            self.store
                .segments
                .values()
                .map(|buf| ClaimPage::decode(buf).unwrap()),
        );
        let is_in_store = pages
            .iter()
            .flat_map(ClaimPage::entries)
            .any(|entry| entry.nonce == nonce);
        assert!(is_in_store, "a granted claim is in the store");
        self.granted.push(nonce);
    }

    fn perform(&mut self, process: usize, fault: StoreFault) {
        let Some(action) = self.processes[process].actions.pop_front() else {
            self.handle(process, ClaimEvent::Tick);
            return;
        };
        let event = match action {
            ClaimAction::ReadHead => match fault {
                StoreFault::Down => ClaimEvent::HeadReadFailed,
                _ => {
                    let head = self.store.head.as_ref();
                    let head = head.map(|(i, buf)| (*i, ClaimPage::decode(buf).unwrap()));
                    ClaimEvent::HeadRead(head)
                }
            },
            ClaimAction::ReadSegment(id) => match fault {
                StoreFault::Down => ClaimEvent::SegmentFailed,
                _ => {
                    let page = ClaimPage::decode(&self.store.segments[&id]).unwrap();
                    ClaimEvent::SegmentRead { id, page }
                }
            },
            ClaimAction::WriteSegment { id, value } => match fault {
                StoreFault::Down => ClaimEvent::SegmentFailed,
                _ => {
                    self.store.segments.insert(id, value);
                    ClaimEvent::SegmentWritten
                }
            },
            ClaimAction::WriteHead { value, expected } => match fault {
                StoreFault::Down => ClaimEvent::HeadWriteUnknown,
                StoreFault::Delayed => {
                    self.store.delayed.push_back((value, expected));
                    ClaimEvent::HeadWriteUnknown
                }
                StoreFault::ResponseLost => {
                    self.store.swap(value, expected);
                    ClaimEvent::HeadWriteUnknown
                }
                StoreFault::None if self.store.swap(value, expected) => ClaimEvent::HeadWritten,
                StoreFault::None => ClaimEvent::HeadConflict,
            },
            ClaimAction::DeleteSegments(_) => return,
            ClaimAction::DeliverVerdict { .. } => {
                unreachable!("verdicts are delivered immediately")
            }
        };
        self.handle(process, event);
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Claim { process, key } => {
                self.nonces += 1;
                let nonce = ClaimNonce(self.nonces);
                let key = KeyHash(key);
                self.requests.insert(nonce, (process, key));
                let req = ClaimRequest {
                    key,
                    nonce,
                    body_hash: 7,
                    deadline: self.now + Duration::from_secs(2),
                };
                self.handle(process, ClaimEvent::Claim(req));
            }
            Step::Perform { process, fault } => self.perform(process, fault),
            Step::Deliver => {
                if let Some((value, expected)) = self.store.delayed.pop_front() {
                    self.store.swap(value, expected);
                }
            }
            Step::Release { grant } => {
                let Some(nonce) = self.granted.get(grant).copied() else {
                    return;
                };
                let (process, key) = self.requests[&nonce];
                if self.granted_by_key.get(&key) == Some(&nonce) {
                    // The caller now learns that the call was not run, so the key is free again.
                    self.granted_by_key.remove(&key);
                    self.handle(process, ClaimEvent::Release { key, nonce });
                }
            }
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                for process in 0..PROCESSES {
                    self.handle(process, ClaimEvent::Tick);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(3_000))]

    #[test]
    fn key_is_granted_at_most_once(steps in prop::collection::vec(step(), 1..160)) {
        let mut model = Model::new();
        for step in &steps {
            model.run(step);
        }
    }

    #[test]
    fn every_claim_gets_a_verdict_after_the_store_recovers(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new();
        for step in &steps {
            model.run(step);
        }
        for _ in 0..400 {
            model.run(&Step::Wait { ms: 100 });
            for process in 0..PROCESSES {
                model.run(&Step::Perform { process, fault: StoreFault::None });
            }
        }
        prop_assert_eq!(model.decided.len(), model.requests.len());
    }

    #[test]
    fn arbitrary_bytes_decode_losslessly_or_fail(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        // Arbitrary bytes give an error or a page that encodes to the same bytes, never a panic.
        if let Ok(page) = ClaimPage::decode(&bytes) {
            prop_assert_eq!(page.encode(), bytes);
        }
    }
}

#[test]
fn claim_past_its_deadline_is_refused() {
    let mut model = Model::new();
    model.run(&Step::Claim { process: 0, key: 1 });
    model.now += Duration::from_secs(3);
    for _ in 0..4 {
        model.perform(0, StoreFault::None);
    }
    assert_eq!(model.decided.len(), 1);
    assert!(model.granted.is_empty());
}
