//! Detection of endpoint restarts from the start times in reports.

use citronrill_base::Millis;

/// Milliseconds for which an older start time has to be the latest one reported before it is
/// accepted. A running endpoint writes to the member list every 1,200 ms, and the list is read every
/// 900 ms, so a late write of an earlier incarnation is overwritten within this time.
pub(crate) const OLDER_START_DELAY_MS: u64 = 2_500;

/// When an endpoint's process started, in Unix milliseconds by its own clock.
///
/// An endpoint may restart under the same name. This distinguishes its incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(pub u64);

/// How the incarnation of a report relates to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IncarnationChange {
    /// It is the known incarnation, or the report has no start time.
    Same,
    /// It is a new incarnation, which is now the current one.
    New,
    /// It is an incarnation that has presumably ended.
    Older,
}

/// The current incarnation, as far as is known.
///
/// Guards against this failure: an endpoint crashes and restarts under the same name, and a report
/// of the previous incarnation arrives after the first one of the new incarnation. If it were
/// accepted, requests would go to models that are no longer held, and orders would rely on a count
/// that has been reset.
///
/// An older start time is accepted once it has been the latest one for [`OLDER_START_DELAY_MS`]:
/// the clock of an instance may be set back, and the next incarnation would otherwise never be
/// accepted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownIncarnation {
    time: Option<StartTime>,
    /// Whether the endpoint has sent a report without a start time.
    without_time: bool,
    /// An older start time that was reported, and when it was first reported.
    older: Option<(StartTime, Millis)>,
}

impl KnownIncarnation {
    /// Returns the start time, if it is known.
    pub(crate) fn start_time(&self) -> Option<StartTime> {
        self.time
    }

    /// Updates the known incarnation from the start time of a report.
    pub(crate) fn update(&mut self, started: Option<StartTime>, now: Millis) -> IncarnationChange {
        let Some(started) = started else {
            self.without_time |= self.time.is_none();
            return IncarnationChange::Same;
        };
        let since = self.older.filter(|(older, _)| *older == started).map_or(now, |(_, at)| at);
        let newer = self.time.is_none_or(|known| started >= known);
        if !newer && now.since(since) < OLDER_START_DELAY_MS {
            self.older = Some((started, since));
            return IncarnationChange::Older;
        }
        // An endpoint that first reports no start time and later does is another program, and so
        // another incarnation.
        let first = self.time.is_none() && !self.without_time;
        let same = first || self.time == Some(started);
        *self = KnownIncarnation { time: Some(started), ..KnownIncarnation::default() };
        if same { IncarnationChange::Same } else { IncarnationChange::New }
    }
}
