//! The splitter yields complete events, byte for byte as they were sent.

use cactusbarrow_net::EventSplitter;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn fixed_seed_config() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x0cac_7050),
        failure_persistence: None,
        ..Config::default()
    }
}

fn next_events(splitter: &mut EventSplitter) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut events = Vec::new();
    while let Some(event) = splitter
        .next_event()
        .expect("events are small and valid UTF-8")
    {
        events.push((event.id, event.bytes.to_vec()));
    }
    events
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn events_are_split_unchanged_at_any_chunk_size(count in 1..20_u64, chunk_len in 1..9_usize, has_cr in any::<bool>()) {
        let end = if has_cr { "\r\n" } else { "\n" };
        let sent: Vec<String> = (1..=count)
            .map(|id| format!("id: {id}{end}data: t{id}{end}{end}"))
            .collect();
        let mut splitter = EventSplitter::default();
        let mut got = Vec::new();
        for chunk in sent.concat().as_bytes().chunks(chunk_len) {
            splitter.push(chunk);
            got.extend(next_events(&mut splitter));
        }
        prop_assert!(splitter.is_empty());
        let expected: Vec<_> = (1..=count)
            .zip(sent)
            .map(|(id, text)| (Some(id), text.into_bytes()))
            .collect();
        prop_assert_eq!(got, expected);
    }
}

#[test]
fn an_incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\ndata: hal");
    assert!(next_events(&mut splitter).is_empty());
    assert!(!splitter.is_empty());
}
