//! The event decoder yields complete events for any chunk size, and errors for invalid input.

use cactusbarrow_net::{SseDecoder, SseEvent};
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

fn decode_all(decoder: &mut SseDecoder) -> Vec<SseEvent> {
    let mut events = Vec::new();
    while let Ok(Some(event)) = decoder.next_event() {
        events.push(event);
    }
    events
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn events_are_decoded_at_any_chunk_size(data in prop::collection::vec("[a-z {}é]{1,12}", 1..8), chunk_len in 1..7_usize) {
        let stream: String = data
            .iter()
            .enumerate()
            .map(|(i, data)| format!("id: {i}\r\ndata: {data}\n\n"))
            .collect();
        let mut decoder = SseDecoder::default();
        let mut events = Vec::new();
        for chunk in stream.as_bytes().chunks(chunk_len) {
            decoder.push(chunk);
            events.extend(decode_all(&mut decoder));
        }
        let got: Vec<String> = events.iter().map(|e| e.data.clone()).collect();
        prop_assert_eq!(got, data);
    }

    #[test]
    fn any_bytes_give_events_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = SseDecoder::default();
        decoder.push(&bytes);
        // Each event consumes at least one byte, which bounds the number of events.
        prop_assert!(decode_all(&mut decoder).len() <= bytes.len());
    }
}

#[test]
fn an_unterminated_line_above_the_limit_is_an_error() {
    let mut decoder = SseDecoder::default();
    decoder.push(&vec![b'x'; (1 << 20) + 1]);
    assert!(decoder.next_event().is_err());
}
