//! The load that endpoints state in their responses.

/// Load of an endpoint, as stated in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that it runs at once, if stated.
    pub slots: Option<u32>,
    /// How long work takes there at this moment, if stated.
    pub pace: Option<Pace>,
}

impl ServerLoad {
    /// Returns the number of running and queued requests.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// How long work takes on an endpoint's host at one moment, relative to the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

/// Highest pace that is believed, in per cent.
const MAX_PERCENT: u32 = 10_000;

impl Pace {
    /// Returns the pace of this percentage of the usual time; `None` if it cannot be true.
    pub fn from_percent(percent: u32) -> Option<Pace> {
        (1..=MAX_PERCENT).contains(&percent).then_some(Pace(percent))
    }

    /// Returns the pace in per cent.
    pub fn percent(self) -> u32 {
        self.0
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}
