//! Follows the bytes of responses on a connection.

use super::{
    chunks::Chunks,
    error::ResponseError,
    framing::{Framing, StatusLine, framing},
};

/// Maximum bytes of one head.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of fields of one head.
const MAX_FIELDS: usize = 100;
/// Maximum number of interim responses to one request.
pub const MAX_INTERIM: usize = 16;
/// How each response begins.
const PREFIX: &[u8] = b"HTTP/1.";

/// Takes what a decoder finds.
pub trait Sink {
    /// Takes the head of the final response.
    fn head(&mut self, _head: &httparse::Response<'_, '_>) {}

    /// Takes a part of the body.
    fn data(&mut self, _data: &[u8]) {}
}

/// Takes nothing.
impl Sink for () {}

#[derive(Debug, PartialEq, Eq)]
enum State {
    /// No response is expected, or it has ended.
    Idle,
    /// In a head, with its bytes.
    Head(Vec<u8>),
    /// In a body of which so many bytes are left.
    Length(u64),
    Chunks(Chunks),
    UntilClose,
    /// The bytes are no response.
    Failed(ResponseError),
}

impl State {
    /// Returns where a reader is after the final head.
    fn of_body(framing: Framing) -> State {
        match framing {
            Framing::NoBody | Framing::Length(0) => State::Idle,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunks(Chunks::new()),
            Framing::UntilClose => State::UntilClose,
        }
    }
}

/// Follows the bytes of responses on a connection, and decides where each ends and whether it is whole.
#[derive(Debug)]
pub struct ResponseDecoder {
    state: State,
    head_only: bool,
    interim: usize,
    framing: Option<Framing>,
}

impl ResponseDecoder {
    /// Creates a decoder that expects no response yet.
    pub fn new() -> ResponseDecoder {
        ResponseDecoder { state: State::Idle, head_only: false, interim: 0, framing: None }
    }

    /// Expects the response to a request; `head_only` is set if it asks for the head only.
    pub fn expect(&mut self, head_only: bool) {
        *self = ResponseDecoder {
            state: State::Head(Vec::new()),
            head_only,
            interim: 0,
            framing: None,
        };
    }

    /// Returns what marks the end of the body, once the final head has arrived.
    pub fn framing(&self) -> Option<Framing> {
        self.framing
    }

    /// Returns whether the response has ended.
    pub fn is_complete(&self) -> bool {
        self.state == State::Idle
    }

    /// Reads bytes of the peer. Returns how many belong to the response: those after its end belong to no
    /// request.
    ///
    /// # Errors
    /// The bytes are no response.
    pub fn push(&mut self, bytes: &[u8], sink: &mut impl Sink) -> Result<usize, ResponseError> {
        let mut used = 0;
        while used < bytes.len() && self.state != State::Idle {
            match self.advance(&bytes[used..], sink) {
                Ok(count) => used += count,
                Err(error) => {
                    self.state = State::Failed(error);
                    return Err(error);
                }
            }
        }
        Ok(used)
    }

    /// Ends the connection; `broken` is set if it did not end in good order.
    ///
    /// # Errors
    /// The response is not whole.
    pub fn close(&mut self, broken: bool) -> Result<(), ResponseError> {
        let ended = match &self.state {
            State::Idle => Ok(()),
            State::UntilClose if broken => Err(ResponseError::Broken),
            State::UntilClose => Ok(()),
            State::Failed(error) => Err(*error),
            State::Head(_) | State::Length(_) | State::Chunks(_) => Err(ResponseError::EndedEarly),
        };
        self.state = ended.err().map_or(State::Idle, State::Failed);
        ended
    }

    /// Reads bytes up to the next boundary; returns how many.
    fn advance(&mut self, bytes: &[u8], sink: &mut impl Sink) -> Result<usize, ResponseError> {
        match &mut self.state {
            State::Idle => Ok(0),
            State::Failed(error) => Err(*error),
            State::Head(_) => self.read_head(bytes, sink),
            State::Length(left) => {
                let count = (bytes.len() as u64).min(*left) as usize;
                *left -= count as u64;
                sink.data(&bytes[..count]);
                if *left == 0 {
                    self.state = State::Idle;
                }
                Ok(count)
            }
            State::Chunks(chunks) => {
                let count = chunks.push(bytes, |data| sink.data(data))?;
                if *chunks == Chunks::End {
                    self.state = State::Idle;
                }
                Ok(count)
            }
            State::UntilClose => {
                sink.data(bytes);
                Ok(bytes.len())
            }
        }
    }

    fn read_head(&mut self, bytes: &[u8], sink: &mut impl Sink) -> Result<usize, ResponseError> {
        let State::Head(head) = &mut self.state else { return Ok(0) };
        let before = head.len();
        let added = &bytes[..bytes.len().min(MAX_HEAD_BYTES - before)];
        head.extend_from_slice(added);
        let full = head.len() == MAX_HEAD_BYTES;
        if !PREFIX.starts_with(&head[..head.len().min(PREFIX.len())]) {
            return Err(ResponseError::MalformedHead("no status line"));
        }
        // A head is parsed when another line of it has arrived.
        if !full && !added.contains(&b'\n') {
            return Ok(added.len());
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response.parse(head);
        let parsed = parsed.map_err(|error| ResponseError::MalformedHead(reason(error)))?;
        let httparse::Status::Complete(length) = parsed else {
            return if full {
                Err(ResponseError::TooLong(MAX_HEAD_BYTES))
            } else {
                Ok(added.len())
            };
        };
        let line = status_line(&response, self.head_only)?;
        let framing = framing(line, response.headers)?;
        if line.is_interim() {
            self.interim += 1;
            self.state = State::Head(Vec::new());
        } else {
            sink.head(&response);
            self.framing = Some(framing);
            self.state = State::of_body(framing);
        }
        if self.interim > MAX_INTERIM {
            return Err(ResponseError::TooManyInterim(MAX_INTERIM));
        }
        Ok(length - before)
    }
}

impl Default for ResponseDecoder {
    fn default() -> ResponseDecoder {
        ResponseDecoder::new()
    }
}

/// Returns the start of a response whose status is one that was defined, and asked for.
fn status_line(
    response: &httparse::Response<'_, '_>,
    head_only: bool,
) -> Result<StatusLine, ResponseError> {
    let (status, version) = (response.code.unwrap_or(0), response.version.unwrap_or(0));
    match status {
        // No request of ours asks for another protocol.
        101 => Err(ResponseError::MalformedHead("another protocol")),
        100..600 => Ok(StatusLine { status, version, head_only }),
        _ => Err(ResponseError::MalformedHead("no such status")),
    }
}

fn reason(error: httparse::Error) -> &'static str {
    match error {
        httparse::Error::HeaderName => "the name of a field",
        httparse::Error::HeaderValue => "the value of a field",
        httparse::Error::NewLine => "a line end",
        httparse::Error::Status => "the status",
        httparse::Error::Token => "a byte that may not stand there",
        httparse::Error::TooManyHeaders => "too many fields",
        httparse::Error::Version => "the version",
    }
}
