//! The retry budget, which all entries share without communication.

use std::collections::VecDeque;

use citronrill_base::Millis;

/// Limits the retries of one service in proportion to its first attempts in a sliding window.
///
/// Guards against retry storms: when endpoints become slow or refuse requests, every request is
/// retried, the endpoints get a multiple of the load, and none recovers. Each entry applies the
/// ratio to its own requests and takes its part of the slack, so the sum over all entries stays
/// within the total.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window_ms: u64,
    first_attempts: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first attempt within `window_ms`.
    pub fn new(ratio: f64, window_ms: u64) -> RetryBudget {
        RetryBudget {
            ratio,
            slack: 0.0,
            window_ms,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Allows `slack` additional retries.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Millis) {
        self.expire(now);
        self.first_attempts.push_back(now);
    }

    /// Returns the number of retries within the window that ends now, and how many are permitted.
    pub fn usage(&mut self, now: Millis) -> (usize, f64) {
        self.expire(now);
        let allowed = self.ratio * self.first_attempts.len() as f64 + self.slack;
        (self.retries.len(), allowed)
    }

    /// Takes one retry from the budget, if it allows one.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let (used, allowed) = self.usage(now);
        let granted = used as f64 + 1.0 <= allowed;
        if granted {
            self.retries.push_back(now);
        }
        granted
    }

    fn expire(&mut self, now: Millis) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) >= self.window_ms) {
                times.pop_front();
            }
        }
    }
}
