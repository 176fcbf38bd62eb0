//! Requests, and parts of prompts, that may crash the endpoints that run them.
//!
//! When an endpoint crashes, every request that it was running may be the cause, and every part of their
//! prompts. Its entry records them and reports them to the sides that collect the records of all entries,
//! which pass them on. From the second crash of a suspect on, a request with it runs only as a trial,
//! which one side grants. A third crash in a trial shows that the suspect is the cause. A request that
//! completes is cleared, and so are the parts of its prompt.

use std::{
    fmt::Display,
    net::{IpAddr, SocketAddr},
};

use citronrill_base::{Millis, Set, hash_bytes};
use citronrill_decide::LogEvent;
use citronrill_wire::{SuspectCleared, SuspectKind, SuspectMessage, SuspectUpdate};

use super::{EntryEffect, PoolEntry, Reason, Request, Stage};
use crate::{
    cause::Cause,
    completed::{Completed, CompletedParts},
    endpoint::Endpoint,
    prompt::PromptPart,
    suspects::{SuspectTable, TRIAL_CRASHES},
};

/// Sides that collect the records: the second one takes over when the first one is lost.
const COLLECTORS: usize = 2;
/// Milliseconds between two selections of the collectors.
const SELECT_MS: u64 = 200;

/// What an entry knows about suspects.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    pub(super) table: SuspectTable,
    /// Requests that completed here of late.
    completed: Completed,
    /// Parts of the prompts of requests that completed here in the last minutes.
    pub(super) completed_parts: CompletedParts,
    /// The sides that collect the records, the one that grants trials first.
    pub(super) collectors: Vec<SocketAddr>,
    /// When they were selected; `None` if a connection has been lost since.
    selected_at: Option<Millis>,
    /// Collectors that were sent this entry's records.
    synced: Set<SocketAddr>,
    /// Until when requests wait for the records of the other entries; `None` while no side is known.
    learn_until: Option<Millis>,
    /// Whether these records have arrived.
    learned: bool,
    /// Whether the quarantined requests were read from the platform store.
    restored: bool,
}

impl PoolEntry {
    /// Returns the cause for which a request is quarantined, if it is.
    pub(super) fn quarantine_cause(&self, request: &Request) -> Option<Cause> {
        let table = &self.suspects.table;
        if table.is_empty() {
            return None;
        }
        let caller = caller_hash(request);
        request.causes().find(|cause| table.is_quarantined(*cause, caller, self.now))
    }

    /// Returns the milliseconds until the quarantine of a request ends.
    pub(super) fn quarantine_ms(&self, request: &Request) -> u64 {
        let ends = request.causes().map(|cause| self.suspects.table.quarantine_ms(cause, self.now));
        ends.max().unwrap_or(0)
    }

    /// Clears a request that has completed, and the parts of its prompt.
    pub(super) fn clear_suspect(&mut self, request: &Request) {
        let (digest, caller) = (request.digest, caller_hash(request));
        self.suspects.completed.record(digest, caller, self.now);
        self.forget_lost_runs(digest, caller);
        self.void_crashes(Cause::Request(digest), caller);
        for part in &request.shared_parts {
            self.suspects.completed_parts.record(*part, self.now);
            self.clear_part(*part);
        }
    }

    /// Voids the crashes of a part of prompts, as a response to a request with it went on after its start.
    fn clear_part(&mut self, part: PromptPart) {
        self.forget_lost_part(part);
        self.void_crashes(Cause::Part(part), 0);
    }

    /// Voids the crashes of what has completed, also at all other entries.
    fn void_crashes(&mut self, cause: Cause, caller: u64) {
        if !self.suspects.table.clear(cause, caller) {
            return;
        }
        self.log(LogEvent::new("cleared").with(cause.field(), cause));
        let cleared = SuspectCleared { digest: cause.to_bytes(), caller, part: cause.is_part() };
        self.send_to_collectors(&SuspectKind::Cleared(cleared));
    }

    /// Voids the crashes of a request that has completed here of late.
    pub(super) fn void_if_completed(&mut self, cause: Cause) {
        let Cause::Request(digest) = cause else { return };
        if let Some(caller) = self.suspects.completed.caller(digest, self.now) {
            self.void_crashes(cause, caller);
        }
    }

    /// Clears the suspect parts of prompts on which endpoints go on writing: they would have crashed by
    /// now. Without this, nothing else runs with such a part until a long response is complete.
    fn clear_harmless_parts(&mut self) {
        let (now, table) = (self.now, &self.suspects.table);
        if table.is_empty() {
            return;
        }
        let mut harmless = Vec::new();
        for request in self.requests.values().filter(|request| request.has_progress) {
            let responding_ms = request.responding_ms(now);
            let parts = request.shared_parts.iter().copied();
            harmless.extend(parts.filter(|part| table.is_harmless(*part, responding_ms)));
        }
        harmless.into_iter().for_each(|part| self.clear_part(part));
    }

    /// Takes back requests that wait at endpoints, and are quarantined by now. They may run.
    pub(super) fn recall_quarantined(&mut self) {
        let sent = self.requests.iter().filter(|(_, request)| {
            request.stage == Stage::Sent && self.quarantine_cause(request).is_some()
        });
        for id in sent.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(request) = self.requests.get_mut(&id) {
                request.runs += 1;
            }
            self.refuse(id, Reason::Quarantined);
        }
    }

    /// Handles a message about suspects from a side.
    pub(super) fn handle_suspects(&mut self, side: SocketAddr, message: SuspectMessage) {
        match message.kind {
            Some(SuspectKind::Update(update)) => self.merge_suspects(side, &update),
            Some(SuspectKind::Cleared(cleared)) => {
                if let Some(cause) = Cause::from_bytes(&cleared.digest, cleared.part) {
                    self.suspects.table.clear(cause, cleared.caller);
                }
            }
            Some(SuspectKind::TrialReply(reply)) => self.trial_answered(side, &reply),
            Some(SuspectKind::TrialRequest(_) | SuspectKind::TrialEnded(_)) | None => {
                self.log(LogEvent::new("suspect_unreadable").with("from", side));
            }
        }
        self.schedule_waiting();
    }

    fn merge_suspects(&mut self, side: SocketAddr, update: &SuspectUpdate) {
        // Until all sides are connected, another one may be taken for a collector; it knows nothing.
        let rank = ranked_address(side);
        let ahead = self.sides().filter(|other| ranked_address(*other) < rank).count();
        self.suspects.learned |= ahead < COLLECTORS;
        self.merge_records(update, side);
    }

    /// Applies the quarantined requests of the platform store, and passes them on: all other processes
    /// may have lost them.
    pub(super) fn apply_quarantine(&mut self, update: &SuspectUpdate) {
        self.suspects.restored = true;
        self.merge_records(update, "store");
        if !update.suspects.is_empty() {
            self.send_to_collectors(&SuspectKind::Update(update.clone()));
        }
        self.schedule_waiting();
    }

    fn merge_records(&mut self, update: &SuspectUpdate, source: impl Display) {
        let now = self.now;
        for record in &update.suspects {
            let Some(cause) = Cause::of_record(record) else { continue };
            let table = &mut self.suspects.table;
            let new = table.merge_record(cause, record, now);
            let crashes = table.crashes(cause, now);
            if new && crashes >= TRIAL_CRASHES {
                let event = LogEvent::new("suspect_told").with(cause.field(), cause);
                self.log(event.with("crashes", crashes).with("from", &source));
            }
            self.void_if_completed(cause);
            self.vouch_if_completed(cause);
        }
        self.recall_quarantined();
    }

    /// Tells all entries if requests with a suspect part of prompts completed here of late.
    pub(super) fn vouch_if_completed(&mut self, cause: Cause) {
        let Cause::Part(part) = cause else { return };
        let now = self.now;
        let Suspects { completed_parts, table, .. } = &mut self.suspects;
        if completed_parts.contains(part, now) && table.mark_completed(cause) {
            let update = SuspectUpdate { suspects: vec![table.record(cause, now)] };
            self.send_to_collectors(&SuspectKind::Update(update));
        }
    }

    /// Decides what is due about crashes and trials, and selects the collectors again.
    pub(super) fn check_suspects(&mut self) {
        self.check_crashes();
        self.clear_harmless_parts();
        self.share_endpoints();
        let selected_at = self.suspects.selected_at;
        if selected_at.is_none_or(|at| self.now.since(at) >= SELECT_MS) {
            self.update_collectors();
        }
    }

    /// Updates the collectors when a side has reported and there are too few of them.
    pub(super) fn add_collector(&mut self) {
        if self.suspects.collectors.len() < COLLECTORS {
            self.update_collectors();
        }
    }

    /// Selects the sides that collect the records, and sends this entry's records to those that are
    /// new. All entries rank the sides alike.
    fn update_collectors(&mut self) {
        let now = self.now;
        self.suspects.selected_at = Some(now);
        let collects = |endpoint: &&Endpoint| {
            let tracks = endpoint.fresh_side(now).is_some_and(|side| side.tracks_suspects);
            tracks && endpoint.liveness.is_connected() && !endpoint.liveness.is_stalled(now)
        };
        let sides = self.pool.endpoints.values().filter(collects);
        let mut ranked =
            sides.map(|endpoint| ranked_address(endpoint.member.address)).collect::<Vec<_>>();
        ranked.sort_unstable();
        ranked.dedup();
        let collectors = ranked.into_iter().take(COLLECTORS).map(|(_, address)| address);
        self.suspects.collectors = collectors.collect();
        let new = self.suspects.collectors.iter().copied();
        let new = new.filter(|address| !self.suspects.synced.contains(address));
        for address in new.collect::<Vec<_>>() {
            self.suspects.synced.insert(address);
            let known = self.suspects.table.update(now);
            self.send_suspects(address, SuspectKind::Update(known));
        }
    }

    /// Handles the loss of the connection to a side: what was sent to it may be lost.
    pub(super) fn desync_suspects(&mut self, side: SocketAddr) {
        self.suspects.synced.remove(&side);
        self.suspects.selected_at = None;
    }

    /// Starts to wait for the records of the other entries once sides are known that may have them.
    pub(super) fn expect_suspects(&mut self) {
        self.suspects.learn_until.get_or_insert(self.now + self.profile.learn_ms);
    }

    /// Returns whether requests wait for the records of the other entries. An entry that has just
    /// started would run a request that the others have quarantined.
    pub(super) fn awaits_suspects(&self) -> bool {
        let waiting = self.suspects.learn_until.is_some_and(|until| self.now < until);
        waiting && !(self.suspects.learned && self.suspects.restored)
    }

    pub(super) fn send_to_collectors(&mut self, kind: &SuspectKind) {
        for side in self.suspects.collectors.clone() {
            self.send_suspects(side, kind.clone());
        }
    }

    pub(super) fn send_suspects(&mut self, side: SocketAddr, kind: SuspectKind) {
        self.effects.push(EntryEffect::Suspects(side, kind.into()));
    }
}

/// Returns a hash of the address of a request's caller; 0 if it is unknown.
pub(super) fn caller_hash(request: &Request) -> u64 {
    request.caller.map_or(0, address_hash)
}

fn address_hash(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(ip) => hash_bytes(&ip.octets()),
        IpAddr::V6(ip) => hash_bytes(&ip.octets()),
    }
}

/// Returns the address of a side with its rank as a collector.
fn ranked_address(address: SocketAddr) -> (u64, SocketAddr) {
    (address_hash(address.ip()), address)
}
