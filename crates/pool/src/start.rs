//! Which start of an endpoint a belief is of.

use citronrill_base::Millis;

/// Milliseconds for which an older start has to be the last word before it is believed. An endpoint
/// that lives writes to the list every 1,200, and the list is read every 900: what a start that is
/// over has written late is written over by then.
pub(crate) const SETTLE_MS: u64 = 2_500;

/// When an endpoint has started, in Unix milliseconds by its own clock.
///
/// An endpoint may start again under the name that it had. This tells its starts apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(pub u64);

/// What a word of an endpoint says about its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartNews {
    /// It is of the start that is known, or does not say.
    Same,
    /// It is of another start, which is the present one.
    New,
    /// It is of a start that is over, as far as is known.
    Older,
}

/// The start that is believed to be the present one.
///
/// The failure it guards against: an endpoint crashes and starts again under its name, and a word of
/// its last start arrives after the first one of the new start. Taken at its word, requests go to
/// models that are no longer there, and orders rely on a count that has begun anew.
///
/// An older start is believed once it has been the last word for [`SETTLE_MS`]: the clock of an
/// instance may be set back, and its next start would else never be believed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownStart {
    time: Option<StartTime>,
    /// Whether the endpoint was heard without telling its start.
    untold: bool,
    /// An older start that was told, and when it was told first.
    older: Option<(StartTime, Millis)>,
}

impl KnownStart {
    /// The start, if any was told.
    pub(crate) fn time(&self) -> Option<StartTime> {
        self.time
    }

    /// Takes the start that a word bears.
    pub(crate) fn hear(&mut self, told: Option<StartTime>, now: Millis) -> StartNews {
        let Some(told) = told else {
            self.untold |= self.time.is_none();
            return StartNews::Same;
        };
        let since = self.older.filter(|(older, _)| *older == told).map_or(now, |(_, at)| at);
        let newer = self.time.is_none_or(|known| told >= known);
        if !newer && now.since(since) < SETTLE_MS {
            self.older = Some((told, since));
            return StartNews::Older;
        }
        // One that did not tell its start and now does is another program, and so another start.
        let first = self.time.is_none() && !self.untold;
        let same = first || self.time == Some(told);
        *self = KnownStart { time: Some(told), ..KnownStart::default() };
        if same { StartNews::Same } else { StartNews::New }
    }
}
