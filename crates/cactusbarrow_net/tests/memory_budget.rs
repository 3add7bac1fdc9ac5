//! What a process gives up when its peers make it hold too much.

use std::collections::HashMap;

use cactusbarrow_net::{HoldingKey, ListenerKey, MemoryBudget};
use proptest::prelude::*;

const LIMIT: usize = 1 << 20;
const CONNECTION: usize = 1 << 10;

/// Gives connections up until a listener has room, and ends what was given up.
fn connect(budget: &mut MemoryBudget, listener: ListenerKey) -> Option<HoldingKey> {
    while let Some(given_up) = budget.make_room(listener) {
        budget.end(given_up);
    }
    if !budget.has_room(listener) {
        return None;
    }
    let (key, given_up) = budget.begin_connection(listener, CONNECTION);
    for given_up in &given_up {
        budget.end(*given_up);
    }
    (!given_up.contains(&key)).then_some(key)
}

#[test]
fn connection_without_progress_for_longest_makes_room() {
    let mut budget = MemoryBudget::new(LIMIT);
    let listener = budget.add_listener(3);
    let keys: Vec<_> = (0..3)
        .filter_map(|_| connect(&mut budget, listener))
        .collect();
    budget.record_progress(keys[0]);
    assert_eq!(budget.make_room(listener), Some(keys[1]));
    assert!(!budget.has_room(listener), "it has not ended");
    assert_eq!(budget.make_room(listener), None, "one is enough");
    budget.end(keys[1]);
    assert!(budget.has_room(listener));
}

#[test]
fn kept_connections_are_not_given_up() {
    let mut budget = MemoryBudget::new(LIMIT);
    let listener = budget.add_listener(2);
    let keys: Vec<_> = (0..2)
        .filter_map(|_| connect(&mut budget, listener))
        .collect();
    assert!(budget.keep(keys[0]) && budget.keep(keys[1]));
    assert_eq!(connect(&mut budget, listener), None);
    // A second request of the connection is still kept.
    assert!(budget.keep(keys[0]));
    budget.release(keys[0]);
    assert_eq!(budget.make_room(listener), None);
    budget.release(keys[0]);
    assert_eq!(budget.make_room(listener), Some(keys[0]));
    assert!(!budget.keep(keys[0]), "it has been given up");
}

#[test]
fn connection_whose_peer_reads_nothing_may_be_given_up() {
    let mut budget = MemoryBudget::new(LIMIT);
    let listener = budget.add_listener(2);
    let keys: Vec<_> = (0..2)
        .filter_map(|_| connect(&mut budget, listener))
        .collect();
    assert!(budget.keep(keys[0]) && budget.keep(keys[1]));
    budget.set_blocked(keys[1], true);
    assert_eq!(budget.make_room(listener), Some(keys[1]));
}

#[test]
fn listeners_do_not_take_connections_of_each_other() {
    let mut budget = MemoryBudget::new(LIMIT);
    let (first, second) = (budget.add_listener(1), budget.add_listener(1));
    let key = connect(&mut budget, first).expect("a connection");
    assert!(connect(&mut budget, second).is_some());
    assert!(budget.keep(key), "it has not been given up");
}

/// Guards against large uploads that are refused beside callers which stop short of the end of theirs.
#[test]
fn stalled_requests_are_given_up_before_one_that_arrives() {
    let mut budget = MemoryBudget::new(LIMIT);
    let stalled: Vec<_> = (0..7).map(|_| budget.begin_request()).collect();
    for key in &stalled {
        assert!(budget.resize(*key, LIMIT / 10).is_empty());
    }
    let arriving = budget.begin_request();
    for bytes in (1..=LIMIT / 2).step_by(1_000) {
        budget.record_bytes(arriving, 1_000);
        for given_up in budget.resize(arriving, bytes) {
            assert!(
                stalled.contains(&given_up),
                "the one that arrives is given up"
            );
            budget.end(given_up);
        }
    }
}

/// Guards against a sound server's response that is given up beside endless ones, which make progress all the time.
#[test]
fn largest_response_is_given_up_first() {
    let mut budget = MemoryBudget::new(LIMIT);
    let sound = budget.begin_body(None);
    assert!(budget.resize(sound, LIMIT / 8).is_empty());
    let endless = budget.begin_body(None);
    assert!(budget.resize(endless, LIMIT / 2).is_empty());
    let other = budget.begin_body(None);
    assert_eq!(budget.resize(other, LIMIT / 2), [endless]);
}

/// Guards against callers that keep a large body by sending a byte at a time.
#[test]
fn trickling_bytes_are_no_progress() {
    let mut budget = MemoryBudget::new(LIMIT);
    let trickling = budget.begin_request();
    assert!(budget.resize(trickling, LIMIT / 2).is_empty());
    let arriving = budget.begin_request();
    for _ in 0..100 {
        budget.record_bytes(trickling, 1);
    }
    assert_eq!(budget.resize(arriving, LIMIT / 2), [trickling]);
}

/// Guards against large bodies that take all memory from ordinary requests.
#[test]
fn large_holdings_leave_memory_for_small_ones() {
    let mut budget = MemoryBudget::new(4 * LIMIT);
    let listener = budget.add_listener(100);
    let mut kept = 0;
    loop {
        let key = budget.begin_body(None);
        if !budget.resize(key, LIMIT / 2).is_empty() {
            budget.end(key);
            break;
        }
        budget.keep(key);
        kept += 1;
    }
    assert_eq!(kept, 6);
    assert!((0..100).all(|_| connect(&mut budget, listener).is_some()));
}

/// Guards against bodies that are read although nothing that may be given up leaves enough memory for them.
#[test]
fn body_that_cannot_be_held_is_known_at_its_head() {
    let mut budget = MemoryBudget::new(4 * LIMIT);
    let body = budget.begin_body(None);
    assert!(budget.resize(body, 2 * LIMIT).is_empty());
    assert!(budget.could_hold(3 * LIMIT), "the other may be given up");
    assert!(
        !budget.could_hold(3 * LIMIT + 1),
        "a quarter is for small ones"
    );
    assert!(budget.keep(body));
    assert!(budget.could_hold(LIMIT));
    assert!(!budget.could_hold(LIMIT + 1));
    budget.end(body);
    assert!(budget.could_hold(3 * LIMIT));
}

#[test]
fn body_is_given_up_with_its_owner_and_counts_until_it_ends() {
    let mut budget = MemoryBudget::new(LIMIT);
    let listener = budget.add_listener(2);
    let owner = connect(&mut budget, listener).expect("a connection");
    let body = budget.begin_body(Some(owner));
    assert!(budget.resize(body, LIMIT / 2).is_empty());
    let other = budget.begin_request();
    assert_eq!(budget.resize(other, LIMIT / 2), [owner]);
    assert!(!budget.is_within_limit(), "it has not ended");
    budget.end(owner);
    assert_eq!(budget.held(), LIMIT);
    budget.end(body);
    budget.end(other);
    assert_eq!(budget.held(), 0);
}

/// A change of one of a few holdings.
#[derive(Clone, Copy, Debug)]
enum Step {
    Resize(usize),
    RecordBytes(usize),
    Keep,
    Release,
    End,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..500).prop_map(Step::Resize),
        2 => (0_usize..50).prop_map(Step::RecordBytes),
        1 => Just(Step::Keep),
        1 => Just(Step::Release),
        1 => Just(Step::End),
    ]
}

/// What a test knows of a holding.
#[derive(Clone, Copy, Debug)]
struct Known {
    bytes: usize,
    kept: usize,
    is_of_caller: bool,
    began_at: usize,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(45),
        ..ProptestConfig::default()
    })]

    /// What is held never counts for more than the limit once what was given up has ended; nothing that is kept is given
    /// up for another; and no holding is given up before one twice as large, unless it is a caller's that has stalled and
    /// another caller needs the memory.
    #[test]
    fn holdings_stay_within_the_limit(steps in proptest::collection::vec((0_usize..6, step()), 1..300)) {
        let mut budget = MemoryBudget::new(1_000);
        let mut known: HashMap<HoldingKey, Known> = HashMap::new();
        let mut keys = Vec::new();
        let mut progress: HashMap<HoldingKey, usize> = HashMap::new();
        for (now, (i, step)) in steps.into_iter().enumerate() {
            while keys.len() < 6 {
                let is_of_caller = now % 2 == 0;
                let key = if is_of_caller {
                    budget.begin_request()
                } else {
                    budget.begin_body(None)
                };
                keys.push(key);
                known.insert(key, Known { bytes: 0, kept: 0, is_of_caller, began_at: now });
                progress.insert(key, now);
            }
            let key = keys[i];
            let mut given_up = Vec::new();
            let holding = known.get_mut(&key).expect("it is known");
            match step {
                Step::Resize(bytes) => {
                    holding.bytes = bytes;
                    given_up = budget.resize(key, bytes);
                }
                Step::RecordBytes(bytes) => {
                    budget.record_bytes(key, bytes);
                    progress.insert(key, now);
                }
                Step::Keep => {
                    holding.kept += 1;
                    prop_assert!(budget.keep(key));
                }
                Step::Release => {
                    holding.kept = holding.kept.saturating_sub(1);
                    budget.release(key);
                }
                Step::End => {
                    budget.end(key);
                    known.remove(&key);
                    keys.retain(|other| *other != key);
                }
            }
            for given_up in given_up {
                let victim = known[&given_up];
                prop_assert!(victim.kept == 0 || given_up == key);
                let is_of_caller = victim.is_of_caller && known[&key].is_of_caller;
                let has_stalled = is_of_caller && progress[&given_up] <= known[&key].began_at;
                let twice_as_large = known.values().any(|other| other.kept == 0 && other.bytes > 2 * victim.bytes);
                prop_assert!(has_stalled || !twice_as_large || victim.kept > 0);
                budget.end(given_up);
                known.remove(&given_up);
                keys.retain(|other| *other != given_up);
                if given_up == key {
                    break;
                }
            }
            prop_assert!(budget.is_within_limit());
            prop_assert_eq!(budget.held(), known.values().map(|holding| holding.bytes).sum::<usize>());
        }
    }
}
