//! Following one table of the platform's store: what to ask next, how long to wait for it, and when.
//!
//! Load pattern: the store answers nobody for seconds and then everybody at once. A call that was made
//! meanwhile is never answered, also not when the store is back.

use citronrill_base::hash_bytes;

/// Milliseconds for an answer at least, with a store 50 times slower than usual (4 ms).
const ANSWER_MS: u64 = 600;
/// Milliseconds that the store holds a call for changes at least, however short an outage is excused.
const MIN_HOLD_MS: u64 = 200;
/// Milliseconds that it holds one at most.
const MAX_HOLD_MS: u64 = 5_000;
/// Milliseconds from a call that fails at once to the next one.
const FAILED_PAUSE_MS: u64 = 250;
/// Part of a time by which processes vary it, so that their calls are not made, and lost, at the same
/// moment: whoever reads a text first gives it to the others.
const SPREAD: u64 = 4;
/// Calls for which the time that an outage excuses is enough, one after the other.
const TRIES: u64 = 3;

/// What to ask of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAsk {
    /// The whole table, page by page.
    Whole,
    /// What has changed after a version. The store holds the call for so many milliseconds at most if
    /// nothing has.
    Changes {
        /// The version up to which everything is known.
        after: u64,
        /// Milliseconds.
        hold_ms: u64,
    },
}

/// The next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCall {
    /// What to ask.
    pub ask: StoreAsk,
    /// Milliseconds within which the answer has to begin.
    pub limit_ms: u64,
}

/// Who follows a table, and what is asked of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowProfile {
    /// Tells processes apart.
    pub seed: u64,
    /// Milliseconds after an outage of the store, or of the way to it, within which everything is known.
    pub recover_ms: u64,
    /// Milliseconds from an answer to the next call; 0 where the store is to hold calls instead.
    pub pace_ms: u64,
}

/// How a table is followed.
#[derive(Debug)]
pub struct Follow {
    profile: FollowProfile,
    /// The version up to which everything is known; `None` if the whole is to be read.
    known: Option<u64>,
    /// Whether the last call failed.
    failing: bool,
    /// Milliseconds for which an answer is waited for, beyond the time for which a call is held.
    patience_ms: u64,
    /// Milliseconds for which the last call is held at most.
    held_ms: u64,
    /// Calls made.
    calls: u64,
}

impl Follow {
    /// Knows nothing yet.
    pub fn new(profile: FollowProfile) -> Follow {
        Follow {
            profile,
            known: None,
            failing: false,
            patience_ms: ANSWER_MS,
            held_ms: 0,
            calls: 0,
        }
    }

    /// The call to make now.
    pub fn call(&mut self) -> StoreCall {
        self.calls += 1;
        let Some(after) = self.known else {
            return StoreCall { ask: StoreAsk::Whole, limit_ms: 2 * self.patience_ms };
        };
        self.held_ms = if self.holds() { self.hold_ms() } else { 0 };
        let ask = StoreAsk::Changes { after, hold_ms: self.held_ms };
        StoreCall { ask, limit_ms: self.held_ms + self.patience_ms }
    }

    /// The call was answered after so many milliseconds, and everything up to `version` is known. Gives the
    /// milliseconds until the next one.
    pub fn answered(&mut self, version: u64, waited_ms: u64) -> u64 {
        let took_ms = waited_ms.saturating_sub(self.held_ms);
        self.patience_ms = (2 * took_ms).clamp(ANSWER_MS, self.longest_ms());
        self.failing = false;
        self.known = self.known.max(Some(version));
        self.profile.pace_ms
    }

    /// The store no longer has what changed after the known version: the whole is to be read. Gives the
    /// milliseconds until the next call.
    pub fn history_gone(&mut self) -> u64 {
        self.failing = false;
        self.known = None;
        0
    }

    /// The call failed after so many milliseconds. Gives those until the next one.
    ///
    /// The next answer is waited for longer, or a store that is slow enough would never be read.
    pub fn failed(&mut self, waited_ms: u64) -> u64 {
        self.failing = true;
        self.patience_ms = (self.patience_ms + ANSWER_MS).min(self.longest_ms());
        self.varied(FAILED_PAUSE_MS).saturating_sub(waited_ms)
    }

    /// Whether everything is known, as far as the store's last answer can tell.
    pub fn current(&self) -> bool {
        self.known.is_some() && !self.failing
    }

    /// Whether the store is to hold the next call. One that it holds is given up late if it is lost, so that
    /// none is held in an outage, nor where the next call would come soon by itself.
    fn holds(&self) -> bool {
        !self.failing && self.profile.pace_ms == 0
    }

    /// How long the store may hold a call.
    ///
    /// A call that is lost on a connection without a reset is noticed after this and the time for an
    /// answer; the next one then has as much left of the time that an outage excuses.
    fn hold_ms(&self) -> u64 {
        let longest = self.profile.recover_ms.saturating_sub(2 * self.patience_ms);
        self.varied(longest.clamp(MIN_HOLD_MS, MAX_HOLD_MS))
    }

    /// How long an answer is waited for at most.
    fn longest_ms(&self) -> u64 {
        (self.profile.recover_ms / TRIES).max(ANSWER_MS)
    }

    /// A time between `longest_ms` and a quarter less, another one for each process and call.
    fn varied(&self, longest_ms: u64) -> u64 {
        let lot = hash_bytes(format!("{} {}", self.profile.seed, self.calls).as_bytes());
        longest_ms - lot % (longest_ms / SPREAD + 1)
    }
}
