//! Suspects of all entries, collected at one side, which grants trials.
//!
//! A request that crashed two endpoints may be a poison request or one that ran beside it. It runs
//! once more, as a trial: at one endpoint at a time, whichever entries its caller sends it to, and
//! not beside another trial. If it crashes a third endpoint, it is the cause. Of the requests with a part
//! of prompts that crashed two endpoints, one runs at a time.

use std::collections::BTreeSet;

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;
use citronrill_wire::{
    SuspectCleared, SuspectKind, SuspectMessage, SuspectUpdate, TrialEnded, TrialReply,
    TrialRequest,
};

use super::{EntryLink, PoolSide, SideEffect};
use crate::{cause::Cause, digest::RequestDigest, prompt::join_parts, suspects::SuspectTable};

/// Milliseconds after which a trial counts as ended although nothing was heard of it: longer than the
/// timeout of any route.
const TRIAL_TIMEOUT_MS: u64 = 30_000;

/// The run of a suspect that an entry was granted.
#[derive(Debug, Clone)]
struct Trial {
    link: EntryLink,
    /// The instance that runs it, until others may start beside it.
    instance: Option<String>,
    /// The suspect parts of its prompt, as in messages.
    parts: Vec<Vec<u8>>,
    granted_at: Millis,
}

/// Suspects, the entries that are told of them, and the trials under way.
#[derive(Debug, Default)]
pub(super) struct SuspectRegistry {
    table: SuspectTable,
    subscribers: BTreeSet<EntryLink>,
    trials: Map<RequestDigest, Trial>,
}

impl SuspectRegistry {
    /// Returns the first of the instances at which no other suspect starts, and grants it.
    fn grant(
        &mut self,
        digest: RequestDigest,
        request: &TrialRequest,
        link: EntryLink,
        now: Millis,
    ) -> Option<String> {
        self.trials.retain(|_, trial| now.since(trial.granted_at) < TRIAL_TIMEOUT_MS);
        let shares = |trial: &Trial| trial.parts.iter().any(|part| request.parts.contains(part));
        if self.trials.contains_key(&digest) || self.trials.values().any(shares) {
            return None;
        }
        let taken = |instance: &&String| {
            self.trials.values().any(|trial| trial.instance.as_ref() == Some(instance))
        };
        let instance = request.instances.iter().find(|instance| !taken(instance))?.clone();
        let parts = request.parts.clone();
        let trial = Trial { link, instance: Some(instance.clone()), parts, granted_at: now };
        self.trials.insert(digest, trial);
        Some(instance)
    }
}

impl PoolSide {
    /// Handles a message about suspects from an entry.
    pub(super) fn handle_suspects(&mut self, link: EntryLink, message: SuspectMessage) {
        match message.kind {
            Some(SuspectKind::Update(update)) => self.add_suspects(link, &update),
            Some(SuspectKind::Cleared(cleared)) => self.clear_suspect(link, cleared),
            Some(SuspectKind::TrialRequest(request)) => self.answer_trial(link, &request),
            Some(SuspectKind::TrialEnded(ended)) => self.end_trial(link, &ended),
            Some(SuspectKind::TrialReply(_)) | None => {
                self.log(LogEvent::new("suspect_unreadable").with("from", link));
            }
        }
    }

    /// Forgets an entry whose connection has ended. Its runs have ended with it.
    pub(super) fn forget_entry(&mut self, link: EntryLink) {
        self.suspects.subscribers.remove(&link);
        self.suspects.trials.retain(|_, trial| trial.link != link);
    }

    /// Adds the records of an entry, and tells all entries those that are new: another entry may get
    /// the next attempt of a request, and must not run it on a third endpoint after its second crash.
    fn add_suspects(&mut self, link: EntryLink, update: &SuspectUpdate) {
        let now = self.now;
        if self.suspects.subscribers.insert(link) {
            let known = self.suspects.table.update(now);
            self.send_suspects(link, SuspectKind::Update(known));
        }
        let mut changed = Vec::new();
        for record in &update.suspects {
            let Some(cause) = Cause::of_record(record) else { continue };
            let table = &mut self.suspects.table;
            let new = table.merge_record(cause, record, now);
            if new {
                changed.push(table.record(cause, now));
            }
        }
        if !changed.is_empty() {
            let update = SuspectUpdate { suspects: changed };
            self.send_to_subscribers(None, &SuspectKind::Update(update));
        }
    }

    fn clear_suspect(&mut self, link: EntryLink, cleared: SuspectCleared) {
        let Some(cause) = Cause::from_bytes(&cleared.digest, cleared.part) else { return };
        if self.suspects.table.clear(cause, cleared.caller) {
            self.send_to_subscribers(Some(link), &SuspectKind::Cleared(cleared));
        }
    }

    fn answer_trial(&mut self, link: EntryLink, request: &TrialRequest) {
        let Some(digest) = RequestDigest::from_bytes(&request.digest) else { return };
        let instance = self.suspects.grant(digest, request, link, self.now);
        if let Some(instance) = &instance {
            let crashes = self.suspects.table.crashes(Cause::Request(digest), self.now);
            let event = LogEvent::new("trial").with("digest", digest).with("at", instance);
            let event = event.with("link", link).with("crashes", crashes);
            let parts = request.parts.iter().filter_map(|part| Cause::from_bytes(part, true));
            self.log(event.with("parts", join_parts(parts)));
        }
        let instance = instance.unwrap_or_default();
        let reply = TrialReply { digest: request.digest.clone(), instance };
        self.send_suspects(link, SuspectKind::TrialReply(reply));
    }

    fn end_trial(&mut self, link: EntryLink, ended: &TrialEnded) {
        let Some(digest) = RequestDigest::from_bytes(&ended.digest) else { return };
        let Some(trial) = self.suspects.trials.get_mut(&digest) else { return };
        if trial.link != link {
            return;
        }
        if ended.running {
            trial.instance = None;
        } else {
            self.suspects.trials.remove(&digest);
        }
    }

    fn send_to_subscribers(&mut self, except: Option<EntryLink>, kind: &SuspectKind) {
        let links = self.suspects.subscribers.iter().copied();
        for link in links.filter(|link| Some(*link) != except).collect::<Vec<_>>() {
            self.send_suspects(link, kind.clone());
        }
    }

    fn send_suspects(&mut self, link: EntryLink, kind: SuspectKind) {
        self.effects.push(SideEffect::Suspects(link, kind.into()));
    }
}
