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
    /// When it last asked for it.
    asked_at: Millis,
    /// When a request may be dispatched before the end, if no other endpoint takes one.
    next_probe: Millis,
    /// Milliseconds from one such request to the next.
    probe_pause: u64,
    /// When the last such request was dispatched.
    probed_at: Option<Millis>,
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

    /// Records at `now` until when it wants no requests, in the response to one that was dispatched at
    /// `sent_at`; returns false if it has asked for a longer time before.
    pub(crate) fn record_backoff(&mut self, until: Millis, sent_at: Millis, now: Millis) -> bool {
        let known = self.backoff;
        let longer = known.is_none_or(|known| until > known.until);
        let mut backoff = known.unwrap_or(Backoff {
            until,
            next_dispatch: until,
            asked_at: now,
            next_probe: now + FIRST_DISPATCHES_MS,
            probe_pause: FIRST_DISPATCHES_MS,
            probed_at: None,
        });
        if longer {
            (backoff.until, backoff.next_dispatch) = (until, until);
        }
        // Requests that were under way when it first asked say nothing new.
        if known.is_some() && sent_at >= backoff.asked_at {
            backoff.probe_pause = (2 * backoff.probe_pause).min(backoff.until.since(now));
            backoff.next_probe = now + backoff.probe_pause;
            backoff.asked_at = now;
        }
        self.backoff = Some(backoff);
        longer
    }

    /// Returns the milliseconds until a request may be dispatched to it, as far as backoffs are concerned.
    pub(crate) fn backoff_ms(&self, now: Millis) -> u64 {
        self.backoff.map_or(0, |backoff| backoff.next_dispatch.since(now))
    }

    /// Returns the milliseconds until a request may be dispatched to it although its backoff has not ended.
    pub(crate) fn probe_ms(&self, now: Millis) -> u64 {
        self.backoff.map_or(0, |backoff| backoff.next_probe.min(backoff.until).since(now))
    }

    /// Permits one request before the end of the backoff.
    pub(crate) fn begin_probe(&mut self, now: Millis) {
        if let Some(backoff) = &mut self.backoff {
            backoff.next_dispatch = now;
            backoff.next_probe = now + backoff.probe_pause;
            backoff.probed_at = Some(now);
        }
    }

    /// Records a dispatch. Right after a backoff the next one follows only after a pause, so that not all
    /// requests that have waited reach an endpoint that still turns them away.
    pub(crate) fn record_dispatch(&mut self, now: Millis) {
        if let Some(backoff) = &mut self.backoff {
            backoff.next_dispatch = backoff.until.max(now + FIRST_DISPATCHES_MS);
        }
    }

    /// Records that it took a request that was dispatched at `sent_at`. Returns whether that ended a
    /// backoff: one that had not passed by then goes on, unless the request was let through before the end.
    pub(crate) fn record_accepted(&mut self, sent_at: Millis) -> bool {
        let ends =
            |backoff: &mut Backoff| backoff.until <= sent_at || backoff.probed_at == Some(sent_at);
        self.backoff.take_if(ends).is_some()
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
