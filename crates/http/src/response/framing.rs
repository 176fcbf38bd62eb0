//! What marks the end of a response body (RFC 9112, section 6).

use httparse::Header;

use super::error::ResponseError;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";
const CONNECTION: &str = "connection";
const KEEP_ALIVE: &str = "keep-alive";
const CHUNKED: &str = "chunked";

/// What marks the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The end of the head: there is no body.
    NoBody,
    /// Its length in bytes.
    Length(u64),
    /// The terminating chunk.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the fixed name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::NoBody => "none",
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "until_close",
        }
    }
}

/// The start of a response, as far as it bears on the end of its body.
#[derive(Debug, Clone, Copy)]
pub(super) struct StatusLine {
    pub(super) status: u16,
    /// The minor version of HTTP/1.
    pub(super) version: u8,
    /// Whether the request asks for the head only.
    pub(super) head_only: bool,
}

impl StatusLine {
    pub(super) fn is_interim(self) -> bool {
        (100..200).contains(&self.status)
    }

    fn has_no_body(self) -> bool {
        self.head_only || self.is_interim() || matches!(self.status, 204 | 304)
    }
}

/// The fields of a head that bear on the end of its body.
#[derive(Debug, Default)]
struct EndFields {
    length: Option<u64>,
    chunked: bool,
    keeps_open: bool,
    misspelt: bool,
}

impl EndFields {
    fn of(headers: &[Header<'_>]) -> Result<EndFields, ResponseError> {
        let mut fields = EndFields::default();
        for header in headers {
            let is = |name: &str| header.name.eq_ignore_ascii_case(name);
            if is(CONTENT_LENGTH) {
                fields.add_length(header.value)?;
            } else if is(TRANSFER_ENCODING) {
                fields.add_coding(header.value)?;
            } else if is(KEEP_ALIVE) {
                fields.keeps_open = true;
            } else if is(CONNECTION) {
                fields.keeps_open |= has_option(header.value, KEEP_ALIVE);
            } else {
                fields.misspelt |= resembles_end_field(header.name);
            }
        }
        Ok(fields)
    }

    /// Adds a length, which may be repeated if it is the same.
    fn add_length(&mut self, value: &[u8]) -> Result<(), ResponseError> {
        for value in value.split(|byte| *byte == b',') {
            let length = parse_length(value.trim_ascii())
                .ok_or(ResponseError::UnclearEnd("the length is no number"))?;
            if self.length.replace(length).is_some_and(|other| other != length) {
                return Err(ResponseError::UnclearEnd("two lengths"));
            }
        }
        Ok(())
    }

    /// Adds a transfer coding: chunks, once, are the only one that a reader without further codings can undo.
    fn add_coding(&mut self, value: &[u8]) -> Result<(), ResponseError> {
        if !value.trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes()) {
            return Err(ResponseError::UnclearEnd("an unknown transfer coding"));
        }
        if std::mem::replace(&mut self.chunked, true) {
            return Err(ResponseError::UnclearEnd("chunks in chunks"));
        }
        Ok(())
    }
}

/// Decides what marks the end of the body of a response with this head.
///
/// A head that permits several readings is not taken for one: whoever reads it otherwise would take another
/// body for the endpoint's.
///
/// # Errors
/// The head says nothing definite.
pub(super) fn framing(line: StatusLine, headers: &[Header<'_>]) -> Result<Framing, ResponseError> {
    let fields = EndFields::of(headers)?;
    if fields.chunked && fields.length.is_some() {
        return Err(ResponseError::UnclearEnd("a length and chunks"));
    }
    if fields.chunked && line.version == 0 {
        return Err(ResponseError::UnclearEnd("chunks in version 1.0"));
    }
    if line.is_interim() && (fields.chunked || fields.length.is_some()) {
        return Err(ResponseError::UnclearEnd("an interim response with a body"));
    }
    if line.status == 204 && (fields.chunked || fields.length.is_some_and(|length| length > 0)) {
        return Err(ResponseError::UnclearEnd("a body that its status rules out"));
    }
    if line.has_no_body() {
        return Ok(Framing::NoBody);
    }
    match fields {
        EndFields { chunked: true, .. } => Ok(Framing::Chunked),
        EndFields { length: Some(length), .. } => Ok(Framing::Length(length)),
        EndFields { misspelt: true, .. } => {
            Err(ResponseError::UnclearEnd("the name of the field that marks it is misspelt"))
        }
        // The end of a connection that persists is not that of the body: the field that marks it was lost.
        EndFields { keeps_open: true, .. } => {
            Err(ResponseError::UnclearEnd("no length on a connection that persists"))
        }
        _ => Ok(Framing::UntilClose),
    }
}

/// Returns whether a trailer may hold a field: none that marks the end of the body.
pub(super) fn permitted_in_trailer(name: &str) -> bool {
    !name.eq_ignore_ascii_case(CONTENT_LENGTH) && !name.eq_ignore_ascii_case(TRANSFER_ENCODING)
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(digits).ok()?.parse().ok()
}

fn has_option(value: &[u8], option: &str) -> bool {
    let mut options = value.split(|byte| *byte == b',');
    options.any(|value| value.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}

/// Returns whether a name is that of a field that marks the end of a body, but for one letter or for what stands
/// between its words.
///
/// Such a field has been damaged on its way out of the endpoint: without it, the body would last until the
/// connection closes.
fn resembles_end_field(name: &str) -> bool {
    let letters = name.bytes().filter(u8::is_ascii_alphabetic);
    let letters = letters.map(|letter| letter.to_ascii_lowercase()).collect::<Vec<_>>();
    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|field| {
        let field = field.bytes().filter(u8::is_ascii_alphabetic).collect::<Vec<_>>();
        differ_by_one(&letters, &field)
    })
}

/// Returns whether at most one letter is missing, added, changed or swapped with the next one.
fn differ_by_one(a: &[u8], b: &[u8]) -> bool {
    let same = a.iter().zip(b).take_while(|(a, b)| a == b).count();
    let (a, b) = (&a[same..], &b[same..]);
    match (a, b) {
        ([], []) => true,
        ([_, a @ ..], [_, b @ ..]) if a == b => true,
        ([a0, a1, a @ ..], [b0, b1, b @ ..]) if (a0, a1) == (b1, b0) && a == b => true,
        _ => a.get(1..) == Some(b) || b.get(1..) == Some(a),
    }
}
