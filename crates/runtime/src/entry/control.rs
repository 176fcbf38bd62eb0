//! The control thread of an entry: passes events to the reducer and carries out its effects.

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

use citronrill_decide::{
    Effect, Entry, Event, FeedEffect, Page, Refusal, RefusalKind, Source,
    rows::{FEED, HeadRow},
};
use citronrill_http::{Header, respond};
use citronrill_platform::{ObjectStore, Table};
use citronrill_wire::{self as wire};
use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::{
    Input, Shared,
    dump::dump,
    exchange::{self, Attempt},
    peers::{DEMAND_ACKED, UNSOLICITED, class_number, refusal_number, rows_frame},
    requests::PendingRequest,
};
use crate::{
    clock::minute_of_day,
    json::model_list,
    link::{CallMessage, Link},
    response,
};

/// Interval between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(50);

pub(super) struct Control {
    shared: Arc<Shared>,
    entry: Entry,
    session: u64,
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    pulls: HashMap<u64, (Arc<Link>, u64)>,
    next_pull: u64,
    last_tick: Instant,
    busy: Duration,
    started: Instant,
}

impl Control {
    pub(super) fn new(
        shared: Arc<Shared>,
        entry: Entry,
        session: u64,
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
    ) -> Control {
        let now = Instant::now();
        Control {
            shared,
            entry,
            session,
            table,
            objects,
            pulls: HashMap::new(),
            next_pull: 0,
            last_tick: now,
            busy: Duration::ZERO,
            started: now,
        }
    }

    /// Runs until the process is drained or stopped.
    pub(super) fn run(mut self, inputs: &Receiver<Input>) {
        let mut effects = Vec::new();
        loop {
            let wait = TICK.saturating_sub(self.last_tick.elapsed());
            let input = inputs.recv_timeout(wait);
            let begun = Instant::now();
            match input {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => self.handle_input(input, &mut effects),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.last_tick.elapsed() >= TICK {
                self.last_tick = Instant::now();
                let minute = minute_of_day();
                self.step(Event::Tick { minute }, &mut effects);
                self.publish();
            }
            let drained = effects.contains(&Effect::Drained);
            for effect in effects.drain(..) {
                self.perform(effect);
            }
            self.busy += begun.elapsed();
            if drained {
                break;
            }
        }
        self.stop();
    }

    fn step(&mut self, event: Event, effects: &mut Vec<Effect>) {
        let begun = Instant::now();
        self.entry.step(self.shared.clock.now(), event, effects);
        self.shared.meter.record_time("control_step", begun.elapsed().as_micros() as u64);
    }

    fn handle_input(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Event(event) => self.step(event, effects),
            Input::Dump(link) => {
                let json = dump(&self.entry, &self.shared, self.busy, self.started);
                link.send(wire::DumpReply { json }.into());
            }
            Input::ConfigRequest(link, version) => {
                let config = (self.entry.config_version() == version)
                    .then(|| self.entry.config_source().to_owned());
                link.send(wire::ConfigReply { version, config }.into());
            }
            Input::FeedPull(link, id, since) => {
                self.next_pull += 1;
                self.pulls.retain(|_, (link, _)| !link.is_dead());
                self.pulls.insert(self.next_pull, (link, id));
                let pull = self.next_pull;
                self.step(Event::FeedPull { pull, since }, effects);
            }
            Input::Stop => {}
        }
    }

    /// Updates the readiness and the gauges that other threads report.
    fn publish(&self) {
        self.shared.ready.store(self.entry.ready(), Ordering::Release);
        let mut gauges = self.shared.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        *gauges = vec![
            ("config_version", self.entry.config_version()),
            ("config_confirmed", u64::from(self.entry.confirmed())),
            ("store_up", u64::from(self.entry.store_is_up())),
            ("requests_open", self.entry.open_requests() as u64),
            ("requests_waiting", self.entry.waiting_requests() as u64),
            ("home_models", self.entry.coordinated_models() as u64),
            ("feed_sequence", self.entry.feed().sequence()),
            ("control_busy_ms", self.busy.as_millis() as u64),
        ];
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send { .. } => self.start_exchange(effect),
            Effect::Cancel { id, .. } => {
                let exchange = self.shared.exchanges().get(&id).cloned();
                if let Some(exchange) = exchange {
                    self.shared.senders.run(move || exchange.cancel());
                }
            }
            Effect::Refuse(id, refusal) => {
                let kind = refusal.kind.as_str();
                self.shared.meter.add("refusals", kind, 1);
                let pending = self.shared.pending().remove(&id);
                match pending {
                    Some(pending) => self.refuse(pending, refusal),
                    None => {
                        if let Some(exchange) = self.shared.exchanges().get(&id) {
                            exchange.notify(CallMessage::Refuse(refusal));
                        }
                    }
                }
            }
            Effect::Replay(id, answer) => {
                self.shared.meter.add("replays", "", 1);
                if let Some(pending) = self.shared.pending().remove(&id) {
                    self.shared.senders.run(move || {
                        let headers = [
                            Header::new("Content-Type", &answer.content_type),
                            Header::new("Idempotency-Replayed", "true"),
                        ];
                        let body = answer.body.unwrap_or_default();
                        let _ = respond(pending.request, answer.status, &headers, &body);
                    });
                }
            }
            Effect::ListModels(id, models) => {
                let Some(pending) = self.shared.pending().remove(&id) else { return };
                match models {
                    Err(refusal) => self.refuse(pending, refusal),
                    Ok(names) => drop(self.shared.senders.run(move || {
                        let headers = [Header::new("Content-Type", "application/json")];
                        let body = model_list(&names);
                        let _ = respond(pending.request, 200, &headers, body.as_bytes());
                    })),
                }
            }
            Effect::Feed(effect) => self.perform_feed(effect),
            Effect::Commit(id, txn) => {
                self.shared.meter.add("table_commits", "", 1);
                let table = self.table.clone();
                self.query_platform(move || Some(Event::TxnFinished(id, table.commit(&txn))));
            }
            Effect::Read(keys) => {
                self.shared.meter.add("table_reads", "", 1);
                let table = self.table.clone();
                self.query_platform(move || table.read(&keys).ok().map(Event::Rows));
            }
            Effect::ReadClaim(id, key) => {
                self.shared.meter.add("table_reads", "", 1);
                let table = self.table.clone();
                self.query_platform(move || {
                    let row = table.read(&[key]).ok().and_then(|mut rows| rows.pop());
                    Some(Event::ClaimRead(id, row))
                });
            }
            Effect::FetchConfig(head) => self.fetch_config(head),
            Effect::Demand { to, demand } => {
                let frame = wire::Demand {
                    model: demand.model,
                    waiting: demand.waiting,
                    slack_ms: demand.slack_ms,
                    class: class_number(demand.class),
                    from: demand.from,
                };
                self.send_frame(to, frame.into());
            }
            Effect::AckDemand { to, model } => {
                self.send_frame(to, wire::DemandReply { model, kind: DEMAND_ACKED }.into());
            }
            Effect::RefuseLoad { to, model, kind } => {
                let kind = refusal_number(kind);
                self.send_frame(to, wire::DemandReply { model, kind }.into());
            }
            Effect::NotifySide { address, from, .. } => {
                self.send_frame(address, wire::RowChanged { reply_to: from }.into());
            }
            Effect::Announce { to, row } => {
                let page = Page { rows: vec![row], ..Page::default() };
                self.send_frame(to, rows_frame(UNSOLICITED, page).into());
            }
            Effect::ConfigActivated(version) => {
                self.shared.meter.add("configurations", "", 1);
                log::debug!("event=configured version={version}");
            }
            Effect::Log(event) => log::info!("{event}"),
            Effect::Drained => {}
        }
    }

    fn start_exchange(&self, effect: Effect) {
        let Some((id, attempt)) = Attempt::from_effect(effect) else { return };
        let Some(pending) = self.shared.pending().remove(&id) else { return };
        self.shared.meter.add("sends", "", 1);
        exchange::start(&self.shared, self.session, pending, attempt);
    }

    fn refuse(&self, pending: PendingRequest, refusal: Refusal) {
        self.shared.senders.run(move || {
            let _ = response::refuse(pending.request, &refusal);
        });
    }

    /// Queries the platform in another thread. If the pool's queue is full, the query is dropped and
    /// the reducer's timeout applies.
    fn query_platform(&self, query: impl FnOnce() -> Option<Event> + Send + 'static) {
        let shared = self.shared.clone();
        self.shared.platform.run(move || {
            if let Some(event) = query() {
                shared.event(event);
            }
        });
    }

    fn send_frame(&self, to: String, frame: wire::Frame) {
        let shared = self.shared.clone();
        self.shared.senders.run(move || {
            let _ = shared.links.send(&to, frame);
        });
    }

    fn perform_feed(&mut self, effect: FeedEffect) {
        match effect {
            FeedEffect::Pull { id, source: Source::Table, since } => {
                self.shared.meter.add("table_polls", "", 1);
                let table = self.table.clone();
                self.query_platform(move || {
                    let changes = table.changes(FEED, since, citronrill_decide::PAGE_ROWS).ok();
                    let page = changes.map(|changes| Page {
                        rows: changes.rows,
                        sequence: changes.sequence,
                        age_ms: 0,
                    });
                    Some(Event::FeedAnswer(id, page))
                });
            }
            FeedEffect::Pull { id, source: Source::Peer(address), since } => {
                let shared = self.shared.clone();
                self.shared.senders.run(move || {
                    if !shared.links.send(&address, wire::FeedPull { id, since }.into()) {
                        shared.event(Event::FeedAnswer(id, None));
                    }
                });
            }
            FeedEffect::AnswerPull { pull, page } => {
                if let Some((link, id)) = self.pulls.remove(&pull) {
                    self.shared.senders.run(move || {
                        let _ = link.send(rows_frame(id, page).into());
                    });
                }
            }
        }
    }

    /// Fetches a configuration from the object store, or requests it from peers if the store does
    /// not answer or does not have it.
    fn fetch_config(&self, head: HeadRow) {
        let objects = self.objects.clone();
        let peers = self.entry.view().members().map(|(_, row)| row.address.clone());
        let peers = peers.collect::<Vec<_>>();
        let shared = self.shared.clone();
        self.shared.platform.run(move || {
            let stored = objects.get(&head.object).ok().flatten();
            if let Some(source) = stored.and_then(|bytes| String::from_utf8(bytes).ok()) {
                return shared.event(Event::Config { version: head.version, source });
            }
            for address in peers {
                shared.links.send(&address, wire::ConfigRequest { version: head.version }.into());
            }
        });
    }

    /// Refuses the pending requests and closes all connections at the end of the thread.
    fn stop(&self) {
        let remaining = std::mem::take(&mut *self.shared.pending());
        for pending in remaining.into_values() {
            let _ = response::refuse(pending.request, &Refusal::not_run(RefusalKind::Draining));
        }
        self.shared.links.close();
        log::info!("event=stopped");
    }
}
