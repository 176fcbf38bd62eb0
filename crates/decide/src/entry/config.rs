//! The text in force: from version to version, never back.

use std::collections::BTreeMap;

use citronrill_base::Millis;
use citronrill_config::{Catalogue, Delta, digest};

use super::{Effect, Entry, Target};
use crate::{
    log::LogEvent,
    refusal::RefusalKind,
    rows::{DELTA_RING, DeltaRow, HeadRow},
};

/// A text that does not come is fetched again after this time, in milliseconds.
const FETCH_PATIENCE_MS: u64 = 2_000;

/// The text in force and what is known of later ones.
#[derive(Debug, Default)]
pub(super) struct TextState {
    pub(super) text: String,
    pub(super) target: Option<HeadRow>,
    pub(super) confirmed: bool,
    deltas: BTreeMap<u64, DeltaRow>,
    fetching: Option<(u64, Millis)>,
    rejected: u64,
}

impl TextState {
    pub(super) fn keep_delta(&mut self, delta: DeltaRow) {
        self.deltas.insert(delta.version, delta);
        while self.deltas.len() as u64 > DELTA_RING {
            self.deltas.pop_first();
        }
    }
}

impl Entry {
    /// Goes to the version that the head names, by deltas if they lead there.
    pub(super) fn advance_text(&mut self, out: &mut Vec<Effect>) {
        while let Some(delta) = self.text.deltas.get(&(self.catalogue.version + 1)) {
            let wanted = self.text.target.as_ref().map_or(0, |head| head.version);
            if delta.whole || self.catalogue.version == 0 || delta.version > wanted {
                break;
            }
            let step = Delta {
                changed: delta.changed.clone(),
                removed: delta.removed.clone(),
                digest: delta.digest.clone(),
            };
            let version = delta.version;
            match step.apply(&self.text.text) {
                Ok(text) if self.text.rejected < version => self.put_in_force(version, text, out),
                Ok(_) | Err(_) => break,
            }
        }
        let current = self.catalogue.version;
        self.text.deltas.retain(|version, _| *version > current);
        self.fetch_missing(out);
    }

    fn fetch_missing(&mut self, out: &mut Vec<Effect>) {
        let Some(head) = &self.text.target else { return };
        let known = self.catalogue.version.max(self.text.rejected);
        let waits = self.text.fetching.is_some_and(|(version, since)| {
            version == head.version && self.now.since(since) < FETCH_PATIENCE_MS
        });
        if head.version > known && !waits {
            self.text.fetching = Some((head.version, self.now));
            out.push(Effect::FetchText(head.clone()));
        }
    }

    pub(super) fn refetch_text(&mut self, out: &mut Vec<Effect>) {
        self.fetch_missing(out);
    }

    /// Takes a whole text, if it is later than the one in force and the one that the head names.
    ///
    /// A late answer or a peer that lags may bring an older one: it changes nothing.
    pub(super) fn whole_text(&mut self, version: u64, text: String, out: &mut Vec<Effect>) {
        let head = self.text.target.as_ref().filter(|head| head.version == version);
        if version <= self.catalogue.version || head.is_none_or(|it| it.digest != digest(&text)) {
            return;
        }
        self.put_in_force(version, text, out);
        self.advance_text(out);
    }

    fn put_in_force(&mut self, version: u64, text: String, out: &mut Vec<Effect>) {
        let compiled = Catalogue::compile("head", &text, version, &mut self.view.registry);
        match compiled {
            Ok(catalogue) => {
                self.catalogue = catalogue;
                self.text.text = text;
                self.text.fetching = None;
                out.push(Effect::Configured(version));
                out.push(Effect::Log(LogEvent::new("config").with("version", version)));
                self.refuse_removed(out);
            }
            Err(errors) => {
                self.text.rejected = version;
                let event = LogEvent::new("config_rejected").with("version", version);
                out.push(Effect::Log(event.with("errors", errors.0.len())));
            }
        }
    }

    /// Refuses what waits for a model, service or organisation that the text no longer has.
    fn refuse_removed(&mut self, out: &mut Vec<Effect>) {
        let removed = self.queues.keys().copied().filter(|target| !self.still_served(*target));
        for target in removed.collect::<Vec<_>>() {
            self.refuse_waiting(target, RefusalKind::Removed, out);
        }
    }

    fn still_served(&self, target: Target) -> bool {
        let service = match target {
            Target::Model(model) => self.catalogue.models.get(&model).map(|it| it.service),
            Target::Plain(service) => Some(service),
        };
        service.is_some_and(|service| self.catalogue.services.contains_key(&service))
    }
}
