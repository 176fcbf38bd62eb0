//! `citronrill pool-entry` and `citronrill pool-side`: the pool's processes.

use std::sync::{Arc, mpsc::channel};

use argh::FromArgs;
use citronrill_adapter::{SETTINGS_VARIABLE, UsersPlatform};
use citronrill_config::PoolSettings;
use citronrill_gateway::{LogStats, run_entry, run_side};
use signal_hook::{consts::SIGHUP, iterator::Signals};

use super::stop_signals;
use crate::{
    exit::{CommandError, Exit},
    files::read,
};

/// Run an entry of the pool: takes callers' requests and finds endpoints for them.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool-entry")]
pub(crate) struct PoolEntry {
    /// the settings file; without it the file that the platform names in the environment
    #[argh(option)]
    settings: Option<String>,
}

/// Run a side of the pool: orders models for the engine beside it.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool-side")]
pub(crate) struct PoolSide {
    /// the settings file; without it the file that the platform names in the environment
    #[argh(option)]
    settings: Option<String>,
}

impl PoolEntry {
    pub(crate) fn run(self, logs: Arc<LogStats>) -> Result<Exit, CommandError> {
        let settings = settings(self.settings)?;
        run_entry(&settings, Arc::new(UsersPlatform), logs, stop()?)?;
        Ok(Exit::Done)
    }
}

impl PoolSide {
    pub(crate) fn run(self, logs: Arc<LogStats>) -> Result<Exit, CommandError> {
        let settings = settings(self.settings)?;
        run_side(&settings, Arc::new(UsersPlatform), logs, stop()?)?;
        Ok(Exit::Done)
    }
}

/// Reads the settings again whenever SIGHUP says that they have changed, and says what was found.
/// What a process does with its settings is fixed at its start: addresses, names and bounds.
fn watch_settings(file: String) -> Result<(), CommandError> {
    let mut signals = Signals::new([SIGHUP]).map_err(CommandError::Signals)?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            match read(&file).map(|text| PoolSettings::parse(&file, &text)) {
                Ok(Ok(settings)) => log::info!("event=reload name={} valid=true", settings.name),
                Ok(Err(error)) => log::warn!("event=reload valid=false error=\"{error}\""),
                Err(error) => log::warn!("event=reload valid=false error=\"{error}\""),
            }
        }
    });
    Ok(())
}

fn settings(file: Option<String>) -> Result<PoolSettings, CommandError> {
    let named = file.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let file = named.ok_or(CommandError::Nothing("no settings file is named"))?;
    let settings = PoolSettings::parse(&file, &read(&file)?)?;
    watch_settings(file)?;
    Ok(settings)
}

/// The signals that ask for a planned stop, without their kinds: nothing is kept by the pool's
/// processes, so there is nothing to hand over.
fn stop() -> Result<std::sync::mpsc::Receiver<()>, CommandError> {
    let signals = stop_signals()?;
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        while signals.recv().is_ok() {
            if sender.send(()).is_err() {
                break;
            }
        }
    });
    Ok(receiver)
}
