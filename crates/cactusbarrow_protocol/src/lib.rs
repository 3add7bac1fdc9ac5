//! Messages between the system's own processes.
//!
//! The Rust code is generated from `proto/` and committed; a test checks that it is
//! current. Token streams are length-prefixed frames over HTTP/2; control messages use
//! nng request and reply sockets.

#![warn(missing_docs)]

mod convert;
mod frames;
mod headers;

/// Types generated from `proto/cactusbarrow.proto`, which documents them.
#[allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/cactusbarrow.rs");
}

pub use convert::{delta_from_wire, delta_to_wire, token_run_from_buffer, token_run_to_buffer};
pub use frames::{FrameDecoder, FrameError, MAX_FRAME_BYTES, encode_frame};
pub use headers::*;
