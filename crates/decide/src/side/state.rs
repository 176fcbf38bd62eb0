//! Accessors of the side's reducer, for dumps, tests and the lab.

use super::{Mode, Side};
use crate::rows::EndpointRow;

impl Side {
    /// Returns the session number that a call must carry to be accepted.
    pub fn session(&self) -> u64 {
        self.profile.session
    }

    /// Returns the configuration version last read from the table.
    pub fn config_version(&self) -> u64 {
        self.head.row.as_ref().map_or(0, |head| head.version)
    }

    /// Returns whether the process owns the endpoint and is serving.
    pub fn serving(&self) -> bool {
        self.mode == Mode::Serving
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u64 {
        self.calls.running()
    }

    /// Returns the number of call records.
    pub fn call_records(&self) -> usize {
        self.calls.records()
    }

    /// Returns the fencing token; 0 before the endpoint is claimed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the endpoint's row as last read or written.
    pub fn endpoint_row(&self) -> Option<&EndpointRow> {
        self.row.row.as_ref()
    }

    /// Returns the name of the mode, for dumps.
    pub fn mode_name(&self) -> &'static str {
        match self.mode {
            Mode::Starting => "starting",
            Mode::Serving => "serving",
            Mode::Draining { .. } => "draining",
            Mode::Superseded => "superseded",
            Mode::Done => "done",
        }
    }
}
