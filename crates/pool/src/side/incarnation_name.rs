//! The name of the endpoint's current incarnation.

use citronrill_base::Millis;

/// Milliseconds before an endpoint that did not report its name is asked again: the query may
/// wait for a slot.
const QUERY_RETRY_MS: u64 = 250;
/// Milliseconds after a restart for which no load request is accepted while the name is unknown. An
/// endpoint that is up reports it within a few milliseconds, and one that never reports it must not
/// stay empty.
const UNNAMED_LIMIT_MS: u64 = 1_000;

/// Name of the endpoint's current incarnation, as far as the side knows it.
///
/// Guards against this failure: an endpoint crashes and is up again after two seconds, but the
/// member list names its previous incarnation for one or two seconds more. Entries request models
/// under that name, and each order is refused: 30 orders were refused in 0.9 s while the endpoint
/// held no model. The side therefore asks the endpoint itself, once for each incarnation, and
/// publishes the name with its state.
#[derive(Debug, Default)]
pub(super) struct IncarnationName {
    name: Option<String>,
    /// Whether the endpoint is to be asked for its name.
    query_due: bool,
    /// When the endpoint was last asked for its name.
    queried_at: Option<Millis>,
    /// When a restart was seen after which the name is still unknown.
    restarted_at: Option<Millis>,
}

impl IncarnationName {
    /// Creates an unknown name, which the endpoint is to be asked for.
    pub(super) fn unknown() -> IncarnationName {
        IncarnationName { query_due: true, ..IncarnationName::default() }
    }

    /// Returns the name, if it is known.
    pub(super) fn name(&self) -> Option<&str> {
        self.name.as_deref()
    }

    /// Stores the name that the endpoint reported; returns whether it is new.
    pub(super) fn set(&mut self, name: &str) -> bool {
        self.query_due = false;
        self.restarted_at = None;
        let new = self.name() != Some(name);
        self.name = Some(name.to_owned());
        new
    }

    /// Has the endpoint asked again, because it did not answer a poll and may have restarted.
    pub(super) fn query_again(&mut self) {
        self.query_due = true;
    }

    /// Discards the name, because the endpoint has restarted or rejected an order that carried it.
    pub(super) fn clear(&mut self, now: Millis) {
        self.query_due = true;
        self.queried_at = None;
        self.name = None;
        self.restarted_at.get_or_insert(now);
    }

    /// Returns whether `instance` is the current incarnation, as far as is known.
    pub(super) fn is_current(&self, instance: &str, now: Millis) -> bool {
        match &self.name {
            Some(name) => name == instance,
            None => self.restarted_at.is_none_or(|at| now.since(at) > UNNAMED_LIMIT_MS),
        }
    }

    /// Returns whether the endpoint is to be asked now, and records the attempt.
    pub(super) fn take_query(&mut self, now: Millis) -> bool {
        let early = self.queried_at.is_some_and(|at| now.since(at) < QUERY_RETRY_MS);
        let query = self.query_due && !early;
        if query {
            self.queried_at = Some(now);
        }
        query
    }
}
