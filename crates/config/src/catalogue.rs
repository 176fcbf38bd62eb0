//! The operators' text, compiled.

use citronrill_base::{EndpointKey, Map, ModelKey, OrgKey, ServiceKey};

use crate::{
    error::{ConfigError, ConfigErrors, Problem},
    fields::{Fields, Value},
    ini::{Section, parse},
    keys::ApiKeyHash,
    registry::Registry,
};

/// Replicas a model may have when its section does not say.
const DEFAULT_REPLICAS: u64 = 1;
/// Milliseconds a request may take when neither the caller nor the service says.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Waiting requests per model and organisation when the service does not say.
const DEFAULT_QUEUE: u64 = 1_000;
/// How much faster the disk cache is than the weight store, when the text does not say.
const DISK_SPEEDUP: u64 = 3;
/// How much faster the memory cache is than the weight store, when the text does not say.
const RAM_SPEEDUP: u64 = 12;
const SECTION_KINDS: &str = "pool, organisation, service, model, adapter, endpoint";

/// How urgent the requests of a service are; the smaller is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A person waits at a counter or in a chat.
    Urgent,
    /// The ordinary kind.
    Normal,
    /// May wait, but must not vanish.
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

/// What serves a service's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain endpoints, with method, headers and body passed through.
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

/// A call that may not be repeated: method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Method {
    /// The HTTP method in capitals.
    pub verb: String,
    /// The start of the path, from `/`.
    pub path: String,
}

/// What all organisations share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Loads the weight store starts a second.
    pub loads_second: u64,
    /// Loads the weight store carries at once at full speed.
    pub loads_once: u64,
}

/// One organisation.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Accelerator memory it may hold, in MB.
    pub share_mb: u64,
    /// How much an hour of cold start delay weighs.
    pub cold_weight: u64,
    /// How much an idle accelerator hour weighs.
    pub idle_weight: u64,
    /// Hashes of its API keys.
    pub keys: Vec<ApiKeyHash>,
}

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whose it is.
    pub org: OrgKey,
    /// What serves it.
    pub kind: ServiceKind,
    /// How urgent its requests are.
    pub class: Class,
    /// Milliseconds a request may take.
    pub deadline_ms: u64,
    /// Waiting requests per model.
    pub queue: u64,
    /// Whether a model's call may be sent twice.
    pub repeatable: bool,
    /// Services this one calls.
    pub depends: Vec<ServiceKey>,
    /// Plain endpoints.
    pub endpoints: Vec<EndpointKey>,
    /// Plain calls that may not be repeated.
    pub unrepeatable: Vec<Method>,
}

/// One model or adapter.
#[derive(Debug, Clone)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: ServiceKey,
    /// Whose memory share it counts against.
    pub org: OrgKey,
    /// The model that an adapter needs beneath it.
    pub base: Option<ModelKey>,
    /// Memory when loaded, with room for its KV cache, in MB.
    pub memory_mb: u64,
    /// Memory while loading, in MB; never below `memory_mb`.
    pub peak_mb: u64,
    /// Load time from the weight store, in milliseconds.
    pub remote_ms: u64,
    /// Load time from an endpoint's disk cache, in milliseconds.
    pub disk_ms: u64,
    /// Load time from an endpoint's memory cache, in milliseconds.
    pub ram_ms: u64,
    /// Replicas at most.
    pub replicas: u64,
    /// How many services depend on its service.
    pub dependants: u64,
}

/// What the text says of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Whether the engine refuses an order with an old fencing number.
    pub fencing: bool,
}

/// A checked text.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// The version under which the text was accepted; 0 before any.
    pub version: u64,
    /// What all share.
    pub pool: Pool,
    /// Organisations.
    pub organisations: Map<OrgKey, Organisation>,
    /// Services.
    pub services: Map<ServiceKey, Service>,
    /// Models and adapters.
    pub models: Map<ModelKey, Model>,
    /// Endpoints with a section.
    pub endpoints: Map<EndpointKey, EndpointSpec>,
}

impl Catalogue {
    /// A catalogue in which nothing is served.
    pub fn empty() -> Catalogue {
        Catalogue {
            version: 0,
            pool: Pool { loads_second: 1, loads_once: 1 },
            organisations: Map::default(),
            services: Map::default(),
            models: Map::default(),
            endpoints: Map::default(),
        }
    }

    /// Checks `text` and compiles it.
    ///
    /// # Errors
    /// Every problem of the text, each with file, line, section and key.
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
            lines: Map::default(),
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

    /// Whose key this is. All keys are compared, each in constant time.
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
    lines: Map<ServiceKey, Section>,
    pool_seen: bool,
}

impl CatalogueBuilder<'_> {
    /// Reads a section in the pass that its kind belongs to: what is named comes before what names.
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
        let loads_second = fields.required::<u64>("loads_second").unwrap_or(1).max(1);
        let loads_once = fields.required::<u64>("loads_once").unwrap_or(1).max(1);
        fields.finish();
        self.catalogue.pool = Pool { loads_second, loads_once };
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
            fields.fail("organisation", Problem::Dangling { kind: "organisation", name });
        }
        let kind = fields.or("kind", ServiceKind::Model);
        let class = fields.or("class", Class::Normal);
        let deadline_ms = fields.or("deadline_ms", DEFAULT_DEADLINE_MS).max(1);
        let queue = fields.or("queue", DEFAULT_QUEUE).max(1);
        let repeatable = fields.or("repeatable", true);
        let depends = fields.list("depends");
        let endpoints = fields.list("endpoints");
        if kind == ServiceKind::Plain && endpoints.is_empty() {
            fields.fail("endpoints", Problem::Missing("the names of the plain endpoints"));
        }
        let unrepeatable = fields.list("unrepeatable");
        let mut methods = Vec::new();
        for text in unrepeatable {
            match parse_method(&text) {
                Some(method) => methods.push(method),
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
        self.lines.insert(key, section.clone());
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
            unrepeatable: methods,
        };
        self.catalogue.services.insert(key, service);
    }

    fn model(&mut self, section: &Section, adapter: bool) {
        let mut fields = Fields::new(self.file, section, self.errors);
        let base_name = if adapter { fields.required::<String>("base") } else { None };
        let base = base_name.as_ref().map(|name| self.registry.models.intern(name));
        let base_model = base.and_then(|key| self.catalogue.models.get(&key)).cloned();
        if let (Some(name), None) = (&base_name, &base_model) {
            fields.fail("base", Problem::Dangling { kind: "model", name: name.clone() });
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
            fields.fail("service", Problem::Dangling { kind: "service", name });
        }
        let memory_mb = fields.required("memory_mb").unwrap_or(1).max(1);
        let peak_mb = fields.or("peak_mb", memory_mb).max(memory_mb);
        let remote_ms = fields.required("load_ms").unwrap_or(1).max(1);
        let disk_ms = fields.or("load_disk_ms", remote_ms.div_ceil(DISK_SPEEDUP));
        let ram_ms = fields.or("load_ram_ms", remote_ms.div_ceil(RAM_SPEEDUP));
        let replicas = fields.or("replicas", DEFAULT_REPLICAS).max(1);
        fields.finish();
        let org = owner.map_or_else(|| self.registry.organisations.intern(""), |it| it.org);
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
            self.fail(section, Problem::SectionName("a name that no model or adapter has"));
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
        for (key, section) in std::mem::take(&mut self.lines) {
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
                    return fields.fail("depends", Problem::Dangling { kind: "service", name });
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

fn parse_method(text: &str) -> Option<Method> {
    let (verb, path) = text.split_once(' ')?;
    let path = path.trim();
    let verb_fits = !verb.is_empty() && verb.bytes().all(|byte| byte.is_ascii_uppercase());
    (verb_fits && path.starts_with('/'))
        .then(|| Method { verb: verb.to_owned(), path: path.to_owned() })
}
