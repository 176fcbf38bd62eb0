//! A body in chunks (RFC 9112, section 7.1).

use super::{error::ResponseError, framing::permitted_in_trailer};

/// Maximum bytes of the line before a chunk: its size and extensions.
pub const MAX_CHUNK_LINE_BYTES: usize = 1 << 10;
/// Maximum bytes of a trailer section.
pub const MAX_TRAILER_BYTES: usize = 8 << 10;
/// Maximum number of fields of a trailer section.
const MAX_TRAILER_FIELDS: usize = 64;

/// Where a reader is in the chunks of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Chunks {
    /// In the line before a chunk.
    Line(Vec<u8>),
    /// In a chunk, with the bytes that are left of it.
    Data(u64),
    /// In the line end after a chunk, with the bytes of it that have arrived.
    DataEnd(usize),
    /// After the last chunk.
    Trailer(Vec<u8>),
    /// The body has ended.
    End,
}

impl Chunks {
    pub(super) fn new() -> Chunks {
        Chunks::Line(Vec::new())
    }

    /// Reads bytes; calls `data` for each part of the body. Returns how many bytes belong to the body.
    pub(super) fn push(
        &mut self,
        bytes: &[u8],
        mut data: impl FnMut(&[u8]),
    ) -> Result<usize, ResponseError> {
        let mut used = 0;
        while used < bytes.len() && *self != Chunks::End {
            used += self.advance(&bytes[used..], &mut data)?;
        }
        Ok(used)
    }

    /// Reads bytes up to the next boundary; returns how many.
    fn advance(
        &mut self,
        bytes: &[u8],
        data: &mut impl FnMut(&[u8]),
    ) -> Result<usize, ResponseError> {
        match self {
            Chunks::Line(line) => {
                let used = push_line(line, bytes, MAX_CHUNK_LINE_BYTES)?;
                if let Some(line) = line.strip_suffix(b"\r\n") {
                    let size = parse_size(line)?;
                    *self =
                        if size == 0 { Chunks::Trailer(Vec::new()) } else { Chunks::Data(size) };
                }
                Ok(used)
            }
            Chunks::Data(left) => {
                let count = (bytes.len() as u64).min(*left) as usize;
                data(&bytes[..count]);
                *left -= count as u64;
                if *left == 0 {
                    *self = Chunks::DataEnd(0);
                }
                Ok(count)
            }
            Chunks::DataEnd(seen) => {
                if bytes[0] != b"\r\n"[*seen] {
                    return Err(ResponseError::MalformedChunk("no line end after a chunk"));
                }
                *seen += 1;
                if *seen == 2 {
                    *self = Chunks::new();
                }
                Ok(1)
            }
            Chunks::Trailer(section) => {
                let used = push_line(section, bytes, MAX_TRAILER_BYTES)?;
                if section == b"\r\n" || section.ends_with(b"\r\n\r\n") {
                    check_trailer(section)?;
                    *self = Chunks::End;
                }
                Ok(used)
            }
            Chunks::End => Ok(0),
        }
    }
}

/// Adds bytes up to the next line feed to `line`; returns how many.
fn push_line(line: &mut Vec<u8>, bytes: &[u8], limit: usize) -> Result<usize, ResponseError> {
    let end = bytes.iter().position(|byte| *byte == b'\n').map(|at| at + 1);
    let count = end.unwrap_or(bytes.len());
    if line.len() + count > limit {
        return Err(ResponseError::TooLong(limit));
    }
    line.extend_from_slice(&bytes[..count]);
    Ok(count)
}

/// Parses the line before a chunk: its size, and extensions that are ignored. A line feed or carriage return alone in
/// it ends the line for some readers.
fn parse_size(line: &[u8]) -> Result<u64, ResponseError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let hexadecimal = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let size = str::from_utf8(size).ok().filter(|_| hexadecimal);
    let size = size.and_then(|size| u64::from_str_radix(size, 16).ok());
    let clean = !line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t');
    size.filter(|_| clean).ok_or(ResponseError::MalformedChunk("the size is no number"))
}

fn check_trailer(section: &[u8]) -> Result<(), ResponseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
    let parsed = httparse::parse_headers(section, &mut fields);
    let Ok(httparse::Status::Complete((_, fields))) = parsed else {
        return Err(ResponseError::MalformedChunk("the trailer holds a line that is no field"));
    };
    if !fields.iter().all(|field| permitted_in_trailer(field.name)) {
        return Err(ResponseError::MalformedChunk("the trailer marks another end"));
    }
    Ok(())
}
