//! Text assembled from token bytes.

mod common;

use cactusbarrow_policy::{TokenBuffer, Utf8Assembler};
use common::fixed;
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed(500))]

    #[test]
    fn text_survives_any_cut(text in ".{0,60}", cuts in prop::collection::vec(0..240_usize, 0..20)) {
        let bytes = text.as_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut assembler = Utf8Assembler::new();
        let mut assembled = String::new();
        for pair in cuts.windows(2) {
            assembled += &assembler.push(&bytes[pair[0]..pair[1]]);
        }
        prop_assert!(assembler.is_at_boundary());
        prop_assert_eq!(assembled, text);
    }

    #[test]
    fn bytes_that_are_no_text_are_replaced(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        let mut assembler = Utf8Assembler::new();
        let mut assembled = String::new();
        for byte in &bytes {
            assembled += &assembler.push(&[*byte]);
        }
        assembled += &assembler.finish();
        prop_assert_eq!(assembled, String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn buffers_give_back_what_they_got(tokens in prop::collection::vec((any::<u32>(), prop::collection::vec(any::<u8>(), 0..5)), 0..40)) {
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
    fn parts_that_do_not_fit_are_refused(ids in prop::collection::vec(any::<u32>(), 0..6), lengths in prop::collection::vec(any::<u32>(), 0..6)) {
        let total: u64 = lengths.iter().map(|l| u64::from(*l)).sum();
        let fits = ids.len() == lengths.len() && total == 3;
        prop_assert_eq!(TokenBuffer::from_parts(ids, vec![1, 2, 3], &lengths).is_some(), fits);
    }
}
