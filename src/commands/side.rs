//! `citronrill side`: runs a side process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use argh::FromArgs;
use citronrill_config::SideSettings;
use citronrill_runtime::{SideOptions, SideProcess};

use super::{StopSignal, stop_signals};
use crate::{
    exit::{CommandError, Exit},
    files::{Platform, read_file},
};

/// Run the side process of an endpoint: owns the endpoint's ledger and executes its calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "side")]
pub(crate) struct Side {
    /// the settings file
    #[argh(option)]
    settings: String,
}

impl Side {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let settings = SideSettings::parse(&self.settings, &read_file(&self.settings)?)?;
        let platform = Platform::new(&settings.common.platform);
        let stop = stop_signals()?;
        let process = SideProcess::start(
            &settings,
            SideOptions { table: platform.table, instances: platform.instances },
        )?;
        log::info!(
            "event=started role=side instance={} endpoint={} listen={}",
            settings.common.instance,
            settings.endpoint,
            process.listen_address()
        );
        let stopped = Arc::new(AtomicBool::new(false));
        let drain = process.drainer();
        let already_stopped = stopped.clone();
        thread::spawn(move || {
            if let Ok(signal) = stop.recv()
                && !already_stopped.load(Ordering::Acquire)
            {
                drain(signal == StopSignal::Shutdown);
            }
        });
        process.wait();
        stopped.store(true, Ordering::Release);
        Ok(Exit::Success)
    }
}
