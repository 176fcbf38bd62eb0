//! The process's monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use citronrill_base::Millis;

/// A monotonic clock that starts at zero when the process starts.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the milliseconds since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// Returns the minutes since midnight, UTC. Used only to learn daily traffic patterns.
pub(crate) fn minute_of_day() -> u16 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    (since.as_secs() / 60 % 1440) as u16
}
