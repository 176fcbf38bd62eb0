//! Settings of a process.

use std::net::SocketAddr;

use crate::{
    error::{ConfigError, ConfigErrors, Problem},
    fields::{Fields, Value},
    ini::{Section, parse},
};

/// Timeout of a planned stop in seconds if the settings do not set it.
const DEFAULT_STOP_S: u64 = 30;
const SETTING_KINDS: &str = "instance, platform, and entry, side or client; in a pool: process, \
                             listen, platform, endpoint and retry";
/// Limit of a request body in bytes if the settings do not set it.
const DEFAULT_BODY_LIMIT: u64 = 8 << 20;
/// Concurrent requests of an engine if the settings do not set them.
const DEFAULT_SLOTS: u64 = 16;
/// Concurrent requests of an entry if the settings do not set them.
const DEFAULT_REQUEST_LIMIT: u64 = 10_000;

/// Addresses of the platform services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The transactional table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of live and leaving instances.
    pub instances: SocketAddr,
}

/// Settings that both roles need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The instance's name, unique in the deployment.
    pub instance: String,
    /// The availability zone.
    pub zone: String,
    /// The address at which the process listens for peers.
    pub listen: SocketAddr,
    /// The secret that the processes of the deployment share; never logged.
    pub secret: String,
    /// Timeout of a planned stop, in seconds.
    pub stop_s: u64,
    /// The platform's services.
    pub platform: PlatformSettings,
}

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The settings that both roles need.
    pub common: Settings,
    /// The address at which the process listens for callers.
    pub http: SocketAddr,
    /// Limit of a request body, in bytes.
    pub body_limit: u64,
    /// Limit of concurrent requests.
    pub request_limit: u64,
}

/// The kind of endpoint that a side process serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SideKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

impl Value for SideKind {
    const EXPECTED: &'static str = "`engine` or `plain`";
    fn parse(text: &str) -> Option<SideKind> {
        match text {
            "engine" => Some(SideKind::Engine),
            "plain" => Some(SideKind::Plain),
            _ => None,
        }
    }
}

/// Settings of a side process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideSettings {
    /// The settings that both roles need.
    pub common: Settings,
    /// The endpoint's name.
    pub endpoint: String,
    /// The address at which the endpoint listens.
    pub target: SocketAddr,
    /// The kind of endpoint.
    pub kind: SideKind,
    /// Accelerator memory, in MB.
    pub memory_mb: u64,
    /// Limit of concurrent requests of the endpoint.
    pub slots: u64,
    /// Whether the engine refuses an order with an outdated fencing token.
    pub fencing: bool,
}

impl EntrySettings {
    /// Parses and validates the settings of an entry.
    ///
    /// # Errors
    /// All problems, each with file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<EntrySettings, ConfigErrors> {
        read(file, text, "entry", |common, fields| {
            Some(EntrySettings {
                common,
                http: fields.required("http")?,
                body_limit: fields.or("body_limit", DEFAULT_BODY_LIMIT),
                request_limit: fields.or("request_limit", DEFAULT_REQUEST_LIMIT),
            })
        })
    }
}

impl SideSettings {
    /// Parses and validates the settings of a side process.
    ///
    /// # Errors
    /// All problems, each with file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<SideSettings, ConfigErrors> {
        read(file, text, "side", |common, fields| {
            let endpoint = fields.required("endpoint");
            let target = fields.required("target");
            let kind = fields.or("kind", SideKind::Engine);
            let memory_mb = match kind {
                SideKind::Engine => fields.required("memory_mb"),
                SideKind::Plain => Some(fields.or("memory_mb", 0)),
            };
            Some(SideSettings {
                common,
                endpoint: endpoint?,
                target: target?,
                kind,
                memory_mb: memory_mb?,
                slots: fields.or("slots", DEFAULT_SLOTS).max(1),
                fencing: fields.or("fencing", false),
            })
        })
    }
}

/// Settings of the operators' client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientSettings {
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The secret that the processes of the deployment share.
    pub secret: String,
    /// The address of an entry for callers.
    pub http: SocketAddr,
    /// The API key for requests.
    pub key: String,
}

impl ClientSettings {
    /// Parses and validates the settings of the operators' client.
    ///
    /// # Errors
    /// All problems, each with file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<ClientSettings, ConfigErrors> {
        let mut reader = Reader::new(file, text, &["platform", "client"], &[]);
        let platform = read_platform(reader.fields("platform"));
        let mut fields = reader.fields("client");
        let secret = fields.required("secret");
        let http = fields.required("http");
        let key = fields.required("key");
        fields.finish();
        reader.finish(|| {
            Some(ClientSettings { platform: platform?, secret: secret?, http: http?, key: key? })
        })
    }
}

/// Reads the three sections of a process's settings; `read_role` reads the role's section.
fn read<T>(
    file: &str,
    text: &str,
    kind: &'static str,
    read_role: impl FnOnce(Settings, &mut Fields<'_>) -> Option<T>,
) -> Result<T, ConfigErrors> {
    let mut reader = Reader::new(file, text, &["instance", "platform", kind], &[]);
    let platform = read_platform(reader.fields("platform"));
    let common = platform.and_then(|platform| read_instance(reader.fields("instance"), platform));
    let mut fields = reader.fields(kind);
    let settings = common.and_then(|common| read_role(common, &mut fields));
    if settings.is_some() {
        fields.finish();
    }
    reader.finish(|| settings)
}

/// The sections of a settings file, with the problems found in them.
pub(crate) struct Reader<'a> {
    file: &'a str,
    sections: Vec<Section>,
    errors: Vec<ConfigError>,
}

impl<'a> Reader<'a> {
    /// Reads a file that must contain all `required` sections and may contain `optional` ones, which
    /// otherwise count as empty.
    pub(crate) fn new(
        file: &'a str,
        text: &str,
        required: &[&'static str],
        optional: &[&'static str],
    ) -> Reader<'a> {
        let mut errors = Vec::new();
        let mut sections = parse(file, text, &mut errors);
        for section in &sections {
            let kind = section.kind.as_str();
            if !required.contains(&kind) && !optional.contains(&kind) {
                let problem = Problem::UnknownSection(SETTING_KINDS);
                errors.push(section_error(file, section.line, &section.header(), problem));
            }
        }
        for kind in required.iter().chain(optional) {
            if sections.iter().any(|section| section.kind == *kind) {
                continue;
            }
            if required.contains(kind) {
                errors.push(section_error(file, 0, kind, Problem::MissingSection));
            }
            let (kind, name) = ((*kind).to_owned(), String::new());
            sections.push(Section { kind, name, line: 0, entries: Vec::new() });
        }
        Reader { file, sections, errors }
    }

    pub(crate) fn fields(&mut self, kind: &str) -> Fields<'_> {
        let section = self.sections.iter().position(|section| section.kind == kind);
        Fields::new(self.file, &self.sections[section.unwrap_or(0)], &mut self.errors)
    }

    pub(crate) fn finish<T>(self, settings: impl FnOnce() -> Option<T>) -> Result<T, ConfigErrors> {
        match settings() {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(ConfigErrors(self.errors)),
        }
    }
}

fn section_error(file: &str, line: usize, section: &str, problem: Problem) -> ConfigError {
    let (file, section) = (file.to_owned(), section.to_owned());
    ConfigError { file, line, section, key: String::new(), problem }
}

fn read_platform(mut fields: Fields<'_>) -> Option<PlatformSettings> {
    let table = fields.required("table");
    let objects = fields.required("objects");
    let instances = fields.required("instances");
    fields.finish();
    Some(PlatformSettings { table: table?, objects: objects?, instances: instances? })
}

fn read_instance(mut fields: Fields<'_>, platform: PlatformSettings) -> Option<Settings> {
    let instance = fields.required("name");
    let zone = fields.required("zone");
    let listen = fields.required("listen");
    let secret = fields.required("secret");
    let stop_s = fields.or("stop_s", DEFAULT_STOP_S);
    fields.finish();
    Some(Settings {
        instance: instance?,
        zone: zone?,
        listen: listen?,
        secret: secret?,
        stop_s,
        platform,
    })
}
