//! The budget of second sends that all entries share without talking.

use std::collections::VecDeque;

use citronrill_base::Millis;

/// Bounds the second sends of one service by its first sends in a sliding window.
///
/// The failure it prevents: when endpoints turn slow or refuse, every request is sent again, the
/// endpoints get a multiple of the load, and none recovers. Each entry takes the ratio of its own
/// requests and its part of the slack, so the sum over all entries stays within the whole.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window_ms: u64,
    firsts: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RetryBudget {
    /// A budget of `ratio` x first sends within `window_ms`.
    pub fn new(ratio: f64, window_ms: u64) -> RetryBudget {
        RetryBudget {
            ratio,
            slack: 0.0,
            window_ms,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Allows `slack` second sends besides.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request.
    pub fn first(&mut self, now: Millis) {
        self.expire(now);
        self.firsts.push_back(now);
    }

    /// Takes one second send, if the budget allows it.
    pub fn take(&mut self, now: Millis) -> bool {
        self.expire(now);
        let room = self.ratio * self.firsts.len() as f64 + self.slack;
        let granted = (self.repeats.len() as f64) + 1.0 <= room;
        if granted {
            self.repeats.push_back(now);
        }
        granted
    }

    fn expire(&mut self, now: Millis) {
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) >= self.window_ms) {
                times.pop_front();
            }
        }
    }
}
