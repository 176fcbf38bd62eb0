//! Expected wait at an endpoint.

/// What a request meets that is sent to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WaitEstimate {
    /// Milliseconds until it begins.
    pub(crate) wait_ms: f64,
    /// Milliseconds for which one request occupies a slot there.
    pub(crate) work_ms: f64,
}
