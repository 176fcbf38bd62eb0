//! A model engine with memory, loads and caches, which echoes each prompt as its answer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use citronrill_http::{Header, ResponseWriter, respond};
use citronrill_platform::{EngineState, LoadOrder, UnloadOrder};
use serde_json::{Value, json};
use tiny_http::Request;

use crate::server::{HttpServer, StandinError, read_body};

/// Threads of the server; each answer and each load occupies one.
const THREADS: usize = 96;
/// Speedup of a load from the disk cache.
const DISK_SPEEDUP: u64 = 3;
/// Speedup of a load from the RAM cache.
const RAM_SPEEDUP: u64 = 12;
/// Number of models whose weights stay in the RAM cache.
const RAM_CACHE_MODELS: usize = 4;
/// Maximum attempts to load from the weight store while it refuses the load because of its rate
/// limit.
const MAX_LOAD_ATTEMPTS: usize = 20;

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Accelerator memory, in MB.
    pub memory_mb: u64,
    /// Whether an order with an outdated fencing token is refused.
    pub fencing: bool,
    /// Time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Address of the weight store, if any.
    pub weights: Option<SocketAddr>,
}

#[derive(Debug, Clone)]
struct ModelState {
    ready: bool,
    memory_mb: u64,
}

#[derive(Debug, Default)]
struct State {
    models: BTreeMap<String, ModelState>,
    ram: Vec<String>,
    disk: Vec<String>,
    fence: u64,
    max_used_mb: u64,
    loads_started: u64,
}

struct Engine {
    options: EngineOptions,
    state: Mutex<State>,
    answers: AtomicU64,
}

/// A running engine stand-in.
pub struct EngineStandin {
    engine: Arc<Engine>,
    server: HttpServer,
}

impl EngineStandin {
    /// Starts an engine on `address`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, options: EngineOptions) -> Result<Self, StandinError> {
        let answers = AtomicU64::new(0);
        let engine = Arc::new(Engine { options, state: Mutex::default(), answers });
        let shared = engine.clone();
        let server =
            HttpServer::start("engine", address, THREADS, move |request| shared.handle(request))?;
        Ok(EngineStandin { engine, server })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the maximum memory in use so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        self.engine.lock().max_used_mb
    }

    /// Returns the number of loads started.
    pub fn loads_started(&self) -> u64 {
        self.engine.lock().loads_started
    }

    /// Returns the number of answered calls.
    pub fn answers(&self) -> u64 {
        self.engine.answers.load(Ordering::Acquire)
    }

    /// Returns the names of the ready models.
    pub fn ready_models(&self) -> Vec<String> {
        let state = self.engine.lock();
        state.models.iter().filter(|(_, model)| model.ready).map(|(name, _)| name.clone()).collect()
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, mut request: Request) {
        let path = request.url().to_owned();
        let body = read_body(&mut request);
        let status = match path.as_str() {
            "/control/state" => return self.report(request),
            "/control/load" => match serde_json::from_slice::<LoadOrder>(&body) {
                Ok(order) => self.load(&order),
                Err(_) => 400,
            },
            "/control/unload" => match serde_json::from_slice::<UnloadOrder>(&body) {
                Ok(order) => self.unload(&order),
                Err(_) => 400,
            },
            "/v1/chat/completions" | "/v1/completions" => return self.answer(request, &body),
            _ => 404,
        };
        let _ = respond(request, status, &[], b"");
    }

    fn report(&self, request: Request) {
        let state = self.lock();
        let held = state.models.iter().map(|(model, loaded)| {
            json!({ "model": model, "ready": loaded.ready, "memory_mb": loaded.memory_mb })
        });
        let cached = state
            .disk
            .iter()
            .map(|model| json!({ "model": model, "ram": state.ram.contains(model) }));
        let report = json!({
            "held": held.collect::<Vec<_>>(),
            "cached": cached.collect::<Vec<_>>(),
        });
        drop(state);
        debug_assert!(serde_json::from_value::<EngineState>(report.clone()).is_ok());
        let headers = [Header::new("Content-Type", "application/json")];
        let _ = respond(request, 200, &headers, report.to_string().as_bytes());
    }

    /// Returns whether an order's fencing token is current, and records it.
    fn accept_fence(&self, state: &mut State, fence: u64) -> bool {
        if self.options.fencing && fence < state.fence {
            return false;
        }
        state.fence = state.fence.max(fence);
        true
    }

    fn load(&self, order: &LoadOrder) -> u16 {
        {
            let mut state = self.lock();
            if !self.accept_fence(&mut state, order.fence) {
                return 409;
            }
            if let Some(loaded) = state.models.get(&order.model) {
                return if loaded.ready { 200 } else { 202 };
            }
            let base = order.base.is_empty()
                || state.models.get(&order.base).is_some_and(|base| base.ready);
            let used = state.models.values().map(|loaded| loaded.memory_mb).sum::<u64>();
            if !base || used + order.peak_mb > self.options.memory_mb {
                return 507;
            }
            state.max_used_mb = state.max_used_mb.max(used + order.peak_mb);
            state.loads_started += 1;
            let loaded = ModelState { ready: false, memory_mb: order.peak_mb };
            state.models.insert(order.model.clone(), loaded);
        }
        let fetched = self.fetch(&order.model);
        let mut state = self.lock();
        if !fetched {
            state.models.remove(&order.model);
            return 502;
        }
        state.add_to_caches(&order.model);
        if let Some(loaded) = state.models.get_mut(&order.model) {
            *loaded = ModelState { ready: true, memory_mb: order.memory_mb };
        }
        200
    }

    /// Reads a model's weights from the fastest source. Returns whether it succeeded.
    fn fetch(&self, model: &str) -> bool {
        let load_ms = self.options.load_ms;
        let (ram, disk) = {
            let state = self.lock();
            let has = |cache: &[String]| cache.iter().any(|cached| cached == model);
            (has(&state.ram), has(&state.disk))
        };
        if ram || disk {
            let speedup = if ram { RAM_SPEEDUP } else { DISK_SPEEDUP };
            std::thread::park_timeout(Duration::from_millis(load_ms / speedup));
            return true;
        }
        let Some(weights) = self.options.weights else {
            std::thread::park_timeout(Duration::from_millis(load_ms));
            return true;
        };
        let url = format!("http://{weights}/weights/{model}?{load_ms}");
        for _ in 0..MAX_LOAD_ATTEMPTS {
            match attohttpc::get(&url).send().map(|response| response.status().as_u16()) {
                Ok(200) => return true,
                Ok(429) => std::thread::park_timeout(Duration::from_millis(200)),
                Ok(_) | Err(_) => return false,
            }
        }
        false
    }

    fn unload(&self, order: &UnloadOrder) -> u16 {
        let mut state = self.lock();
        if !self.accept_fence(&mut state, order.fence) {
            return 409;
        }
        match state.models.get(&order.model) {
            Some(loaded) if !loaded.ready => 425,
            _ => {
                state.models.remove(&order.model);
                200
            }
        }
    }

    fn answer(&self, request: Request, body: &[u8]) {
        let request_json: Value = serde_json::from_slice(body).unwrap_or_default();
        let model = request_json["model"].as_str().unwrap_or_default().to_owned();
        if !self.lock().models.get(&model).is_some_and(|loaded| loaded.ready) {
            let _ = respond(request, 404, &[], b"the engine does not hold the model");
            return;
        }
        let id = self.answers.fetch_add(1, Ordering::AcqRel) + 1;
        let chat = request.url().starts_with("/v1/chat");
        let words = response_words(&request_json);
        if request_json["stream"].as_bool().unwrap_or(false) {
            let _ = self.stream(request, &model, id, &words, chat);
            return;
        }
        let pause = self.options.token_ms * words.len() as u64;
        std::thread::park_timeout(Duration::from_millis(pause));
        let choice = if chat {
            json!({ "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": words.concat() } })
        } else {
            json!({ "index": 0, "finish_reason": "stop", "text": words.concat() })
        };
        let document = json!({
            "id": format!("answer-{id}"), "object": "chat.completion", "created": 0,
            "model": model, "choices": [choice],
            "usage": { "prompt_tokens": words.len(), "completion_tokens": words.len(),
                "total_tokens": 2 * words.len() },
        });
        let headers = [Header::new("Content-Type", "application/json")];
        let _ = respond(request, 200, &headers, document.to_string().as_bytes());
    }

    fn stream(
        &self,
        request: Request,
        model: &str,
        id: u64,
        words: &[String],
        chat: bool,
    ) -> std::io::Result<()> {
        let headers = [Header::new("Content-Type", "text/event-stream")];
        let mut response = ResponseWriter::begin(request, 200, &headers)?;
        for (index, word) in words.iter().enumerate() {
            std::thread::park_timeout(Duration::from_millis(self.options.token_ms));
            let last = index + 1 == words.len();
            let finish = if last { json!("stop") } else { Value::Null };
            let choice = if chat {
                json!({ "index": 0, "delta": { "content": word }, "finish_reason": finish })
            } else {
                json!({ "index": 0, "text": word, "finish_reason": finish })
            };
            let event = json!({ "id": format!("answer-{id}"), "created": 0,
                "object": "chat.completion.chunk", "model": model, "choices": [choice] });
            response.write_part(format!("data: {event}\n\n").as_bytes())?;
        }
        response.write_part(b"data: [DONE]\n\n")?;
        response.finish()
    }
}

impl State {
    fn add_to_caches(&mut self, model: &str) {
        if !self.disk.iter().any(|cached| cached == model) {
            self.disk.push(model.to_owned());
        }
        self.ram.retain(|cached| cached != model);
        self.ram.push(model.to_owned());
        if self.ram.len() > RAM_CACHE_MODELS {
            self.ram.remove(0);
        }
    }
}

/// Returns the words of an answer, which repeats the prompt.
fn response_words(request_json: &Value) -> Vec<String> {
    let text = match request_json["messages"].as_array().and_then(|messages| messages.last()) {
        Some(message) => message["content"].as_str().unwrap_or_default(),
        None => request_json["prompt"].as_str().unwrap_or_default(),
    };
    let words = text.split_inclusive(' ').map(str::to_owned);
    ["You ", "asked: "].into_iter().map(str::to_owned).chain(words).collect()
}
