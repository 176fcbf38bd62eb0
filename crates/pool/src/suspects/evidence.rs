//! Whether the crash of an endpoint in a trial shows what the cause is.
//!
//! The request in the trial and each part of its prompt come into question, and whatever else is on
//! record for the crash. The narrowest cause that explains the crashes is taken: the request before the
//! parts of its prompt, and a later part before an earlier one, which more requests share.

use citronrill_base::Millis;

use super::{QUARANTINE_CRASHES, SuspectTable, TRIAL_CRASHES, record::Suspect};
use crate::cause::Cause;

/// Crashes of a request from which on the last one is conclusive whatever else may have caused it: a limit
/// on what a poison request can do beside other faults.
const CERTAIN_CRASHES: usize = 6;
/// Crashes of a part of prompts from which on the last one is conclusive, if no request with it completed
/// before, although something else may have caused some of them. If one did, fewer are never conclusive.
pub(super) const CERTAIN_PART_CRASHES: usize = 5;
/// The same for a part that only crashed endpoints under which another cause was running as well.
pub(super) const LAST_PART_CRASHES: usize = 8;
/// Crashes of a suspect that no quarantined one explains, without which none is conclusive.
const MIN_UNEXPLAINED: usize = 2;
/// Probability that endpoints crashed by themselves in all trials of a suspect, above which the last
/// crash is not conclusive.
const MAX_CHANCE: f64 = 0.003;
/// The same after [`CERTAIN_PART_CRASHES`].
const MAX_CERTAIN_CHANCE: f64 = 0.05;
/// Milliseconds of a trial within which a crash counts as its own: of many suspects, some are hit
/// within a few milliseconds by chance.
const CHANCE_MIN_MS: u64 = 250;
/// Lower bound on the time over which the rate of crashes is measured after a start, in milliseconds.
const RATE_MIN_MS: u64 = 10_000;
/// Milliseconds within which crashes of several endpoints have one cause, such as a loss of power.
const SAME_CAUSE_MS: u64 = 1_000;
/// Other endpoints that crash with that of a trial and show that they have one cause.
const SAME_CAUSE_CRASHES: usize = 2;

/// The crash of an endpoint that ran a request as a trial.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrialCrash<'a> {
    /// What may be the cause: the request, then the parts of its prompt in order.
    pub(crate) causes: &'a [Cause],
    pub(crate) incarnation: u64,
    /// When the endpoint crashed.
    pub(crate) at: Millis,
    /// Milliseconds for which it had run the request.
    pub(crate) ran_ms: u64,
    /// Number of endpoints of the service.
    pub(crate) endpoints: usize,
    /// Whether the deciding process has completed requests for some time, so that a part of prompts with
    /// which none completed is a new one.
    pub(crate) settled: bool,
}

impl SuspectTable {
    /// Returns the cause that the crash of an endpoint in a trial shows, if any.
    ///
    /// Guards against quarantining requests that ran beside a poison request, also beside one that two
    /// entries ran at the same time, or while endpoints crashed for a common cause or by themselves; and
    /// parts of prompts that stand beside a poisonous one.
    pub(crate) fn conclusive_cause(&self, crash: &TrialCrash<'_>, now: Millis) -> Option<Cause> {
        let (request, parts) = crash.causes.split_first()?;
        let mut narrowest_first = std::iter::once(request).chain(parts.iter().rev());
        narrowest_first.find(|cause| self.is_conclusive(**cause, crash, now)).copied()
    }

    fn is_conclusive(&self, cause: Cause, crash: &TrialCrash<'_>, now: Millis) -> bool {
        let Some(suspect) = self.get(cause, now) else { return false };
        let crashes = suspect.crashes.len();
        let alone = || self.is_alone(cause, suspect, crash, now);
        let common = || self.is_common(cause, suspect, crash);
        if !cause.is_part() {
            return crashes >= CERTAIN_CRASHES || alone();
        }
        let certain = crashes >= CERTAIN_PART_CRASHES
            && self.chance(cause, suspect, crash, now) < MAX_CERTAIN_CHANCE
            && !self.has_narrower(cause, suspect, crash);
        let last = certain && crashes >= LAST_PART_CRASHES && !suspect.completed;
        if crash.settled && !suspect.completed {
            return common() && (alone() || certain) || last;
        }
        crashes >= CERTAIN_PART_CRASHES && common() && alone() || last
    }

    /// Returns whether nothing else explains the crash of a trial.
    fn is_alone(
        &self,
        cause: Cause,
        suspect: &Suspect,
        crash: &TrialCrash<'_>,
        now: Millis,
    ) -> bool {
        let others = self.crashes_without(cause, suspect);
        let since = crash.at - SAME_CAUSE_MS;
        let together = others.iter().filter(|at| **at >= since).count();
        suspect.similar_crashes(crash.incarnation) >= QUARANTINE_CRASHES
            && self.unexplained(cause, suspect) >= MIN_UNEXPLAINED
            && !self.has_rival(cause, suspect, crash)
            && together < SAME_CAUSE_CRASHES
            && self.chance(cause, suspect, crash, now) < MAX_CHANCE
    }

    /// Returns whether a part of prompts explains more crashes than the request in a trial does; and, if
    /// requests with it completed before, more than narrower parts do.
    fn is_common(&self, part: Cause, suspect: &Suspect, crash: &TrialCrash<'_>) -> bool {
        if !suspect.has_several_requests() {
            return false;
        }
        let narrower = self.suspects.iter().filter(|(other, rival)| {
            if !other.is_part() {
                return crash.causes.first() == Some(*other);
            }
            suspect.completed
                && **other != part
                && (TRIAL_CRASHES..=suspect.crashes.len()).contains(&rival.crashes.len())
                && rival.crashes.iter().all(|crash| suspect.has(crash.incarnation))
        });
        let narrower = narrower.map(|(_, rival)| rival).collect::<Vec<_>>();
        let own = self.unexplained_crashes(part, suspect);
        let own = own.filter(|incarnation| !narrower.iter().any(|rival| rival.has(*incarnation)));
        let many = suspect.crashes.len() >= CERTAIN_PART_CRASHES;
        let min = if many && !suspect.completed { 1 } else { MIN_UNEXPLAINED };
        own.count() + self.quarantined_holders(suspect, crash) >= min
    }

    /// Returns the number of quarantined requests with a part of prompts: each of them counts as one crash,
    /// however many it explains. The one in the trial does not count.
    fn quarantined_holders(&self, part: &Suspect, crash: &TrialCrash<'_>) -> usize {
        let holders = self.suspects.iter().filter(|(other, request)| {
            let Cause::Request(digest) = other else { return false };
            let holds = part.crashes.iter().any(|crash| crash.request == digest.short());
            holds && request.is_quarantined() && crash.causes.first() != Some(*other)
        });
        holders.count()
    }

    /// Returns when other endpoints crashed of late, for reasons other than this suspect or one that is
    /// quarantined.
    fn crashes_without(&self, cause: Cause, suspect: &Suspect) -> Vec<Millis> {
        let others = self.times.iter().filter(|(incarnation, _)| {
            !suspect.has(*incarnation) && !self.is_explained(cause, *incarnation)
        });
        others.map(|(_, at)| *at).collect()
    }

    /// Returns whether something else explains the crash of a trial as well.
    fn has_rival(&self, cause: Cause, suspect: &Suspect, crash: &TrialCrash<'_>) -> bool {
        let unexplained = self.unexplained(cause, suspect);
        self.suspects.iter().any(|(other, rival)| {
            if *other == cause || !rival.has(crash.incarnation) {
                return false;
            }
            let in_trial = crash.causes.contains(other);
            match (cause, other) {
                // A part with which several requests crashed endpoints is more than this one request.
                (Cause::Part(_), Cause::Request(_)) if in_trial => false,
                (Cause::Request(_), Cause::Part(_)) if in_trial => {
                    self.is_common(*other, rival, crash)
                        && self.unexplained(*other, rival) >= unexplained
                }
                // The trial does not tell two parts of its prompt apart.
                (Cause::Part(_), Cause::Part(_)) if in_trial => {
                    rival.crashes.len() >= TRIAL_CRASHES
                }
                _ => self.unexplained(*other, rival) >= unexplained,
            }
        })
    }

    /// Returns whether a later part of the prompt in a trial explains nearly as many crashes.
    fn has_narrower(&self, cause: Cause, suspect: &Suspect, crash: &TrialCrash<'_>) -> bool {
        let nearly = self.unexplained(cause, suspect) * 3;
        let later = crash.causes.iter().rev().take_while(|other| **other != cause);
        let mut later = later.filter_map(|other| Some((*other, self.suspects.get(other)?)));
        later.any(|(other, suspect)| self.unexplained(other, suspect) * 4 >= nearly)
    }

    /// Returns the number of crashes of a suspect that nothing else explains.
    fn unexplained(&self, cause: Cause, suspect: &Suspect) -> usize {
        self.unexplained_crashes(cause, suspect).count()
    }

    fn unexplained_crashes(&self, cause: Cause, suspect: &Suspect) -> impl Iterator<Item = u64> {
        let incarnations = suspect.crashes.iter().map(|crash| crash.incarnation);
        incarnations.filter(move |incarnation| !self.is_explained(cause, *incarnation))
    }

    /// Returns whether something else that is quarantined explains a crash: it was running there.
    fn is_explained(&self, cause: Cause, incarnation: u64) -> bool {
        self.suspects.iter().any(|(other, suspect)| {
            *other != cause && suspect.is_quarantined() && suspect.has(incarnation)
        })
    }

    /// Returns the probability that endpoints crashed by themselves in all trials of a suspect, by those
    /// that crashed of late without it.
    fn chance(&self, cause: Cause, suspect: &Suspect, crash: &TrialCrash<'_>, now: Millis) -> f64 {
        let others = self.crashes_without(cause, suspect).len();
        let window_ms = now.0.clamp(RATE_MIN_MS, super::RATE_WINDOW_MS);
        let rate = others as f64 / (window_ms as f64 * crash.endpoints.max(1) as f64);
        let trials = suspect.crashes.iter().filter(|crash| crash.trial).count();
        (rate * crash.ran_ms.max(CHANCE_MIN_MS) as f64).powi(trials as i32)
    }
}
