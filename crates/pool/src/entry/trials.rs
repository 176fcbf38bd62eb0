//! Trials: runs of suspects, at one endpoint at a time and not beside each other.
//!
//! One side grants the trials of all entries. When no side responds, the entry decides by itself.

use std::net::SocketAddr;

use citronrill_base::Millis;
use citronrill_decide::LogEvent;
use citronrill_wire::{SuspectKind, TrialEnded, TrialReply, TrialRequest};

use super::{PoolEntry, Reason, Request, RequestId, Stage};
use crate::{
    cause::Cause, digest::RequestDigest, endpoint::Endpoint, prompt::PromptPart,
    suspects::TRIAL_CRASHES,
};

/// Milliseconds for the reply to a trial request, after which the other collector is asked.
const REPLY_MS: u64 = 150;
/// Milliseconds until a trial that was not granted is requested again.
const RETRY_MS: u64 = 50;
/// Milliseconds after the crash of an endpoint in a trial for which only other requests with the same parts
/// of prompts are tried: a second one tells more of a part than the same one again.
const OTHERS_FIRST_MS: u64 = 1_000;
/// Milliseconds after the start of its response for which a trial keeps other suspects from its
/// endpoint.
const ALONE_MS: u64 = 250;

/// Progress of the trial of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trial {
    /// Requested from this side at this time.
    Requested(SocketAddr, Millis),
    /// Not granted at this time.
    Denied(Millis),
    /// Granted by this side; `None` if no side could be asked.
    Granted(Option<SocketAddr>),
    /// Granted by this side, and other suspects may start beside it.
    Shared(Option<SocketAddr>),
}

impl Trial {
    /// Returns whether it has been granted.
    pub(super) fn is_running(self) -> bool {
        matches!(self, Trial::Granted(_) | Trial::Shared(_))
    }

    /// Returns the side that granted it and is to learn when it ends.
    pub(super) fn granted_by(self) -> Option<SocketAddr> {
        match self {
            Trial::Granted(side) | Trial::Shared(side) => side,
            Trial::Requested(..) | Trial::Denied(_) => None,
        }
    }
}

impl PoolEntry {
    /// Returns whether a request may run only as a trial.
    pub(super) fn needs_trial(&self, request: &Request) -> bool {
        request.causes().any(|cause| self.is_tried(cause))
    }

    /// Returns whether requests with a suspect may run only as trials. Broken connections count before
    /// the crash is proven.
    fn is_tried(&self, cause: Cause) -> bool {
        let crashes = self.suspects.table.crashes(cause, self.now);
        crashes + self.crashes.unproven(cause) >= TRIAL_CRASHES
    }

    /// Returns the parts of a request's prompt that run only in trials.
    fn tried_parts(&self, request: &Request) -> Vec<PromptPart> {
        let parts = request.shared_parts.iter().copied();
        parts.filter(|part| self.is_tried(Cause::Part(*part))).collect()
    }

    /// Requests a trial for a waiting suspect, unless a reply to an earlier request is due.
    pub(super) fn request_trial(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return };
        let instances = self.trial_places(request);
        let parts = self.tried_parts(request);
        if request.from_copy && instances.is_empty() {
            self.cut(id, Reason::Broken);
            return;
        }
        let (digest, table) = (request.digest, &self.suspects.table);
        if !parts.is_empty() && table.was_lost_in_trial(digest, OTHERS_FIRST_MS, now) {
            if request.lost_runs > 0 {
                self.refuse(id, Reason::Broken);
            }
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut collectors = self.suspects.collectors.iter().copied();
        let collector = match request.trial {
            Some(Trial::Requested(_, at)) if now.since(at) < REPLY_MS => return,
            Some(Trial::Denied(at)) if now.since(at) < RETRY_MS => return,
            Some(Trial::Requested(silent, _)) => collectors.find(|collector| *collector != silent),
            _ => collectors.next(),
        };
        let Some(collector) = collector else {
            request.trial = Some(Trial::Denied(now));
            self.start_own_trial(id, instances, &parts);
            return;
        };
        request.trial = Some(Trial::Requested(collector, now));
        let event = LogEvent::new("trial_requested").with("id", &request.caller_id);
        self.log(event.with("digest", digest).with("from", collector));
        let parts = parts.into_iter().map(PromptPart::to_bytes).collect();
        let trial_request = TrialRequest { digest: digest.to_bytes(), instances, parts };
        self.send_suspects(collector, SuspectKind::TrialRequest(trial_request));
    }

    /// Starts a trial without asking a side, as none responds: not beside another trial of this entry.
    fn start_own_trial(&mut self, id: RequestId, instances: Vec<String>, parts: &[PromptPart]) {
        let Some(digest) = self.requests.get(&id).map(|request| request.digest) else { return };
        let running = |request: &&Request| request.trial.is_some_and(Trial::is_running);
        let trials = self.requests.values().filter(running).collect::<Vec<_>>();
        let taken = |instance: &String| {
            trials.iter().any(|trial| trial.instance.as_ref() == Some(instance))
        };
        let shares = |trial: &Request| trial.shared_parts.iter().any(|part| parts.contains(part));
        let same = trials.iter().any(|trial| trial.digest == digest || shares(trial));
        let free = instances.into_iter().find(|instance| !same && !taken(instance));
        if let Some(instance) = free {
            self.start_trial(id, &instance, None);
        }
    }

    /// Dispatches a suspect whose trial was granted by `side`.
    fn start_trial(&mut self, id: RequestId, instance: &str, side: Option<SocketAddr>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.trial = Some(Trial::Granted(side));
        let from_copy = std::mem::take(&mut request.from_copy);
        self.dispatch(id, instance, from_copy);
    }

    /// Handles the reply to a trial request.
    pub(super) fn trial_answered(&mut self, side: SocketAddr, reply: &TrialReply) {
        let now = self.now;
        let Some(digest) = RequestDigest::from_bytes(&reply.digest) else { return };
        let granted = !reply.instance.is_empty();
        let asked = |request: &Request| {
            let here = matches!(request.trial, Some(Trial::Requested(from, _)) if from == side);
            request.digest == digest && request.stage == Stage::Waiting && here
        };
        let waiting = self.requests.iter_mut().find(|(_, request)| asked(request));
        let Some((id, request)) = waiting else {
            // Its caller has left, or the other collector was asked since.
            if granted {
                self.send_trial_ended(digest, side, false);
            }
            return;
        };
        let id = *id;
        request.trial = Some(Trial::Denied(now));
        if !granted {
            return;
        }
        let request = &self.requests[&id];
        let endpoint = self.pool.endpoints.get(&reply.instance);
        let able = |endpoint: &Endpoint| {
            self.permits(endpoint) && (request.from_copy || self.eligible(endpoint, request))
        };
        if self.quarantine_cause(request).is_none() && endpoint.is_some_and(able) {
            self.start_trial(id, &reply.instance, Some(side));
        } else {
            self.send_trial_ended(digest, side, false);
        }
    }

    /// Ends the trial of a request that leaves its endpoint.
    pub(super) fn end_trial(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let digest = request.digest;
        if let Some(side) = request.trial.take().and_then(Trial::granted_by) {
            self.send_trial_ended(digest, side, false);
        }
    }

    /// Tells the side that granted a trial that it has ended, or (`running`) that others may start
    /// beside it.
    pub(super) fn send_trial_ended(
        &mut self,
        digest: RequestDigest,
        side: SocketAddr,
        running: bool,
    ) {
        let ended = TrialEnded { digest: digest.to_bytes(), running };
        self.send_suspects(side, SuspectKind::TrialEnded(ended));
    }

    /// Lets other suspects start beside trials that have run for a while.
    pub(super) fn share_endpoints(&mut self) {
        let now = self.now;
        let mut shared = Vec::new();
        for request in self.requests.values_mut() {
            let Some(Trial::Granted(side)) = request.trial else { continue };
            if request.responding_ms(now) >= ALONE_MS {
                request.trial = Some(Trial::Shared(side));
                shared.extend(side.map(|side| (request.digest, side)));
            }
        }
        for (digest, side) in shared {
            self.send_trial_ended(digest, side, true);
        }
    }
}
