//! `citronrill show`: prints the configuration in force.

use argh::FromArgs;
use citronrill_runtime::{base_version, current_config};
use serde_json::json;

use crate::{
    exit::{CommandError, Exit},
    files::{Platform, read_client_settings},
};

/// Print the configuration in force. Its first line contains the version, for the next `apply`.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// the client's settings file
    #[argh(option)]
    settings: String,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Show {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let settings = read_client_settings(&self.settings)?;
        let platform = Platform::new(&settings.platform);
        let (head, config) = current_config(platform.table.as_ref(), platform.objects.as_ref())?;
        let body = match base_version(&config) {
            Some(_) => config.split_once('\n').map_or("", |(_, rest)| rest),
            None => &config,
        };
        if self.json {
            let document = json!({ "version": head.version, "digest": head.digest, "text": body });
            println!("{document}");
        } else {
            println!("; version {}", head.version);
            print!("{body}");
        }
        Ok(Exit::Success)
    }
}
