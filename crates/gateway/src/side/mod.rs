//! A side process: its control thread, its endpoint and its entries.

mod engine;
mod entries;

use std::{sync::Arc, thread, time::Duration};

use citronrill_base::{Millis, hash_bytes};
use citronrill_config::PoolSettings;
use citronrill_pool::{PoolSide, SideEffect, SideEvent};
use citronrill_wire::{PoolKind, SideState};
use crossbeam::channel::{Receiver, RecvTimeoutError, unbounded};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

use self::{
    engine::{Engine, Task},
    entries::{Links, Shared, accept, fetch_texts},
};
use crate::{
    copies::Copies,
    dialect::Dialect,
    error::GatewayError,
    logs::{LogBudget, LogStats},
    metrics::{Counter, Show, line, log_lines, serve_metrics},
};

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
