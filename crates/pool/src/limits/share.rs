//! One entry's share of a bound on the sum over all entries.

use std::collections::VecDeque;

use citronrill_base::Millis;

/// Milliseconds by which a use may take effect later than the one before it.
const SPREAD_MS: u64 = 300;

/// Uses within any window of at most this entry's share of what all entries may use.
///
/// Guards against a share that each start gives anew: an entry that starts again does not know what it
/// used before, and uses nothing until that has left the window. The sum over all entries then holds
/// without communication, however often they start.
#[derive(Debug, Clone)]
pub struct WindowShare {
    window_ms: u64,
    usable_from: Millis,
    capacity: f64,
    uses: VecDeque<Millis>,
}

impl WindowShare {
    /// Creates a share that may be used from `usable_from` on.
    pub fn new(window_ms: u64, usable_from: Millis) -> WindowShare {
        WindowShare { window_ms, usable_from, capacity: 0.0, uses: VecDeque::new() }
    }

    /// Sets how many uses are permitted in one window.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Returns whether uses are permitted at all.
    pub fn is_usable(&self, now: Millis) -> bool {
        now >= self.usable_from
    }

    /// Returns how many uses are permitted now.
    pub fn left(&mut self, now: Millis) -> f64 {
        let span_ms = self.window_ms + SPREAD_MS;
        while self.uses.front().is_some_and(|at| now.since(*at) >= span_ms) {
            self.uses.pop_front();
        }
        let capacity = if self.is_usable(now) { self.capacity } else { 0.0 };
        (capacity - self.uses.len() as f64).max(0.0)
    }

    /// Uses one, if that is permitted.
    pub fn take(&mut self, now: Millis) -> bool {
        let granted = self.left(now) >= 1.0;
        if granted {
            self.uses.push_back(now);
        }
        granted
    }
}
