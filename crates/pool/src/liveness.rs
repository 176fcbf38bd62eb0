//! Liveness of an instance, from its regular traffic and from probes of its side.
//!
//! A stalled instance keeps its connections open and answers nothing, so no error reveals it.
//! Running streams produce events every few tens of milliseconds. When they produce none, a probe
//! of the side distinguishes a busy engine from a stalled instance.

use citronrill_base::Millis;

/// Milliseconds without traffic after which a side is probed while its endpoint has requests.
const PROBE_MS: u64 = 100;
/// Milliseconds without traffic after which a side is probed while its endpoint has no requests. A
/// side sends its state at least every 700 ms: the publish interval of 500 ms plus one idle poll
/// interval of 200 ms.
const IDLE_PROBE_MS: u64 = 900;
/// Milliseconds without traffic after which an instance is probed before a request is dispatched to
/// it: more than streams pause between two events. A probe takes about one millisecond.
const CONFIRM_MS: u64 = 150;
/// Milliseconds without a probe reply after which no request is dispatched before the reply.
const REPLY_MS: u64 = 20;
/// Milliseconds without a probe reply before other endpoints are preferred.
const SUSPECT_MS: u64 = 60;
/// Milliseconds without a probe reply before the instance counts as stalled: a process that has
/// used up its CPU quota waits for a tenth of a second.
const STALLED_MS: u64 = 200;

/// Liveness of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Liveness {
    /// Whether its side is connected and can be probed.
    connected: bool,
    /// Whether the connection to its side was abandoned after a long silence, and not closed.
    lost: bool,
    /// When the last traffic arrived from it.
    last_traffic: Millis,
    /// When its side was probed, while the probe is unanswered.
    probed_at: Option<Millis>,
    /// Whether it was last reported as stalled.
    reported_stalled: bool,
}

impl Liveness {
    /// Records any traffic from the instance.
    pub(crate) fn record_traffic(&mut self, now: Millis) {
        self.last_traffic = now;
        self.probed_at = None;
    }

    /// Returns whether its side is connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.connected
    }

    /// Records that the connection to its side is established.
    pub(crate) fn mark_connected(&mut self) {
        self.connected = true;
        self.lost = false;
    }

    /// Records that the peer has closed the connection to its side. The side's process has ended,
    /// but an instance that closes connections is not stalled.
    pub(crate) fn mark_disconnected(&mut self) {
        self.connected = false;
        self.lost = false;
        self.probed_at = None;
    }

    /// Records that the connection to its side was abandoned after a long silence. It can be probed
    /// again once its side has reported over a new one.
    pub(crate) fn mark_lost(&mut self, now: Millis) {
        self.connected = false;
        self.lost = true;
        if self.quiet_ms(now) >= STALLED_MS {
            self.probed_at.get_or_insert(Millis(now.0.saturating_sub(STALLED_MS)));
        }
    }

    /// Returns whether its side is to be probed now, and records the probe. `used` says whether the
    /// endpoint has requests.
    pub(crate) fn take_probe(&mut self, used: bool, now: Millis) -> bool {
        let quiet = if used { PROBE_MS } else { IDLE_PROBE_MS };
        let due =
            self.connected && self.probed_at.is_none() && now.since(self.last_traffic) >= quiet;
        if due {
            self.probed_at = Some(now);
        }
        due
    }

    /// Returns whether a request may be dispatched to the instance without waiting for a probe reply.
    /// An instance whose side has ended cannot be probed.
    pub(crate) fn is_confirmed(&self, now: Millis) -> bool {
        let ended = !self.connected && !self.lost;
        let recent = ended || self.quiet_ms(now) < CONFIRM_MS;
        recent && !self.unanswered(now, REPLY_MS)
    }

    /// Returns whether its side is to be probed because a request waits for it, and records the
    /// probe.
    pub(crate) fn take_confirmation(&mut self, now: Millis) -> bool {
        let due = !self.is_confirmed(now) && self.probed_at.is_none();
        if due {
            self.probed_at = Some(now);
        }
        due
    }

    /// Excludes the last `paused` milliseconds, in which this process itself was stalled. A probe that
    /// was sent since then is not moved beyond the present.
    pub(crate) fn exclude_pause(&mut self, paused: u64, now: Millis) {
        self.probed_at = self.probed_at.map(|at| (at + paused).min(now));
    }

    /// Returns the milliseconds since the last traffic.
    pub(crate) fn quiet_ms(&self, now: Millis) -> u64 {
        now.since(self.last_traffic)
    }

    /// Returns whether it may be stalled.
    pub(crate) fn maybe_stalled(&self, now: Millis) -> bool {
        self.unanswered(now, SUSPECT_MS)
    }

    /// Returns whether it counts as stalled.
    pub(crate) fn is_stalled(&self, now: Millis) -> bool {
        self.unanswered(now, STALLED_MS)
    }

    /// Returns the new state if it has changed between stalled and responsive since the last call.
    pub(crate) fn take_stall_change(&mut self, now: Millis) -> Option<bool> {
        let stalled = self.is_stalled(now);
        (std::mem::replace(&mut self.reported_stalled, stalled) != stalled).then_some(stalled)
    }

    fn unanswered(&self, now: Millis, ms: u64) -> bool {
        self.probed_at.is_some_and(|at| now.since(at) >= ms)
    }
}
