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

/// What becomes of an endpoint's answer.
///
/// The failures it guards against: a success without the endpoint's signature, or one that names
/// another request, is somebody else's or spoilt and must not reach the caller; a failure of a
/// request that may run again is worth another endpoint; a refusal that says "not run" is one for
/// any kind of request.
pub fn judge(head: AnswerHead, repeat: Repeat) -> Verdict {
    let success = (200..300).contains(&head.status);
    let spoilt = success && !head.signed;
    let failed = head.status >= 500 && repeat.may_rerun();
    if !head.foreign && (head.not_run || head.status == 421) {
        Verdict::NotRun
    } else if head.foreign || spoilt || failed {
        Verdict::Failed
    } else {
        Verdict::Pass
    }
}
