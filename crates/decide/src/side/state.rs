//! What others may ask of the side's reducer: for dumps, tests and the lab.

use super::{Mode, Side};
use crate::rows::EndpointRow;

impl Side {
    /// The session that callers must name.
    pub fn session(&self) -> u64 {
        self.profile.session
    }

    /// The version of the text that the table last showed.
    pub fn config_version(&self) -> u64 {
        self.head.row.as_ref().map_or(0, |head| head.version)
    }

    /// Whether the endpoint's row is owned and the process serves.
    pub fn serving(&self) -> bool {
        self.mode == Mode::Serving
    }

    /// Calls that run now.
    pub fn running(&self) -> u64 {
        self.calls.running()
    }

    /// Records of calls that are kept.
    pub fn call_records(&self) -> usize {
        self.calls.records()
    }

    /// The fencing number; 0 before the endpoint is owned.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The endpoint's row as last read or written.
    pub fn endpoint_row(&self) -> Option<&EndpointRow> {
        self.row.row.as_ref()
    }

    /// The mode in a word, for dumps.
    pub fn mode_word(&self) -> &'static str {
        match self.mode {
            Mode::Starting => "starting",
            Mode::Serving => "serving",
            Mode::Draining { .. } => "draining",
            Mode::Superseded => "superseded",
            Mode::Done => "done",
        }
    }
}
