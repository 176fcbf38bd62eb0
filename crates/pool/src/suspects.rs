//! Records of requests that were running when endpoints crashed.
//!
//! A poison request crashes every endpoint that runs it, and its caller sends it again. All other
//! requests that were running beside it are on record as well, until they complete.

use std::collections::VecDeque;

use citronrill_base::{Map, Millis};
use citronrill_wire::{CrashRecord, SuspectRecord, SuspectUpdate};

use crate::digest::RequestDigest;

/// Crashes from which on a request runs only as a trial: by itself, at one endpoint at a time.
pub(crate) const TRIAL_CRASHES: usize = 2;
/// Crashes, one of them conclusive, from which on a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes of a request from which on the last one is conclusive whatever else may have caused it: a limit
/// on what a poison request can do beside other faults.
const CERTAIN_CRASHES: usize = 6;
/// Crashes of a request that no quarantined one explains, without which none is conclusive.
const MIN_UNEXPLAINED: usize = 2;
/// Probability that endpoints crashed by themselves in all trials of a request, above which the last
/// crash is not conclusive.
const MAX_CHANCE: f64 = 0.003;
/// Ratio of two times from the start of a response to a crash up to which they count as similar.
const SIMILAR_FACTOR: u32 = 2;
/// Difference in milliseconds of two such times up to which they count as similar in any case.
const SIMILAR_MS: u32 = 100;
/// Milliseconds of a trial within which a crash counts as its own: of many suspects, some are hit
/// within a few milliseconds by chance.
const CHANCE_MIN_MS: u64 = 250;
/// Milliseconds over which the rate of crashes is measured.
const RATE_WINDOW_MS: u64 = 60_000;
/// Lower bound on the time over which the rate is measured after a start, in milliseconds.
const RATE_MIN_MS: u64 = 10_000;
/// Milliseconds within which crashes of several endpoints have one cause, such as a loss of power.
const SAME_CAUSE_MS: u64 = 1_000;
/// Other endpoints that crash with that of a trial and show that they have one cause.
const SAME_CAUSE_CRASHES: usize = 2;
/// Crashes that are kept of one request: more make no difference.
const MAX_CRASHES: usize = 8;
/// Requests that are kept, at some 150 bytes each.
const MAX_SUSPECTS: usize = 4_096;
/// Crashes whose times are kept.
const MAX_TIMES: usize = 1_024;
/// Milliseconds after the last crash for which a suspect is kept.
const SUSPECT_TTL_MS: u64 = 600_000;
/// Milliseconds for which a request is quarantined: a day.
const QUARANTINE_TTL_MS: u64 = 86_400_000;

/// What is known about one suspect.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<CrashRecord>,
    /// When its record last changed.
    updated_at: Millis,
}

impl Suspect {
    /// Returns whether it has crashed several endpoints, and is the cause of one of the crashes.
    fn is_quarantined(&self) -> bool {
        let conclusive = self.crashes.iter().any(|crash| crash.conclusive);
        conclusive && self.crashes.len() >= QUARANTINE_CRASHES
    }

    fn expires_at(&self) -> Millis {
        let ttl = if self.is_quarantined() { QUARANTINE_TTL_MS } else { SUSPECT_TTL_MS };
        self.updated_at + ttl
    }

    fn has_several_callers(&self) -> bool {
        self.crashes.iter().any(|crash| crash.caller != self.crashes[0].caller)
    }

    fn has(&self, incarnation: u64) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation == incarnation)
    }

    /// Returns the number of crashes that came about as long after the start of its response
    /// as the given one, with that one. A poison request does the same each time; one that ran beside
    /// others was at any point of its response.
    fn similar_crashes(&self, incarnation: u64) -> usize {
        let crash = self.crashes.iter().find(|crash| crash.incarnation == incarnation);
        let Some(responding_ms) = crash.map(|crash| crash.responding_ms) else { return 0 };
        let similar = |other: u32| {
            let (less, more) = (responding_ms.min(other), responding_ms.max(other));
            more <= less * SIMILAR_FACTOR + SIMILAR_MS
        };
        self.crashes.iter().filter(|crash| similar(crash.responding_ms)).count()
    }

    /// Adds a crash. Returns whether it is new.
    fn add(&mut self, crash: CrashRecord) -> bool {
        let known = |other: &&mut CrashRecord| other.incarnation == crash.incarnation;
        if let Some(known) = self.crashes.iter_mut().find(known) {
            let old = *known;
            known.trial |= crash.trial;
            known.conclusive |= crash.conclusive;
            return old != *known;
        }
        let room = self.crashes.len() < MAX_CRASHES;
        if room {
            self.crashes.push(crash);
        }
        room
    }
}

/// The crash of an endpoint that ran a request as a trial.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrialCrash {
    pub(crate) digest: RequestDigest,
    pub(crate) incarnation: u64,
    /// When the endpoint crashed.
    pub(crate) at: Millis,
    /// Milliseconds for which it had run the request.
    pub(crate) ran_ms: u64,
    /// Number of endpoints of the service.
    pub(crate) endpoints: usize,
}

/// The suspects that a process knows.
///
/// Records are sets, so that processes can exchange them in any order and more than once.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectTable {
    suspects: Map<RequestDigest, Suspect>,
    /// The incarnations that crashed of late, and when this process learned of it.
    times: VecDeque<(u64, Millis)>,
}

impl SuspectTable {
    /// Adds crashes to the record of a request. Returns whether any of them is new.
    pub(crate) fn merge(
        &mut self,
        digest: RequestDigest,
        crashes: &[CrashRecord],
        now: Millis,
    ) -> bool {
        if crashes.is_empty() {
            return false;
        }
        if !self.suspects.contains_key(&digest) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(digest).or_default();
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
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    /// Voids the crashes on record under a caller whose request completed. Returns whether there were
    /// any.
    ///
    /// A request of the same content from another caller keeps its record: completing may depend on
    /// more than the content. Crashes under several callers are all void, as what many of them send is
    /// more likely to have been running at any endpoint that crashed.
    pub(crate) fn clear(&mut self, digest: RequestDigest, caller: u64) -> bool {
        let Some(suspect) = self.suspects.get_mut(&digest) else { return false };
        let before = suspect.crashes.len();
        let several = suspect.has_several_callers();
        suspect.crashes.retain(|crash| !several && crash.caller != caller);
        let cleared = suspect.crashes.len() < before;
        if suspect.crashes.is_empty() {
            self.suspects.remove(&digest);
        }
        cleared
    }

    /// Returns whether the crash of an endpoint in the trial of a request shows that the request is the
    /// cause.
    ///
    /// Guards against quarantining requests that ran beside a poison request, also beside one that two
    /// entries ran at the same time, or while endpoints crashed for a common cause or by themselves.
    pub(crate) fn is_conclusive(&self, crash: &TrialCrash, now: Millis) -> bool {
        let Some(suspect) = self.get(crash.digest, now) else { return false };
        let unexplained = self.unexplained(crash.digest, suspect);
        let similar = suspect.similar_crashes(crash.incarnation);
        let rival = self.suspects.iter().any(|(digest, other)| {
            *digest != crash.digest
                && other.has(crash.incarnation)
                && self.unexplained(*digest, other) >= unexplained
        });
        let others = self.times.iter().filter(|(incarnation, _)| {
            !suspect.has(*incarnation) && !self.is_explained(crash.digest, *incarnation)
        });
        let others = others.map(|(_, at)| *at).collect::<Vec<_>>();
        let since = crash.at - SAME_CAUSE_MS;
        let together = others.iter().filter(|at| **at >= since).count();
        let alone = similar >= QUARANTINE_CRASHES
            && unexplained >= MIN_UNEXPLAINED
            && !rival
            && together < SAME_CAUSE_CRASHES
            && chance(suspect, others.len(), crash, now) < MAX_CHANCE;
        alone || suspect.crashes.len() >= CERTAIN_CRASHES
    }

    /// Returns the number of crashes of a suspect that no other request explains.
    fn unexplained(&self, digest: RequestDigest, suspect: &Suspect) -> usize {
        let crashes = suspect.crashes.iter();
        crashes.filter(|crash| !self.is_explained(digest, crash.incarnation)).count()
    }

    /// Returns whether a quarantined request other than this one explains a crash: it was running there.
    fn is_explained(&self, digest: RequestDigest, incarnation: u64) -> bool {
        self.suspects.iter().any(|(other, suspect)| {
            *other != digest && suspect.is_quarantined() && suspect.has(incarnation)
        })
    }

    /// Returns the crashes on record for a request, whoever sent it.
    pub(crate) fn crashes(&self, digest: RequestDigest, now: Millis) -> usize {
        self.get(digest, now).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns whether a request is quarantined for this caller.
    ///
    /// A request of the same content from a caller that it never crashed an endpoint for may be
    /// another one. Once it has crashed endpoints for two callers, it is quarantined for all.
    pub(crate) fn is_quarantined(&self, digest: RequestDigest, caller: u64, now: Millis) -> bool {
        let Some(suspect) = self.get(digest, now).filter(|suspect| suspect.is_quarantined()) else {
            return false;
        };
        let own = suspect.crashes.iter().any(|crash| crash.caller == caller);
        own || suspect.has_several_callers()
    }

    /// Returns the milliseconds until the quarantine of a request ends.
    pub(crate) fn quarantine_ms(&self, digest: RequestDigest, now: Millis) -> u64 {
        self.get(digest, now).map_or(0, |suspect| suspect.expires_at().since(now))
    }

    /// Returns the record of a request, for another process.
    pub(crate) fn record(&self, digest: RequestDigest, now: Millis) -> SuspectRecord {
        let crashes = self.get(digest, now).map(|suspect| suspect.crashes.clone());
        SuspectRecord { digest: digest.to_bytes(), crashes: crashes.unwrap_or_default() }
    }

    /// Returns the records of all requests, for another process.
    pub(crate) fn update(&self, now: Millis) -> SuspectUpdate {
        let known = self.suspects.iter().filter(|(_, suspect)| now < suspect.expires_at());
        let mut digests = known.map(|(digest, _)| *digest).collect::<Vec<_>>();
        digests.sort_unstable();
        let suspects = digests.into_iter().map(|digest| self.record(digest, now));
        SuspectUpdate { suspects: suspects.collect() }
    }

    fn get(&self, digest: RequestDigest, now: Millis) -> Option<&Suspect> {
        self.suspects.get(&digest).filter(|suspect| now < suspect.expires_at())
    }
}

/// Returns the probability that endpoints crashed by themselves in all trials of a suspect, by the
/// `others` that crashed of late without it.
fn chance(suspect: &Suspect, others: usize, crash: &TrialCrash, now: Millis) -> f64 {
    let window_ms = now.0.clamp(RATE_MIN_MS, RATE_WINDOW_MS);
    let rate = others as f64 / (window_ms as f64 * crash.endpoints.max(1) as f64);
    let trials = suspect.crashes.iter().filter(|crash| crash.trial).count();
    (rate * crash.ran_ms.max(CHANCE_MIN_MS) as f64).powi(trials as i32)
}
