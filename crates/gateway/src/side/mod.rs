//! The side process: its control thread, and the tasks for its endpoint and its entries.

mod endpoint_client;
mod entries;

use std::{sync::Arc, thread, time::Duration};

use citronrill_base::{Millis, hash_bytes};
use citronrill_config::PoolSettings;
use citronrill_pool::{PoolSide, SideEffect, SideEvent};
use citronrill_wire::{PoolKind, SideState, StoreLoadKind, StoreLoadMessage};
use crossbeam::channel::{Receiver, RecvTimeoutError, unbounded};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

use self::{
    endpoint_client::{EndpointCall, EndpointClient},
    entries::{ConnectionContext, EntryConnections, accept_entries, fetch_config},
};
use crate::{
    config_transfer::ConfigTransfer,
    dialect::Dialect,
    entry::limit_bounds,
    error::GatewayError,
    logs::{LogRateLimit, LogStats},
    metrics::{Counter, Metrics, serve_metrics, write_log_counts, write_sample},
};

/// Metrics of a side.
struct SideMetrics {
    orders: Counter,
    polls: Counter,
    load_requests: Counter,
    /// Configurations that were fetched from entries.
    configs: Counter,
    /// Replies to entries' reports on limits.
    credit_replies: Counter,
    /// Grants of loads from the weight store.
    store_grants: Counter,
    /// Replies to entries' reports on shares.
    share_replies: Counter,
    logs: Arc<LogStats>,
}

impl Metrics for SideMetrics {
    fn render(&self) -> String {
        let mut text = String::new();
        write_sample(&mut text, "citronrill_orders_total", "", self.orders.value());
        write_sample(&mut text, "citronrill_polls_total", "", self.polls.value());
        write_sample(&mut text, "citronrill_wants_total", "", self.load_requests.value());
        write_sample(&mut text, "citronrill_texts_total", "", self.configs.value());
        let replies = self.credit_replies.value();
        write_sample(&mut text, "citronrill_credit_replies_total", "", replies);
        let grants = self.store_grants.value();
        write_sample(&mut text, "citronrill_store_grants_total", "", grants);
        let replies = self.share_replies.value();
        write_sample(&mut text, "citronrill_share_replies_total", "", replies);
        write_log_counts(&mut text, &self.logs);
        text
    }
}

/// Runs a side until `stop` receives a message.
///
/// # Errors
/// A required setting is missing, or an address cannot be bound.
pub fn run_side(
    settings: &PoolSettings,
    dialect: Arc<dyn Dialect>,
    logs: Arc<LogStats>,
    stop: std::sync::mpsc::Receiver<()>,
) -> Result<(), GatewayError> {
    let endpoint = settings.endpoint.ok_or(GatewayError::MissingSetting("endpoint address"))?;
    let (events, inputs) = unbounded();
    let (call_sender, calls) = mpsc::unbounded_channel();
    let (state_sender, states) = watch::channel(None);
    let metrics = Arc::new(SideMetrics {
        orders: Counter::default(),
        polls: Counter::default(),
        load_requests: Counter::default(),
        configs: Counter::default(),
        credit_replies: Counter::default(),
        store_grants: Counter::default(),
        share_replies: Counter::default(),
        logs,
    });
    let connections = Arc::new(EntryConnections::default());
    let control = ControlThread {
        reducer: PoolSide::new(&settings.service)
            .with_limits(limit_bounds(settings))
            .with_first_start(settings.first_start),
        start: std::time::Instant::now(),
        inputs,
        calls: call_sender,
        states: state_sender,
        connections: connections.clone(),
        metrics: metrics.clone(),
        log_limit: LogRateLimit::new(),
    };
    thread::Builder::new().name("control".to_owned()).spawn(move || control.run())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (transfer, transfer_events) = ConfigTransfer::new();
    let context = Arc::new(ConnectionContext {
        dialect: dialect.clone(),
        events: events.clone(),
        config: watch::Sender::new(None),
        states,
        connections,
        transfer,
        metrics: metrics.clone(),
    });
    let seed = hash_bytes(settings.name.as_bytes());
    let peers = settings.peers;
    let (done_sender, done) = tokio::sync::oneshot::channel();
    thread::spawn(move || {
        if stop.recv().is_ok() {
            // The receiver is dropped only when the process ends anyway.
            let _ = done_sender.send(());
        }
    });
    runtime.block_on(async {
        let listener = TcpListener::bind(peers).await;
        let listener =
            listener.map_err(|source| GatewayError::Listen { address: peers, source })?;
        log::info!(
            "event=started role=side endpoint={endpoint} peers={peers} first={}",
            settings.first_start
        );
        tokio::spawn(serve_metrics(settings.metrics, metrics));
        let client =
            EndpointClient { address: endpoint, holder: settings.name.clone(), dialect, events };
        tokio::spawn(client.run(calls));
        tokio::spawn(fetch_config(seed, transfer_events, context.clone()));
        tokio::spawn(accept_entries(listener, context));
        if done.await.is_err() {
            std::future::pending::<()>().await;
        }
        log::info!("event=stopped");
        Ok(())
    })
}

/// State of the control thread.
struct ControlThread {
    reducer: PoolSide,
    start: std::time::Instant,
    inputs: Receiver<SideEvent>,
    calls: mpsc::UnboundedSender<EndpointCall>,
    states: watch::Sender<Option<SideState>>,
    connections: Arc<EntryConnections>,
    metrics: Arc<SideMetrics>,
    log_limit: LogRateLimit,
}

impl ControlThread {
    fn run(mut self) {
        loop {
            let wait = Duration::from_millis(self.reducer.tick_interval_ms());
            let event = match self.inputs.recv_timeout(wait) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => SideEvent::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if let SideEvent::LoadRequest(..) = event {
                self.metrics.load_requests.increment();
            }
            let now = Millis(self.start.elapsed().as_millis() as u64);
            let effects = self.reducer.step(now, event);
            effects.into_iter().for_each(|effect| self.execute(effect));
        }
    }

    fn execute(&mut self, effect: SideEffect) {
        let call = match effect {
            SideEffect::Poll => {
                self.metrics.polls.increment();
                EndpointCall::Poll
            }
            SideEffect::QueryName(path) => EndpointCall::QueryName(path),
            SideEffect::Order(order) => {
                self.metrics.orders.increment();
                EndpointCall::Order(order)
            }
            SideEffect::Publish(state) => {
                self.states.send_replace(Some(*state));
                return;
            }
            SideEffect::Decline(link, name) => {
                self.connections.send(link, PoolKind::LoadDeclined(name));
                return;
            }
            SideEffect::Suspects(link, message) => {
                self.connections.send(link, PoolKind::Suspects(message));
                return;
            }
            SideEffect::Streams(link, message) => {
                self.connections.send(link, PoolKind::Streams(message));
                return;
            }
            SideEffect::Credit(link, reply) => {
                self.metrics.credit_replies.increment();
                self.connections.send(link, PoolKind::CreditReply(reply));
                return;
            }
            SideEffect::StoreLoads(link, reply) => {
                reply.grants.iter().for_each(|_| self.metrics.store_grants.increment());
                let kind = Some(StoreLoadKind::Reply(reply));
                self.connections.send(link, PoolKind::StoreLoads(StoreLoadMessage { kind }));
                return;
            }
            SideEffect::Shares(link, message) => {
                self.metrics.share_replies.increment();
                self.connections.send(link, PoolKind::Shares(message));
                return;
            }
            SideEffect::Log(event) => {
                let now_ms = self.start.elapsed().as_millis() as u64;
                if self.log_limit.allow(event.event, now_ms) {
                    log::info!("{event}");
                }
                return;
            }
        };
        if self.calls.send(call).is_err() {
            log::debug!("event=traffic_gone");
        }
    }
}
