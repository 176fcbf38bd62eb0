//! When a control thread looks at the clock.

use citronrill_base::Millis;

/// Milliseconds between two whole looks while other events keep coming: a whole one goes over all endpoints
/// for each model in demand.
const WHOLE_MS: u64 = 100;

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// Nothing.
    Nothing,
    /// A look at what cannot wait.
    Look,
    /// A whole one.
    Whole,
}

/// Looks at regular times, whatever comes in between.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    last: Millis,
    whole: Millis,
    /// Whether an event has come since the last look.
    busy: bool,
}

impl Pace {
    /// Takes note of an event.
    pub fn note_event(&mut self) {
        self.busy = true;
    }

    /// Milliseconds until the next look, where one is due every `every_ms`.
    pub fn left_ms(&self, every_ms: u64, now: Millis) -> u64 {
        every_ms.saturating_sub(now.since(self.last))
    }

    /// What is due; it counts as done.
    pub fn take(&mut self, every_ms: u64, now: Millis) -> Due {
        if self.left_ms(every_ms, now) > 0 {
            return Due::Nothing;
        }
        self.last = now;
        let busy = std::mem::take(&mut self.busy);
        if busy && now.since(self.whole) < WHOLE_MS {
            return Due::Look;
        }
        self.whole = now;
        Due::Whole
    }
}
