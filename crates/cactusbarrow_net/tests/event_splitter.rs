//! Events are cut whole, byte by byte as they were sent.

use cactusbarrow_net::EventSplitter;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn fixed() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x0cac_7050),
        failure_persistence: None,
        ..Config::default()
    }
}

fn events(cutter: &mut EventSplitter) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut events = Vec::new();
    while let Some(event) = cutter.next_event().expect("events are small text") {
        events.push((event.id, event.bytes.to_vec()));
    }
    events
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_stream_survives_any_cut(count in 1..20_u64, cut in 1..9_usize, has_cr in any::<bool>()) {
        let end = if has_cr { "\r\n" } else { "\n" };
        let sent: Vec<String> = (1..=count)
            .map(|id| format!("id: {id}{end}data: t{id}{end}{end}"))
            .collect();
        let mut cutter = EventSplitter::default();
        let mut got = Vec::new();
        for chunk in sent.concat().as_bytes().chunks(cut) {
            cutter.push(chunk);
            got.extend(events(&mut cutter));
        }
        prop_assert!(cutter.is_empty());
        let expected: Vec<_> = (1..=count)
            .zip(sent)
            .map(|(id, text)| (Some(id), text.into_bytes()))
            .collect();
        prop_assert_eq!(got, expected);
    }
}

#[test]
fn part_of_an_event_is_held_back() {
    let mut cutter = EventSplitter::default();
    cutter.push(b"id: 4\ndata: hal");
    assert!(events(&mut cutter).is_empty());
    assert!(!cutter.is_empty());
}
