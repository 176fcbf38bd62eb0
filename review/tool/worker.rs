//! A worker: its health, its report, orders, calls and event streams.
//!
//! It runs as a process of its own, so that a case can kill it. It writes a line to its output for each
//! request that begins to run.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    deployment::MODEL_MB,
    http::{Connection, Head, response},
    json,
};

/// Bytes of the answer to a call.
const CALL_BYTES: usize = 800;
/// Parts in which the answer to a call is written, as it is made.
const CALL_PARTS: usize = 4;
/// Duration of a call.
const CALL_TIME: Duration = Duration::from_millis(80);
/// Events of a stream.
pub const EVENTS: u32 = 14;
/// Time between two events.
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Duration of the load of a model from the weight store, and from the worker's disk.
const LOAD_TIME: Duration = Duration::from_secs(6);
const DISK_LOAD_TIME: Duration = Duration::from_secs(1);

/// What a worker is, as its command line says.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    pub address: SocketAddr,
    pub id: String,
    pub slots: u32,
    /// The models that it holds; a worker without any runs calls.
    pub models: Vec<String>,
    /// Whether its answers have no length and end with their channel.
    pub unframed: bool,
    /// The Unix millisecond of its start.
    pub born: u128,
    /// Memory for models.
    pub weights_mb: u32,
}

impl WorkerSpec {
    pub fn arguments(&self) -> Vec<String> {
        let models = self.models.join(",");
        let (address, slots) = (self.address.to_string(), self.slots.to_string());
        let (unframed, born) = (self.unframed.to_string(), self.born.to_string());
        let weights_mb = self.weights_mb.to_string();
        vec![address, self.id.clone(), slots, models, unframed, born, weights_mb]
    }

    fn parse(arguments: &[String]) -> Option<WorkerSpec> {
        let [address, id, slots, models, unframed, born, weights_mb] = arguments else {
            return None;
        };
        let models = models.split(',').filter(|model| !model.is_empty());
        Some(WorkerSpec {
            address: address.parse().ok()?,
            id: id.clone(),
            slots: slots.parse().ok()?,
            models: models.map(str::to_owned).collect(),
            unframed: unframed == "true",
            born: born.parse().ok()?,
            weights_mb: weights_mb.parse().ok()?,
        })
    }
}

#[derive(Default)]
struct Engine {
    /// The models that it holds, with their adapters.
    models: BTreeMap<String, Vec<String>>,
    /// The models that it has held.
    on_disk: BTreeSet<String>,
    busy: bool,
    sequence: u64,
}

struct Worker {
    spec: WorkerSpec,
    active: AtomicU64,
    engine: Mutex<Engine>,
}

/// Runs a worker until its process is killed.
pub fn run(arguments: &[String]) -> io::Result<()> {
    let spec = WorkerSpec::parse(arguments).ok_or(io::ErrorKind::InvalidInput)?;
    let listener = TcpListener::bind(spec.address)?;
    let models = spec.models.iter().map(|model| (model.clone(), Vec::new())).collect();
    let on_disk = spec.models.iter().cloned().collect();
    let engine = Mutex::new(Engine { models, on_disk, ..Engine::default() });
    let worker = Arc::new(Worker { spec, active: AtomicU64::new(0), engine });
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        thread::spawn(move || worker.serve(stream));
    }
    Ok(())
}

/// Returns the whole answer to the call with this ID.
pub fn call_answer(id: &str) -> Vec<u8> {
    format!("answer to {id};").bytes().cycle().take(CALL_BYTES).collect()
}

/// Returns an event of the stream with this ID.
fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: piece {number} of {id}\n\n")
}

/// Returns all events of the stream with this ID.
pub fn stream_answer(id: &str) -> Vec<u8> {
    (1..=EVENTS).flat_map(|number| event(id, number).into_bytes()).collect()
}

impl Worker {
    fn serve(self: &Arc<Self>, stream: std::net::TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else { return };
        while let Ok(Some(head)) = connection.read_head() {
            let body = connection.read_request_body(&head);
            let keep = match self.answer(&mut connection, &head, &body.bytes) {
                Ok(keep) => keep,
                Err(_) => return,
            };
            if !keep {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection goes on.
    fn answer(
        self: &Arc<Self>,
        connection: &mut Connection,
        head: &Head,
        body: &[u8],
    ) -> io::Result<bool> {
        let (_, target) = head.request_line();
        let name = format!("X-Citronrill-Instance-Id: {}\r\n", self.spec.id);
        if head.get("x-citronrill-expect-instance").is_some_and(|id| id != self.spec.id) {
            connection.write(&response(421, &name, b""))?;
            return Ok(true);
        }
        match target {
            "/healthz" => connection.write(&response(200, &name, b""))?,
            "/api/report" => connection.write(&response(200, &name, self.report().as_bytes()))?,
            "/api/order" => {
                let status = self.order(&String::from_utf8_lossy(body));
                connection.write(&response(status, &name, b""))?;
            }
            _ => return self.work(connection, head),
        }
        Ok(true)
    }

    fn lock(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> String {
        let engine = self.lock();
        let models = engine.models.iter().map(|(name, adapters)| {
            let adapters = adapters.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>();
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}", adapters.join(","))
        });
        let models = models.collect::<Vec<_>>().join(",");
        let on_disk = engine.on_disk.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>();
        let on_disk = on_disk.join(",");
        let (busy, sequence) = (engine.busy, engine.sequence);
        let active = self.active.load(Ordering::Relaxed);
        let born = self.spec.born;
        format!(
            "{{\"stage\":\"mixed\",\"models\":[{models}],\
             \"available\":{{\"in_memory\":[],\"on_disk\":[{on_disk}]}},\"busy\":{busy},\
             \"sequence\":{sequence},\"queued\":0,\"active\":{active},\"kv_used\":0,\
             \"kv_total\":200000,\"handles\":0,\"born\":{born}}}"
        )
    }

    /// Accepts or refuses an order; returns the status.
    fn order(self: &Arc<Self>, body: &str) -> u16 {
        let Some(order) = json::parse(body) else { return 400 };
        let field = |name: &str| order.get(name).map(|value| value.text().to_owned());
        let (Some(operation), Some(model)) = (field("operation"), field("model")) else {
            return 400;
        };
        if field("holder").is_none() || field("fencing_token").is_none() {
            return 400;
        }
        let mut engine = self.lock();
        let expected = field("expected_revision").and_then(|text| text.parse::<u64>().ok());
        if engine.busy || expected.is_some_and(|expected| expected != engine.sequence) {
            return 409;
        }
        engine.sequence += 1;
        let adapter = field("adapter").filter(|adapter| !adapter.is_empty());
        if let (Some(adapter), Some(held)) = (adapter, engine.models.get_mut(&model)) {
            held.retain(|name| *name != adapter);
            if operation == "load" {
                held.push(adapter);
            }
            return 202;
        }
        if operation == "evict" {
            println!("order {operation} {model} at {}", self.spec.id);
            engine.models.remove(&model);
        } else if !engine.models.contains_key(&model) {
            let held = engine.models.len() as u32 * MODEL_MB;
            println!("order {operation} {model} at {} which holds {held} MB", self.spec.id);
            if held + MODEL_MB > self.spec.weights_mb {
                println!(
                    "BROKEN worker {} of {} MB is ordered to load {model}: {} MB",
                    self.spec.id,
                    self.spec.weights_mb,
                    held + MODEL_MB
                );
                // A worker that is ordered to load more than it holds crashes.
                std::process::exit(1);
            }
            engine.busy = true;
            let known = engine.on_disk.contains(&model);
            let time = if known { DISK_LOAD_TIME } else { LOAD_TIME };
            let worker = self.clone();
            thread::spawn(move || worker.finish_load(model, time));
        }
        202
    }

    /// Ends a load after its time.
    fn finish_load(&self, model: String, time: Duration) {
        thread::sleep(time);
        let mut engine = self.lock();
        engine.on_disk.insert(model.clone());
        engine.models.insert(model, Vec::new());
        engine.busy = false;
    }

    /// Runs a request.
    fn work(&self, connection: &mut Connection, head: &Head) -> io::Result<bool> {
        let Some(id) = head.get("x-citronrill-attempt-id").map(str::to_owned) else {
            connection.write(&response(400, "X-Citronrill-Not-Executed: 1\r\n", b""))?;
            return Ok(true);
        };
        let absent =
            head.get("x-citronrill-model").filter(|model| !self.lock().models.contains_key(*model));
        if absent.is_some() {
            let name = format!("X-Citronrill-Instance-Id: {}\r\n", self.spec.id);
            connection.write(&response(421, &name, b""))?;
            return Ok(true);
        }
        println!("run {id} at {}", self.spec.id);
        let running = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        let result = self.run_request(connection, head, &id, running);
        self.active.fetch_sub(1, Ordering::Relaxed);
        result.map(|()| !self.spec.unframed)
    }

    fn run_request(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        running: u64,
    ) -> io::Result<()> {
        let stream = head.get("x-citronrill-model").is_some();
        let kind = if stream { "text/event-stream" } else { "application/octet-stream" };
        let framing = match (self.spec.unframed, stream) {
            (true, _) => "Connection: close\r\n".to_owned(),
            (false, true) => "Transfer-Encoding: chunked\r\n".to_owned(),
            (false, false) => format!("Content-Length: {CALL_BYTES}\r\n"),
        };
        let head_text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nX-Citronrill-Attempt-Id: {id}\r\n\
             X-Citronrill-Instance-Id: {}\r\nX-Citronrill-Server-Signature: {id}.0\r\n\
             X-Citronrill-Server-Load: {running},0,{}\r\n{framing}\r\n",
            self.spec.id, self.spec.slots
        );
        if stream {
            let first =
                head.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
            connection.write(head_text.as_bytes())?;
            for number in first..=EVENTS {
                thread::sleep(EVENT_TIME);
                self.write_part(connection, event(id, number).as_bytes())?;
            }
            if !self.spec.unframed {
                connection.write(b"0\r\n\r\n")?;
            }
            return Ok(());
        }
        connection.write(head_text.as_bytes())?;
        for part in call_answer(id).chunks(CALL_BYTES / CALL_PARTS) {
            thread::sleep(CALL_TIME / CALL_PARTS as u32);
            connection.write(part)?;
        }
        Ok(())
    }

    fn write_part(&self, connection: &mut Connection, part: &[u8]) -> io::Result<()> {
        if self.spec.unframed {
            return connection.write(part);
        }
        let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        connection.write(&chunk)
    }
}
