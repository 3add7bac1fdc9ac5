//! Length-prefixed frames: four bytes of length, big-endian, then one message.

use prost::Message;
use prost::bytes::{Buf, BufMut, Bytes, BytesMut};

/// Largest message that is accepted in a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a stream of frames cannot be decoded.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// A frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is too large")]
    TooLarge(usize),
    /// A frame does not hold the expected message.
    #[error("frame cannot be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Encodes a message as one frame.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let len = message.encoded_len();
    let mut buf = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + len);
    buf.put_u32(len as u32);
    buf.put(message.encode_to_vec().as_slice());
    buf.freeze()
}

/// Decodes received bytes into messages, one per frame.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or `None` until more bytes are pushed.
    pub fn next_frame<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        if self.buf.len() < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let len = self.buf.as_ref().get_u32() as usize;
        if len > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(len));
        }
        if self.buf.len() < LENGTH_PREFIX_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LENGTH_PREFIX_BYTES);
        let frame = self.buf.split_to(len).freeze();
        Ok(Some(M::decode(frame)?))
    }
}
