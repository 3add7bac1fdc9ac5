//! A key is granted at most once, whatever happens to the store and to the claimants.

mod common;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    ClaimAction, ClaimConfig, ClaimEvent, ClaimNonce, ClaimPage, ClaimRequest, ClaimShard,
    ClaimVerdict, KeyHash,
};
use common::fixed;
use proptest::prelude::*;

const PROCESSES: usize = 3;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A process is asked for a claim.
    Claim { process: usize, key: u128 },
    /// A process performs its oldest action; the fault says how the store behaves.
    Perform { process: usize, fault: StoreFault },
    /// A swap that was delayed on its way reaches the store.
    Deliver,
    /// A granted call turns out not to have been run.
    Release { grant: usize },
    /// Time passes.
    Wait { ms: u64 },
}

#[derive(Clone, Copy, Debug)]
enum StoreFault {
    None,
    /// The store does not answer, and nothing takes effect.
    Down,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The write takes effect later, and its answer is lost.
    Delayed,
}

fn fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        6 => Just(StoreFault::None),
        1 => Just(StoreFault::Down),
        1 => Just(StoreFault::AnswerLost),
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
        let held = self.head.as_ref().map_or(0, |head| head.0);
        if held != expected {
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
    key_of: HashMap<ClaimNonce, (usize, KeyHash)>,
    granted: Vec<ClaimNonce>,
    answered: HashSet<ClaimNonce>,
    /// The grant in force for each key.
    holder: HashMap<KeyHash, ClaimNonce>,
}

impl Model {
    fn new() -> Self {
        let cfg = ClaimConfig {
            seal_at: 4,
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
            key_of: HashMap::new(),
            granted: Vec::new(),
            answered: HashSet::new(),
            holder: HashMap::new(),
        }
    }

    fn handle(&mut self, process: usize, event: ClaimEvent) {
        let actions = self.processes[process].shard.handle(event, self.now, 1_000);
        for action in actions {
            match action {
                ClaimAction::Answer { nonce, verdict } => self.answer(nonce, verdict),
                other => self.processes[process].actions.push_back(other),
            }
        }
    }

    fn answer(&mut self, nonce: ClaimNonce, verdict: ClaimVerdict) {
        assert!(self.answered.insert(nonce), "each request is answered once");
        if verdict != ClaimVerdict::Granted {
            return;
        }
        let key = self.key_of[&nonce].1;
        let old = self.holder.insert(key, nonce);
        assert!(
            old.is_none(),
            "key {key} is granted to {nonce:?} while {old:?} holds it"
        );
        let (_, head) = self.store.head.as_ref().expect("a grant is durable");
        let mut pages = vec![ClaimPage::decode(head).unwrap()];
        pages.extend(
            self.store
                .segments
                .values()
                .map(|buf| ClaimPage::decode(buf).unwrap()),
        );
        let is_durable = pages
            .iter()
            .flat_map(ClaimPage::entries)
            .any(|entry| entry.nonce == nonce);
        assert!(is_durable, "a grant is durable");
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
                StoreFault::AnswerLost => {
                    self.store.swap(value, expected);
                    ClaimEvent::HeadWriteUnknown
                }
                StoreFault::None if self.store.swap(value, expected) => ClaimEvent::HeadWritten,
                StoreFault::None => ClaimEvent::HeadConflict,
            },
            ClaimAction::DeleteSegments(_) => return,
            ClaimAction::Answer { .. } => unreachable!("answers are handled at once"),
        };
        self.handle(process, event);
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Claim { process, key } => {
                self.nonces += 1;
                let nonce = ClaimNonce(self.nonces);
                let key = KeyHash(key);
                self.key_of.insert(nonce, (process, key));
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
                let (process, key) = self.key_of[&nonce];
                if self.holder.get(&key) == Some(&nonce) {
                    // From here on the caller says that the call was not run.
                    self.holder.remove(&key);
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
    #![proptest_config(fixed(3_000))]

    #[test]
    fn a_key_is_granted_once(steps in prop::collection::vec(step(), 1..160)) {
        let mut model = Model::new();
        for step in &steps {
            model.run(step);
        }
    }

    #[test]
    fn every_claim_is_answered_once_the_store_behaves(
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
        prop_assert_eq!(model.answered.len(), model.key_of.len());
    }

    #[test]
    fn pages_read_back(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // Arbitrary bytes give an error or a page, never a panic.
        if let Ok(page) = ClaimPage::decode(&bytes) {
            prop_assert_eq!(page.encode(), bytes);
        }
    }
}

#[test]
fn a_claim_beyond_its_deadline_is_refused() {
    let mut model = Model::new();
    model.run(&Step::Claim { process: 0, key: 1 });
    model.now += Duration::from_secs(3);
    for _ in 0..4 {
        model.perform(0, StoreFault::None);
    }
    assert_eq!(model.answered.len(), 1);
    assert!(model.granted.is_empty());
}
