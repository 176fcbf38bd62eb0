//! Crashes of endpoints: which requests were running, and whether the endpoint has crashed at all.
//!
//! A connection that breaks may have been reset while its endpoint goes on. An endpoint has crashed if
//! its address refuses connections, or if it restarts soon after.

use std::net::SocketAddr;

use citronrill_base::{Millis, hash_bytes};
use citronrill_decide::LogEvent;
use citronrill_wire::{CrashRecord, SuspectKind, SuspectUpdate};

use super::{EntryEffect, PoolEntry, RequestId, suspects::caller_hash, trials::Trial};
use crate::{
    cause::Cause,
    digest::RequestDigest,
    endpoint::Endpoint,
    prompt::PromptPart,
    suspects::{TRIAL_CRASHES, TrialCrash},
};

/// Milliseconds after a connection broke within which its endpoint is shown to have crashed, if it
/// has.
const PROOF_MS: u64 = 3_000;
/// Milliseconds until an endpoint that accepted a connection after it broke others is checked again:
/// the listener of a crashing process may be closed last.
const RECHECK_MS: u64 = 100;
/// Milliseconds after the crash of an endpoint in a trial until its cause is decided: by then, crashes
/// of other endpoints and what else was running are known.
const DECIDE_MS: u64 = 200;

/// Result of checking whether an endpoint's process accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointCheck {
    /// The connection was refused: no process listens there.
    Refused,
    /// The connection was accepted.
    Accepted,
    /// Nothing was heard, or the connection was closed at once.
    Unknown,
}

/// A request that was running at an endpoint when its connection broke.
#[derive(Debug, Clone)]
struct LostRun {
    digest: RequestDigest,
    /// What may have crashed the endpoint: the request, then the parts of its prompt in order, without
    /// those that completed since.
    causes: Vec<Cause>,
    caller: u64,
    /// Milliseconds for which it had run.
    ran_ms: u64,
    /// Milliseconds since its response had started; 0 if it had not.
    responding_ms: u64,
    /// Its trial, which ends when the cause of the broken connection is known.
    trial: Option<Trial>,
}

impl LostRun {
    /// Returns the record of the crash of this incarnation for one of the causes.
    fn record(&self, cause: Cause, incarnation: u64, conclusive: bool) -> CrashRecord {
        let (caller, request) = match cause {
            Cause::Request(_) => (self.caller, 0),
            Cause::Part(_) => (0, self.digest.short()),
        };
        CrashRecord {
            incarnation,
            caller,
            trial: self.trial.is_some_and(Trial::is_running),
            conclusive,
            responding_ms: self.responding_ms as u32,
            request,
        }
    }
}

/// An endpoint whose connections broke.
#[derive(Debug)]
struct PossibleCrash {
    instance: String,
    service: String,
    address: SocketAddr,
    incarnation: u64,
    at: Millis,
    /// When the endpoint is to be checked again.
    recheck_at: Option<Millis>,
    /// Whether the endpoint is known to have crashed.
    proven: bool,
    /// The requests that were running there and have not been reported.
    lost: Vec<LostRun>,
}

/// The crash of an endpoint in a trial whose cause is not decided.
#[derive(Debug)]
struct Undecided {
    run: LostRun,
    incarnation: u64,
    instance: String,
    service: String,
    at: Millis,
}

/// Crashes that an entry has seen of late.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    possible: Vec<PossibleCrash>,
    undecided: Vec<Undecided>,
}

impl Crashes {
    /// Returns the number of possible crashes of a suspect that are not proven.
    pub(super) fn unproven(&self, cause: Cause) -> usize {
        let unproven = self.possible.iter().filter(|crash| !crash.proven);
        let lost = |run: &LostRun| run.causes.contains(&cause);
        unproven.filter(|crash| crash.lost.iter().any(lost)).count()
    }

    fn find(&mut self, incarnation: u64) -> Option<&mut PossibleCrash> {
        self.possible.iter_mut().find(|crash| crash.incarnation == incarnation)
    }
}

impl PoolEntry {
    /// Records a request whose connection broke, and checks whether its endpoint has crashed.
    pub(super) fn record_lost_run(&mut self, id: RequestId) {
        self.log_lost_run(id);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(instance) = request.instance.clone() else { return };
        let Some(endpoint) = self.pool.endpoints.get(&instance) else { return };
        // A stream that was taken away from a stalled instance breaks off as well.
        if endpoint.liveness.is_stalled(now) {
            return;
        }
        request.lost_runs += 1;
        let run = LostRun {
            digest: request.digest,
            causes: request.causes().collect(),
            caller: caller_hash(request),
            ran_ms: now.since(request.sent_at),
            responding_ms: request.responding_ms(now),
            trial: request.trial.take(),
        };
        let address = endpoint.member.address;
        let listed = incarnation_hash(endpoint);
        let incarnation = self.suspects.table.incarnation_at(listed, request.sent_at);
        let service = endpoint.member.service.clone();
        if let Some(crash) = self.crashes.find(incarnation) {
            crash.lost.push(run);
            if crash.proven {
                self.report_crash(incarnation);
            }
            return;
        }
        self.crashes.possible.push(PossibleCrash {
            instance,
            service,
            address,
            incarnation,
            at: now,
            recheck_at: None,
            proven: false,
            lost: vec![run],
        });
        self.effects.push(EntryEffect::CheckEndpoint(address));
    }

    /// Handles the result of checking an endpoint.
    pub(super) fn endpoint_checked(&mut self, address: SocketAddr, check: EndpointCheck) {
        let now = self.now;
        self.resolve_unproven_ends(address, check);
        let possible = &mut self.crashes.possible;
        let unproven = |crash: &PossibleCrash| crash.address == address && !crash.proven;
        let Some(index) = possible.iter().position(unproven) else { return };
        let crash = &mut possible[index];
        match check {
            EndpointCheck::Refused => {}
            EndpointCheck::Accepted if now.since(crash.at) >= RECHECK_MS => {
                // It still runs: what it lost was reset, and a later restart has another cause.
                let lost = possible.remove(index).lost;
                lost.iter().for_each(|run| self.end_lost_trial(run));
                return;
            }
            EndpointCheck::Accepted | EndpointCheck::Unknown => {
                crash.recheck_at = Some(now + RECHECK_MS);
                return;
            }
        }
        let instance = crash.instance.clone();
        if let Some(endpoint) = self.pool.endpoints.get_mut(&instance) {
            endpoint.avoid(now);
        }
        self.prove_crash(&instance, "refused");
    }

    /// Handles the proof that an instance has crashed: its process is gone, or it has restarted.
    pub(super) fn prove_crash(&mut self, instance: &str, proof: &'static str) {
        let now = self.now;
        self.break_unproven_ends(instance);
        let mut possible = self.crashes.possible.iter_mut();
        let crash = possible.find(|crash| crash.instance == instance && !crash.proven);
        let Some(crash) = crash else { return };
        crash.proven = true;
        let incarnation = crash.incarnation;
        let event = LogEvent::new("crashed").with("instance", instance).with("proof", proof);
        let event = event.with("after_ms", now.since(crash.at)).with("lost", crash.lost.len());
        self.log(event);
        self.report_crash(incarnation);
    }

    /// Records the requests that were running at a crashed endpoint, and reports them.
    fn report_crash(&mut self, incarnation: u64) {
        let now = self.now;
        let Some(crash) = self.crashes.find(incarnation) else { return };
        let (instance, service) = (crash.instance.clone(), crash.service.clone());
        let mut causes = Vec::new();
        for run in std::mem::take(&mut crash.lost) {
            for cause in run.causes.iter().copied() {
                self.suspects.table.merge(cause, &[run.record(cause, incarnation, false)], now);
                self.log_suspect(cause, &run, &instance, false);
                causes.push(cause);
            }
            if run.trial.is_some_and(Trial::is_running) {
                let (instance, service) = (instance.clone(), service.clone());
                let undecided = Undecided { run, incarnation, instance, service, at: now };
                self.crashes.undecided.push(undecided);
            }
        }
        if causes.is_empty() {
            return;
        }
        causes.sort_unstable();
        causes.dedup();
        let suspects = causes.iter().map(|cause| self.suspects.table.record(*cause, now));
        let update = SuspectUpdate { suspects: suspects.collect() };
        self.send_to_collectors(&SuspectKind::Update(update));
        for cause in causes {
            self.void_if_completed(cause);
            self.vouch_if_completed(cause);
        }
    }

    /// Decides whether the request in a trial was the cause of a crash, or a part of its prompt. Its trial
    /// ends after that, so that nobody runs it meanwhile.
    fn decide_cause(&mut self, undecided: &Undecided) {
        let (now, run) = (self.now, &undecided.run);
        let fleet = self.pool.endpoints.values();
        let endpoints = fleet.filter(|endpoint| endpoint.member.service == undecided.service);
        let crash = TrialCrash {
            causes: &run.causes,
            incarnation: undecided.incarnation,
            at: undecided.at,
            ran_ms: run.ran_ms,
            endpoints: endpoints.count(),
            settled: self.suspects.completed_parts.is_settled(now),
        };
        let conclusive = self.suspects.table.conclusive_cause(&crash, now);
        if let Some(cause) = conclusive {
            let record = run.record(cause, undecided.incarnation, true);
            self.suspects.table.merge(cause, &[record], now);
            let record = self.suspects.table.record(cause, now);
            self.effects.push(EntryEffect::SaveQuarantined(record.clone()));
            let update = SuspectUpdate { suspects: vec![record] };
            self.send_to_collectors(&SuspectKind::Update(update));
        }
        for cause in &run.causes {
            self.log_suspect(*cause, run, &undecided.instance, true);
        }
        self.end_lost_trial(run);
        if conclusive.is_some() {
            self.recall_quarantined();
        }
    }

    /// Logs a suspect that runs only as a trial from now on, or no more.
    fn log_suspect(&mut self, cause: Cause, run: &LostRun, instance: &str, decided: bool) {
        let table = &self.suspects.table;
        let crashes = table.crashes(cause, self.now);
        if crashes < TRIAL_CRASHES {
            return;
        }
        let quarantined = table.is_quarantined(cause, run.caller, self.now);
        let event = LogEvent::new("suspect").with(cause.field(), cause).with("at", instance);
        let event = event.with("crashes", crashes).with("trial", run.trial.is_some());
        self.log(event.with("decided", decided).with("quarantined", quarantined));
    }

    fn end_lost_trial(&mut self, run: &LostRun) {
        if let Some(side) = run.trial.and_then(Trial::granted_by) {
            self.send_trial_ended(run.digest, side, false);
        }
    }

    /// Forgets that a request which has completed was running at possible crashes.
    pub(super) fn forget_lost_runs(&mut self, digest: RequestDigest, caller: u64) {
        let completed = |run: &mut LostRun| run.digest == digest && run.caller == caller;
        let possible = self.crashes.possible.iter_mut();
        let lost = possible.flat_map(|crash| crash.lost.extract_if(.., completed));
        lost.collect::<Vec<_>>().iter().for_each(|run| self.end_lost_trial(run));
    }

    /// Forgets that a part of prompts, with which a request went on after its start, was running at
    /// possible crashes.
    pub(super) fn forget_lost_part(&mut self, part: PromptPart) {
        let runs = self.crashes.possible.iter_mut().flat_map(|crash| &mut crash.lost);
        runs.for_each(|run| run.causes.retain(|cause| *cause != Cause::Part(part)));
    }

    /// Checks endpoints again, decides the causes of crashes, and forgets what was not proven.
    pub(super) fn check_crashes(&mut self) {
        let now = self.now;
        let mut checks = Vec::new();
        for crash in &mut self.crashes.possible {
            if crash.recheck_at.take_if(|at| now >= *at).is_some() && !crash.proven {
                checks.push(EntryEffect::CheckEndpoint(crash.address));
            }
        }
        self.effects.extend(checks);
        let due = |undecided: &mut Undecided| now.since(undecided.at) >= DECIDE_MS;
        let due = self.crashes.undecided.extract_if(.., due).collect::<Vec<_>>();
        due.iter().for_each(|undecided| self.decide_cause(undecided));
        let old = |crash: &mut PossibleCrash| now.since(crash.at) >= PROOF_MS;
        let expired = self.crashes.possible.extract_if(.., old);
        let lost = expired.flat_map(|crash| crash.lost).collect::<Vec<_>>();
        lost.iter().for_each(|run| self.end_lost_trial(run));
    }
}

/// Returns a hash of the name and start time of an endpoint's incarnation.
fn incarnation_hash(endpoint: &Endpoint) -> u64 {
    let started = endpoint.started().map_or(0, |started| started.0);
    hash_bytes(format!("{} {started}", endpoint.member.instance).as_bytes())
}
