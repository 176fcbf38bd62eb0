//! When a control thread looks at the clock.

use citronrill_base::Millis;

/// Looks at regular times, whatever comes in between.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    last: Millis,
}

impl Pace {
    /// Milliseconds until the next look, where one is due every `every_ms`.
    pub fn left_ms(&self, every_ms: u64, now: Millis) -> u64 {
        every_ms.saturating_sub(now.since(self.last))
    }

    /// Whether a look is due; it counts as done.
    pub fn take(&mut self, every_ms: u64, now: Millis) -> bool {
        let due = self.left_ms(every_ms, now) == 0;
        if due {
            self.last = now;
        }
        due
    }
}
