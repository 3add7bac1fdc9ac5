//! Conversions between wire messages and the types of the policy crate.

use cactusbarrow_policy as policy;
use policy::{Revision, TokenBuffer};

use crate::generated as wire;

/// Converts a range of tokens into a message.
pub fn token_run_from_buffer(
    tokens: &TokenBuffer,
    range: std::ops::Range<usize>,
) -> wire::TokenRun {
    wire::TokenRun {
        ids: tokens.ids()[range.clone()].to_vec(),
        text: tokens.range_bytes(range.clone()).to_vec().into(),
        lengths: tokens.lengths(range),
    }
}

/// Converts a message into tokens; `None` if its ids, lengths and text are inconsistent.
pub fn token_run_to_buffer(run: wire::TokenRun) -> Option<TokenBuffer> {
    TokenBuffer::from_parts(run.ids, run.text.to_vec(), &run.lengths)
}

/// Converts a configuration delta into a message.
pub fn delta_to_wire(delta: &policy::Delta) -> wire::Delta {
    wire::Delta {
        from: delta.from.0,
        to: delta.to.0,
        digest: delta.digest.0,
        changes: delta
            .changes
            .iter()
            .map(|change| wire::Change {
                key: change.key.to_string(),
                value: change.value.as_deref().map(str::to_owned),
                revision: change.revision.0,
            })
            .collect(),
    }
}

/// Converts a message into a configuration delta.
pub fn delta_from_wire(delta: wire::Delta) -> policy::Delta {
    policy::Delta {
        from: Revision(delta.from),
        to: Revision(delta.to),
        digest: policy::Digest(delta.digest),
        changes: delta
            .changes
            .into_iter()
            .map(|change| policy::Change {
                key: change.key.into(),
                value: change.value.map(Into::into),
                revision: Revision(change.revision),
            })
            .collect(),
    }
}
