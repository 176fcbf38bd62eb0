//! Reads responses: one judge of where a response ends, and whether it is whole.

mod chunks;
mod decoder;
mod error;
mod framing;

pub use self::{
    chunks::{MAX_CHUNK_LINE_BYTES, MAX_TRAILER_BYTES},
    decoder::{MAX_HEAD_BYTES, MAX_INTERIM, ResponseDecoder, Sink},
    error::ResponseError,
    framing::Framing,
};
