//! The platform's table, object store, instance list and weight store in one process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use citronrill_base::{Outcome, Txn};
use citronrill_http::respond;
use citronrill_platform::{
    Instance, MemoryObjectStore, MemoryTable, ObjectStore, Table, TableChanges, TableCounts,
    TableOutcome, TableRead, TableRow, TableRows, TableTxn,
};
use prost::Message;
use tiny_http::{Method, Request};

use crate::{
    faults::Faults,
    server::{HttpServer, StandinError, read_body},
    weights::{WeightLimits, WeightStore},
};

/// Threads of the server; each load of the weight store occupies one.
const THREADS: usize = 24;

/// The platform's state, shared between [`PlatformStandin`] and the server threads.
pub struct PlatformState {
    table: MemoryTable,
    objects: MemoryObjectStore,
    instances: Mutex<BTreeMap<String, Instance>>,
    weights: WeightStore,
    faults: Faults,
}

/// A running platform stand-in.
pub struct PlatformStandin {
    state: Arc<PlatformState>,
    server: HttpServer,
}

impl PlatformStandin {
    /// Starts the platform on `address`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, limits: WeightLimits) -> Result<Self, StandinError> {
        let state = Arc::new(PlatformState {
            table: MemoryTable::default(),
            objects: MemoryObjectStore::default(),
            instances: Mutex::default(),
            weights: WeightStore::new(limits),
            faults: Faults::default(),
        });
        let shared = state.clone();
        let server =
            HttpServer::start("platform", address, THREADS, move |request| shared.handle(request))?;
        Ok(PlatformStandin { state, server })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the injectable faults.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Returns the weight store.
    pub fn weights(&self) -> &WeightStore {
        &self.state.weights
    }

    /// Returns the number of table operations so far.
    pub fn table_counts(&self) -> TableCounts {
        self.state.table.counts()
    }

    /// Returns all rows of the table, for tests.
    pub fn rows(&self) -> Vec<citronrill_base::Row> {
        self.state.table.rows()
    }

    /// Adds an instance to the list, or updates it.
    pub fn register(&self, instance: Instance) {
        self.state.register(instance);
    }

    /// Removes an instance from the list.
    pub fn deregister(&self, name: &str) {
        self.state.instances().remove(name);
    }
}

impl PlatformState {
    fn instances(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Instance>> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, instance: Instance) {
        self.instances().insert(instance.name.clone(), instance);
    }

    fn handle(&self, mut request: Request) {
        let path = request.url().to_owned();
        let body = read_body(&mut request);
        let is_storage = path.starts_with("/table/") || path.starts_with("/objects/");
        if is_storage && self.faults.unavailable() {
            return answer(request, 503, Vec::new());
        }
        if path.starts_with("/table/") {
            std::thread::park_timeout(Duration::from_millis(self.faults.delay()));
        }
        let (status, bytes) = match (request.method(), path.as_str()) {
            (_, "/table/read") => self.read(&body),
            (_, "/table/changes") => self.changes(&body),
            (_, "/table/commit") => self.commit(&body),
            (Method::Get, "/instances") => self.instance_list(),
            (Method::Put, "/instances") => self.put_instance(&body),
            (Method::Get, path) if path.starts_with("/objects/") => {
                match self.objects.get(&path["/objects/".len()..]) {
                    Ok(Some(bytes)) => (200, bytes),
                    Ok(None) | Err(_) => (404, Vec::new()),
                }
            }
            (Method::Put, path) if path.starts_with("/objects/") => {
                let _ = self.objects.put(&path["/objects/".len()..], &body);
                (200, Vec::new())
            }
            (Method::Get, path) if path.starts_with("/weights/") => self.weights(path),
            _ => (404, Vec::new()),
        };
        answer(request, status, bytes);
    }

    fn read(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Ok(read) = TableRead::decode(body) else { return (400, Vec::new()) };
        let rows = self.table.read(&read.keys).unwrap_or_default();
        let rows = rows.into_iter().map(TableRow::from).collect();
        (200, TableRows { rows, sequence: 0 }.encode_to_vec())
    }

    fn changes(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Ok(request) = TableChanges::decode(body) else { return (400, Vec::new()) };
        let changes = self.table.changes(&request.prefix, request.since, request.limit as usize);
        let changes = changes.unwrap_or_default();
        let rows = changes.rows.into_iter().map(TableRow::from).collect();
        (200, TableRows { rows, sequence: changes.sequence }.encode_to_vec())
    }

    fn commit(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Ok(txn) = TableTxn::decode(body) else { return (400, Vec::new()) };
        let sequence = match self.table.commit(&Txn::from(txn)) {
            Outcome::Committed(sequence) => sequence,
            Outcome::Conflict | Outcome::Unknown => 0,
        };
        if sequence > 0 && self.faults.take_lost_confirmation() {
            return (504, Vec::new());
        }
        (200, TableOutcome { sequence }.encode_to_vec())
    }

    fn instance_list(&self) -> (u16, Vec<u8>) {
        let list = self.instances().values().cloned().collect::<Vec<_>>();
        (200, serde_json::to_vec(&list).unwrap_or_default())
    }

    fn put_instance(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Ok(instance) = serde_json::from_slice(body) else { return (400, Vec::new()) };
        self.register(instance);
        (200, Vec::new())
    }

    /// Handles `/weights/MODEL?MILLIS`: answers after the load, or with 429 if it is refused.
    fn weights(&self, path: &str) -> (u16, Vec<u8>) {
        let millis = path.split_once('?').and_then(|(_, millis)| millis.parse().ok());
        if self.weights.load(millis.unwrap_or(0)) { (200, Vec::new()) } else { (429, Vec::new()) }
    }
}

fn answer(request: Request, status: u16, bytes: Vec<u8>) {
    let _ = respond(request, status, &[], &bytes);
}
