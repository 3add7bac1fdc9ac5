//! The frame decoder yields complete messages for any chunk size, and errors for invalid input.

use cactusbarrow_protocol::generated::generate_frame::Frame;
use cactusbarrow_protocol::generated::{ControlRequest, GenerateFrame, TokenRun, Tokens};
use cactusbarrow_protocol::{FrameDecoder, MAX_FRAME_BYTES, encode_frame, token_run_to_buffer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use prost::Message;

fn fixed_seed_config() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x0cac_7050),
        failure_persistence: None,
        ..Config::default()
    }
}

fn frame(offset: u64, ids: Vec<u32>) -> GenerateFrame {
    let run = TokenRun {
        lengths: vec![1; ids.len()],
        text: vec![b'x'; ids.len()].into(),
        ids,
    };
    GenerateFrame {
        frame: Some(Frame::Tokens(Tokens {
            offset,
            run: Some(run),
        })),
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn frames_are_decoded_at_any_chunk_size(
        frames in prop::collection::vec((any::<u64>(), prop::collection::vec(any::<u32>(), 0..5)), 1..6),
        chunk_len in 1..9_usize,
    ) {
        let sent: Vec<GenerateFrame> = frames.into_iter().map(|(o, ids)| frame(o, ids)).collect();
        let stream: Vec<u8> = sent.iter().flat_map(|f| encode_frame(f).to_vec()).collect();
        let mut decoder = FrameDecoder::default();
        let mut got = Vec::new();
        for chunk in stream.chunks(chunk_len) {
            decoder.push(chunk);
            while let Some(frame) = decoder.next_frame::<GenerateFrame>().unwrap() {
                got.push(frame);
            }
        }
        prop_assert_eq!(got, sent);
    }

    #[test]
    fn any_bytes_give_messages_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(frame)) = decoder.next_frame::<GenerateFrame>() {
            if let Some(Frame::Tokens(Tokens { run: Some(run), .. })) = frame.frame {
                // Inconsistent ids, lengths and text must be rejected without a panic.
                let _ = token_run_to_buffer(run);
            }
        }
        let _ = ControlRequest::decode(bytes.as_slice());
    }
}

#[test]
fn a_frame_above_the_limit_is_rejected_before_its_body_arrives() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
    assert!(decoder.next_frame::<GenerateFrame>().is_err());
}
