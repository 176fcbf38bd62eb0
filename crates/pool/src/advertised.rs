//! What an endpoint says of itself: in its responses, by its side, and in its row of the member list.
//!
//! It holds for an incarnation, and nothing older takes it back: a row that was written before, a list read
//! from a copy, the report of a side that has not heard it yet.

use citronrill_base::Millis;

use crate::limits::EndpointRate;

/// What an endpoint has said of a limit on the requests of all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NamedLimit {
    /// `None` if it names none.
    pub(crate) rate: Option<EndpointRate>,
    /// When the request was dispatched whose response said so.
    pub(crate) said_at: Millis,
}

/// What an incarnation of an endpoint has said of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Advertised {
    /// Whether it has said that it leaves, which no incarnation takes back.
    leaving: bool,
    /// What it last said of a limit, if anything is known.
    limit: Option<NamedLimit>,
    /// Until when it wants no requests.
    backoff_until: Option<Millis>,
}

impl Advertised {
    /// Returns whether it has said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records that it leaves; returns false if that was known.
    pub(crate) fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records until when it wants no requests; returns false if it has asked for a longer time before.
    pub(crate) fn record_backoff(&mut self, until: Millis) -> bool {
        let longer = self.backoff_until.is_none_or(|known| until > known);
        if longer {
            self.backoff_until = Some(until);
        }
        longer
    }

    /// Returns the limit that it names.
    pub(crate) fn limit(&self) -> Option<EndpointRate> {
        self.limit.and_then(|limit| limit.rate)
    }

    /// Records what it said of a limit; returns false if something newer is known.
    pub(crate) fn record_limit(&mut self, limit: NamedLimit) -> bool {
        let newer = self.limit.is_none_or(|known| limit.said_at >= known.said_at);
        if newer {
            self.limit = Some(limit);
        }
        newer
    }
}
