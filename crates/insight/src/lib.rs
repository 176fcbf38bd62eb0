//! Analysis of the log lines of the pool's processes.
//!
//! [`explain`] joins the lines of several processes into the history of one request; [`report`]
//! draws the events of a log over time. The crate depends only on the log format, which is an
//! interface, and on none of the types of the processes, so that it also reads the logs of earlier
//! versions.

mod explain;
mod line;
mod report;

pub use crate::{
    explain::{Explanation, explain},
    line::{Line, Log},
    report::{ReportError, report},
};
