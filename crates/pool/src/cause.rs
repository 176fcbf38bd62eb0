//! What may be the cause of crashes: a request as a whole, or a part of prompts.

use std::fmt;

use citronrill_wire::SuspectRecord;

use crate::{digest::RequestDigest, prompt::PromptPart};

/// What may crash each endpoint that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// A request, known by its content, which is sent again and again.
    Request(RequestDigest),
    /// A part of the prompts of requests that may differ otherwise.
    Part(PromptPart),
}

impl Cause {
    /// Returns the cause that a record is about; `None` if its digest does not have 16 bytes.
    pub fn of_record(record: &SuspectRecord) -> Option<Cause> {
        Cause::from_bytes(&record.digest, record.part)
    }

    /// Reads the cause of a message; `None` if the digest does not have 16 bytes.
    pub(crate) fn from_bytes(bytes: &[u8], part: bool) -> Option<Cause> {
        let RequestDigest(number) = RequestDigest::from_bytes(bytes)?;
        Some(match part {
            true => Cause::Part(PromptPart(number)),
            false => Cause::Request(RequestDigest(number)),
        })
    }

    /// Returns the digest or the part, as in messages between processes.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        match self {
            Cause::Request(digest) => digest.to_bytes(),
            Cause::Part(part) => part.to_bytes(),
        }
    }

    /// Returns whether it is a part of prompts.
    pub(crate) fn is_part(self) -> bool {
        matches!(self, Cause::Part(_))
    }

    /// Returns the name of the cause in log lines.
    pub(crate) fn field(self) -> &'static str {
        match self {
            Cause::Request(_) => "digest",
            Cause::Part(_) => "part",
        }
    }

    /// Returns the key of its row in the platform store.
    pub fn row_key(self) -> String {
        match self {
            Cause::Request(digest) => digest.to_string(),
            Cause::Part(part) => format!("part-{part}"),
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Request(digest) => digest.fmt(f),
            Cause::Part(part) => part.fmt(f),
        }
    }
}
