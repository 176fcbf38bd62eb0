//! What an endpoint says of itself: in its responses, by its side, and in its row of the member list.
//!
//! It holds for an incarnation, and nothing older takes it back: a row that was written before, a list read
//! from a copy, the report of a side that has not heard it yet.

use citronrill_base::Millis;

use crate::limits::EndpointRate;

/// Milliseconds between two requests to an endpoint after a backoff, until it has taken one.
const FIRST_DISPATCHES_MS: u64 = 200;

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
    /// A backoff that it has asked for, until a response shows that it takes requests again.
    backoff: Option<Backoff>,
}

/// A time in which an endpoint that turned a request away wants no others of this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Backoff {
    until: Millis,
    /// When the next request may be dispatched: at the end, then one at a time.
    next_dispatch: Millis,
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
        let longer = self.backoff.is_none_or(|known| until > known.until);
        if longer {
            self.backoff = Some(Backoff { until, next_dispatch: until });
        }
        longer
    }

    /// Returns the milliseconds until a request may be dispatched to it, as far as backoffs are concerned.
    pub(crate) fn backoff_ms(&self, now: Millis) -> u64 {
        self.backoff.map_or(0, |backoff| backoff.next_dispatch.since(now))
    }

    /// Records a dispatch. Right after a backoff the next one follows only after a pause, so that not all
    /// requests that have waited reach an endpoint that still turns them away.
    pub(crate) fn record_dispatch(&mut self, now: Millis) {
        if let Some(backoff) = &mut self.backoff {
            backoff.next_dispatch = backoff.next_dispatch.max(now + FIRST_DISPATCHES_MS);
        }
    }

    /// Records that it took a request that was dispatched at `sent_at`. Returns whether that ended a
    /// backoff: one that had not passed by then goes on.
    pub(crate) fn record_accepted(&mut self, sent_at: Millis) -> bool {
        self.backoff.take_if(|backoff| backoff.until <= sent_at).is_some()
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
