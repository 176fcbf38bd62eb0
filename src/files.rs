//! Reading files and settings.

use std::{fs, path::Path, sync::Arc};

use citronrill_config::{ClientSettings, PlatformSettings};
use citronrill_insight::Log;
use citronrill_platform::{HttpInstances, HttpObjects, HttpTable};

use crate::exit::CommandError;

/// The platform behind its HTTP clients.
pub(crate) struct Platform {
    pub(crate) table: Arc<HttpTable>,
    pub(crate) objects: Arc<HttpObjects>,
    pub(crate) instances: Arc<HttpInstances>,
}

impl Platform {
    pub(crate) fn new(settings: &PlatformSettings) -> Platform {
        Platform {
            table: Arc::new(HttpTable::new(settings.table)),
            objects: Arc::new(HttpObjects::new(settings.objects)),
            instances: Arc::new(HttpInstances::new(settings.instances)),
        }
    }
}

pub(crate) fn read(file: &str) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|source| CommandError::File { file: file.to_owned(), source })
}

/// The logs of several processes, each named by its file.
pub(crate) fn logs(files: &[String]) -> Result<Log, CommandError> {
    let mut log = Log::default();
    for file in files {
        let name =
            Path::new(file).file_stem().map_or(file.as_str().into(), |it| it.to_string_lossy());
        log.add(&name, &read(file)?);
    }
    Ok(log)
}

pub(crate) fn client(file: &str) -> Result<ClientSettings, CommandError> {
    Ok(ClientSettings::parse(file, &read(file)?)?)
}
