//! An entry's credit for requests to endpoints that name a limit.

use citronrill_base::{Millis, hash_bytes};
use citronrill_wire::EndpointLimit;

use super::{CreditLedger, EndpointRate, key::LimitKey, ledger::Account};

/// Minimum milliseconds between two requests for credit that nothing is left of.
const ASK_AGAIN_MS: u64 = 100;
/// Milliseconds for which the issuer is told that a limit was lifted.
const LIFTED_MS: u64 = 5_000;
/// Milliseconds without a reply after which an entry has no issuer.
const NO_ISSUER_MS: u64 = 1_000;

/// What an entry knows of an endpoint's limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndpointAccount {
    /// `None` if it has been lifted.
    rate: Option<EndpointRate>,
    /// When the endpoint said so.
    said_at: Millis,
    /// When credit was last asked for.
    asked_at: Option<Millis>,
    /// Since when credit has been asked for without a reply.
    unanswered_since: Option<Millis>,
    /// Number of the period in which a request was last sent without an issuer.
    alone_period: Option<u64>,
}

impl EndpointAccount {
    /// Returns what is told to the issuer.
    pub(super) fn limit(&self, instance: &str, now: Millis) -> EndpointLimit {
        EndpointLimit {
            instance: instance.to_owned(),
            milli: self.rate.map(|rate| rate.milli),
            age_ms: now.since(self.said_at),
        }
    }

    /// Returns whether the limit was lifted so long ago that nobody has to be told.
    fn has_lapsed(&self, now: Millis) -> bool {
        self.rate.is_none() && now.since(self.said_at) >= LIFTED_MS
    }
}

/// Who shares an endpoint's limit with this entry.
#[derive(Debug, Clone, Copy)]
pub struct Sharing {
    /// Number of entries.
    pub entries: u32,
    /// A number unique to this entry.
    pub seed: u64,
}

impl CreditLedger {
    /// Records that an endpoint has named a limit, or lifted it (`None`).
    pub fn set_endpoint(
        &mut self,
        instance: &str,
        rate: Option<EndpointRate>,
        said_at: Millis,
        now: Millis,
    ) {
        let key = LimitKey::Endpoint(instance.into());
        let Some(rate) = rate else {
            let endpoint = self.accounts.get_mut(&key).and_then(|known| known.endpoint.as_mut());
            if let Some(endpoint) = endpoint {
                (endpoint.rate, endpoint.said_at) = (None, said_at);
            }
            return;
        };
        let account = self.accounts.entry(key).or_insert_with(|| Account::new(rate.terms(), now));
        account.terms = rate.terms();
        let endpoint = account.endpoint.get_or_insert(EndpointAccount {
            rate: None,
            said_at,
            asked_at: None,
            unanswered_since: None,
            alone_period: None,
        });
        (endpoint.rate, endpoint.said_at) = (Some(rate), said_at);
    }

    /// Forgets the limit of an endpoint that has ended.
    pub fn forget_endpoint(&mut self, instance: &str) {
        self.accounts.remove(&LimitKey::Endpoint(instance.into()));
    }

    /// Forgets the limits that were lifted a while ago, and those of all endpoints but the ones to keep.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&str) -> bool, now: Millis) {
        self.accounts.retain(|key, account| {
            account.endpoint.is_none_or(|endpoint| keep(key.name()) && !endpoint.has_lapsed(now))
        });
    }

    /// Returns whether any endpoint names a limit, or has lifted it of late.
    pub fn knows_endpoints(&self) -> bool {
        self.accounts.keys().any(LimitKey::is_endpoint)
    }

    /// Returns whether a request may be dispatched to an endpoint that names a limit.
    pub fn permits_endpoint(&self, instance: &str, sharing: Sharing, now: Millis) -> bool {
        let account = self.accounts.get(&LimitKey::Endpoint(instance.into()));
        account.is_some_and(|account| {
            account.holds(now) || account.alone_period(instance, sharing, now).is_some()
        })
    }

    /// Takes the credit for a dispatch; returns false if there is none.
    pub fn take_endpoint(&mut self, instance: &str, sharing: Sharing, now: Millis) -> bool {
        let account = self.accounts.get_mut(&LimitKey::Endpoint(instance.into()));
        let Some(account) = account else { return false };
        if account.take(1, now) {
            return true;
        }
        let Some(period) = account.alone_period(instance, sharing, now) else { return false };
        if let Some(endpoint) = &mut account.endpoint {
            endpoint.alone_period = Some(period);
        }
        true
    }

    /// Asks for credit for a request that would be dispatched to an endpoint; `first` if it has not been
    /// asked for before.
    pub fn want_endpoint(&mut self, instance: &str, first: bool, now: Millis) {
        let account = self.accounts.get_mut(&LimitKey::Endpoint(instance.into()));
        let Some(account) = account else { return };
        if first {
            account.record_demand(1, now);
        }
        if account.holds(now) {
            return;
        }
        let Some(endpoint) = &mut account.endpoint else { return };
        if endpoint.asked_at.is_none_or(|at| now.since(at) >= ASK_AGAIN_MS) {
            endpoint.asked_at = Some(now);
            endpoint.unanswered_since.get_or_insert(now);
            account.waiting = 1;
            self.needed = true;
        }
    }

    /// Returns the requests a second that this entry may expect to send to an endpoint.
    pub fn endpoint_rate(&self, instance: &str, sharing: Sharing) -> f64 {
        let account = self.accounts.get(&LimitKey::Endpoint(instance.into()));
        let even =
            account.map_or(0.0, |account| account.terms.refill / f64::from(sharing.entries.max(1)));
        account.map_or(0.0, |account| account.rate / 1_000.0).max(even)
    }
}

impl Account {
    fn holds(&self, now: Millis) -> bool {
        self.held >= 1.0 && now < self.lapses_at
    }

    /// Handles a reply of the issuer.
    pub(super) fn endpoint_answered(&mut self) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.unanswered_since = None;
            self.waiting = 0;
        }
    }

    /// Returns the period in which the entry may send a request although it has no issuer, if it has sent
    /// none in it.
    ///
    /// The entries have one request each in a period, and a window of it in which to send it, at a place
    /// that differs among them.
    fn alone_period(&self, instance: &str, sharing: Sharing, now: Millis) -> Option<u64> {
        let endpoint = self.endpoint.as_ref()?;
        let waited = endpoint.unanswered_since.map_or(0, |since| now.since(since));
        if waited < NO_ISSUER_MS {
            return None;
        }
        let window_ms = self.terms.window_ms;
        let windows = (f64::from(sharing.entries.max(1)) / self.terms.alone).ceil() as u64;
        let place = hash_bytes(format!("{} {instance}", sharing.seed).as_bytes());
        let at = now.0 + place % (windows * window_ms);
        let period = at / (windows * window_ms);
        let open = at % (windows * window_ms) < window_ms;
        (open && endpoint.alone_period != Some(period)).then_some(period)
    }
}
