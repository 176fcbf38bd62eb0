//! `citronrill report`: draws a run as an SVG picture.

use argh::FromArgs;
use citronrill_insight::report;

use crate::{
    exit::{CommandError, Exit},
    files::read_logs,
};

/// Draw waiting times, loads, refusals and state changes of a run as SVG on standard output.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    /// the log files, one per process
    #[argh(positional)]
    files: Vec<String>,
}

impl Report {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        println!("{}", report(&read_logs(&self.files)?)?);
        Ok(Exit::Success)
    }
}
