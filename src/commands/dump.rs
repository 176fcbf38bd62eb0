//! `citronrill dump`: prints the state of a process.

use std::net::SocketAddr;

use argh::FromArgs;
use citronrill_runtime::fetch_dump;

use crate::{
    exit::{CommandError, Exit},
    files::read_client_settings,
};

/// Print the complete state of a process as JSON, without keys and secrets.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// the address on which the process listens for peers
    #[argh(positional)]
    address: SocketAddr,

    /// the client's settings file
    #[argh(option)]
    settings: String,
}

impl Dump {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let settings = read_client_settings(&self.settings)?;
        let address = self.address.to_string();
        let json = fetch_dump(self.address, &settings.secret)
            .map_err(|source| CommandError::Peer { address, source })?;
        println!("{json}");
        Ok(Exit::Success)
    }
}
