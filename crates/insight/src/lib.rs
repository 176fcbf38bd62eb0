//! What the log lines of the pool's processes tell.
//!
//! [`explain`] joins the lines of several processes to the story of one request; [`report`] draws a
//! run. The crate stands apart from the processes: it knows their lines, which are an interface, and
//! none of their types, so that it also reads the logs of an earlier version.

mod line;
mod report;
mod story;

pub use crate::{
    line::{Line, Log},
    report::{ReportError, report},
    story::{Story, explain},
};
