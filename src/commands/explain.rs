//! `citronrill explain`: one request's story from the logs of several processes.

use argh::FromArgs;
use citronrill_insight::explain;

use crate::{
    exit::{CommandError, Exit},
    files::logs,
};

/// Tell what became of a request and why, from the logs of the pool's processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the request's id, as its caller has it
    #[argh(positional)]
    id: String,

    /// what the processes wrote, one file each
    #[argh(positional)]
    files: Vec<String>,
}

impl Explain {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        match explain(&logs(&self.files)?, &self.id) {
            Some(story) => {
                print!("{story}");
                Ok(Exit::Done)
            }
            None => {
                eprintln!("no line names {}", self.id);
                Ok(Exit::Failed)
            }
        }
    }
}
