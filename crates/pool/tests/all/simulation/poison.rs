//! Requests, and parts of prompts, that crash every engine that runs them, and callers that repeat what
//! failed.

use std::collections::{BTreeMap, BTreeSet};

use citronrill_pool::{
    EntryEvent, EntryLink, EntryProfile, PoolEntry, PoolSide, PromptPart, RequestDigest, RequestId,
    SideEvent, SideLoss,
};
use citronrill_wire::SuspectUpdate;
use rand::Rng;

use super::{SimEvent, Simulation};
use crate::support::{ENGINE, address};

/// Milliseconds from the first token of a poison request to the crash of its engine.
const CRASH_AFTER_MS: u64 = 60;
/// Milliseconds that a crashed engine is down.
const DOWN_MS: u64 = 3_000;
/// Milliseconds within which a caller repeats a request that failed.
const REPEAT_WITHIN_MS: u64 = 500;
/// Milliseconds after the last permitted crash within which every entry must know the cause.
const LEARN_MS: u64 = 3_000;
/// Dispatches with the cause that are permitted after that.
const MAX_LATE_RUNS: usize = 3;
/// Milliseconds in which an entry that has started reads the platform store.
const STORE_MS: u64 = 8;
/// Offset of the digests of poison requests, above all request IDs.
const POISON_DIGEST: u128 = 1 << 64;
/// Offset of the poisonous parts of prompts, above all others.
const POISON_PART: u128 = 1 << 64;
/// The second parts of prompts, each shared by some of the requests.
const FIRST_TOPIC: u128 = 100;
const TOPICS: u128 = 40;

/// A process that restarts.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Process {
    Entry(usize),
    Side(usize),
}

/// What crashes every engine that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PoisonCause {
    /// A request, which is sent again and again.
    Request,
    /// A part of a prompt, at this place among the shared parts of requests that differ otherwise.
    Part(usize),
    /// The same, of a part with which requests completed before.
    KnownPart(usize),
}

impl PoisonCause {
    /// Returns the number of crashes after which the cause must be known.
    fn permitted_crashes(self) -> usize {
        match self {
            PoisonCause::Request => 3,
            PoisonCause::Part(_) | PoisonCause::KnownPart(_) => 5,
        }
    }
}

/// Requests with one cause of crashes, and how they are sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Poison {
    pub(crate) cause: PoisonCause,
    /// Path of its route.
    pub(crate) path: &'static str,
    /// Time of the first attempt, in milliseconds.
    pub(crate) first_ms: u64,
    /// Milliseconds between attempts.
    pub(crate) every_ms: u64,
    /// Number of entries that receive each attempt in the same millisecond.
    pub(crate) entries: usize,
    /// Number of attempts.
    pub(crate) attempts: u64,
}

/// Effects of poison requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoisonStats {
    /// The causes of crashes, in the order in which they were added.
    causes: Vec<PoisonCause>,
    /// Times at which engines crashed, by cause.
    pub(crate) crashes: BTreeMap<usize, Vec<u64>>,
    /// Times at which engines received requests with the cause.
    pub(crate) received: BTreeMap<usize, Vec<u64>>,
    /// When other requests for the busy model arrived for the first time, and whether they began to run.
    pub(crate) begun: Vec<(u64, bool)>,
    /// Other requests that were refused as poison.
    pub(crate) innocent: u32,
    /// Crashes of engines for any reason.
    pub(crate) all_crashes: u32,
}

impl PoisonStats {
    /// Returns the share of the other requests that began to run, of those that arrived in a time span.
    pub(crate) fn begun_share(&self, from: u64, to: u64) -> f64 {
        let arrived = self.begun.iter().filter(|(at, _)| (from..to).contains(at));
        let (count, begun) =
            arrived.fold((0, 0), |(count, begun), (_, has)| (count + 1, begun + u32::from(*has)));
        f64::from(begun) / f64::from(count.max(1))
    }

    /// Returns the most engines that one cause crashed.
    pub(crate) fn worst(&self) -> usize {
        self.crashes.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Returns the causes whose requests engines received too often after the last permitted crash.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (index, crashes) in &self.crashes {
            let cause = self.causes[*index];
            let Some(last) = crashes.get(cause.permitted_crashes() - 1) else { continue };
            let late = self.received[index].iter().filter(|at| **at > last + LEARN_MS).count();
            if late > MAX_LATE_RUNS {
                let crashes = crashes.len();
                violations.push(format!("{cause:?} {index}: {late} runs, {crashes} crashes"));
            }
        }
        violations
    }
}

/// Poison requests of a simulation.
#[derive(Default)]
pub(super) struct Poisons {
    requests: Vec<Poison>,
    /// Digest of each request, by entry and ID.
    digests: BTreeMap<(usize, RequestId), RequestDigest>,
    /// Requests that their callers have repeated.
    repeated: BTreeSet<RequestDigest>,
    /// Attempts that repeat a request.
    repeats: BTreeSet<(usize, RequestId)>,
    /// Whether callers repeat a request that failed.
    pub(super) callers_repeat: bool,
}

impl Simulation {
    /// Adds poison requests.
    pub(crate) fn add_poison(&mut self, poison: Poison) {
        let index = self.poisons.requests.len();
        self.stats.poison.causes.push(poison.cause);
        self.poisons.callers_repeat = true;
        self.poisons.requests.push(poison);
        for attempt in 0..poison.attempts {
            let at = poison.first_ms + attempt * poison.every_ms;
            self.schedule(at, SimEvent::PoisonArrives(index, attempt));
        }
    }

    /// Sends poison requests to different entries.
    pub(super) fn poison_arrives(&mut self, index: usize, attempt: u64) {
        let poison = self.poisons.requests[index];
        let first = self.rng.random_range(0..self.entries.len());
        for offset in 0..poison.entries {
            let entry = (first + offset) % self.entries.len();
            self.next_id += 1;
            let number = match poison.cause {
                PoisonCause::Request => 0,
                PoisonCause::Part(_) | PoisonCause::KnownPart(_) => {
                    attempt * poison.entries as u64 + offset as u64
                }
            };
            let digest = poison_digest(index, number);
            self.send_request(entry, RequestId(self.next_id), digest, poison.path, "busy");
        }
    }

    /// Returns the shared parts of a request's prompt: one that all requests of its route have, and one
    /// that some have.
    pub(super) fn shared_parts(&self, digest: RequestDigest, path: &str) -> Vec<PromptPart> {
        let route = if path == "/chat/x" { 1 } else { 2 };
        let mut topic = FIRST_TOPIC + digest.0 % TOPICS;
        if topic == FIRST_TOPIC && self.known_part_turned() {
            topic += 1;
        }
        let mut parts = vec![PromptPart(route), PromptPart(topic)];
        let index = poison_index(digest);
        match index.map(|index| (index, self.poisons.requests[index].cause)) {
            Some((index, PoisonCause::Part(place))) => {
                parts.insert(place, PromptPart(POISON_PART + index as u128));
            }
            Some((_, PoisonCause::KnownPart(place))) => {
                parts.insert(place, PromptPart(FIRST_TOPIC));
            }
            _ => {}
        }
        parts
    }

    /// Returns whether the part that is known before crashes engines by now.
    fn known_part_turned(&self) -> bool {
        let turned = |poison: &Poison| {
            matches!(poison.cause, PoisonCause::KnownPart(_)) && self.now >= poison.first_ms
        };
        self.poisons.requests.iter().any(turned)
    }

    /// Records which requests began to run that arrived for the first time and are no poison.
    pub(super) fn record_begun(&mut self) {
        for (key, caller) in &self.callers {
            let first = !self.poisons.repeats.contains(key);
            if caller.busy && first && poison_index(self.poisons.digests[key]).is_none() {
                self.stats.poison.begun.push((caller.arrived, caller.first_token.is_some()));
            }
        }
    }

    /// Records the digest of a request that an entry receives.
    pub(super) fn record_digest(&mut self, entry: usize, id: RequestId, digest: RequestDigest) {
        self.poisons.digests.insert((entry, id), digest);
    }

    /// Records a request that an engine receives.
    pub(super) fn record_received(&mut self, entry: usize, id: RequestId) {
        if let Some(index) = poison_index(self.poisons.digests[&(entry, id)]) {
            self.stats.poison.received.entry(index).or_default().push(self.now);
        }
    }

    /// Schedules the crash of an engine that has begun to run a poison request.
    pub(super) fn schedule_poisoning(&mut self, index: usize, entry: usize, id: RequestId) {
        if let Some(cause) = poison_index(self.poisons.digests[&(entry, id)]) {
            let incarnation = self.engines[index].incarnation;
            let crash = SimEvent::Poisoned(index, incarnation, cause);
            self.schedule(self.now + CRASH_AFTER_MS, crash);
        }
    }

    /// Crashes an engine that runs a poison request.
    pub(super) fn poison_engine(&mut self, index: usize, incarnation: u32, cause: usize) {
        let engine = &self.engines[index];
        if !engine.up || engine.incarnation != incarnation {
            return;
        }
        self.stats.poison.crashes.entry(cause).or_default().push(self.now);
        self.stop(index);
        self.schedule(self.now + DOWN_MS, SimEvent::Restart(index));
    }

    /// Has callers repeat each request that failed once, at any entry.
    pub(crate) fn repeat_failures(&mut self) {
        self.poisons.callers_repeat = true;
    }

    /// Restarts an entry, or the side beside an engine, at `ms`: it knows nothing any more.
    pub(crate) fn restart_at(&mut self, ms: u64, process: Process) {
        self.schedule(ms, SimEvent::RestartProcess(process));
    }

    /// Has all engines lose power at `ms`, and all entries and sides restart.
    pub(crate) fn lose_everything_at(&mut self, ms: u64) {
        self.power_loss_at(ms);
        for entry in 0..self.entries.len() {
            self.restart_at(ms, Process::Entry(entry));
        }
        for side in 0..self.sides.len() {
            self.restart_at(ms, Process::Side(side));
        }
    }

    pub(super) fn restart_process(&mut self, process: Process) {
        match process {
            Process::Entry(entry) => self.restart_entry(entry),
            Process::Side(side) => {
                self.sides[side] = PoolSide::new(ENGINE);
                for entry in 0..self.entries.len() {
                    let lost = EntryEvent::SideLost(address(side as u8), SideLoss::Closed);
                    self.after_hop(SimEvent::entry_input(entry, lost));
                }
                let entries = self.entries.len() as u32;
                self.after_hop(SimEvent::SideInput(side, SideEvent::Config(self.config.clone())));
                self.after_hop(SimEvent::SideInput(side, SideEvent::EntryCount(entries)));
            }
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        let open = self.callers.iter_mut().filter(|((at, _), _)| *at == entry);
        let open = open.map(|((_, id), caller)| {
            caller.done = true;
            *id
        });
        for id in open.collect::<Vec<_>>() {
            self.cancel(entry, id);
        }
        let profile = EntryProfile { seed: entry as u64 * 7_919, ..self.profile.clone() };
        self.entries[entry] = PoolEntry::new(profile);
        let config = EntryEvent::Config(self.config.clone());
        self.after_hop(SimEvent::entry_input(entry, config));
        let stored = SuspectUpdate { suspects: self.stored.clone() };
        let read = EntryEvent::QuarantineRead(stored);
        self.schedule(self.now + STORE_MS, SimEvent::entry_input(entry, read));
        for side in 0..self.sides.len() {
            let lost = SideEvent::EntryLost(EntryLink(entry as u64), false);
            self.after_hop(SimEvent::SideInput(side, lost));
        }
    }

    /// Has the caller of a request that failed repeat it, and counts the request if it was refused as
    /// poison.
    pub(super) fn repeat_failed(&mut self, entry: usize, id: RequestId, quarantined: bool) {
        let digest = self.poisons.digests[&(entry, id)];
        let cause = poison_index(digest).map(|index| self.poisons.requests[index].cause);
        if !self.poisons.callers_repeat || cause == Some(PoisonCause::Request) {
            return;
        }
        self.stats.poison.innocent += u32::from(quarantined && cause.is_none());
        let busy = self.callers.get(&(entry, id)).is_none_or(|caller| caller.busy);
        if self.now < self.load_ends && self.poisons.repeated.insert(digest) {
            let model = self.models[&(entry, id)].clone();
            let pause = self.rng.random_range(1..REPEAT_WITHIN_MS);
            self.schedule(self.now + pause, SimEvent::RequestRepeats(digest, model, busy));
        }
    }

    /// Handles the second attempt of a request, at any entry.
    pub(super) fn request_repeats(&mut self, digest: RequestDigest, model: &str, busy: bool) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.next_id += 1;
        let path = if busy { "/chat/x" } else { "/draft/x" };
        self.poisons.repeats.insert((entry, RequestId(self.next_id)));
        self.send_request(entry, RequestId(self.next_id), digest, path, model);
    }
}

/// Returns the digest of a request with this cause of crashes.
fn poison_digest(index: usize, number: u64) -> RequestDigest {
    RequestDigest(POISON_DIGEST + ((index as u128) << 32) + u128::from(number))
}

/// Returns the cause of crashes that a request has, if any.
fn poison_index(digest: RequestDigest) -> Option<usize> {
    digest.0.checked_sub(POISON_DIGEST).map(|offset| (offset >> 32) as usize)
}
