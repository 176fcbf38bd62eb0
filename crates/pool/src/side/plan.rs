//! Which wants are taken, and what makes way for them.

use citronrill_decide::LogEvent;
use citronrill_wire::{ModelName, Want};

use super::{EntryLink, OrderKind, Planned, PoolSide, SideEffect, report::holds};

/// Milliseconds for which a model stays once it was loaded for somebody: requests that wait for it
/// elsewhere are on their way.
const MIN_STAY_MS: u64 = 300;
/// Wants that wait at most; more cannot be met in time (a load takes over 400 ms).
const WANT_LIMIT: usize = 16;

impl PoolSide {
    /// Plans what an entry asks for, or says at once that it will not be met here.
    ///
    /// Room is set aside and victims are named when the want is taken, and told to all entries
    /// with the next state. Otherwise several entries that act at the same moment each count on
    /// the other replicas of a busy model, and all of them are unloaded.
    pub(super) fn take_want(&mut self, link: EntryLink, want: Want) {
        let until = self.now + want.ttl_ms;
        let same =
            |one: &&mut Planned| one.want.model == want.model && one.want.adapter == want.adapter;
        if let Some(known) = self.plan.iter_mut().find(same) {
            known.until = known.until.max(until);
            return;
        }
        let victims_named = want.victims.clone();
        let known = self.start_time.time().map(|start| start.0);
        let other = want.started.zip(known).is_some_and(|(meant, known)| meant != known);
        let gone = other || !self.start.is_present(&want.instance, self.now);
        let victims = if gone {
            None
        } else if want.adapter.is_empty() {
            self.make_room(&want)
        } else {
            Some(Vec::new())
        };
        match victims {
            Some(victims) if self.plan.len() < WANT_LIMIT => {
                self.log(
                    LogEvent::new("planned")
                        .with("model", &want.model)
                        .with("adapter", &want.adapter)
                        .with("victims", victims.join(","))
                        .with("before", self.plan.len())
                        .with("waiting", want.waiting),
                );
                self.plan.push_back(Planned { want, until, at: self.now, victims });
            }
            _ => {
                let name = ModelName { model: want.model, adapter: want.adapter };
                let free = self.free_mb();
                let stays = victims_named.iter().filter(|name| self.stays(name)).count();
                let leaving = victims_named.iter().filter(|name| self.is_leaving(name)).count();
                self.log(
                    LogEvent::new("declined")
                        .with("model", &name.model)
                        .with("gone", gone)
                        .with("free_mb", free as i64)
                        .with("victims", victims_named.join(","))
                        .with("stays", stays)
                        .with("leaving", leaving)
                        .with("planned", self.plan.len()),
                );
                self.effects.push(SideEffect::Decline(link, name));
            }
        }
    }

    /// Memory that is free once all that is planned is done, in MB.
    fn free_mb(&self) -> f64 {
        let (Some(report), Some(engine)) = (&self.report, self.engine()) else { return 0.0 };
        let size = |name: &str| engine.model(name).map_or(0.0, |spec| spec.weights_mb);
        let coming = self.plan.iter().filter(|one| one.want.adapter.is_empty());
        let coming = coming.filter(|one| !holds(report, &one.want.model, ""));
        let coming = coming.map(|one| size(&one.want.model)).sum::<f64>();
        let going = self.plan.iter().flat_map(|one| &one.victims).map(|name| size(name));
        let held = report.models.iter().map(|model| size(&model.name)).sum::<f64>();
        engine.weights_mb - held - coming + going.sum::<f64>()
    }

    /// What has to make way for a model; `None` if it cannot be brought in.
    fn make_room(&self, want: &Want) -> Option<Vec<String>> {
        let report = self.report.as_ref()?;
        let engine = self.engine()?;
        let size = |name: &str| engine.model(name).map_or(0.0, |spec| spec.weights_mb);
        let spec = engine.model(&want.model)?;
        if holds(report, &want.model, "") && !self.is_leaving(&want.model) {
            return Some(Vec::new());
        }
        let adapters = f64::from(engine.adapter_limit) * spec.adapter_mb;
        let mut free = self.free_mb() - adapters;
        let mut victims = Vec::new();
        let mut candidates = want
            .victims
            .iter()
            .filter(|name| holds(report, name, "") && !self.is_leaving(name) && !self.stays(name));
        while free < spec.weights_mb {
            let victim = candidates.next()?;
            free += size(victim);
            victims.push(victim.clone());
        }
        Some(victims)
    }

    pub(super) fn is_leaving(&self, model: &str) -> bool {
        self.leaving().any(|name| name == model)
    }

    /// Models that are being unloaded, or will be.
    pub(super) fn leaving(&self) -> impl Iterator<Item = &String> {
        let ordered = self.model_order.iter().map(|given| &given.order);
        let ordered = ordered.filter(|order| order.kind == OrderKind::Unload);
        let planned = self.plan.iter().flat_map(|one| &one.victims);
        ordered.map(|order| &order.model).chain(planned)
    }

    /// Whether a model was brought in just now, or is planned.
    pub(super) fn stays(&self, model: &str) -> bool {
        let arrived = self.arrived.get(model);
        arrived.is_some_and(|at| self.now.since(*at) < MIN_STAY_MS)
            || self.plan.iter().any(|one| one.want.model == model)
    }
}
