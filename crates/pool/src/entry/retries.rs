//! Further dispatches of a request, within the retry budget of its service.

use citronrill_decide::LogEvent;

use super::{MIN_ENTRIES, PoolEntry, Request, RequestId};
use crate::limits::{RetryBudget, RetryCounts};

impl PoolEntry {
    /// Returns the numbers of further dispatches since the start, by service.
    pub fn retry_counts(&self) -> impl Iterator<Item = (&str, RetryCounts)> {
        self.budgets.iter().map(|(service, budget)| (service.as_str(), budget.counts()))
    }

    /// Reserves a further dispatch in the retry budget, unless that has been done already. Returns
    /// whether the budget permits it.
    pub(super) fn reserve_retry(&mut self, id: RequestId) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return false };
        if request.retry_reserved {
            return true;
        }
        let (caller_id, service) = (request.caller_id.clone(), request.service.clone());
        let denied_before = request.retry_denied;
        let budget = self.budget(&service);
        let granted = budget.reserve(now);
        // An unanswered request asks at each check of its deadline.
        if !granted && denied_before {
            return false;
        }
        if !granted {
            budget.count_denied();
        }
        let event = LogEvent::new("retry").with("id", caller_id).with("service", &service);
        let event = event.with("granted", granted).with("left", budget.left(now));
        let event = event.with("reserved", budget.reserved());
        self.log(event.with("entries", self.shared_among().unwrap_or(0)));
        if let Some(request) = self.requests.get_mut(&id) {
            (request.retry_reserved, request.retry_denied) = (granted, !granted);
        }
        granted
    }

    /// Takes what a dispatch uses of the retry budget. Returns false if it may not be sent.
    pub(super) fn use_retry(&mut self, id: RequestId) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let first = request.dispatches == 0;
        let reserved = std::mem::take(&mut request.retry_reserved);
        let service = request.service.clone();
        first || reserved && self.budget(&service).send(now)
    }

    /// Returns what a request that has ended had reserved.
    pub(super) fn cancel_retry(&mut self, request: &Request) {
        if request.retry_reserved {
            self.budget(&request.service).cancel();
        }
    }

    pub(super) fn budget(&mut self, service: &str) -> &mut RetryBudget {
        self.record_entries();
        let entries = self.shared_among();
        let profile = &self.profile;
        let started = self.started.unwrap_or(self.now);
        let create =
            if profile.first_start { RetryBudget::unused } else { RetryBudget::after_restart };
        let new = || create(profile.retry_ratio, profile.retry_window_ms, started);
        let budget = self.budgets.entry(service.to_owned()).or_insert_with(new);
        budget.set_slack(profile.retry_slack, entries);
        budget
    }

    fn record_entries(&mut self) {
        let sides = self.pool.endpoints.values().filter_map(|endpoint| endpoint.side.as_ref());
        let known = sides.map(|side| side.known_entries.max(side.entry_count)).max();
        self.entry_peak.record(known.unwrap_or(0), self.now);
    }

    /// Returns the highest number of entries that sides have reported of late; `None` if none has.
    fn shared_among(&self) -> Option<u32> {
        self.entry_peak.highest().map(|entries| entries.max(MIN_ENTRIES))
    }
}
