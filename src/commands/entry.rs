//! `citronrill entry`: runs an entry process.

use argh::FromArgs;
use citronrill_config::EntrySettings;
use citronrill_decide::Policies;
use citronrill_runtime::{EntryOptions, EntryProcess};

use super::stop_signals;
use crate::{
    exit::{CommandError, Exit},
    files::{Platform, read_file},
};

/// Run an entry process: accepts callers' requests and coordinates its share of the models.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct Entry {
    /// the settings file
    #[argh(option)]
    settings: String,
}

impl Entry {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let settings = EntrySettings::parse(&self.settings, &read_file(&self.settings)?)?;
        let platform = Platform::new(&settings.common.platform);
        let stop = stop_signals()?;
        let process = EntryProcess::start(
            &settings,
            EntryOptions {
                table: platform.table,
                objects: platform.objects,
                instances: platform.instances,
                policies: Policies::default(),
            },
        )?;
        log::info!(
            "event=started role=entry instance={} http={} listen={}",
            settings.common.instance,
            process.http_address(),
            process.listen_address()
        );
        if stop.recv().is_ok() {
            process.drain();
        }
        process.wait();
        Ok(Exit::Success)
    }
}
