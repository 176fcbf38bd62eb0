//! Whether an instance still moves, by what passes from it anyway and by probes of its side.
//!
//! An instance that stands still keeps its connections and answers nothing, so no error tells of it. Streams
//! under way give events every few tens of milliseconds; where they give none, a probe of the side tells an
//! engine that is busy from an instance that stands still.

use citronrill_base::Millis;

/// Milliseconds without a word after which a side is probed while requests are at its endpoint.
const PROBE_MS: u64 = 100;
/// The same where none are: a side speaks every 500 to 700.
const OVERDUE_MS: u64 = 900;
/// Milliseconds for which a probe may be unanswered before other endpoints are preferred.
const SUSPECT_MS: u64 = 60;
/// Milliseconds for which a probe may be unanswered before the instance counts as standing still: a process
/// that has used up its share of a core waits for a tenth of a second.
const SILENT_MS: u64 = 200;

/// What is known of one instance's life.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Liveness {
    /// Whether its side can be asked.
    linked: bool,
    /// When anything last came from it.
    heard: Millis,
    /// When its side was probed, while that is unanswered.
    probed: Option<Millis>,
    /// Whether it was last said to stand still.
    told: bool,
}

impl Liveness {
    /// Takes any sign of life.
    pub(crate) fn hear(&mut self, now: Millis) {
        self.heard = now;
        self.probed = None;
    }

    /// The connection to its side stands.
    pub(crate) fn link(&mut self) {
        self.linked = true;
    }

    /// The other end has closed the connection to its side: the process has ended, and the instance moves.
    pub(crate) fn unlink(&mut self) {
        self.linked = false;
        self.probed = None;
    }

    /// The connection to its side was given up after a long silence.
    pub(crate) fn lose(&mut self, now: Millis) {
        if self.quiet_ms(now) >= SILENT_MS {
            self.probed.get_or_insert(Millis(now.0.saturating_sub(SILENT_MS)));
        }
    }

    /// Whether its side is to be probed now; it counts as done. `used` says that requests are there.
    pub(crate) fn take_probe(&mut self, used: bool, now: Millis) -> bool {
        let quiet = if used { PROBE_MS } else { OVERDUE_MS };
        let due = self.linked && self.probed.is_none() && now.since(self.heard) >= quiet;
        if due {
            self.probed = Some(now);
        }
        due
    }

    /// Leaves `paused` milliseconds out of account, in which the own process stood still.
    pub(crate) fn excuse(&mut self, paused: u64) {
        self.probed = self.probed.map(|at| at + paused);
    }

    /// Milliseconds since anything came from it.
    pub(crate) fn quiet_ms(&self, now: Millis) -> u64 {
        now.since(self.heard)
    }

    /// Whether it may stand still.
    pub(crate) fn suspect(&self, now: Millis) -> bool {
        self.unanswered(now, SUSPECT_MS)
    }

    /// Whether it stands still, as far as can be told.
    pub(crate) fn silent(&self, now: Millis) -> bool {
        self.unanswered(now, SILENT_MS)
    }

    /// Whether that has changed since it was last asked here.
    pub(crate) fn take_change(&mut self, now: Millis) -> Option<bool> {
        let silent = self.silent(now);
        (std::mem::replace(&mut self.told, silent) != silent).then_some(silent)
    }

    fn unanswered(&self, now: Millis, ms: u64) -> bool {
        self.probed.is_some_and(|at| now.since(at) >= ms)
    }
}
