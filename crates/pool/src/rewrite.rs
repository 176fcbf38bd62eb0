//! The time after the platform store came back from a copy, in which the endpoints write their rows again.
//!
//! Until then the list is not the truth: the copy lacks the rows of endpoints that were listed after it, and
//! has those of endpoints that have ended since.

use citronrill_base::{Map, Millis, Set};

use crate::member::Member;

/// Milliseconds within which an endpoint that lives has written its row again: two seconds, by the platform's
/// word, and the time until the list is read.
const WRITTEN_MS: u64 = 3_000;
/// Milliseconds after which the platform has removed the rows of endpoints that do not write: three intervals
/// of 1,200 ms, and the time until the list is read.
const REMOVED_MS: u64 = 5_000;

/// What the list of a copy leaves open.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rewrite {
    /// When the first list after the return was read.
    began: Option<Millis>,
    /// Endpoints without a row.
    missing: Set<String>,
    /// Rows of endpoints that had ended, or whose rows had lapsed.
    held: Map<String, Member>,
    /// Endpoints that are in use by such a row alone: the platform has not removed it in time, or the store
    /// was away again by then.
    doubtful: Set<String>,
}

impl Rewrite {
    /// Begins: a list of a new era was read.
    pub(crate) fn begin(&mut self, now: Millis) {
        let doubtful = std::mem::take(&mut self.doubtful);
        *self = Rewrite { began: Some(now), doubtful, ..Rewrite::default() };
    }

    /// Returns whether endpoints may still have to write their rows.
    pub(crate) fn is_under_way(&self, now: Millis) -> bool {
        self.began.is_some_and(|began| now.since(began) < WRITTEN_MS)
    }

    /// Waits for the rows of endpoints that the list lacks.
    pub(crate) fn await_rows(&mut self, names: Vec<String>) {
        self.missing.extend(names);
    }

    /// Holds back the row of an endpoint that was not listed any more before the return.
    pub(crate) fn hold(&mut self, member: Member) {
        self.held.insert(member.instance.clone(), member);
    }

    /// Returns whether nothing but the row of a copy says that an endpoint has not ended.
    pub(crate) fn is_doubtful(&self, name: &str) -> bool {
        self.doubtful.contains(name)
    }

    /// Records that the list has a row, or has it no more; `written` if it was written or removed.
    pub(crate) fn listed(&mut self, name: &str, written: bool) {
        self.missing.remove(name);
        self.held.remove(name);
        if written {
            self.doubtful.remove(name);
        }
    }

    /// Returns the endpoints that have not written their rows in time.
    pub(crate) fn take_missing(&mut self, now: Millis) -> Set<String> {
        if self.is_under_way(now) { Set::default() } else { std::mem::take(&mut self.missing) }
    }

    /// Returns the rows that were held back and that the platform has not removed.
    pub(crate) fn take_held(&mut self, now: Millis) -> Vec<Member> {
        if self.began.is_none_or(|began| now.since(began) < REMOVED_MS) {
            return Vec::new();
        }
        self.began = None;
        let held = std::mem::take(&mut self.held);
        self.doubtful.extend(held.keys().cloned());
        held.into_values().collect()
    }
}
