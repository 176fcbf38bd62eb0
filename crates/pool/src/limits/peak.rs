//! The highest of recent values.

use citronrill_base::Millis;

/// Milliseconds of one of the two spans over which the highest value is kept.
const SPAN_MS: u64 = 30_000;

/// The highest value of the last 30 to 60 seconds.
#[derive(Debug, Clone, Default)]
pub struct RecentPeak {
    current: u32,
    previous: u32,
    since: Millis,
}

impl RecentPeak {
    /// Adds a value.
    pub fn record(&mut self, value: u32, now: Millis) {
        let elapsed = now.since(self.since);
        if elapsed >= SPAN_MS {
            self.previous = if elapsed < 2 * SPAN_MS { self.current } else { 0 };
            self.current = 0;
            self.since = now;
        }
        self.current = self.current.max(value);
    }

    /// Returns the highest value; `None` if all were 0.
    pub fn highest(&self) -> Option<u32> {
        Some(self.current.max(self.previous)).filter(|peak| *peak > 0)
    }
}
