//! `citronrill pool-entry` and `citronrill pool-side`: run the processes of the pool.

use std::sync::{Arc, mpsc::channel};

use argh::FromArgs;
use citronrill_adapter::{PlatformDialect, SETTINGS_VARIABLE};
use citronrill_config::PoolSettings;
use citronrill_gateway::{LogStats, run_entry, run_side};
use signal_hook::{consts::SIGHUP, iterator::Signals};

use super::stop_signals;
use crate::{
    exit::{CommandError, Exit},
    files::read_file,
};

/// Run an entry of the pool: accepts callers' requests and dispatches them to endpoints.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool-entry")]
pub(crate) struct PoolEntry {
    /// the settings file; by default the file that the platform names in the environment
    #[argh(option)]
    settings: Option<String>,
}

/// Run a side of the pool: orders the engine beside it to load and unload models.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool-side")]
pub(crate) struct PoolSide {
    /// the settings file; by default the file that the platform names in the environment
    #[argh(option)]
    settings: Option<String>,
}

impl PoolEntry {
    pub(crate) fn run(self, logs: Arc<LogStats>) -> Result<Exit, CommandError> {
        let settings = load_settings(self.settings)?;
        run_entry(&settings, Arc::new(PlatformDialect), logs, watch_stop()?)?;
        Ok(Exit::Success)
    }
}

impl PoolSide {
    pub(crate) fn run(self, logs: Arc<LogStats>) -> Result<Exit, CommandError> {
        let settings = load_settings(self.settings)?;
        run_side(&settings, Arc::new(PlatformDialect), logs, watch_stop()?)?;
        Ok(Exit::Success)
    }
}

/// Reads the settings again on every SIGHUP and logs whether they are valid. The new values are not
/// applied: addresses, names and limits are fixed when the process starts.
fn watch_settings(file: String) -> Result<(), CommandError> {
    let mut signals = Signals::new([SIGHUP]).map_err(CommandError::Signals)?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            match read_file(&file).map(|text| PoolSettings::parse(&file, &text)) {
                Ok(Ok(settings)) => log::info!("event=reload name={} valid=true", settings.name),
                Ok(Err(error)) => log::warn!("event=reload valid=false error=\"{error}\""),
                Err(error) => log::warn!("event=reload valid=false error=\"{error}\""),
            }
        }
    });
    Ok(())
}

fn load_settings(file: Option<String>) -> Result<PoolSettings, CommandError> {
    let path = file.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let file = path.ok_or(CommandError::Missing("no settings file is given"))?;
    let settings = PoolSettings::parse(&file, &read_file(&file)?)?;
    watch_settings(file)?;
    Ok(settings)
}

/// Watches for the signals that request a planned stop, without their kinds: the pool's processes
/// keep no state, so there is nothing to hand over.
fn watch_stop() -> Result<std::sync::mpsc::Receiver<()>, CommandError> {
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
