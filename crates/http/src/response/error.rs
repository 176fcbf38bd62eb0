//! Why bytes are no response, or no whole one.

use std::io;

use thiserror::Error;

/// Why bytes of a peer are not taken for a response, or not for a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// The bytes are no head of a response.
    #[error("malformed head: {0}")]
    MalformedHead(&'static str),
    /// A head, a trailer section or the line of a chunk has more bytes than its limit.
    #[error("more than {0} bytes without an end")]
    TooLong(usize),
    /// More interim responses than the limit.
    #[error("more than {0} interim responses")]
    TooManyInterim(usize),
    /// The head says nothing definite about where the body ends.
    #[error("unclear end of the body: {0}")]
    UnclearEnd(&'static str),
    /// A chunk or a trailer section is malformed.
    #[error("malformed chunk: {0}")]
    MalformedChunk(&'static str),
    /// The connection ended before the response did.
    #[error("ended early")]
    EndedEarly,
    /// The connection broke, and only its end marks that of the body.
    #[error("broken connection in a body that ends with it")]
    Broken,
}

impl From<ResponseError> for io::Error {
    fn from(error: ResponseError) -> io::Error {
        let kind = match error {
            ResponseError::EndedEarly => io::ErrorKind::UnexpectedEof,
            ResponseError::Broken => io::ErrorKind::ConnectionReset,
            _ => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, error)
    }
}
