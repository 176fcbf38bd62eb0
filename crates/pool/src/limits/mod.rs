//! Limits on the use of organisations, over all entries.
//!
//! One side issues credit: it keeps a token bucket for each organisation and divides its contents among
//! the entries, which report what they used and want. An entry admits a request only with credit that it
//! holds, so the sum over all entries never exceeds the bucket, whichever messages are lost or late.
//!
//! The platform's rule allows some use beyond the limit. [`LimitBounds`] divides this slack: most of it
//! refills the bucket, so that callers are not refused below the limit; the rest covers what
//! an issuer without memory gives out after it took over, and what entries that hear of no issuer admit
//! on their own.

mod bounds;
mod endpoint_credit;
mod endpoint_rate;
mod issuer;
mod key;
mod ledger;
mod peak;
mod retries;
mod roster;
mod share;
mod told;

pub use self::{
    bounds::LimitBounds,
    endpoint_credit::Sharing,
    endpoint_rate::EndpointRate,
    issuer::{CreditIssuer, Terms},
    ledger::{Charge, Claim, CreditLedger, LimitUsage},
    peak::RecentPeak,
    retries::{RetryBudget, RetryCounts},
    roster::EntryRoster,
    share::WindowShare,
};
