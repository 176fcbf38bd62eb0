//! Requests, and parts of prompts, that completed of late.

use std::collections::VecDeque;

use citronrill_base::{Map, Millis};

use crate::{digest::RequestDigest, prompt::PromptPart};

/// Milliseconds for which a completed request is remembered.
const TTL_MS: u64 = 10_000;
/// Completed requests that are remembered: those of ten seconds at some 400 a second.
const MAX_COMPLETED: usize = 4_096;
/// Milliseconds for which a part of prompts with which a request completed is remembered.
const PART_TTL_MS: u64 = 600_000;
/// Parts of prompts that are remembered.
const MAX_PARTS: usize = 4_096;
/// Milliseconds after the first completed request from which on a part of prompts that is not remembered is
/// a new one.
const SETTLED_MS: u64 = 3_000;

/// The requests that an entry has completed in the last seconds, with their callers.
///
/// A poison request never completes. Without this, many callers that send the same content at the same
/// time, so that it runs at every endpoint that crashes, would be refused for those crashes.
#[derive(Debug, Default)]
pub(crate) struct Completed {
    last: Map<RequestDigest, (u64, Millis)>,
    /// In order of completion; a request that completed again since is in it twice.
    order: VecDeque<(RequestDigest, Millis)>,
}

impl Completed {
    /// Records a request that completed for this caller.
    pub(crate) fn record(&mut self, digest: RequestDigest, caller: u64, now: Millis) {
        self.last.insert(digest, (caller, now));
        self.order.push_back((digest, now));
        let old = |(_, at): &(RequestDigest, Millis)| now.since(*at) >= TTL_MS;
        while self.order.len() > MAX_COMPLETED || self.order.front().is_some_and(old) {
            let Some((digest, at)) = self.order.pop_front() else { return };
            if self.last.get(&digest).is_some_and(|(_, last)| *last == at) {
                self.last.remove(&digest);
            }
        }
    }

    /// Returns the last caller for whom a request completed, if that was not long ago.
    pub(crate) fn caller(&self, digest: RequestDigest, now: Millis) -> Option<u64> {
        let recent = |(_, at): &&(u64, Millis)| now.since(*at) < TTL_MS;
        self.last.get(&digest).filter(recent).map(|(caller, _)| *caller)
    }
}

/// The parts of the prompts of requests that an entry has completed in the last minutes.
#[derive(Debug, Default)]
pub(crate) struct CompletedParts {
    last: Map<PromptPart, Millis>,
    /// When the first of them was recorded.
    first_at: Option<Millis>,
}

impl CompletedParts {
    /// Records a part of the prompt of a request that completed.
    pub(crate) fn record(&mut self, part: PromptPart, now: Millis) {
        self.first_at.get_or_insert(now);
        self.last.insert(part, now);
        if self.last.len() > MAX_PARTS {
            self.forget_older_half();
        }
    }

    /// Returns whether a request with a part completed not long ago.
    pub(crate) fn contains(&self, part: PromptPart, now: Millis) -> bool {
        self.last.get(&part).is_some_and(|at| now.since(*at) < PART_TTL_MS)
    }

    /// Returns whether requests have completed for some time.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        self.first_at.is_some_and(|first_at| now.since(first_at) >= SETTLED_MS)
    }

    fn forget_older_half(&mut self) {
        let mut times = self.last.values().copied().collect::<Vec<_>>();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.last.retain(|_, at| *at > median);
    }
}
