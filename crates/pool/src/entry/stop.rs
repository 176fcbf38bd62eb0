//! A planned stop: every request is answered before the process ends.

use citronrill_base::Millis;

use super::{PoolEntry, Reason, Request, RequestId, Stage};

/// Measured durations of a call that must be left when it is sent late in a planned stop: a call varies.
const LATE_DURATIONS: f64 = 3.0;

/// Deadlines of a planned stop.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stop {
    /// No request waits after this time: another entry serves it sooner than this one could.
    pub(super) wait_until: Millis,
    /// No request is left without a response after this time: the process ends.
    pub(super) end_by: Millis,
}

impl PoolEntry {
    /// Begins a planned stop.
    pub(super) fn begin_stop(&mut self, wait_ms: u64, end_ms: u64) {
        let now = self.now;
        self.stop = Some(Stop { wait_until: now + wait_ms, end_by: now + end_ms });
    }

    /// Returns whether a request that is sent now ends before this process does, as far as that is known.
    ///
    /// One that is cut at the end leaves its caller without an answer, though any other entry could have served it.
    /// Streams last long, and their ends vary: late in the stop one is sent only if it ends by its deadline.
    pub(super) fn can_finish(&self, request: &Request) -> bool {
        let Some(stop) = self.stop else { return true };
        if request.deadline <= stop.end_by {
            return true;
        }
        let left_ms = stop.end_by.since(self.now) as f64;
        let service = &request.service;
        match (self.now < stop.wait_until, request.retry_policy.is_stream()) {
            (true, _) => self.service_work_ms(service) <= left_ms,
            (false, true) => false,
            (false, false) => {
                let measured_ms = self.measured_work_ms(service).map(|ms| LATE_DURATIONS * ms);
                // An assumed duration is a bound: the objective.
                measured_ms.unwrap_or_else(|| self.service_work_ms(service)) <= left_ms
            }
        }
    }

    /// During a planned stop, refuses requests that would otherwise be cut off when the process
    /// ends.
    ///
    /// Otherwise a request may wait for its model at an entry that is being stopped, and its caller
    /// sees a closed connection without knowing whether the request ran.
    pub(super) fn refuse_on_stop(&mut self) {
        let Some(stop) = self.stop else { return };
        let open = self.requests.iter().map(|(id, request)| (*id, request.stage, request.runs));
        for (id, stage, runs) in open.collect::<Vec<_>>() {
            match stage {
                Stage::Waiting if runs == 0 && self.now >= stop.wait_until => {
                    self.refuse(id, Reason::Stopping);
                }
                Stage::Waiting | Stage::Sent if self.now >= stop.end_by => {
                    self.refuse(id, Reason::TimedOut);
                }
                Stage::Waiting | Stage::Sent | Stage::Responding => {}
            }
        }
    }

    /// Refuses a request that could not end in a planned stop if it were sent now; returns whether it was. A response
    /// that has begun goes on as long as it can.
    pub(super) fn refuse_unfinishable(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        if request.head_sent || self.can_finish(request) {
            return false;
        }
        let reason = if request.runs == 0 { Reason::Stopping } else { Reason::TimedOut };
        self.refuse(id, reason);
        true
    }
}
