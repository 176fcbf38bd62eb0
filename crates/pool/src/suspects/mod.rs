//! Records of requests that were running when endpoints crashed, and of the parts of their prompts.
//!
//! A poison request crashes every endpoint that runs it, and its caller sends it again. A part of prompts
//! may do so in requests that differ otherwise. Everything else that was running beside it is on record as
//! well, until a request with it completes.

mod evidence;
mod record;

use std::collections::VecDeque;

use citronrill_base::{Map, Millis, hash_bytes};
use citronrill_wire::{CrashRecord, SuspectRecord, SuspectUpdate};

use self::{evidence::LAST_PART_CRASHES, record::Suspect};
use crate::{cause::Cause, digest::RequestDigest, prompt::PromptPart};

pub(crate) use self::evidence::TrialCrash;

/// Crashes from which on a request with a suspect runs only as a trial: by itself, at one endpoint at a
/// time.
pub(crate) const TRIAL_CRASHES: usize = 2;
/// Crashes, one of them conclusive, from which on a suspect is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Milliseconds over which the rate of crashes is measured.
const RATE_WINDOW_MS: u64 = 60_000;
/// Suspects that are kept, at some 150 bytes each.
const MAX_SUSPECTS: usize = 4_096;
/// Crashes whose times are kept.
const MAX_TIMES: usize = 1_024;
/// Milliseconds after the last crash for which a suspect is kept.
const SUSPECT_TTL_MS: u64 = 600_000;
/// Milliseconds for which a suspect is quarantined: a day.
const QUARANTINE_TTL_MS: u64 = 86_400_000;

/// The suspects that a process knows.
///
/// Records are sets, so that processes can exchange them in any order and more than once.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectTable {
    suspects: Map<Cause, Suspect>,
    /// The incarnations that crashed of late, and when this process learned of it.
    times: VecDeque<(u64, Millis)>,
}

impl SuspectTable {
    /// Adds crashes to the record of a suspect. Returns whether any of them is new.
    pub(crate) fn merge(&mut self, cause: Cause, crashes: &[CrashRecord], now: Millis) -> bool {
        if crashes.is_empty() {
            return false;
        }
        if !self.suspects.contains_key(&cause) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(cause).or_default();
        let mut changed = false;
        for crash in crashes {
            changed |= suspect.add(*crash);
        }
        if changed {
            suspect.updated_at = now;
        }
        crashes.iter().for_each(|crash| self.record_time(crash.incarnation, now));
        changed
    }

    /// Merges a record from another process. Returns whether any of it is new.
    pub(crate) fn merge_record(
        &mut self,
        cause: Cause,
        record: &SuspectRecord,
        now: Millis,
    ) -> bool {
        let new = self.merge(cause, &record.crashes, now);
        record.completed && self.mark_completed(cause) || new
    }

    /// Notes that requests with a part of prompts had completed of late. Returns whether that is new for a
    /// suspect.
    pub(crate) fn mark_completed(&mut self, cause: Cause) -> bool {
        let suspect = self.suspects.get_mut(&cause);
        suspect.is_some_and(|suspect| !std::mem::replace(&mut suspect.completed, true))
    }

    /// Returns the incarnation that ran a request sent at `sent_at` to an endpoint whose last known
    /// incarnation is `listed`: a later one, if that one is known to have crashed before.
    ///
    /// A restart under the same name is listed up to a second late. Without this, the crash of the next
    /// incarnation counts as the one before.
    pub(crate) fn incarnation_at(&self, listed: u64, sent_at: Millis) -> u64 {
        let crashed = |incarnation: u64| {
            self.times.iter().any(|(known, at)| *known == incarnation && *at < sent_at)
        };
        let mut incarnation = listed;
        while crashed(incarnation) {
            incarnation = hash_bytes(&incarnation.to_le_bytes());
        }
        incarnation
    }

    fn record_time(&mut self, incarnation: u64, now: Millis) {
        if self.times.iter().any(|(known, _)| *known == incarnation) {
            return;
        }
        self.times.push_back((incarnation, now));
        let old = |(_, at): &(u64, Millis)| now.since(*at) > RATE_WINDOW_MS;
        while self.times.len() > MAX_TIMES || self.times.front().is_some_and(old) {
            self.times.pop_front();
        }
    }

    /// Drops expired records, and the oldest suspect that is not quarantined if there is no room.
    fn make_room(&mut self, now: Millis) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| now < suspect.expires_at());
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let order = |suspect: &Suspect| (suspect.is_quarantined(), suspect.updated_at);
        let oldest = self.suspects.iter().min_by_key(|(_, suspect)| order(suspect));
        if let Some(cause) = oldest.map(|(cause, _)| *cause) {
            self.suspects.remove(&cause);
        }
    }

    /// Voids the crashes on record under a caller whose request completed. Returns whether there were
    /// any.
    ///
    /// A request of the same content from another caller keeps its record: completing may depend on
    /// more than the content. Crashes under several callers are all void, as what many of them send is
    /// more likely to have been running at any endpoint that crashed. Parts of prompts have no callers.
    pub(crate) fn clear(&mut self, cause: Cause, caller: u64) -> bool {
        let Some(suspect) = self.suspects.get_mut(&cause) else { return false };
        let before = suspect.crashes.len();
        let several = suspect.has_several_callers();
        suspect.crashes.retain(|crash| !several && crash.caller != caller);
        let cleared = suspect.crashes.len() < before;
        if suspect.crashes.is_empty() {
            self.suspects.remove(&cause);
        }
        cleared
    }

    /// Returns the crashes on record for a suspect, whoever sent the requests.
    pub(crate) fn crashes(&self, cause: Cause, now: Millis) -> usize {
        self.get(cause, now).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns whether a suspect is quarantined for this caller.
    ///
    /// A request of the same content from a caller that it never crashed an endpoint for may be
    /// another one. Once it has crashed endpoints for two callers, it is quarantined for all, as a part of
    /// prompts is.
    pub(crate) fn is_quarantined(&self, cause: Cause, caller: u64, now: Millis) -> bool {
        let Some(suspect) = self.get(cause, now).filter(|suspect| suspect.is_quarantined()) else {
            return false;
        };
        let own = suspect.crashes.iter().any(|crash| crash.caller == caller);
        own || cause.is_part() || suspect.has_several_callers()
    }

    /// Returns the milliseconds until the quarantine of a suspect ends.
    pub(crate) fn quarantine_ms(&self, cause: Cause, now: Millis) -> u64 {
        self.get(cause, now).map_or(0, |suspect| suspect.expires_at().since(now))
    }

    /// Returns whether a response that has gone on for this long shows that a part of its prompt, which
    /// is a suspect, crashes no endpoint.
    pub(crate) fn is_harmless(&self, part: PromptPart, responding_ms: u64) -> bool {
        let suspect = self.suspects.get(&Cause::Part(part));
        suspect.is_some_and(|suspect| {
            !suspect.is_quarantined() && responding_ms >= suspect.harmless_after_ms()
        })
    }

    /// Returns whether an endpoint crashed in a trial of a request less than `ms` ago.
    pub(crate) fn was_lost_in_trial(&self, digest: RequestDigest, ms: u64, now: Millis) -> bool {
        let suspect = self.suspects.get(&Cause::Request(digest));
        suspect.is_some_and(|suspect| suspect.has_trial() && now.since(suspect.updated_at) < ms)
    }

    /// Returns whether nothing is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the record of a suspect, for another process.
    pub(crate) fn record(&self, cause: Cause, now: Millis) -> SuspectRecord {
        let suspect = self.get(cause, now);
        SuspectRecord {
            digest: cause.to_bytes(),
            crashes: suspect.map(|suspect| suspect.crashes.clone()).unwrap_or_default(),
            part: cause.is_part(),
            completed: suspect.is_some_and(|suspect| suspect.completed),
        }
    }

    /// Returns the records of all suspects, for another process.
    pub(crate) fn update(&self, now: Millis) -> SuspectUpdate {
        let known = self.suspects.iter().filter(|(_, suspect)| now < suspect.expires_at());
        let mut causes = known.map(|(cause, _)| *cause).collect::<Vec<_>>();
        causes.sort_unstable();
        let suspects = causes.into_iter().map(|cause| self.record(cause, now));
        SuspectUpdate { suspects: suspects.collect() }
    }

    fn get(&self, cause: Cause, now: Millis) -> Option<&Suspect> {
        self.suspects.get(&cause).filter(|suspect| now < suspect.expires_at())
    }
}
