//! Reading one table of the platform store continuously: which call to make next, its timeout, and
//! when.
//!
//! The store may answer no process for seconds, and then answer all of them again at the same
//! moment. A call made during such an outage is never answered, not even after the store has
//! recovered.

use citronrill_base::hash_bytes;

use crate::store_version::StoreVersion;

/// Minimum timeout for an answer in milliseconds, for a store 50 times slower than usual (4 ms).
const MIN_ANSWER_MS: u64 = 600;
/// Minimum milliseconds for which the store holds a call for changes, however short the allowed
/// recovery time is.
const MIN_HOLD_MS: u64 = 200;
/// Maximum milliseconds for which the store holds a call for changes.
const MAX_HOLD_MS: u64 = 5_000;
/// Milliseconds from a call that fails immediately to the next one.
const FAILED_PAUSE_MS: u64 = 250;
/// Divisor of an interval that gives its maximum jitter. Processes vary their intervals so that
/// their calls are not made, and lost, at the same moment: the process that reads a configuration
/// first passes it on to the others.
const JITTER_DIVISOR: u64 = 4;
/// Consecutive calls that fit into the allowed recovery time.
const RECOVERY_CALLS: u64 = 3;

/// Queries to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreQuery {
    /// The whole table, page by page.
    Table,
    /// The changes after a version. The store holds the call for up to `hold_ms` if there are none.
    Changes {
        /// The version up to which everything is known.
        after: u64,
        /// Maximum milliseconds for which the store holds the call.
        hold_ms: u64,
    },
}

/// The next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCall {
    /// The query.
    pub query: StoreQuery,
    /// Milliseconds within which the answer has to begin.
    pub timeout_ms: u64,
}

/// What follows from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAnswer {
    /// Whether its rows are to be applied.
    pub usable: bool,
    /// Milliseconds until the next call.
    pub pause_ms: u64,
}

/// Parameters for reading one table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerProfile {
    /// Distinguishes processes.
    pub seed: u64,
    /// Milliseconds after an outage of the store, or of the connection to it, within which all
    /// changes are known.
    pub recover_ms: u64,
    /// Milliseconds from an answer to the next call; 0 if the store is to hold calls instead.
    pub poll_pause_ms: u64,
}

/// State of reading one table.
#[derive(Debug)]
pub struct TableFollower {
    profile: FollowerProfile,
    /// The version up to which everything is known; `None` if the whole table is to be read.
    known_version: Option<StoreVersion>,
    /// The newest era that a response was of.
    era: u64,
    /// Whether the last call was for the whole table.
    reads_table: bool,
    /// Whether the last call failed.
    last_failed: bool,
    /// Milliseconds to wait for an answer, in addition to the time for which the call is held.
    answer_timeout_ms: u64,
    /// Maximum milliseconds for which the last call is held.
    held_ms: u64,
    /// Number of calls made.
    calls: u64,
}

impl TableFollower {
    /// Creates the state before the first call.
    pub fn new(profile: FollowerProfile) -> TableFollower {
        TableFollower {
            profile,
            known_version: None,
            era: 0,
            reads_table: true,
            last_failed: false,
            answer_timeout_ms: MIN_ANSWER_MS,
            held_ms: 0,
            calls: 0,
        }
    }

    /// Returns the call to make now.
    pub fn call(&mut self) -> StoreCall {
        self.calls += 1;
        self.reads_table = self.known_version.is_none();
        let Some(after) = self.known_version else {
            return StoreCall { query: StoreQuery::Table, timeout_ms: 2 * self.answer_timeout_ms };
        };
        self.held_ms = if self.may_hold() { self.hold_ms() } else { 0 };
        let query = StoreQuery::Changes { after: after.version, hold_ms: self.held_ms };
        StoreCall { query, timeout_ms: self.held_ms + self.answer_timeout_ms }
    }

    /// Records that the call was answered after `waited_ms`, as of `version`.
    ///
    /// The rows of an older era are out of date. Changes of a newer one are not all that changed: the store
    /// came back from a copy, and the version that they follow means something else there, even if the store
    /// has it again. The whole table is to be read then.
    pub fn answered(&mut self, version: StoreVersion, waited_ms: u64) -> StoreAnswer {
        let took_ms = waited_ms.saturating_sub(self.held_ms);
        self.answer_timeout_ms = (2 * took_ms).clamp(MIN_ANSWER_MS, self.max_timeout_ms());
        self.last_failed = false;
        if version.era < self.era {
            return StoreAnswer { usable: false, pause_ms: self.jittered(FAILED_PAUSE_MS) };
        }
        if self.note_era(version.era) && !self.reads_table {
            return StoreAnswer { usable: false, pause_ms: 0 };
        }
        self.known_version = self.known_version.max(Some(version));
        StoreAnswer { usable: true, pause_ms: self.profile.poll_pause_ms }
    }

    /// Records the era of a response, whatever its status. Returns whether it is newer than the known one;
    /// the whole table is to be read then.
    pub fn note_era(&mut self, era: u64) -> bool {
        let newer = era > self.era;
        if newer {
            self.era = era;
            self.known_version = None;
        }
        newer
    }

    /// Records that the store no longer has the changes after the known version, so that the whole
    /// table is to be read. Returns the milliseconds until the next call.
    pub fn history_gone(&mut self) -> u64 {
        self.last_failed = false;
        self.known_version = None;
        0
    }

    /// Records that the call failed after `waited_ms`. Returns the milliseconds until the next
    /// call.
    ///
    /// The next call gets a longer timeout, otherwise a very slow store would never be read.
    pub fn failed(&mut self, waited_ms: u64) -> u64 {
        self.last_failed = true;
        self.answer_timeout_ms =
            (self.answer_timeout_ms + MIN_ANSWER_MS).min(self.max_timeout_ms());
        self.jittered(FAILED_PAUSE_MS).saturating_sub(waited_ms)
    }

    /// Returns whether everything is known as of the store's last answer.
    pub fn current(&self) -> bool {
        self.known_version.is_some() && !self.last_failed
    }

    /// Returns whether the store is to hold the next call. If a held call is lost, the loss is
    /// noticed late, so none is held during an outage, nor where the next call would follow soon
    /// anyway.
    fn may_hold(&self) -> bool {
        !self.last_failed && self.profile.poll_pause_ms == 0
    }

    /// Returns for how long the store may hold a call.
    ///
    /// A call lost on a connection without a reset is noticed after this time plus the timeout for
    /// an answer; the same timeout then remains for the next call within the allowed recovery time.
    fn hold_ms(&self) -> u64 {
        let max_hold = self.profile.recover_ms.saturating_sub(2 * self.answer_timeout_ms);
        self.jittered(max_hold.clamp(MIN_HOLD_MS, MAX_HOLD_MS))
    }

    /// Returns the maximum timeout for an answer.
    fn max_timeout_ms(&self) -> u64 {
        (self.profile.recover_ms / RECOVERY_CALLS).max(MIN_ANSWER_MS)
    }

    /// Returns an interval between `interval_ms` and a quarter less, different for each process and
    /// call.
    fn jittered(&self, interval_ms: u64) -> u64 {
        let hash = hash_bytes(format!("{} {}", self.profile.seed, self.calls).as_bytes());
        interval_ms - hash % (interval_ms / JITTER_DIVISOR + 1)
    }
}
