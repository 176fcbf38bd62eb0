//! Encoding and decoding of frames on a byte stream.

use std::io::{self, Read};

use bytes::{Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::frames::{Frame, frame::Kind};

/// Maximum size of a frame in bytes; the largest frames are pages of the change feed.
pub const FRAME_LIMIT: usize = 16 << 20;
/// Size of a single read in bytes.
const READ_SIZE: usize = 16 << 10;

/// Why a connection between two processes of the deployment failed.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection broke or timed out.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The bytes are not a valid frame.
    #[error("invalid frame: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A frame of a kind that this release does not know.
    #[error("frame of unknown kind")]
    UnknownKind,
    /// The peer closed the connection.
    #[error("connection closed by the peer")]
    Closed,
    /// The peer does not know the secret, or its reported role is unknown.
    #[error("the peer failed the handshake")]
    Unauthenticated,
    /// A frame that the protocol does not allow at this point.
    #[error("unexpected frame")]
    UnexpectedFrame,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec()
}

/// Appends a frame to `buffer`.
///
/// # Errors
/// The frame is larger than [`FRAME_LIMIT`].
pub fn encode(frame: &Frame, buffer: &mut BytesMut) -> Result<(), WireError> {
    Ok(codec().encode(Bytes::from(frame.encode_to_vec()), buffer)?)
}

/// Reads frames from a byte stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    bytes_read: u64,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader of `stream`.
    pub fn new(stream: R) -> FrameReader<R> {
        FrameReader { stream, codec: codec(), buffer: BytesMut::new(), bytes_read: 0 }
    }

    /// Reads the next frame.
    ///
    /// # Errors
    /// The stream failed, ended or contains invalid data. The connection cannot be used afterwards.
    pub fn next_frame(&mut self) -> Result<Kind, WireError> {
        loop {
            if let Some(bytes) = self.codec.decode(&mut self.buffer)? {
                return Frame::decode(bytes)?.kind.ok_or(WireError::UnknownKind);
            }
            let start = self.buffer.len();
            self.buffer.resize(start + READ_SIZE, 0);
            let read = self.stream.read(&mut self.buffer[start..]);
            self.buffer.truncate(start + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return Err(WireError::Closed),
                Ok(count) => self.bytes_read += count as u64,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Returns the number of bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Returns the underlying stream.
    pub fn get_ref(&self) -> &R {
        &self.stream
    }
}
