//! A side process: its control thread, its endpoint and its entries.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use citronrill_base::{Millis, hash_bytes};
use citronrill_config::PoolSettings;
use citronrill_pool::{
    CopyEvent, CopyPatience, EngineReport, EntryLink, Order, OrderOutcome, PoolSide, SideEffect,
    SideEvent,
};
use citronrill_wire::{PoolKind, SideState, TextCopy, WireError};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use http_body_util::Full;
use hyper::{Request, StatusCode, header::CONTENT_TYPE};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};

use crate::{
    call::{Control, get, tune},
    copies::{Copies, fetch_copies},
    dialect::Dialect,
    error::GatewayError,
    link::split,
    logs::{LogBudget, LogStats},
    metrics::{Counter, Show, line, log_lines, serve_metrics},
};

/// Milliseconds for the endpoint's state: it answers within a few, and an old one is of no use.
const REPORT_MS: u64 = 400;
/// Milliseconds for an answer to an order.
const ORDER_MS: u64 = 400;

/// What a side counts.
struct SideMetrics {
    orders: Counter,
    polls: Counter,
    wants: Counter,
    /// Whole copies of the text that came from entries.
    texts: Counter,
    logs: Arc<LogStats>,
}

impl Show for SideMetrics {
    fn show(&self) -> String {
        let mut text = String::new();
        line(&mut text, "citronrill_orders_total", "", self.orders.value());
        line(&mut text, "citronrill_polls_total", "", self.polls.value());
        line(&mut text, "citronrill_wants_total", "", self.wants.value());
        line(&mut text, "citronrill_texts_total", "", self.texts.value());
        log_lines(&mut text, &self.logs);
        text
    }
}

/// What the control thread asks of the traffic runtime.
enum Task {
    Poll,
    /// Ask for the endpoint's name on this path.
    Identify(String),
    Order(Order),
}

/// What the connections to entries share.
struct Shared {
    dialect: Arc<dyn Dialect>,
    events: Sender<SideEvent>,
    texts: watch::Sender<Option<TextCopy>>,
    states: watch::Receiver<Option<SideState>>,
    links: Arc<Links>,
    copies: Copies<EntryLink>,
    metrics: Arc<SideMetrics>,
}

/// The connections to entries.
#[derive(Default)]
struct Links {
    next: AtomicU64,
    open: Mutex<BTreeMap<EntryLink, mpsc::UnboundedSender<PoolKind>>>,
}

impl Links {
    fn change<T>(
        &self,
        change: impl FnOnce(&mut BTreeMap<EntryLink, mpsc::UnboundedSender<PoolKind>>) -> T,
    ) -> T {
        change(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Says something to one entry, if it is still there.
    fn say(&self, link: EntryLink, kind: PoolKind) {
        let sent = self.change(|open| open.get(&link).is_some_and(|one| one.send(kind).is_ok()));
        if !sent {
            log::debug!("event=entry_gone link={}", link.0);
        }
    }
}

/// Runs a side until `stop` says so.
///
/// # Errors
/// A setting is missing, or an address cannot be listened on.
pub fn run_side(
    settings: &PoolSettings,
    dialect: Arc<dyn Dialect>,
    logs: Arc<LogStats>,
    stop: std::sync::mpsc::Receiver<()>,
) -> Result<(), GatewayError> {
    let endpoint = settings.endpoint.ok_or(GatewayError::Missing("endpoint address"))?;
    let (events, inputs) = unbounded();
    let (task_sender, tasks) = mpsc::unbounded_channel();
    let (state_sender, states) = watch::channel(None);
    let metrics = Arc::new(SideMetrics {
        orders: Counter::default(),
        polls: Counter::default(),
        wants: Counter::default(),
        texts: Counter::default(),
        logs,
    });
    let links = Arc::new(Links::default());
    let control = ControlThread {
        reducer: PoolSide::new(&settings.service),
        start: std::time::Instant::now(),
        inputs,
        tasks: task_sender,
        states: state_sender,
        links: links.clone(),
        metrics: metrics.clone(),
        budget: LogBudget::new(),
    };
    thread::Builder::new().name("control".to_owned()).spawn(move || control.run())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (copies, copy_events) = Copies::new();
    let shared = Arc::new(Shared {
        dialect: dialect.clone(),
        events: events.clone(),
        texts: watch::Sender::new(None),
        states,
        links,
        copies,
        metrics: metrics.clone(),
    });
    let seed = hash_bytes(settings.name.as_bytes());
    let peers = settings.peers;
    let (done_sender, done) = tokio::sync::oneshot::channel();
    thread::spawn(move || {
        if stop.recv().is_ok() {
            // The receiver is gone only if the process ends anyway.
            let _ = done_sender.send(());
        }
    });
    runtime.block_on(async {
        let listener = TcpListener::bind(peers).await;
        let listener =
            listener.map_err(|source| GatewayError::Listen { address: peers, source })?;
        log::info!("event=started role=side endpoint={endpoint} peers={peers}");
        tokio::spawn(serve_metrics(settings.metrics, metrics));
        let engine = Engine { address: endpoint, holder: settings.name.clone(), dialect, events };
        tokio::spawn(engine.run(tasks));
        tokio::spawn(fetch_texts(seed, copy_events, shared.clone()));
        tokio::spawn(accept(listener, shared));
        if done.await.is_err() {
            std::future::pending::<()>().await;
        }
        log::info!("event=stopped");
        Ok(())
    })
}

/// The control thread's own state.
struct ControlThread {
    reducer: PoolSide,
    start: std::time::Instant,
    inputs: Receiver<SideEvent>,
    tasks: mpsc::UnboundedSender<Task>,
    states: watch::Sender<Option<SideState>>,
    links: Arc<Links>,
    metrics: Arc<SideMetrics>,
    budget: LogBudget,
}

impl ControlThread {
    fn run(mut self) {
        loop {
            let wait = Duration::from_millis(self.reducer.wake_ms());
            let event = match self.inputs.recv_timeout(wait) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => SideEvent::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if let SideEvent::Want(..) = event {
                self.metrics.wants.add();
            }
            let now = Millis(self.start.elapsed().as_millis() as u64);
            let effects = self.reducer.step(now, event);
            effects.into_iter().for_each(|effect| self.carry_out(effect));
        }
    }

    fn carry_out(&mut self, effect: SideEffect) {
        let task = match effect {
            SideEffect::Poll => {
                self.metrics.polls.add();
                Task::Poll
            }
            SideEffect::Identify(path) => Task::Identify(path),
            SideEffect::Order(order) => {
                self.metrics.orders.add();
                Task::Order(order)
            }
            SideEffect::Publish(state) => {
                self.states.send_replace(Some(state));
                return;
            }
            SideEffect::Decline(link, name) => {
                self.links.say(link, PoolKind::Declined(name));
                return;
            }
            SideEffect::Log(event) => {
                let now_ms = self.start.elapsed().as_millis() as u64;
                if self.budget.take(event.event, now_ms) {
                    log::info!("{event}");
                }
                return;
            }
        };
        if self.tasks.send(task).is_err() {
            log::debug!("event=traffic_gone");
        }
    }
}

/// The calls to the endpoint.
struct Engine {
    address: SocketAddr,
    holder: String,
    dialect: Arc<dyn Dialect>,
    events: Sender<SideEvent>,
}

impl Engine {
    async fn run(self, mut tasks: mpsc::UnboundedReceiver<Task>) {
        let this = Arc::new(self);
        let mut reports = Control::new(this.address);
        while let Some(task) = tasks.recv().await {
            match task {
                Task::Poll => {
                    let report = this.report(&mut reports).await;
                    this.tell(SideEvent::Report(report));
                }
                Task::Identify(path) => {
                    let this = this.clone();
                    tokio::spawn(async move { this.identify(&path).await });
                }
                Task::Order(order) => {
                    let this = this.clone();
                    // A silent order must not hold up the looks that show what became of it.
                    tokio::spawn(async move {
                        let (outcome, instance) = this.order(&order).await;
                        this.tell(SideEvent::Ordered(order.number, outcome, instance));
                    });
                }
            }
        }
    }

    fn tell(&self, event: SideEvent) {
        if self.events.send(event).is_err() {
            log::debug!("event=control_gone");
        }
    }

    async fn report(&self, control: &mut Control) -> Option<EngineReport> {
        let read = async {
            let request = get(self.address, self.dialect.report_path())?;
            let response = control.call(request, REPORT_MS).await?;
            if response.status() != StatusCode::OK {
                return Err(GatewayError::Status(response.status().as_u16()));
            }
            Ok(self.dialect.report(response.body())?)
        };
        match read.await {
            Ok(report) => Some(report),
            Err(error) => {
                log::info!("event=report_failed error=\"{error}\"");
                None
            }
        }
    }

    /// Asks the endpoint for its name; whatever it says of its health, the answer bears it.
    async fn identify(&self, path: &str) {
        let asked = async {
            let request = get(self.address, path)?;
            Control::new(self.address).call(request, REPORT_MS).await
        };
        match asked.await {
            Ok(response) => match self.dialect.named(response.headers()) {
                Some(name) => self.tell(SideEvent::Named(name)),
                None => log::info!("event=endpoint_unnamed status={}", response.status()),
            },
            Err(error) => log::info!("event=endpoint_unnamed error=\"{error}\""),
        }
    }

    async fn order(&self, order: &Order) -> (OrderOutcome, Option<String>) {
        let call = self.dialect.order(order, &self.holder);
        let mut request = Request::new(Full::new(Bytes::from(call.body)));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = hyper::Uri::from_static(call.path);
        *request.headers_mut() = call.headers;
        let json = hyper::header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        if let Ok(host) = hyper::header::HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(hyper::header::HOST, host);
        }
        match Control::new(self.address).call(request, ORDER_MS).await {
            Ok(response) => {
                let status = response.status();
                log::debug!("event=order_status order={} status={status}", order.number);
                self.dialect.ordered(status, response.headers())
            }
            Err(error) => {
                log::info!("event=order_unanswered order={} error=\"{error}\"", order.number);
                (OrderOutcome::Unknown, None)
            }
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(attend(stream, from, shared.clone()));
            }
            Err(error) => log::warn!("event=accept_failed error=\"{error}\""),
        }
    }
}

/// Serves one entry's connection.
async fn attend(stream: TcpStream, from: SocketAddr, shared: Arc<Shared>) {
    tune(&stream);
    let link = EntryLink(shared.links.next.fetch_add(1, Ordering::Relaxed));
    let (sender, replies) = mpsc::unbounded_channel();
    let entries = shared.links.change(|open| {
        open.insert(link, sender);
        open.len()
    });
    log::info!("event=entry_connected from={from} entries={entries}");
    tell_count(&shared, entries);
    if let Err(error) = converse(stream, link, replies, &shared).await {
        log::info!("event=entry_lost from={from} error=\"{error}\"");
    }
    shared.copies.gone(link);
    let entries = shared.links.change(|open| {
        open.remove(&link);
        open.len()
    });
    tell_count(&shared, entries);
}

fn tell_count(shared: &Shared, entries: usize) {
    if shared.events.send(SideEvent::Entries(entries as u32)).is_err() {
        log::debug!("event=control_gone");
    }
}

async fn converse(
    stream: TcpStream,
    link: EntryLink,
    mut replies: mpsc::UnboundedReceiver<PoolKind>,
    shared: &Shared,
) -> Result<(), WireError> {
    let (mut receiver, mut sender) = split(stream);
    let mut states = shared.states.clone();
    states.mark_changed();
    loop {
        tokio::select! {
            changed = states.changed() => {
                changed.map_err(|_| WireError::Closed)?;
                let state = states.borrow_and_update().clone();
                if let Some(state) = state {
                    sender.send(PoolKind::State(state)).await?;
                }
            }
            Some(reply) = replies.recv() => sender.send(reply).await?,
            heard = receiver.next() => take(heard?, link, shared)?,
        }
    }
}

fn take(kind: PoolKind, link: EntryLink, shared: &Shared) -> Result<(), WireError> {
    let event = match kind {
        PoolKind::Want(want) => SideEvent::Want(link, want),
        PoolKind::Used(used) => SideEvent::Used(used),
        PoolKind::Version(text) => {
            shared.copies.tell(CopyEvent::Offered(link, text.version));
            return Ok(());
        }
        PoolKind::TextPart(part) => {
            shared.copies.tell(CopyEvent::Part(link, part));
            return Ok(());
        }
        PoolKind::TextAsk(ask) => {
            let part = shared.copies.answer(link, &ask, shared.texts.borrow().as_ref());
            shared.links.say(link, PoolKind::TextPart(part));
            return Ok(());
        }
        PoolKind::State(_) | PoolKind::Declined(_) | PoolKind::Snapshot(_) => {
            return Err(WireError::OutOfTurn);
        }
    };
    shared.events.send(event).map_err(|_| WireError::Closed)
}

/// Fetches the text from entries.
async fn fetch_texts(
    seed: u64,
    events: mpsc::UnboundedReceiver<CopyEvent<EntryLink>>,
    shared: Arc<Shared>,
) {
    let ask = |link, ask| shared.links.say(link, PoolKind::TextAsk(ask));
    let take = |copy| {
        shared.metrics.texts.add();
        take_text(copy, &shared);
    };
    fetch_copies(CopyPatience::PeersOnly, seed, events, ask, take).await;
}

/// Keeps a text, if it is newer.
fn take_text(copy: TextCopy, shared: &Shared) {
    let newer =
        |held: &Option<TextCopy>| held.as_ref().is_none_or(|held| held.version < copy.version);
    if !newer(&shared.texts.borrow()) {
        return;
    }
    match shared.dialect.text(&copy.bytes) {
        Ok(text) => {
            shared.copies.tell(CopyEvent::Own(copy.version));
            shared.texts.send_replace(Some(copy));
            if shared.events.send(SideEvent::Text(Arc::new(text))).is_err() {
                log::debug!("event=control_gone");
            }
        }
        Err(error) => log::warn!("event=text_unreadable source=entry error=\"{error}\""),
    }
}
