//! `citronrill report`: a run as a picture.

use argh::FromArgs;
use citronrill_insight::report;

use crate::{
    exit::{CommandError, Exit},
    files::logs,
};

/// Draw waits, loads, refusals and changed beliefs of a run as an SVG picture on standard output.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    /// what the processes wrote, one file each
    #[argh(positional)]
    files: Vec<String>,
}

impl Report {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        println!("{}", report(&logs(&self.files)?)?);
        Ok(Exit::Done)
    }
}
