//! Small rules without state.

use citronrill_base::hash_bytes;

use super::types::{AnswerHead, Verdict};
use crate::text::{Repeat, Route};

/// The service that a request goes to: callers are spread over the shares by their number.
pub(super) fn share<'a>(route: &'a Route, caller: &str) -> Option<&'a str> {
    let total = route.shares.iter().map(|(_, weight)| u64::from(*weight)).sum::<u64>();
    let mut left = hash_bytes(caller.as_bytes()) % total.max(1);
    let pick = route.shares.iter().find(|(_, weight)| {
        let weight = u64::from(*weight);
        let here = left < weight;
        left = left.saturating_sub(weight);
        here
    });
    pick.or(route.shares.first()).map(|(service, _)| service.as_str())
}

/// Milliseconds for which a caller of a stream waits for an event at least.
const PATIENCE_MIN_MS: u64 = 2_000;
/// Latency objectives for which it does.
const PATIENCE_TARGETS: u64 = 4;
/// Pauses of the longest kind that is on time for which it does.
const PATIENCE_GAPS: u64 = 8;

/// Milliseconds after which a caller of a stream leaves if no event comes: the longest of three times
/// that the platform's pages name. `None` where a route does not declare enough to tell.
pub(super) fn patience_ms(route: &Route) -> Option<u64> {
    let gaps = route.gap_ms.filter(|_| route.repeat.is_stream())? * PATIENCE_GAPS;
    Some(gaps.max(route.target_ms * PATIENCE_TARGETS).max(PATIENCE_MIN_MS))
}

/// What becomes of an endpoint's answer.
///
/// The failures it guards against: a success without the endpoint's signature, or one that names
/// another request, is somebody else's or spoilt and must not reach the caller; a failure of a
/// request that may run again is worth another endpoint; a refusal that says "not run" is one for
/// any kind of request.
pub fn judge(head: AnswerHead, repeat: Repeat) -> Verdict {
    let spoilt = head.success() && !head.signed;
    let failed = head.status >= 500 && repeat.may_rerun();
    if !head.foreign && (head.not_run || head.status == 421) {
        Verdict::NotRun
    } else if head.foreign || spoilt || failed {
        Verdict::Failed
    } else {
        Verdict::Pass
    }
}
