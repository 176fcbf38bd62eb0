//! What is on record of one suspect.

use citronrill_base::Millis;
use citronrill_wire::CrashRecord;

use super::{LAST_PART_CRASHES, QUARANTINE_CRASHES, QUARANTINE_TTL_MS, SUSPECT_TTL_MS};

/// Crashes that are kept of one suspect: more make no difference.
const MAX_CRASHES: usize = 8;
const _: () = assert!(MAX_CRASHES >= LAST_PART_CRASHES);
/// Ratio of two times from the start of a response to a crash up to which they count as similar.
const SIMILAR_FACTOR: u32 = 2;
/// Difference in milliseconds of two such times up to which they count as similar in any case.
const SIMILAR_MS: u32 = 100;
/// Lower bound on the time, in milliseconds, after which a response that goes on shows that its prompt
/// crashes no endpoint.
const WRITING_MS: u32 = 500;

/// What is known about one suspect.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    pub(super) crashes: Vec<CrashRecord>,
    /// Whether it is a part of prompts with which requests had completed of late before the first crash.
    pub(super) completed: bool,
    /// When its record last changed.
    pub(super) updated_at: Millis,
}

impl Suspect {
    /// Returns whether it has crashed several endpoints, and is the cause of one of the crashes.
    pub(super) fn is_quarantined(&self) -> bool {
        let conclusive = self.crashes.iter().any(|crash| crash.conclusive);
        conclusive && self.crashes.len() >= QUARANTINE_CRASHES
    }

    pub(super) fn expires_at(&self) -> Millis {
        let ttl = if self.is_quarantined() { QUARANTINE_TTL_MS } else { SUSPECT_TTL_MS };
        self.updated_at + ttl
    }

    pub(super) fn has_several_callers(&self) -> bool {
        self.crashes.iter().any(|crash| crash.caller != self.crashes[0].caller)
    }

    /// Returns whether endpoints crashed under several requests with a part of prompts; in trials, if
    /// requests with it completed before.
    pub(super) fn has_several_requests(&self) -> bool {
        let mut counted = self.crashes.iter().filter(|crash| crash.trial || !self.completed);
        let first = counted.next();
        first.is_some_and(|first| counted.any(|crash| crash.request != first.request))
    }

    /// Returns whether an endpoint crashed in a trial.
    pub(super) fn has_trial(&self) -> bool {
        self.crashes.iter().any(|crash| crash.trial)
    }

    pub(super) fn has(&self, incarnation: u64) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation == incarnation)
    }

    /// Returns the number of crashes that came about as long after the start of its response
    /// as the given one, with that one. A poison request does the same each time; one that ran beside
    /// others was at any point of its response.
    pub(super) fn similar_crashes(&self, incarnation: u64) -> usize {
        let crash = self.crashes.iter().find(|crash| crash.incarnation == incarnation);
        let Some(responding_ms) = crash.map(|crash| crash.responding_ms) else { return 0 };
        let similar = |other: u32| {
            let (less, more) = (responding_ms.min(other), responding_ms.max(other));
            more <= similar_ms(less)
        };
        self.crashes.iter().filter(|crash| similar(crash.responding_ms)).count()
    }

    /// Returns the milliseconds after which a response that goes on shows that it is not the cause: it
    /// would have crashed its endpoint as soon after its start as at the crashes on record.
    pub(super) fn harmless_after_ms(&self) -> u64 {
        let soonest = self.crashes.iter().map(|crash| crash.responding_ms).min();
        u64::from(similar_ms(soonest.unwrap_or(0)).max(WRITING_MS))
    }

    /// Adds a crash. Returns whether it is new.
    ///
    /// The request in a trial stands for a part of prompts, before others that were running beside it.
    /// Of several responses at one endpoint the one that started first caused its crash, if any did.
    pub(super) fn add(&mut self, crash: CrashRecord) -> bool {
        let known = |other: &&mut CrashRecord| other.incarnation == crash.incarnation;
        if let Some(known) = self.crashes.iter_mut().find(known) {
            let old = *known;
            known.request = match (known.trial, crash.trial) {
                (true, false) => known.request,
                (false, true) => crash.request,
                _ => known.request.max(crash.request),
            };
            known.trial |= crash.trial;
            known.conclusive |= crash.conclusive;
            known.responding_ms = known.responding_ms.max(crash.responding_ms);
            return old != *known;
        }
        let room = self.crashes.len() < MAX_CRASHES;
        if room {
            self.crashes.push(crash);
        }
        room
    }
}

/// Returns the longest time from the start of a response to a crash that counts as similar to a shorter
/// one.
fn similar_ms(ms: u32) -> u32 {
    ms.saturating_mul(SIMILAR_FACTOR).saturating_add(SIMILAR_MS)
}
