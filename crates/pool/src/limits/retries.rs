//! The retry budget, which all entries share without communication.

use std::collections::VecDeque;

use citronrill_base::Millis;

use super::WindowShare;

/// Share of the permitted retries per first attempt that is earned. What was earned up to [`EARNED_MS`]
/// before a window may be used in it; the rest covers that.
const EARNED_SHARE: f64 = 0.92;
/// Share of the permitted slack that is used.
const SLACK_SHARE: f64 = 0.95;
/// Milliseconds for which a first attempt keeps a retry available.
const EARNED_MS: u64 = 800;
/// Milliseconds in which the endpoint's refusal of a first attempt arrives: what that attempt earned is
/// kept in full until then.
const JUST_EARNED_MS: u64 = 50;

/// Numbers of retries since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryCounts {
    /// Those that the budget permitted.
    pub granted: u64,
    /// Requests for which it did not permit one.
    pub denied: u64,
    /// Permitted ones that were not sent.
    pub returned: u64,
}

/// Limits the retries of one service in proportion to its first attempts in a sliding window, plus a
/// slack.
///
/// Guards against retry storms: when endpoints become slow or refuse requests, every request is
/// retried, the endpoints get a multiple of the load, and none recovers. Each entry earns retries with
/// its own first attempts, and has its share of the slack. An entry that has just started has earned
/// nothing and has no slack, so the sum over all entries stays within the total however often they start.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    first_attempts: VecDeque<Millis>,
    earned: f64,
    updated_at: Millis,
    /// This entry's part of the slack.
    part: f64,
    slack: WindowShare,
    /// Retries that were reserved and not sent yet.
    reserved: u32,
    counts: RetryCounts,
}

impl RetryBudget {
    /// Creates the budget of an entry that has started at `now`, after others may have been there, of
    /// `ratio` retries per first attempt within `window_ms`.
    pub fn after_restart(ratio: f64, window_ms: u64, now: Millis) -> RetryBudget {
        RetryBudget {
            ratio: ratio * EARNED_SHARE,
            window_ms,
            first_attempts: VecDeque::new(),
            earned: 0.0,
            updated_at: now,
            part: 0.0,
            slack: WindowShare::new(window_ms, now + window_ms),
            reserved: 0,
            counts: RetryCounts::default(),
        }
    }

    /// Creates the budget of an entry that starts with the whole system: nothing was used before.
    pub fn unused(ratio: f64, window_ms: u64, now: Millis) -> RetryBudget {
        let slack = WindowShare::new(window_ms, now);
        RetryBudget { earned: 1.0, slack, ..RetryBudget::after_restart(ratio, window_ms, now) }
    }

    /// Sets the additional retries of all entries, and their number; `None` if it is unknown.
    pub fn set_slack(&mut self, slack: f64, entries: Option<u32>) {
        self.part = entries.map_or(0.0, |entries| SLACK_SHARE * slack / f64::from(entries.max(1)));
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Millis) {
        self.update(now);
        self.first_attempts.push_back(now);
        self.earned += self.ratio;
    }

    /// Reserves a retry, if one is left.
    pub fn reserve(&mut self, now: Millis) -> bool {
        let granted = self.left(now) >= 1;
        self.reserved += u32::from(granted);
        self.counts.granted += u64::from(granted);
        granted
    }

    /// Counts a request that got no retry.
    pub fn count_denied(&mut self) {
        self.counts.denied += 1;
    }

    /// Returns a reserved retry that will not be sent.
    pub fn cancel(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
        self.counts.returned += 1;
    }

    /// Uses a reserved retry. Returns false if it may not be sent, because too many were sent since.
    ///
    /// A reserved retry may wait for seconds until an endpoint has room. It counts when it is sent:
    /// otherwise those that were reserved in several windows could all arrive in one.
    pub fn send(&mut self, now: Millis) -> bool {
        self.reserved = self.reserved.saturating_sub(1);
        self.update(now);
        if self.earned >= 1.0 {
            self.earned -= 1.0;
            return true;
        }
        self.slack.take(now)
    }

    /// Returns the number of retries that may still be reserved.
    pub fn left(&mut self, now: Millis) -> u32 {
        self.update(now);
        let unused = self.earned.floor() + self.slack.left(now).floor();
        (unused as u32).saturating_sub(self.reserved)
    }

    /// Returns the numbers of retries since the start.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }

    /// Returns the number of retries that are reserved.
    pub fn reserved(&self) -> u32 {
        self.reserved
    }

    fn update(&mut self, now: Millis) {
        let window_ms = self.window_ms;
        while self.first_attempts.front().is_some_and(|at| now.since(*at) >= window_ms) {
            self.first_attempts.pop_front();
        }
        let recent = self.first_attempts.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) < EARNED_MS).count();
        // One retry is kept however few first attempts there are. It belongs to the slack.
        let kept = if self.part > 0.0 { self.part.min(1.0) } else { 1.0 };
        let last = self.first_attempts.back();
        let just_earned = last.is_some_and(|at| now.since(*at) < JUST_EARNED_MS);
        let fraction = if just_earned { self.ratio } else { 0.0 };
        let most = (self.ratio * recent as f64).max(kept) + fraction;
        let mean = self.first_attempts.len() as f64 * EARNED_MS as f64 / window_ms.max(1) as f64;
        let capacity = self.part - 1.0 + (self.ratio * mean).min(1.0);
        let whole = capacity.max(0.0).floor();
        if self.slack.is_usable(now) {
            let elapsed = now.since(self.updated_at) as f64 / window_ms.max(1) as f64;
            self.earned += (capacity - whole).max(0.0) * elapsed;
        }
        self.updated_at = now;
        self.slack.set_capacity(whole);
        self.earned = self.earned.min(most);
    }
}
