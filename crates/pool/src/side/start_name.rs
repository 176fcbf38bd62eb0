//! The name of the endpoint's present start.

use citronrill_base::Millis;

/// Milliseconds before an endpoint that did not tell its name is asked again: it may wait for a slot.
const ASK_MS: u64 = 250;
/// Milliseconds for which no want is taken while the name is not known after a restart: an endpoint
/// that is up tells it within a few, and one that never tells it must not stay empty.
const UNNAMED_MS: u64 = 1_000;

/// What a side knows of the name of its endpoint's present start.
///
/// The failure it meets: an endpoint crashes and is up again after two seconds, but the list names
/// its last start for one or two seconds more. Entries ask for models under that name, and each
/// order is refused; 30 refused orders in 0.9 s were seen while the endpoint stood empty. So the
/// endpoint itself is asked, once for each start, and its entries hear the name with its state.
#[derive(Debug, Default)]
pub(super) struct StartName {
    name: Option<String>,
    /// Whether the endpoint is to be asked, and when it was asked last.
    due: bool,
    asked: Option<Millis>,
    /// When a restart was seen after which no name is known.
    restarted: Option<Millis>,
}

impl StartName {
    /// Nothing is known yet, and the endpoint is to be asked.
    pub(super) fn unknown() -> StartName {
        StartName { due: true, ..StartName::default() }
    }

    /// The name, if it is known.
    pub(super) fn known(&self) -> Option<&str> {
        self.name.as_deref()
    }

    /// Takes the name from the endpoint; true if it is new.
    pub(super) fn learn(&mut self, name: &str) -> bool {
        self.due = false;
        self.restarted = None;
        let new = self.known() != Some(name);
        self.name = Some(name.to_owned());
        new
    }

    /// The endpoint may have started again: it did not answer for a while.
    pub(super) fn doubt(&mut self) {
        self.due = true;
    }

    /// The endpoint has started again, or refused its name.
    pub(super) fn forget(&mut self, now: Millis) {
        self.due = true;
        self.asked = None;
        self.name = None;
        self.restarted.get_or_insert(now);
    }

    /// Whether `instance` is the present start, as far as is known.
    pub(super) fn is_present(&self, instance: &str, now: Millis) -> bool {
        match &self.name {
            Some(name) => name == instance,
            None => self.restarted.is_none_or(|at| now.since(at) > UNNAMED_MS),
        }
    }

    /// Whether the endpoint is to be asked now.
    pub(super) fn take_turn(&mut self, now: Millis) -> bool {
        let early = self.asked.is_some_and(|at| now.since(at) < ASK_MS);
        let turn = self.due && !early;
        if turn {
            self.asked = Some(now);
        }
        turn
    }
}
