//! Timer for the periodic checks of a control thread.

use citronrill_base::Millis;

/// Minimum milliseconds between two full checks while other events keep arriving: a full check
/// iterates over all endpoints for each model in demand.
const FULL_CHECK_MS: u64 = 100;

/// Which check is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueCheck {
    /// No check.
    Nothing,
    /// The check of urgent deadlines only.
    Urgent,
    /// The full check.
    Full,
}

/// Schedules checks at regular intervals, independently of other events.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckTimer {
    last_check: Millis,
    last_full: Millis,
    /// Whether an event has arrived since the last check.
    events_seen: bool,
}

impl CheckTimer {
    /// Records an event.
    pub fn note_event(&mut self) {
        self.events_seen = true;
    }

    /// Returns the milliseconds until the next check, if checks are `every_ms` apart.
    pub fn remaining_ms(&self, every_ms: u64, now: Millis) -> u64 {
        every_ms.saturating_sub(now.since(self.last_check))
    }

    /// Returns which check is due, and records it as done.
    pub fn take_due(&mut self, every_ms: u64, now: Millis) -> DueCheck {
        if self.remaining_ms(every_ms, now) > 0 {
            return DueCheck::Nothing;
        }
        self.last_check = now;
        let events_seen = std::mem::take(&mut self.events_seen);
        if events_seen && now.since(self.last_full) < FULL_CHECK_MS {
            return DueCheck::Urgent;
        }
        self.last_full = now;
        DueCheck::Full
    }
}
