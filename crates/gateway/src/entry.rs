//! An entry process: its control thread, and what it starts on the traffic runtime.

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
    Arrival, CallerLimits, CopyEvent, CopyPatience, Due, EntryEffect, EntryEvent, EntryProfile,
    Pace, PoolEntry, Refusal, RequestId, Sending, ServingText,
};
use citronrill_wire::{PoolKind, Probe, TextCopy};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use tokio::sync::{mpsc, watch};

use crate::{
    board::Board,
    copies::{Copies, fetch_copies},
    dialect::{Dialect, Table},
    error::GatewayError,
    front::{Front, listen, serve},
    logs::{LogBudget, LogStats},
    metrics::{EntryMetrics, serve_metrics},
    seeds::{ask_seeds, serve_seeds},
    sides::{SideCommand, run_sides},
    store::watch_table,
};

/// Milliseconds between looks at the clock while requests are in hand: a request's end is met
/// within this, far below any objective.
const BUSY_TICK_MS: u64 = 20;
/// Milliseconds between looks at rest.
const IDLE_TICK_MS: u64 = 200;
/// Milliseconds of a planned stop during which new connections are still taken: the balancer needs
/// two missed questions, a second apart, before it sends callers elsewhere.
const HAND_OVER_MS: u64 = 2_600;
/// Milliseconds of a planned stop that are left for the process's own end.
const STOP_SLACK_MS: u64 = 500;

/// What the control thread tells a request's task.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send it there.
    Send(Sending),
    /// Give the endpoint's answer.
    Pass,
    /// Give an answer of the system's own.
    Refuse(Refusal),
    /// Break the answer off.
    Cut,
    /// Leave the endpoint as if it had broken the stream off.
    Abandon,
}

/// Counts the pieces of an answer that were passed on.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pulse(Arc<AtomicU64>);

impl Pulse {
    /// Counts one.
    pub(crate) fn beat(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A request in hand, as the control thread reaches it.
pub(crate) struct Open {
    /// Where its task listens.
    commands: mpsc::UnboundedSender<Command>,
    /// Counts what its caller gets.
    pulse: Pulse,
    /// Its count at the last look.
    seen: u64,
}

impl Open {
    /// A request whose task listens at the other end of `commands`.
    pub(crate) fn new(commands: mpsc::UnboundedSender<Command>, pulse: Pulse) -> Open {
        Open { commands, pulse, seen: 0 }
    }

    /// Whether anything was passed on since the last look.
    fn take_progress(&mut self) -> bool {
        let count = self.pulse.count();
        std::mem::replace(&mut self.seen, count) != count
    }
}

/// What reaches the control thread.
pub(crate) enum Input {
    /// An event of the reducer.
    Event(EntryEvent),
    /// A request, and how it is reached.
    Arrive(Arrival, Open),
}

/// The way to the control thread.
#[derive(Clone)]
pub(crate) struct Events(Sender<Input>);

impl Events {
    /// Hands over an event.
    pub(crate) fn send(&self, event: EntryEvent) {
        self.put(Input::Event(event));
    }

    /// Hands over a request.
    pub(crate) fn arrive(&self, arrival: Arrival, open: Open) {
        self.put(Input::Arrive(arrival, open));
    }

    fn put(&self, input: Input) {
        if self.0.send(input).is_err() {
            log::debug!("event=control_gone");
        }
    }
}

/// What the traffic side reads of the control state.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) ready: AtomicBool,
    pub(crate) stopping: AtomicBool,
    pub(crate) in_hand: AtomicU64,
}

/// Runs an entry until `stop` says so.
///
/// # Errors
/// A setting is missing, or an address cannot be listened on.
pub fn run_entry(
    settings: &PoolSettings,
    dialect: Arc<dyn Dialect>,
    logs: Arc<LogStats>,
    stop: std::sync::mpsc::Receiver<()>,
) -> Result<(), GatewayError> {
    let callers = settings.callers.ok_or(GatewayError::Missing("listen callers"))?;
    let readiness = settings.readiness.ok_or(GatewayError::Missing("listen readiness"))?;
    let (sender, inputs) = unbounded();
    let events = Events(sender);
    let shared = Arc::new(Shared::default());
    let metrics = Arc::new(EntryMetrics::new(logs));
    let (side_sender, side_commands) = mpsc::unbounded_channel();
    // Weak, as the connections to sides end when the control thread closes this channel.
    let copy_asks = side_sender.downgrade();
    let (limits_sender, limits) = watch::channel(CallerLimits::default());
    let profile = EntryProfile {
        zone: settings.zone.clone(),
        seed: hash_bytes(settings.name.as_bytes()),
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window_ms: settings.retry_window_ms,
    };
    let control = Control {
        reducer: PoolEntry::new(profile),
        start: Instant::now(),
        inputs,
        requests: BTreeMap::new(),
        pace: Pace::default(),
        sides: side_sender,
        limits: limits_sender,
        shared: shared.clone(),
        metrics: metrics.clone(),
        budget: LogBudget::new(),
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(move || control.run())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(async {
        let (copies, copy_events) = Copies::new();
        let board = Board::new(dialect.clone(), events.clone(), copies.clone());
        for table in [Table::Text, Table::Members] {
            tokio::spawn(watch_table(settings, table, dialect.clone(), board.clone()));
        }
        let port = settings.peers.port();
        if let Some(address) = settings.snapshots {
            tokio::spawn(serve_seeds(listen(address).await?, board.clone()));
        }
        tokio::spawn(ask_seeds(settings.seeds.clone(), settings.snapshots, board.clone()));
        tokio::spawn(fetch_texts(&settings.name, copy_events, copy_asks, board.clone()));
        tokio::spawn(run_sides(port, side_commands, board, copies, events.clone()));
        tokio::spawn(serve_metrics(settings.metrics, metrics.clone()));
        let front = Front { dialect, events, shared, metrics, limits };
        serve(callers, readiness, front, stop_plan(stop, settings.stop_ms)).await
    });
    // The runtime ends every task that still holds a way to the control thread, which ends then.
    drop(runtime);
    if thread.join().is_err() {
        log::error!("event=control_failed");
    }
    result
}

/// Fetches the text from sides while the store does not give it.
fn fetch_texts(
    name: &str,
    events: mpsc::UnboundedReceiver<CopyEvent<SocketAddr>>,
    sides: mpsc::WeakUnboundedSender<SideCommand>,
    board: Board,
) -> impl Future<Output = ()> + use<> {
    let ask = move |endpoint, ask| {
        let say = SideCommand::Say(endpoint, Box::new(PoolKind::TextAsk(ask)));
        let sent = sides.upgrade().is_some_and(|sides| sides.send(say).is_ok());
        if !sent {
            log::debug!("event=sides_gone");
        }
    };
    let take = move |copy: TextCopy| board.offer(&copy.bytes, "side");
    fetch_copies(CopyPatience::OwnRead, hash_bytes(name.as_bytes()), events, ask, take)
}

/// When the parts of a planned stop come.
pub(crate) struct StopPlan {
    pub(crate) asked: watch::Receiver<bool>,
    /// How long new connections are still taken.
    pub(crate) hand_over: Duration,
    /// How long open requests are given after that.
    pub(crate) finish: Duration,
}

fn stop_plan(stop: std::sync::mpsc::Receiver<()>, stop_ms: u64) -> StopPlan {
    let (sender, asked) = watch::channel(false);
    thread::spawn(move || {
        if stop.recv().is_ok() {
            sender.send_replace(true);
        }
        // Kept until the process ends: a closed channel would look like a stop.
        loop {
            thread::park();
        }
    });
    let hand_over = HAND_OVER_MS.min(stop_ms / 2);
    StopPlan {
        asked,
        hand_over: Duration::from_millis(hand_over),
        finish: Duration::from_millis(stop_ms.saturating_sub(hand_over + STOP_SLACK_MS)),
    }
}

/// The control thread's own state.
struct Control {
    reducer: PoolEntry,
    start: Instant,
    inputs: Receiver<Input>,
    requests: BTreeMap<RequestId, Open>,
    pace: Pace,
    sides: mpsc::UnboundedSender<SideCommand>,
    limits: watch::Sender<CallerLimits>,
    shared: Arc<Shared>,
    metrics: Arc<EntryMetrics>,
    budget: LogBudget,
}

impl Control {
    fn run(mut self) {
        loop {
            let busy = !self.requests.is_empty();
            let every_ms = if busy { BUSY_TICK_MS } else { IDLE_TICK_MS };
            let left_ms = self.pace.left_ms(every_ms, self.now());
            match self.inputs.recv_timeout(Duration::from_millis(left_ms)) {
                Ok(input) => {
                    self.pace.note_event();
                    self.take(input);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            match self.pace.take(every_ms, self.now()) {
                Due::Nothing => {}
                Due::Look => self.tick(EntryEvent::Look),
                Due::Whole => self.tick(EntryEvent::Tick),
            }
        }
    }

    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    fn tick(&mut self, event: EntryEvent) {
        let moved =
            self.requests.iter_mut().filter_map(|(id, open)| open.take_progress().then_some(*id));
        let moved = moved.collect::<Vec<_>>();
        if !moved.is_empty() {
            self.step(EntryEvent::Progress(moved));
        }
        self.step(event);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let EntryEvent::Text(text) = &event {
                    self.limits.send_replace(text.limits);
                }
                if let EntryEvent::Leave(id) | EntryEvent::Finish(id, _) = &event {
                    self.requests.remove(id);
                }
                self.step(event);
            }
            Input::Arrive(arrival, open) => {
                self.requests.insert(arrival.id, open);
                self.step(EntryEvent::Arrive(arrival));
            }
        }
    }

    fn step(&mut self, event: EntryEvent) {
        let effects = self.reducer.step(self.now(), event);
        // Before the effects: whoever reads of a text in the log finds the process ready.
        self.shared.ready.store(self.reducer.ready(), Ordering::Relaxed);
        self.shared.in_hand.store(self.reducer.in_hand() as u64, Ordering::Relaxed);
        effects.into_iter().for_each(|effect| self.carry_out(effect));
    }

    fn carry_out(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Send(id, sending) => self.tell(id, Command::Send(sending), false),
            EntryEffect::Pass(id) => self.tell(id, Command::Pass, false),
            EntryEffect::Refuse(id, refusal) => {
                self.metrics.refused(refusal.reason);
                self.tell(id, Command::Refuse(refusal), true);
            }
            EntryEffect::Cut(id) => self.tell(id, Command::Cut, true),
            EntryEffect::Abandon(id) => self.tell(id, Command::Abandon, false),
            EntryEffect::Probe(address) => {
                self.side(SideCommand::Say(address, Box::new(PoolKind::Probe(Probe {}))));
            }
            EntryEffect::Want(address, want) => {
                self.metrics.wants.add();
                self.side(SideCommand::Say(address, Box::new(PoolKind::Want(want))));
            }
            EntryEffect::Used(address, used) => {
                self.side(SideCommand::Say(address, Box::new(PoolKind::Used(used))));
            }
            EntryEffect::Sides(addresses) => self.side(SideCommand::Keep(addresses)),
            EntryEffect::Log(event) => {
                if self.budget.take(event.event, self.now().0) {
                    log::info!("{event}");
                }
            }
        }
    }

    fn tell(&mut self, id: RequestId, command: Command, last: bool) {
        let Some(open) = self.requests.get(&id) else { return };
        let gone = open.commands.send(command).is_err();
        if last {
            self.requests.remove(&id);
        }
        // A task that is gone has its leaving on the way.
        if gone {
            log::debug!("event=request_gone request={}", id.0);
        }
    }

    fn side(&self, command: SideCommand) {
        if self.sides.send(command).is_err() {
            log::debug!("event=sides_gone");
        }
    }
}

/// A text with the bytes that it was read from.
#[derive(Clone)]
pub(crate) struct ReadText {
    pub(crate) copy: TextCopy,
    pub(crate) text: Arc<ServingText>,
}

/// The side beside an endpoint.
pub(crate) fn side_address(endpoint: SocketAddr, port: u16) -> SocketAddr {
    SocketAddr::new(endpoint.ip(), port)
}
