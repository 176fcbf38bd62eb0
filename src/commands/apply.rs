//! `citronrill apply`: submits a configuration.

use argh::FromArgs;
use citronrill_runtime::{ApplyOutcome, apply_config};
use serde_json::json;

use crate::{
    exit::{CommandError, Exit},
    files::{Platform, read_client_settings, read_file},
};

/// Submit a configuration; it is accepted if the version it is based on is still in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the configuration file
    #[argh(positional)]
    file: String,

    /// the client's settings file
    #[argh(option)]
    settings: String,

    /// the version that the configuration is based on, if its first line does not contain it
    #[argh(option)]
    base: Option<u64>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Apply {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let settings = read_client_settings(&self.settings)?;
        let platform = Platform::new(&settings.platform);
        let config = read_file(&self.file)?;
        let (table, objects) = (platform.table.as_ref(), platform.objects.as_ref());
        let applied = apply_config(table, objects, &self.file, &config, self.base)?;
        let (outcome, version) = match applied {
            ApplyOutcome::Accepted { version } => ("accepted", version),
            ApplyOutcome::Unchanged { version } => ("unchanged", version),
        };
        if self.json {
            println!("{}", json!({ "outcome": outcome, "version": version }));
        } else {
            println!("{outcome}: version {version}");
        }
        Ok(Exit::Success)
    }
}
