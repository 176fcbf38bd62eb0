//! Priorities of requests.

use crate::{config::Route, organisation::Organisation};

/// Levels of an endpoint's queue for one priority of organisations.
const LEVELS_PER_ORGANISATION: u8 = 5;

/// Priority of a request: that of its organisation goes before that of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Priority {
    /// 0 is the most urgent; 0 without an organisation.
    organisation: u8,
    /// 0 is the most urgent.
    route: u8,
    /// Whether the organisation has a priority of its own.
    organised: bool,
}

impl Priority {
    pub(super) fn new(organisation: Option<&Organisation>, route: &Route) -> Priority {
        let own = organisation.and_then(|organisation| organisation.priority);
        Priority { organisation: own.unwrap_or(0), route: route.rank, organised: own.is_some() }
    }

    /// Returns the rank of the route, 0 first.
    pub(super) fn route(self) -> u8 {
        self.route
    }

    /// Returns the priority in an endpoint's queue, 0 first. Each priority has two levels, on time and
    /// late; where organisations have priorities, the least urgent routes of one share its last level.
    pub(super) fn urgency(self, late: bool) -> u8 {
        let level = self.route.saturating_mul(2).saturating_add(u8::from(late));
        if !self.organised {
            return level;
        }
        let first = self.organisation.saturating_mul(LEVELS_PER_ORGANISATION);
        first.saturating_add(level.min(LEVELS_PER_ORGANISATION - 1))
    }
}
