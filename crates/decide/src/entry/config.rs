//! The active configuration, whose version never decreases.

use std::collections::BTreeMap;

use citronrill_base::Millis;
use citronrill_config::{Catalogue, Delta, digest};

use super::{Effect, Entry, Target};
use crate::{
    log::LogEvent,
    refusal::RefusalKind,
    rows::{DELTA_RING, DeltaRow, HeadRow},
};

/// A configuration fetch is repeated after this time, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 2_000;

/// The active configuration and the known state of later versions.
#[derive(Debug, Default)]
pub(super) struct ConfigState {
    pub(super) source: String,
    pub(super) head: Option<HeadRow>,
    pub(super) confirmed: bool,
    deltas: BTreeMap<u64, DeltaRow>,
    fetching: Option<(u64, Millis)>,
    rejected: u64,
}

impl ConfigState {
    pub(super) fn insert_delta(&mut self, delta: DeltaRow) {
        self.deltas.insert(delta.version, delta);
        while self.deltas.len() as u64 > DELTA_RING {
            self.deltas.pop_first();
        }
    }
}

impl Entry {
    /// Advances to the head's version by deltas, and fetches the whole configuration if they do not
    /// suffice.
    pub(super) fn advance_config(&mut self, out: &mut Vec<Effect>) {
        while let Some(delta) = self.config.deltas.get(&(self.catalogue.version + 1)) {
            let head_version = self.config.head.as_ref().map_or(0, |head| head.version);
            if delta.content_omitted || self.catalogue.version == 0 || delta.version > head_version
            {
                break;
            }
            let step = Delta {
                changed: delta.changed.clone(),
                removed: delta.removed.clone(),
                digest: delta.digest.clone(),
            };
            let version = delta.version;
            match step.apply(&self.config.source) {
                Ok(source) if self.config.rejected < version => self.activate(version, source, out),
                Ok(_) | Err(_) => break,
            }
        }
        let current = self.catalogue.version;
        self.config.deltas.retain(|version, _| *version > current);
        self.fetch_missing(out);
    }

    fn fetch_missing(&mut self, out: &mut Vec<Effect>) {
        let Some(head) = &self.config.head else { return };
        let processed = self.catalogue.version.max(self.config.rejected);
        let fetching = self.config.fetching.is_some_and(|(version, since)| {
            version == head.version && self.now.since(since) < FETCH_TIMEOUT_MS
        });
        if head.version > processed && !fetching {
            self.config.fetching = Some((head.version, self.now));
            out.push(Effect::FetchConfig(head.clone()));
        }
    }

    pub(super) fn refetch_config(&mut self, out: &mut Vec<Effect>) {
        self.fetch_missing(out);
    }

    /// Activates a fetched configuration if it is newer than the active one and matches the head.
    ///
    /// An older one from a late reply or a lagging peer is ignored.
    pub(super) fn config_fetched(&mut self, version: u64, source: String, out: &mut Vec<Effect>) {
        let head = self.config.head.as_ref().filter(|head| head.version == version);
        if version <= self.catalogue.version
            || head.is_none_or(|head| head.digest != digest(&source))
        {
            return;
        }
        self.activate(version, source, out);
        self.advance_config(out);
    }

    fn activate(&mut self, version: u64, source: String, out: &mut Vec<Effect>) {
        let compiled = Catalogue::compile("head", &source, version, &mut self.view.registry);
        match compiled {
            Ok(catalogue) => {
                self.catalogue = catalogue;
                self.config.source = source;
                self.config.fetching = None;
                out.push(Effect::ConfigActivated(version));
                out.push(Effect::Log(LogEvent::new("config").with("version", version)));
                self.refuse_removed(out);
            }
            Err(errors) => {
                self.config.rejected = version;
                let event = LogEvent::new("config_rejected").with("version", version);
                out.push(Effect::Log(event.with("errors", errors.0.len())));
            }
        }
    }

    /// Refuses queued requests whose model, service or organisation was removed from the
    /// configuration.
    fn refuse_removed(&mut self, out: &mut Vec<Effect>) {
        let removed = self.queues.keys().copied().filter(|target| !self.is_served(*target));
        for target in removed.collect::<Vec<_>>() {
            self.refuse_waiting(target, RefusalKind::NoLongerConfigured, out);
        }
    }

    fn is_served(&self, target: Target) -> bool {
        let service = match target {
            Target::Model(model) => self.catalogue.models.get(&model).map(|model| model.service),
            Target::Plain(service) => Some(service),
        };
        service.is_some_and(|service| self.catalogue.services.contains_key(&service))
    }
}
