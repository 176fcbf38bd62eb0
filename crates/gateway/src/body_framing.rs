//! How the end of a response body is marked (RFC 9112, section 6.3).

use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// What marks the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its length in bytes.
    Length,
    /// The terminating chunk.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing that a response's headers announce.
    pub(crate) fn of(headers: &HeaderMap) -> Framing {
        if headers.contains_key(TRANSFER_ENCODING) {
            Framing::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::UntilClose
        }
    }

    /// Returns the fixed name for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "until_close",
        }
    }
}
