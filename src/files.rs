//! Reads configurations, settings and logs, and connects to the platform.

use std::{fs, path::Path, sync::Arc};

use citronrill_config::{ClientSettings, PlatformSettings};
use citronrill_insight::Log;
use citronrill_platform::{HttpInstanceList, HttpObjectStore, HttpTable};

use crate::exit::CommandError;

/// HTTP clients of the platform.
pub(crate) struct Platform {
    pub(crate) table: Arc<HttpTable>,
    pub(crate) objects: Arc<HttpObjectStore>,
    pub(crate) instances: Arc<HttpInstanceList>,
}

impl Platform {
    pub(crate) fn new(settings: &PlatformSettings) -> Platform {
        Platform {
            table: Arc::new(HttpTable::new(settings.table)),
            objects: Arc::new(HttpObjectStore::new(settings.objects)),
            instances: Arc::new(HttpInstanceList::new(settings.instances)),
        }
    }
}

pub(crate) fn read_file(file: &str) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|source| CommandError::File { file: file.to_owned(), source })
}

/// Reads the logs of several processes. Each process is named after its file.
pub(crate) fn read_logs(files: &[String]) -> Result<Log, CommandError> {
    let mut log = Log::default();
    for file in files {
        let name =
            Path::new(file).file_stem().map_or(file.as_str().into(), |stem| stem.to_string_lossy());
        log.add(&name, &read_file(file)?);
    }
    Ok(log)
}

pub(crate) fn read_client_settings(file: &str) -> Result<ClientSettings, CommandError> {
    Ok(ClientSettings::parse(file, &read_file(file)?)?)
}
