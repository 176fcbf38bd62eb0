//! Admission control by the time that a caller has left.
//!
//! The decision depends on its arguments alone, so that all entries decide alike on the same state.

/// The queue for a set of endpoints that can run the same requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueState {
    /// Milliseconds until a request begins that is sent to the least loaded endpoint now.
    pub first_ms: f64,
    /// Requests that the endpoints can begin in a millisecond.
    pub rate: f64,
    /// Milliseconds for which the fastest endpoint is occupied by one request.
    pub work_ms: f64,
    /// Number of entries that share the endpoints. Their queues are unknown and assumed to be as long as
    /// the own one: callers are spread evenly over the entries.
    pub entries: u32,
}

impl QueueState {
    /// Returns the milliseconds until a request begins that has `ahead` requests of this entry before it.
    pub fn wait_ms(&self, ahead: usize) -> f64 {
        let shared = ahead as f64 * f64::from(self.entries.max(1));
        self.first_ms + shared / self.rate.max(f64::MIN_POSITIVE)
    }
}

/// A request that asks for a place in a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that wait at this entry, are at least as urgent and must be served before it: their
    /// callers leave earlier.
    pub ahead: usize,
    /// All requests that wait at this entry and are at least as urgent.
    pub admitted: usize,
    /// The least time in milliseconds that would be left to spare for a request which is as urgent and has been
    /// admitted, if this one goes before it; infinite if there is none.
    pub spare_behind: f64,
    /// Milliseconds until its caller leaves, or until the endpoint must have begun it.
    pub left_ms: f64,
    /// Whether the response must have ended by then, not only have begun.
    pub must_end: bool,
    /// Whether an endpoint has room for it now.
    pub room: bool,
    /// Whether a less urgent request of its service waits at this entry that has not run.
    pub outranks: bool,
    /// Whether it has taken the place of a less urgent request.
    pub placed: bool,
}

/// What happens to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is dispatched.
    Dispatch,
    /// It waits, at most for so many milliseconds.
    Wait(u64),
    /// It waits in the place of the least urgent request of its service, which is refused.
    Displace,
    /// It is refused; after so many milliseconds the queue ahead has drained.
    Refuse(u64),
}

/// Decides on a request by the time that its caller has left.
///
/// A request is not admitted if that makes one too late that was admitted before: its caller would have waited
/// for nothing.
///
/// A request that outranks another one is refused only if it would come too late in the first place of the
/// queue: the less urgent one would otherwise be served where the more urgent one is not.
pub fn admit(queue: &QueueState, candidate: &Candidate) -> Admission {
    let work_ms = if candidate.must_end { queue.work_ms } else { 0.0 };
    let spare_ms = candidate.left_ms - work_ms;
    let fits = |ms: f64| ms <= spare_ms;
    let in_turn = fits(queue.wait_ms(candidate.ahead)) && candidate.spare_behind >= 0.0;
    if candidate.room && fits(queue.first_ms) {
        Admission::Dispatch
    } else if in_turn || candidate.placed && fits(queue.first_ms) {
        Admission::Wait(spare_ms as u64)
    } else if candidate.outranks && fits(queue.first_ms) {
        Admission::Displace
    } else {
        let drained_ms = queue.wait_ms(candidate.admitted).min(MAX_RETRY_MS);
        Admission::Refuse(drained_ms.ceil() as u64)
    }
}

/// Returns whether an endpoint has room for another request: at most `rounds` times its slots are queued
/// behind those that run.
pub fn has_room(wait_ms: f64, work_ms: f64, rounds: f64) -> bool {
    wait_ms < FREE_MS || wait_ms <= rounds * work_ms
}

/// Expected wait in milliseconds below which a slot counts as free: times are kept in milliseconds.
const FREE_MS: f64 = 1.0;
/// Maximum retry time in milliseconds: the estimate of a queue says little about a later minute.
const MAX_RETRY_MS: f64 = 60_000.0;
