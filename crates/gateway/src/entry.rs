//! The entry process: its control thread and the tasks on its `tokio` runtime.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use citronrill_base::{Millis, hash_bytes};
use citronrill_config::PoolSettings;
use citronrill_pool::{
    Arrival, CallerLimits, CheckTimer, ConfigFetchEvent, ConfigSources, Dispatch, DueCheck,
    EntryEffect, EntryEvent, EntryProfile, LimitBounds, PoolEntry, Refusal, RequestId,
    ServingConfig,
};
use citronrill_wire::{
    EncodedConfig, PoolKind, Probe, StoreLoadKind, StoreLoadMessage, SuspectRecord,
};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use tokio::sync::{mpsc, watch};

use crate::{
    caller_server::{CallerServer, listen, serve},
    config_transfer::{ConfigTransfer, run_config_fetch},
    dialect::{Dialect, Table},
    endpoint_check::run_endpoint_checks,
    error::GatewayError,
    logs::{LogRateLimit, LogStats},
    metrics::{EntryMetrics, serve_metrics},
    platform_view::PlatformView,
    quarantine::QuarantineStore,
    resources::{InstanceLimits, Resources},
    seeds::{bootstrap_from_seeds, serve_snapshots},
    sides::{SideCommand, run_sides},
    store::watch_table,
};

/// Milliseconds between deadline checks while requests are in flight. It bounds how late a deadline is
/// detected and is far below any latency objective.
const BUSY_TICK_MS: u64 = 20;
/// Milliseconds between deadline checks while no request is in flight.
const IDLE_TICK_MS: u64 = 200;
/// Maximum milliseconds for which requests wait after a start for what the sides know of requests that
/// crash endpoints: connecting to the sides takes some tens of milliseconds.
const LEARN_MS: u64 = 300;
/// Milliseconds of a planned stop during which new connections are still accepted: the load balancer
/// needs two failed readiness checks, a second apart, before it stops routing to this entry.
const ACCEPT_MS: u64 = 2_600;
/// Milliseconds of a planned stop that are reserved for ending the process itself.
const EXIT_RESERVE_MS: u64 = 500;

/// Command of the control thread to the task of a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Dispatch the request to an endpoint.
    Dispatch(Dispatch),
    /// Forward the endpoint's response to the caller.
    Forward,
    /// Respond with a refusal.
    Refuse(Refusal),
    /// End the response: what was forwarded is complete.
    Finish,
    /// Abort the response.
    Abort,
    /// Disconnect from the endpoint, as if it had broken off the stream.
    Disconnect,
}

/// Counts the parts of a response that were forwarded to the caller.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProgressCounter(Arc<AtomicU64>);

impl ProgressCounter {
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Handle of the control thread to the task of a request in flight.
pub(crate) struct RequestHandle {
    /// Commands to the task.
    commands: mpsc::UnboundedSender<Command>,
    /// Counts what was forwarded to the caller.
    progress: ProgressCounter,
    /// Value of `progress` at the previous check.
    last_count: u64,
}

impl RequestHandle {
    /// Creates a handle to the task that receives the other end of `commands`.
    pub(crate) fn new(
        commands: mpsc::UnboundedSender<Command>,
        progress: ProgressCounter,
    ) -> RequestHandle {
        RequestHandle { commands, progress, last_count: 0 }
    }

    /// Returns whether anything was forwarded since the previous call.
    fn take_progress(&mut self) -> bool {
        let count = self.progress.count();
        std::mem::replace(&mut self.last_count, count) != count
    }
}

/// Input of the control thread.
pub(crate) enum Input {
    /// An event of the state machine.
    Event(EntryEvent),
    /// A new request, with the handle to its task.
    Request(Arrival, RequestHandle),
}

/// Sends input to the control thread.
#[derive(Clone)]
pub(crate) struct EventSender(Sender<Input>);

impl EventSender {
    /// Sends an event.
    pub(crate) fn send(&self, event: EntryEvent) {
        self.send_input(Input::Event(event));
    }

    /// Sends a new request.
    pub(crate) fn send_request(&self, arrival: Arrival, request: RequestHandle) {
        self.send_input(Input::Request(arrival, request));
    }

    fn send_input(&self, input: Input) {
        if self.0.send(input).is_err() {
            log::debug!("event=control_gone");
        }
    }
}

/// State of the control thread that the tasks of the runtime read.
#[derive(Debug, Default)]
pub(crate) struct EntryStatus {
    pub(crate) ready: AtomicBool,
    pub(crate) stopping: AtomicBool,
    pub(crate) in_flight: AtomicU64,
}

/// Runs an entry until `stop` receives a message.
///
/// # Errors
/// A required setting is missing, or an address cannot be bound.
pub fn run_entry(
    settings: &PoolSettings,
    dialect: Arc<dyn Dialect>,
    logs: Arc<LogStats>,
    stop: std::sync::mpsc::Receiver<()>,
) -> Result<(), GatewayError> {
    let callers = settings.callers.ok_or(GatewayError::MissingSetting("listen callers"))?;
    let readiness = settings.readiness.ok_or(GatewayError::MissingSetting("listen readiness"))?;
    let (sender, inputs) = unbounded();
    let events = EventSender(sender);
    let status = Arc::new(EntryStatus::default());
    let resources = Resources::new(instance_limits(settings));
    let metrics = Arc::new(EntryMetrics::new(resources.clone(), logs));
    let (side_sender, side_receiver) = mpsc::unbounded_channel();
    let (check_sender, checks) = mpsc::unbounded_channel();
    let (quarantine_sender, quarantined) = mpsc::unbounded_channel();
    // A weak sender: the connections to sides end when the control thread drops the strong one.
    let chunk_requests = side_sender.downgrade();
    let (limits_sender, limits) = watch::channel(CallerLimits::default());
    let profile = EntryProfile {
        zone: settings.zone.clone(),
        seed: hash_bytes(settings.name.as_bytes()),
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window_ms: settings.retry_window_ms,
        limits: limit_bounds(settings),
        learn_ms: LEARN_MS,
        first_start: settings.first_start,
        contended: dialect.contended(&settings.rules),
    };
    let control = ControlThread {
        reducer: PoolEntry::new(profile),
        start: Instant::now(),
        inputs,
        requests: BTreeMap::new(),
        timer: CheckTimer::default(),
        side_commands: side_sender,
        endpoint_checks: check_sender,
        quarantined: quarantine_sender,
        limits: limits_sender,
        status: status.clone(),
        metrics: metrics.clone(),
        log_limit: LogRateLimit::new(),
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(move || control.run())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(async {
        let (transfer, transfer_events) = ConfigTransfer::new();
        let view = PlatformView::new(dialect.clone(), events.clone(), transfer.clone());
        for table in [Table::Text, Table::Members] {
            tokio::spawn(watch_table(settings, table, dialect.clone(), view.clone()));
        }
        let (port, era) = (settings.peers.port(), view.subscribe_era());
        if let Some(address) = settings.snapshots {
            tokio::spawn(serve_snapshots(listen(address).await?, view.clone()));
        }
        tokio::spawn(bootstrap_from_seeds(
            settings.seeds.clone(),
            settings.snapshots,
            view.clone(),
        ));
        tokio::spawn(fetch_config(&settings.name, transfer_events, chunk_requests, view.clone()));
        tokio::spawn(run_sides(port, side_receiver, view, transfer, events.clone()));
        tokio::spawn(run_endpoint_checks(checks, events.clone()));
        let quarantine = QuarantineStore::new(settings, era, dialect.clone(), events.clone());
        tokio::spawn(quarantine.run(quarantined));
        tokio::spawn(serve_metrics(settings.metrics, metrics.clone()));
        let (ending_sender, ending) = watch::channel(false);
        let server = CallerServer { dialect, events, status, metrics, limits, resources, ending };
        let plan = stop_plan(stop, settings.stop_ms);
        serve(callers, readiness, server, plan, ending_sender).await
    });
    // Dropping the runtime ends every task that holds a sender to the control thread; its channel
    // then closes and the thread returns.
    drop(runtime);
    if thread.join().is_err() {
        log::error!("event=control_failed");
    }
    result
}

/// Returns by how much organisations' limits may be exceeded.
pub(crate) fn limit_bounds(settings: &PoolSettings) -> LimitBounds {
    LimitBounds {
        window_ms: settings.limit_window_ms,
        overage: settings.limit_overage,
        tolerance: settings.limit_tolerance,
    }
}

/// Returns the limits of the instance, as far as the settings name them.
fn instance_limits(settings: &PoolSettings) -> InstanceLimits {
    InstanceLimits {
        memory_bytes: settings.memory_mb.map(|mb| mb.saturating_mul(1 << 20)),
        descriptors: settings.max_fds,
    }
}

/// Fetches the configuration from sides while the platform store is unavailable.
fn fetch_config(
    name: &str,
    events: mpsc::UnboundedReceiver<ConfigFetchEvent<SocketAddr>>,
    sides: mpsc::WeakUnboundedSender<SideCommand>,
    view: PlatformView,
) -> impl Future<Output = ()> + use<> {
    let request_chunk = move |endpoint, request| {
        let message = SideCommand::Send(endpoint, Box::new(PoolKind::ConfigChunkRequest(request)));
        let sent = sides.upgrade().is_some_and(|sides| sides.send(message).is_ok());
        if !sent {
            log::debug!("event=sides_gone");
        }
    };
    let apply = move |encoded: EncodedConfig| view.offer_config(&encoded.bytes, "side");
    run_config_fetch(
        ConfigSources::StoreFirst,
        hash_bytes(name.as_bytes()),
        events,
        request_chunk,
        apply,
    )
}

/// The phases of a planned stop.
pub(crate) struct StopPlan {
    pub(crate) requested: watch::Receiver<bool>,
    /// How long new connections are still accepted.
    pub(crate) accept_time: Duration,
    /// How long open requests may take after that.
    pub(crate) drain_time: Duration,
}

fn stop_plan(stop: std::sync::mpsc::Receiver<()>, stop_ms: u64) -> StopPlan {
    let (sender, requested) = watch::channel(false);
    thread::spawn(move || {
        if stop.recv().is_ok() {
            sender.send_replace(true);
        }
        // Keeps the sender alive until the process ends: a closed channel would count as a stop.
        loop {
            thread::park();
        }
    });
    let accept_time = ACCEPT_MS.min(stop_ms / 2);
    StopPlan {
        requested,
        accept_time: Duration::from_millis(accept_time),
        drain_time: Duration::from_millis(stop_ms.saturating_sub(accept_time + EXIT_RESERVE_MS)),
    }
}

/// State of the control thread.
struct ControlThread {
    reducer: PoolEntry,
    start: Instant,
    inputs: Receiver<Input>,
    requests: BTreeMap<RequestId, RequestHandle>,
    timer: CheckTimer,
    side_commands: mpsc::UnboundedSender<SideCommand>,
    /// Endpoints whose process is to be checked.
    endpoint_checks: mpsc::UnboundedSender<SocketAddr>,
    /// Quarantined requests to be written to the platform store.
    quarantined: mpsc::UnboundedSender<SuspectRecord>,
    limits: watch::Sender<CallerLimits>,
    status: Arc<EntryStatus>,
    metrics: Arc<EntryMetrics>,
    log_limit: LogRateLimit,
}

impl ControlThread {
    fn run(mut self) {
        loop {
            let busy = !self.requests.is_empty();
            let interval_ms = if busy { BUSY_TICK_MS } else { IDLE_TICK_MS };
            let remaining_ms = self.timer.remaining_ms(interval_ms, self.now());
            match self.inputs.recv_timeout(Duration::from_millis(remaining_ms)) {
                Ok(input) => {
                    self.timer.note_event();
                    self.handle_input(input);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            match self.timer.take_due(interval_ms, self.now()) {
                DueCheck::Nothing => {}
                DueCheck::Urgent => self.tick(EntryEvent::UrgentTick),
                DueCheck::Full => {
                    self.tick(EntryEvent::Tick);
                    self.metrics.set_limit_usage(self.reducer.limit_usage());
                    self.metrics.over_share.set(self.reducer.over_share_requests());
                    self.metrics.set_retries(self.reducer.retry_counts());
                    self.metrics.set_waits(self.reducer.wait_counts());
                    self.metrics.streams_reconnected.set(self.reducer.streams_reconnected());
                }
            }
        }
    }

    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    fn tick(&mut self, event: EntryEvent) {
        let progressed = self
            .requests
            .iter_mut()
            .filter_map(|(id, request)| request.take_progress().then_some(*id));
        let progressed = progressed.collect::<Vec<_>>();
        if !progressed.is_empty() {
            self.step(EntryEvent::Progress(progressed));
        }
        self.step(event);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let EntryEvent::Config(config) = &event {
                    self.limits.send_replace(config.limits);
                }
                if let EntryEvent::CallerLeft(id) | EntryEvent::ResponseEnded(id, _) = &event {
                    self.requests.remove(id);
                }
                self.step(event);
            }
            Input::Request(arrival, request) => {
                self.requests.insert(arrival.id, request);
                self.step(EntryEvent::RequestArrived(arrival));
            }
        }
    }

    fn step(&mut self, event: EntryEvent) {
        let effects = self.reducer.step(self.now(), event);
        // Updated before the effects are executed: when an effect logs that a configuration was read,
        // the process must already report that it is ready.
        self.status.ready.store(self.reducer.ready(), Ordering::Relaxed);
        self.status.in_flight.store(self.reducer.in_flight() as u64, Ordering::Relaxed);
        effects.into_iter().for_each(|effect| self.execute(effect));
    }

    fn execute(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Dispatch(id, dispatch) => {
                self.send_command(id, Command::Dispatch(dispatch), false)
            }
            EntryEffect::Forward(id) => self.send_command(id, Command::Forward, false),
            EntryEffect::Refuse(id, refusal) => {
                self.metrics.count_refusal(refusal.reason);
                self.send_command(id, Command::Refuse(refusal), true);
            }
            EntryEffect::Finish(id) => self.send_command(id, Command::Finish, true),
            EntryEffect::Abort(id) => self.send_command(id, Command::Abort, true),
            EntryEffect::Disconnect(id) => self.send_command(id, Command::Disconnect, false),
            EntryEffect::Probe(address) => {
                self.send_to_sides(SideCommand::Send(address, Box::new(PoolKind::Probe(Probe {}))));
            }
            EntryEffect::LoadRequest(address, load_request) => {
                self.metrics.load_requests.increment();
                self.send_to_sides(SideCommand::Send(
                    address,
                    Box::new(PoolKind::LoadRequest(load_request)),
                ));
            }
            EntryEffect::ReportUsage(address, usage) => {
                self.send_to_sides(SideCommand::Send(address, Box::new(PoolKind::Usage(usage))));
            }
            EntryEffect::Suspects(address, message) => {
                self.send_to_sides(SideCommand::Send(
                    address,
                    Box::new(PoolKind::Suspects(message)),
                ));
            }
            EntryEffect::Streams(address, message) => {
                self.send_to_sides(SideCommand::Send(
                    address,
                    Box::new(PoolKind::Streams(message)),
                ));
            }
            EntryEffect::CreditReport(address, report) => {
                self.metrics.credit_reports.increment();
                self.send_to_sides(SideCommand::Send(
                    address,
                    Box::new(PoolKind::CreditReport(report)),
                ));
            }
            EntryEffect::StoreLoads(address, report) => {
                self.metrics.store_reports.increment();
                let kind = Some(StoreLoadKind::Report(report));
                let message = PoolKind::StoreLoads(StoreLoadMessage { kind });
                self.send_to_sides(SideCommand::Send(address, Box::new(message)));
            }
            EntryEffect::Shares(address, message) => {
                self.metrics.share_reports.increment();
                self.send_to_sides(SideCommand::Send(address, Box::new(PoolKind::Shares(message))));
            }
            EntryEffect::SaveQuarantined(record) => {
                self.metrics.quarantined.increment();
                if self.quarantined.send(record).is_err() {
                    log::debug!("event=traffic_gone");
                }
            }
            EntryEffect::CheckEndpoint(address) => {
                self.metrics.crash_checks.increment();
                if self.endpoint_checks.send(address).is_err() {
                    log::debug!("event=traffic_gone");
                }
            }
            EntryEffect::ConnectSides(addresses) => {
                self.send_to_sides(SideCommand::ConnectOnly(addresses))
            }
            EntryEffect::Log(event) => {
                if self.log_limit.allow(event.event, self.now().0) {
                    log::info!("{event}");
                }
            }
        }
    }

    fn send_command(&mut self, id: RequestId, command: Command, last: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let task_ended = request.commands.send(command).is_err();
        if last {
            self.requests.remove(&id);
        }
        // A task that has ended sends `EntryEvent::CallerLeft`, which cleans up the request.
        if task_ended {
            log::debug!("event=request_gone request={}", id.0);
        }
    }

    fn send_to_sides(&self, command: SideCommand) {
        if self.side_commands.send(command).is_err() {
            log::debug!("event=sides_gone");
        }
    }
}

/// A decoded configuration, with the bytes that it was decoded from.
#[derive(Clone)]
pub(crate) struct LoadedConfig {
    pub(crate) encoded: EncodedConfig,
    pub(crate) config: Arc<ServingConfig>,
}

/// Returns the address of the side on the instance of `endpoint`.
pub(crate) fn side_address(endpoint: SocketAddr, port: u16) -> SocketAddr {
    SocketAddr::new(endpoint.ip(), port)
}
