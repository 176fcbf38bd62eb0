//! An instance that stands still, and callers who leave meanwhile.

use std::collections::BTreeMap;

use citronrill_pool::{EntryEvent, RequestId};
use rand::Rng;

use super::{Caller, Happening, World};

/// Milliseconds within which who leaves has done so.
const LEAVE_WITHIN_MS: u64 = 3_000;
/// Milliseconds for which a run must have been to go on for it to count.
const WOULD_LAST_MS: u64 = 500;

/// When an instance stands still, and when callers leave early.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Standstill {
    /// Milliseconds of the clock at which the busiest one stops.
    pub(crate) at: u64,
    /// Milliseconds for which it does.
    pub(crate) for_ms: u64,
    /// Milliseconds of the clock from which on callers who come leave early.
    pub(crate) leave_from: u64,
    /// The last millisecond of that.
    pub(crate) leave_to: u64,
    /// The share of them.
    pub(crate) share: f64,
}

/// What came of a standstill.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Hung {
    /// Callers that left, with runs that would have lasted.
    pub(crate) left: u32,
    /// Those of them whose run went on at the endpoint that stood still.
    pub(crate) went_on: u32,
    /// Milliseconds from its stop to the last request that was sent there meanwhile.
    pub(crate) sent_late: u64,
}

/// Engines that stand still: since when and until when.
pub(super) type Frozen = BTreeMap<usize, (u64, u64)>;

impl World {
    /// Has an instance stand still.
    pub(crate) fn stand_still(&mut self, standstill: Standstill) {
        self.standstill = Some(standstill);
        self.at(standstill.at, Happening::Freeze(standstill.for_ms));
    }

    /// Stops the instance with the most runs.
    pub(super) fn freeze(&mut self, for_ms: u64) {
        let most = (0..self.engines.len()).max_by_key(|index| self.engines[*index].runs.len());
        let Some(index) = most else { return };
        self.frozen.insert(index, (self.now, self.now + for_ms));
    }

    /// When an engine that stands still now wakes.
    pub(super) fn wakes(&self, index: usize) -> Option<u64> {
        let (_, until) = self.frozen.get(&index)?;
        (self.now < *until).then_some(*until)
    }

    /// Notes where a request was sent to.
    pub(super) fn note_sent(&mut self, entry: usize, id: RequestId, index: usize) {
        if self.wakes(index).is_some() {
            let (since, _) = self.frozen[&index];
            let late = self.now - since;
            self.figures.hung.sent_late = self.figures.hung.sent_late.max(late);
        }
        if let Some(caller) = self.callers.get_mut(&(entry, id)) {
            caller.sent_to.push(index);
        }
    }

    /// Has a caller that comes in the wave leave early.
    pub(super) fn plan_leave(&mut self, entry: usize, id: RequestId) {
        let Some(plan) = self.standstill else { return };
        let in_wave = (plan.leave_from..plan.leave_to).contains(&self.now);
        if in_wave && self.rng.random_bool(plan.share) {
            let after = self.rng.random_range(0..LEAVE_WITHIN_MS);
            self.at(self.now + after, Happening::Leave(entry, id));
        }
    }

    /// A caller leaves; counts whether its run goes on where nothing is heard of it.
    pub(super) fn leave(&mut self, entry: usize, id: RequestId) {
        let Some(caller) = self.callers.get_mut(&(entry, id)).filter(|one| !one.done) else {
            return;
        };
        caller.done = true;
        let sent_to = caller.sent_to.clone();
        let stuck = sent_to.iter().any(|index| self.wakes(*index).is_some());
        let own = |index: &usize| {
            let runs = &self.engines[*index].runs;
            runs.iter().any(|run| {
                run.entry == entry && run.id == id && run.ends > self.now + WOULD_LAST_MS
            })
        };
        let lasts = stuck || sent_to.iter().any(own);
        self.figures.hung.left += u32::from(lasts);
        self.figures.hung.went_on += u32::from(stuck);
        self.entry(entry, EntryEvent::Leave(id));
        self.cancel(entry, id);
    }

    /// Has entries hear of the streams that go on.
    pub(super) fn pass_events(&mut self, entry: usize) {
        let engines = self.engines.iter().enumerate();
        let moving = engines.filter(|(index, one)| one.up && self.wakes(*index).is_none());
        let runs = moving.flat_map(|(_, engine)| &engine.runs);
        let ids = runs.filter(|run| run.entry == entry && run.begun).map(|run| run.id);
        let ids = ids.collect::<Vec<_>>();
        self.entry(entry, EntryEvent::Progress(ids));
    }
}

impl Happening {
    /// The engine without which it cannot happen.
    pub(super) fn engine(&self) -> Option<usize> {
        match self {
            Happening::Side(index, _)
            | Happening::Reach(index, ..)
            | Happening::First(index, ..)
            | Happening::End(index, ..)
            | Happening::Give(index, ..)
            | Happening::Loaded(index, ..)
            | Happening::Probe(index, _)
            | Happening::Cancel(index, ..) => Some(*index),
            Happening::Arrive(_)
            | Happening::Entry(..)
            | Happening::Leave(..)
            | Happening::Freeze(_)
            | Happening::Tick
            | Happening::List
            | Happening::Crash
            | Happening::Start(_)
            | Happening::Wipe => None,
        }
    }
}

impl Caller {
    /// A caller who has just come.
    pub(super) fn new(busy: bool, arrived: u64, limit: u64) -> Caller {
        Caller {
            busy,
            once: !busy,
            arrived,
            ends: arrived + limit,
            runs: 0,
            first: None,
            done: false,
            sent_to: Vec::new(),
        }
    }
}
