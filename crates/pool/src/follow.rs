//! Following one table of the platform's store: what to ask next, how long to wait for it, and when.
//!
//! Load pattern: the store answers nobody for seconds and then everybody at once. A call that was made
//! meanwhile is never answered, also not when the store is back.

/// Milliseconds that the store holds a call for changes. Each call has its price, so it is held long.
const HOLD_MS: u64 = 2_400;
/// Milliseconds for an answer beyond that, with a store 50 times slower than usual (4 ms).
const ANSWER_MS: u64 = 600;
/// Milliseconds before another try when the store does not answer.
const FAILED_PAUSE_MS: u64 = 250;

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

/// How a table is followed.
#[derive(Debug)]
pub struct Follow {
    /// Milliseconds from an answer to the next call.
    pace_ms: u64,
    /// The version up to which everything is known; `None` if the whole is to be read.
    known: Option<u64>,
}

impl Follow {
    /// Knows nothing yet; leaves `pace_ms` milliseconds between an answer and the next call.
    pub fn new(pace_ms: u64) -> Follow {
        Follow { pace_ms, known: None }
    }

    /// The call to make now.
    pub fn call(&self) -> StoreCall {
        match self.known {
            None => StoreCall { ask: StoreAsk::Whole, limit_ms: 2 * ANSWER_MS },
            Some(after) => {
                let ask = StoreAsk::Changes { after, hold_ms: HOLD_MS };
                StoreCall { ask, limit_ms: HOLD_MS + ANSWER_MS }
            }
        }
    }

    /// The call was answered, and everything up to `version` is known. Gives the milliseconds until the
    /// next one.
    pub fn answered(&mut self, version: u64) -> u64 {
        self.known = self.known.max(Some(version));
        self.pace_ms
    }

    /// The store no longer has what changed after the known version: the whole is to be read. Gives the
    /// milliseconds until the next call.
    pub fn history_gone(&mut self) -> u64 {
        self.known = None;
        0
    }

    /// The call failed. Gives the milliseconds until the next one.
    pub fn failed(&mut self) -> u64 {
        FAILED_PAUSE_MS
    }
}
