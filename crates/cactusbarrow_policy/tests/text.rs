//! Assembly of text from token bytes, and storage of tokens.

mod common;

use cactusbarrow_policy::{TokenBuffer, Utf8Assembler};
use common::fixed_seed_config;
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed_seed_config(500))]

    #[test]
    fn text_is_assembled_from_any_split(text in ".{0,60}", splits in prop::collection::vec(0..240_usize, 0..20)) {
        let bytes = text.as_bytes();
        let mut splits: Vec<usize> = splits.into_iter().map(|split| split % (bytes.len() + 1)).collect();
        splits.extend([0, bytes.len()]);
        splits.sort_unstable();
        let mut assembler = Utf8Assembler::new();
        let mut assembled = String::new();
        for pair in splits.windows(2) {
            assembled += &assembler.push(&bytes[pair[0]..pair[1]]);
        }
        prop_assert!(assembler.is_at_boundary());
        prop_assert_eq!(assembled, text);
    }

    #[test]
    fn invalid_utf8_is_replaced(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        let mut assembler = Utf8Assembler::new();
        let mut assembled = String::new();
        for byte in &bytes {
            assembled += &assembler.push(&[*byte]);
        }
        assembled += &assembler.finish();
        prop_assert_eq!(assembled, String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_buffer_round_trips_its_tokens(tokens in prop::collection::vec((any::<u32>(), prop::collection::vec(any::<u8>(), 0..5)), 0..40)) {
        let mut buf = TokenBuffer::new();
        for (id, bytes) in &tokens {
            buf.push(*id, bytes);
        }
        for (i, (id, bytes)) in tokens.iter().enumerate() {
            prop_assert_eq!(buf.ids()[i], *id);
            prop_assert_eq!(buf.token_bytes(i), &bytes[..]);
        }
        let all = 0..buf.len();
        let read = TokenBuffer::from_parts(
            buf.ids().to_vec(),
            buf.range_bytes(all.clone()).to_vec(),
            &buf.lengths(all),
        );
        prop_assert_eq!(read, Some(buf));
    }

    #[test]
    fn inconsistent_parts_are_refused(ids in prop::collection::vec(any::<u32>(), 0..6), lengths in prop::collection::vec(any::<u32>(), 0..6)) {
        let total: u64 = lengths.iter().map(|l| u64::from(*l)).sum();
        let fits = ids.len() == lengths.len() && total == 3;
        prop_assert_eq!(TokenBuffer::from_parts(ids, vec![1, 2, 3], &lengths).is_some(), fits);
    }
}
