//! Stateless rules.

use citronrill_base::hash_bytes;

use super::types::{ResponseHead, Verdict};
use crate::config::{RetryPolicy, Route};

/// Returns the service for a request. A hash of the request ID spreads requests over the shares.
pub(super) fn pick_service<'a>(route: &'a Route, caller_id: &str) -> Option<&'a str> {
    let total = route.shares.iter().map(|(_, weight)| u64::from(*weight)).sum::<u64>();
    let mut point = hash_bytes(caller_id.as_bytes()) % total.max(1);
    let pick = route.shares.iter().find(|(_, weight)| {
        let weight = u64::from(*weight);
        let selected = point < weight;
        point = point.saturating_sub(weight);
        selected
    });
    pick.or(route.shares.first()).map(|(service, _)| service.as_str())
}

/// Minimum idle timeout, in milliseconds, of a caller of a stream.
const IDLE_TIMEOUT_MIN_MS: u64 = 2_000;
/// Minimum idle timeout, as a multiple of the route's latency objective.
const IDLE_TIMEOUT_TARGETS: u64 = 4;
/// Minimum idle timeout, as a multiple of the longest acceptable gap between events.
const IDLE_TIMEOUT_GAPS: u64 = 8;

/// Returns the milliseconds without an event after which a caller of a stream disconnects: the
/// longest of the three times that the platform specifies. `None` if the route does not declare
/// enough to compute it.
pub(super) fn idle_timeout_ms(route: &Route) -> Option<u64> {
    let gaps = route.gap_ms.filter(|_| route.retry_policy.is_stream())? * IDLE_TIMEOUT_GAPS;
    Some(gaps.max(route.target_ms * IDLE_TIMEOUT_TARGETS).max(IDLE_TIMEOUT_MIN_MS))
}

/// Returns what to do with an endpoint's response.
///
/// A success without the endpoint's signature, or one that names another request, is misdirected or
/// corrupt and must not reach the caller. A failure of a request that may run again is retried on
/// another endpoint. A refusal with the "not run" marker permits a retry for any kind of request.
pub fn classify_response(head: ResponseHead, retry_policy: RetryPolicy) -> Verdict {
    let unsigned = head.success() && !head.signed;
    let failed = head.status >= 500 && retry_policy.may_retry();
    if !head.misdirected && (head.not_run || head.is_rejected()) {
        Verdict::NotRun
    } else if head.misdirected || unsigned || failed {
        Verdict::Failed
    } else {
        Verdict::Forward
    }
}
