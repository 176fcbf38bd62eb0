//! The compiled form of the operators' configuration.

use citronrill_base::{EndpointKey, Map, ModelKey, OrgKey, ServiceKey};

use crate::{
    error::{ConfigError, ConfigErrors, Problem},
    fields::{Fields, Value},
    ini::{Section, parse},
    keys::ApiKeyHash,
    registry::Registry,
};

/// Maximum number of replicas if the model's section does not set it.
const DEFAULT_REPLICAS: u64 = 1;
/// Deadline of a request in milliseconds if neither the caller nor the service sets one.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Limit of waiting requests per model if the service does not set it.
const DEFAULT_QUEUE_LIMIT: u64 = 1_000;
/// Assumed speed of the disk cache relative to the weight store if no load time is configured.
const DISK_SPEEDUP: u64 = 3;
/// Assumed speed of the RAM cache relative to the weight store if no load time is configured.
const RAM_SPEEDUP: u64 = 12;
const SECTION_KINDS: &str = "pool, organisation, service, model, adapter, endpoint";

/// The priority class of a service's requests. Classes are served in the order given here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Interactive requests: a person is waiting.
    Urgent,
    /// The default.
    Normal,
    /// Background requests, which may wait but must not be lost.
    Batch,
}

impl Value for Class {
    const EXPECTED: &'static str = "`urgent`, `normal` or `batch`";
    fn parse(text: &str) -> Option<Class> {
        match text {
            "urgent" => Some(Class::Urgent),
            "normal" => Some(Class::Normal),
            "batch" => Some(Class::Batch),
            _ => None,
        }
    }
}

/// The kind of endpoint that serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain endpoints, to which method, headers and body are passed through.
    Plain,
}

impl Value for ServiceKind {
    const EXPECTED: &'static str = "`model` or `plain`";
    fn parse(text: &str) -> Option<ServiceKind> {
        match text {
            "model" => Some(ServiceKind::Model),
            "plain" => Some(ServiceKind::Plain),
            _ => None,
        }
    }
}

/// Calls that must not be repeated, by method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPattern {
    /// The HTTP method, in upper case.
    pub verb: String,
    /// The prefix of the path, beginning with `/`.
    pub path_prefix: String,
}

/// Limits that all organisations share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Loads that the weight store can start per second.
    pub loads_per_second: u64,
    /// Concurrent loads that the weight store can serve at full speed.
    pub concurrent_loads: u64,
}

/// An organisation.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// The organisation's name.
    pub name: String,
    /// Accelerator memory that its models may use, in MB.
    pub share_mb: u64,
    /// Cost weight of an hour of cold-start delay.
    pub cold_weight: u64,
    /// Cost weight of an idle accelerator hour.
    pub idle_weight: u64,
    /// Hashes of its API keys.
    pub keys: Vec<ApiKeyHash>,
}

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The organisation that owns the service.
    pub org: OrgKey,
    /// The kind of endpoint that serves it.
    pub kind: ServiceKind,
    /// The priority class of its requests.
    pub class: Class,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Limit of waiting requests per model, or of the whole service if it is plain, at each entry.
    pub queue: u64,
    /// Whether a call to a model may be sent twice.
    pub repeatable: bool,
    /// Services that this service calls.
    pub depends: Vec<ServiceKey>,
    /// The plain endpoints.
    pub endpoints: Vec<EndpointKey>,
    /// Calls to plain endpoints that must not be repeated.
    pub unrepeatable: Vec<CallPattern>,
}

/// A model or adapter.
#[derive(Debug, Clone)]
pub struct Model {
    /// The model's name.
    pub name: String,
    /// The service that the model belongs to.
    pub service: ServiceKey,
    /// The organisation against whose memory share the model counts.
    pub org: OrgKey,
    /// The base model, for an adapter.
    pub base: Option<ModelKey>,
    /// Memory that the loaded model uses, including its KV cache, in MB.
    pub memory_mb: u64,
    /// Memory that the model uses while loading, in MB; at least `memory_mb`.
    pub peak_mb: u64,
    /// Load time from the weight store, in milliseconds.
    pub remote_ms: u64,
    /// Load time from an endpoint's disk cache, in milliseconds.
    pub disk_ms: u64,
    /// Load time from an endpoint's RAM cache, in milliseconds.
    pub ram_ms: u64,
    /// Maximum number of replicas.
    pub replicas: u64,
    /// Number of services that depend on the model's service.
    pub dependants: u64,
}

/// The configuration of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Whether the engine refuses an order with an outdated fencing token.
    pub fencing: bool,
}

/// A validated configuration.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// The version under which the configuration was accepted; 0 for the empty catalogue.
    pub version: u64,
    /// Limits that all organisations share.
    pub pool: Pool,
    /// The organisations.
    pub organisations: Map<OrgKey, Organisation>,
    /// The services.
    pub services: Map<ServiceKey, Service>,
    /// The models and adapters.
    pub models: Map<ModelKey, Model>,
    /// The endpoints that have a section.
    pub endpoints: Map<EndpointKey, EndpointSpec>,
}

impl Catalogue {
    /// Returns a catalogue without services and models.
    pub fn empty() -> Catalogue {
        Catalogue {
            version: 0,
            pool: Pool { loads_per_second: 1, concurrent_loads: 1 },
            organisations: Map::default(),
            services: Map::default(),
            models: Map::default(),
            endpoints: Map::default(),
        }
    }

    /// Validates and compiles `text`.
    ///
    /// # Errors
    /// All problems of the configuration, each with file, line, section and key.
    pub fn compile(
        file: &str,
        text: &str,
        version: u64,
        registry: &mut Registry,
    ) -> Result<Catalogue, ConfigErrors> {
        let mut errors = Vec::new();
        let sections = parse(file, text, &mut errors);
        let mut builder = CatalogueBuilder {
            file,
            registry,
            errors: &mut errors,
            catalogue: Catalogue { version, ..Catalogue::empty() },
            service_sections: Map::default(),
            pool_seen: false,
        };
        for pass in [1, 2, 3, 4] {
            for section in &sections {
                builder.read(section, pass);
            }
        }
        builder.check();
        let catalogue = builder.catalogue;
        errors.sort_by_key(|error| error.line);
        if errors.is_empty() { Ok(catalogue) } else { Err(ConfigErrors(errors)) }
    }

    /// Returns the organisation of an API key. Always compares all keys, each in constant time.
    pub fn organisation_of(&self, hash: &ApiKeyHash) -> Option<OrgKey> {
        let mut found = None;
        for (key, org) in &self.organisations {
            for known in &org.keys {
                if known.matches(hash) {
                    found = Some(*key);
                }
            }
        }
        found
    }
}

struct CatalogueBuilder<'a> {
    file: &'a str,
    registry: &'a mut Registry,
    errors: &'a mut Vec<ConfigError>,
    catalogue: Catalogue,
    service_sections: Map<ServiceKey, Section>,
    pool_seen: bool,
}

impl CatalogueBuilder<'_> {
    /// Reads a section in the pass of its kind. Sections are read after the kinds that they refer to.
    fn read(&mut self, section: &Section, pass: u8) {
        match (section.kind.as_str(), pass) {
            ("pool", 1) => self.pool(section),
            ("organisation", 1) => self.organisation(section),
            ("endpoint", 1) => self.endpoint(section),
            ("service", 2) => self.service(section),
            ("model", 3) => self.model(section, false),
            ("adapter", 4) => self.model(section, true),
            ("pool" | "organisation" | "endpoint" | "service" | "model" | "adapter", _) => {}
            (_, 1) => self.fail(section, Problem::UnknownSection(SECTION_KINDS)),
            _ => {}
        }
        if pass == 1 && section.kind != "pool" && section.name.is_empty() {
            self.fail(section, Problem::SectionName("a name after the kind"));
        }
    }

    fn fail(&mut self, section: &Section, problem: Problem) {
        self.errors.push(ConfigError {
            file: self.file.to_owned(),
            line: section.line,
            section: section.header(),
            key: String::new(),
            problem,
        });
    }

    fn pool(&mut self, section: &Section) {
        self.pool_seen = true;
        let mut fields = Fields::new(self.file, section, self.errors);
        let loads_per_second = fields.required::<u64>("loads_second").unwrap_or(1).max(1);
        let concurrent_loads = fields.required::<u64>("loads_once").unwrap_or(1).max(1);
        fields.finish();
        self.catalogue.pool = Pool { loads_per_second, concurrent_loads };
    }

    fn organisation(&mut self, section: &Section) {
        let mut fields = Fields::new(self.file, section, self.errors);
        let share_mb = fields.required("share_mb").unwrap_or(0);
        let cold_weight = fields.or("cold_weight", 1);
        let idle_weight = fields.or("idle_weight", 1);
        let mut keys = Vec::new();
        for entry in fields.prefixed("key.") {
            match ApiKeyHash::parse(&entry.value) {
                Some(hash) => keys.push(hash),
                None => fields.fail(
                    &entry.key,
                    Problem::Value { expected: ApiKeyHash::EXPECTED, found: "...".to_owned() },
                ),
            }
        }
        fields.finish();
        let key = self.registry.organisations.intern(&section.name);
        let name = section.name.clone();
        let org = Organisation { name, share_mb, cold_weight, idle_weight, keys };
        self.catalogue.organisations.insert(key, org);
    }

    fn endpoint(&mut self, section: &Section) {
        let mut fields = Fields::new(self.file, section, self.errors);
        let fencing = fields.or("fencing", false);
        fields.finish();
        let key = self.registry.endpoints.intern(&section.name);
        self.catalogue.endpoints.insert(key, EndpointSpec { fencing });
    }

    fn service(&mut self, section: &Section) {
        let mut fields = Fields::new(self.file, section, self.errors);
        let org_name = fields.required::<String>("organisation").unwrap_or_default();
        let org = self.registry.organisations.intern(&org_name);
        if !org_name.is_empty() && !self.catalogue.organisations.contains_key(&org) {
            let name = org_name;
            fields.fail("organisation", Problem::UnknownReference { kind: "organisation", name });
        }
        let kind = fields.or("kind", ServiceKind::Model);
        let class = fields.or("class", Class::Normal);
        let deadline_ms = fields.or("deadline_ms", DEFAULT_DEADLINE_MS).max(1);
        let queue = fields.or("queue", DEFAULT_QUEUE_LIMIT).max(1);
        let repeatable = fields.or("repeatable", true);
        let depends = fields.list("depends");
        let endpoints = fields.list("endpoints");
        if kind == ServiceKind::Plain && endpoints.is_empty() {
            fields.fail("endpoints", Problem::Missing("the names of the plain endpoints"));
        }
        let unrepeatable = fields.list("unrepeatable");
        let mut patterns = Vec::new();
        for text in unrepeatable {
            match parse_call_pattern(&text) {
                Some(pattern) => patterns.push(pattern),
                None => fields.fail(
                    "unrepeatable",
                    Problem::Value { expected: "`METHOD /path`, with commas", found: text },
                ),
            }
        }
        fields.finish();
        let depends = depends.iter().map(|name| self.registry.services.intern(name)).collect();
        let endpoints = endpoints.iter().map(|name| self.registry.endpoints.intern(name)).collect();
        let key = self.registry.services.intern(&section.name);
        self.service_sections.insert(key, section.clone());
        let service = Service {
            name: section.name.clone(),
            org,
            kind,
            class,
            deadline_ms,
            queue,
            repeatable,
            depends,
            endpoints,
            unrepeatable: patterns,
        };
        self.catalogue.services.insert(key, service);
    }

    fn model(&mut self, section: &Section, adapter: bool) {
        let mut fields = Fields::new(self.file, section, self.errors);
        let base_name = if adapter { fields.required::<String>("base") } else { None };
        let base = base_name.as_ref().map(|name| self.registry.models.intern(name));
        let base_model = base.and_then(|key| self.catalogue.models.get(&key)).cloned();
        if let (Some(name), None) = (&base_name, &base_model) {
            fields.fail("base", Problem::UnknownReference { kind: "model", name: name.clone() });
        }
        let service_name = match &base_model {
            Some(model) => {
                let inherited = self.registry.services.name(model.service).to_owned();
                fields.or("service", inherited)
            }
            None if adapter => fields.or("service", String::new()),
            None => fields.required::<String>("service").unwrap_or_default(),
        };
        let service = self.registry.services.intern(&service_name);
        let owner = self.catalogue.services.get(&service);
        if owner.is_none() && !service_name.is_empty() {
            let name = service_name;
            fields.fail("service", Problem::UnknownReference { kind: "service", name });
        }
        let memory_mb = fields.required("memory_mb").unwrap_or(1).max(1);
        let peak_mb = fields.or("peak_mb", memory_mb).max(memory_mb);
        let remote_ms = fields.required("load_ms").unwrap_or(1).max(1);
        let disk_ms = fields.or("load_disk_ms", remote_ms.div_ceil(DISK_SPEEDUP));
        let ram_ms = fields.or("load_ram_ms", remote_ms.div_ceil(RAM_SPEEDUP));
        let replicas = fields.or("replicas", DEFAULT_REPLICAS).max(1);
        fields.finish();
        let org =
            owner.map_or_else(|| self.registry.organisations.intern(""), |service| service.org);
        let key = self.registry.models.intern(&section.name);
        let name = section.name.clone();
        let model = Model {
            name,
            service,
            org,
            base,
            memory_mb,
            peak_mb,
            remote_ms,
            disk_ms,
            ram_ms,
            replicas,
            dependants: 0,
        };
        if self.catalogue.models.insert(key, model).is_some() {
            self.fail(section, Problem::SectionName("a name that no other model or adapter has"));
        }
    }

    fn check(&mut self) {
        if !self.pool_seen {
            self.errors.push(ConfigError {
                file: self.file.to_owned(),
                line: 0,
                section: "pool".to_owned(),
                key: String::new(),
                problem: Problem::MissingSection,
            });
        }
        for (key, section) in std::mem::take(&mut self.service_sections) {
            self.check_dependencies(key, &section);
        }
        self.count_dependants();
    }

    fn check_dependencies(&mut self, key: ServiceKey, section: &Section) {
        let mut pending = self.catalogue.services[&key].depends.clone();
        let mut seen = Vec::new();
        while let Some(next) = pending.pop() {
            let name = self.registry.services.name(next).to_owned();
            let mut fields = Fields::new(self.file, section, self.errors);
            if next == key {
                return fields.fail("depends", Problem::Cycle(name));
            }
            match self.catalogue.services.get(&next) {
                None => {
                    return fields
                        .fail("depends", Problem::UnknownReference { kind: "service", name });
                }
                Some(service) if !seen.contains(&next) => {
                    seen.push(next);
                    pending.extend(&service.depends);
                }
                Some(_) => {}
            }
        }
    }

    fn count_dependants(&mut self) {
        let mut counts: Map<ServiceKey, u64> = Map::default();
        for service in self.catalogue.services.values() {
            for depends in &service.depends {
                *counts.entry(*depends).or_default() += 1;
            }
        }
        for model in self.catalogue.models.values_mut() {
            model.dependants = counts.get(&model.service).copied().unwrap_or(0);
        }
    }
}

fn parse_call_pattern(text: &str) -> Option<CallPattern> {
    let (verb, path) = text.split_once(' ')?;
    let path = path.trim();
    let verb_valid = !verb.is_empty() && verb.bytes().all(|byte| byte.is_ascii_uppercase());
    (verb_valid && path.starts_with('/'))
        .then(|| CallPattern { verb: verb.to_owned(), path_prefix: path.to_owned() })
}
