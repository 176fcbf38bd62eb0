//! The queue of requests for one model or service.

use std::collections::BTreeSet;

use citronrill_base::Millis;
use citronrill_config::Class;

use super::RequestId;

/// One pick in this many goes to the earliest deadline of all classes.
const DEADLINE_PICK_INTERVAL: u32 = 8;

/// A queue ordered by class and deadline.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    by_class: BTreeSet<(Class, Millis, RequestId)>,
    by_deadline: BTreeSet<(Millis, Class, RequestId)>,
    picks: u32,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, id: RequestId, class: Class, deadline: Millis) {
        self.by_class.insert((class, deadline, id));
        self.by_deadline.insert((deadline, class, id));
    }

    pub(crate) fn remove(&mut self, id: RequestId, class: Class, deadline: Millis) {
        self.by_class.remove(&(class, deadline, id));
        self.by_deadline.remove(&(deadline, class, id));
    }

    /// The request to serve next; it stays in the queue.
    ///
    /// An urgent class goes first, but a steady stream of it would starve the others until their
    /// deadlines. One pick in eight therefore goes to the earliest deadline of any class.
    pub(crate) fn first(&self) -> Option<RequestId> {
        if self.picks % DEADLINE_PICK_INTERVAL == DEADLINE_PICK_INTERVAL - 1 {
            return self.by_deadline.first().map(|(_, _, id)| *id);
        }
        self.by_class.first().map(|(_, _, id)| *id)
    }

    /// Counts a pick whose request was sent.
    pub(crate) fn picked(&mut self) {
        self.picks = self.picks.wrapping_add(1);
    }

    /// The earliest deadline and the most urgent class in the queue.
    pub(crate) fn most_urgent(&self) -> Option<(Millis, Class)> {
        let (deadline, _, _) = self.by_deadline.first()?;
        let (class, _, _) = self.by_class.first()?;
        Some((*deadline, *class))
    }

    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.by_deadline.iter().map(|(_, _, id)| *id).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_class.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_class.is_empty()
    }
}
