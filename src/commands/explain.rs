//! `citronrill explain`: prints the history of one request from the logs of several processes.

use argh::FromArgs;
use citronrill_insight::explain;

use crate::{
    exit::{CommandError, Exit},
    files::read_logs,
};

/// Explain how a request ended and why, from the logs of the pool's processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the id of the request, as its caller knows it
    #[argh(positional)]
    id: String,

    /// the log files, one per process
    #[argh(positional)]
    files: Vec<String>,
}

impl Explain {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        match explain(&read_logs(&self.files)?, &self.id) {
            Some(explanation) => {
                print!("{explanation}");
                Ok(Exit::Success)
            }
            None => {
                eprintln!("no log line has the id {}", self.id);
                Ok(Exit::Failure)
            }
        }
    }
}
