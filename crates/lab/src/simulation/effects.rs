//! Execution of the reducers' effects.

use super::*;

impl Simulation {
    pub(super) fn entry_effect(&mut self, index: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Send { id, call, address, model, org, class, slack_ms, .. } => {
                let session = self.entries[index].session;
                let call_id = CallId { session, number: call };
                let side = self.sides.iter().find(|side| side.profile.address == address);
                // The entry computes the expiry on the side's clock, slightly early.
                let clock = side.map_or(0, |side| self.now - side.started_at);
                let expires = clock + slack_ms;
                let session = side.map_or(0, |side| side.profile.session);
                let attempt = Attempt { entry: index, incarnation, id, call, session };
                self.call_sessions.insert(call_id, session);
                let offer = Offer { id: call_id, model, org, class, session, expires };
                let delay = self.network_delay();
                let response_timeout =
                    SimEvent::ResponseTimeout { attempt, to: address.clone(), expires };
                self.schedule(RESPONSE_TIMEOUT_MS, response_timeout);
                if !self.rng.random_bool(self.faults.dropped_messages) {
                    self.schedule(delay, SimEvent::Offer { to: address, attempt, offer });
                }
            }
            Effect::Cancel { id, call, endpoint } => {
                let number = CallId { session: self.entries[index].session, number: call };
                let session = self.call_sessions.get(&number).copied().unwrap_or(0);
                let attempt = Attempt { entry: index, incarnation, id, call, session };
                let row = self.entries[index].reducer.view().endpoint(endpoint);
                let to = row.map(|row| row.address.clone()).unwrap_or_default();
                let delay = self.network_delay();
                // The effect does not state the call's deadline; `cancel_call` assumes one second.
                let expires = u64::MAX;
                let from_reducer = true;
                let cancel = SimEvent::CancelCall { to, attempt, expires, from_reducer };
                self.schedule(delay, cancel);
            }
            Effect::Refuse(id, refusal) => {
                self.record_outcome(id, RequestOutcome::Refused(refusal))
            }
            Effect::Replay(id, _) => self.record_outcome(id, RequestOutcome::Replayed),
            Effect::ListModels(..) | Effect::Log(_) | Effect::ConfigActivated(_) => {}
            Effect::Feed(effect) => self.feed_effect(index, incarnation, effect),
            Effect::Commit(id, txn) => {
                let delay = self.table_delay();
                self.schedule(delay, SimEvent::EntryCommit { from: index, incarnation, id, txn });
            }
            Effect::Read(keys) => {
                let delay = self.table_delay();
                self.schedule(delay, SimEvent::EntryRead { from: index, incarnation, keys });
            }
            Effect::ReadClaim(id, key) => {
                let delay = self.table_delay();
                self.schedule(delay, SimEvent::ClaimRead { from: index, incarnation, id, key });
            }
            Effect::FetchConfig(head) => {
                let config = self.configs.get(&head.version).cloned();
                let peer =
                    self.entries.iter().any(|entry| entry.reducer.config_version() == head.version);
                if let Some(config) = config.filter(|_| peer || !self.faults.table_down) {
                    let event = Event::Config { version: head.version, source: config };
                    let delay = self.table_delay();
                    self.schedule(delay, SimEvent::ToEntry(index, incarnation, event));
                }
            }
            Effect::Demand { to, demand } => {
                let frame = wire::Demand {
                    model: demand.model.clone(),
                    waiting: demand.waiting,
                    slack_ms: demand.slack_ms,
                    class: 0,
                    from: demand.from.clone(),
                };
                self.count_frame(index, &to, &frame.into());
                self.send_message(to, Event::Demand(demand));
            }
            Effect::AckDemand { to, model } => {
                let frame = wire::DemandReply { model: model.clone(), kind: 3 };
                self.count_frame(index, &to, &frame.into());
                self.send_message(to, Event::DemandAcked(model));
            }
            Effect::RefuseLoad { to, model, kind } => {
                let frame = wire::DemandReply { model: model.clone(), kind: 0 };
                self.count_frame(index, &to, &frame.into());
                self.send_message(to, Event::LoadRefused { model, kind });
            }
            Effect::Announce { to, row } => {
                self.count_frame(index, &to, &rows_frame(std::slice::from_ref(&row)));
                self.send_message(to, Event::Announced(vec![row]));
            }
            Effect::NotifySide { address, from, .. } => {
                let side = self.sides.iter().position(|side| side.profile.address == address);
                if let Some(side) = side {
                    let (incarnation, delay) = (self.sides[side].incarnation, self.network_delay());
                    self.schedule(
                        delay,
                        SimEvent::ToSide(side, incarnation, SideEvent::RowChanged(from)),
                    );
                }
            }
            Effect::Drained => {
                self.entries[index].alive = false;
                self.entries[index].incarnation += 1;
                let name = self.entries[index].name.clone();
                self.instances.remove(&name);
            }
        }
    }

    pub(super) fn send_message(&mut self, to: String, event: Event) {
        if self.rng.random_bool(self.faults.dropped_messages) {
            return;
        }
        let delay = self.network_delay();
        if self.rng.random_bool(self.faults.duplicated_messages) {
            self.schedule(delay + 3, SimEvent::ToAddress(to.clone(), event.clone()));
        }
        self.schedule(delay, SimEvent::ToAddress(to, event));
    }

    pub(super) fn feed_effect(&mut self, from: usize, incarnation: u64, effect: FeedEffect) {
        match effect {
            FeedEffect::Pull { id, source: Source::Table, since } => {
                let delay = self.table_delay();
                self.schedule(delay, SimEvent::ReadChanges { from, incarnation, id, since });
            }
            FeedEffect::Pull { id, source: Source::Peer(to), since } => {
                let delay = self.network_delay();
                self.schedule(delay, SimEvent::Pull { from, incarnation, id, to, since });
            }
            FeedEffect::AnswerPull { pull, page } => {
                if let Some((to, incarnation, id)) = self.pending_pulls.remove(&pull) {
                    let name = self.entries[to].name.clone();
                    self.count_frame(from, &name, &rows_frame(&page.rows));
                    self.count_frame(
                        from,
                        &name,
                        &wire::FeedPull { id, since: page.sequence }.into(),
                    );
                    let delay = self.network_delay();
                    let event = Event::FeedAnswer(id, Some(page));
                    self.schedule(delay, SimEvent::ToEntry(to, incarnation, event));
                }
            }
        }
    }

    pub(super) fn pull(&mut self, from: usize, incarnation: u64, id: u64, to: &str, since: u64) {
        let target = self.entries.iter().position(|entry| entry.alive && entry.name == to);
        let Some(target) = target else {
            return self
                .schedule(1, SimEvent::ToEntry(from, incarnation, Event::FeedAnswer(id, None)));
        };
        self.next_event += 1;
        let pull = self.next_event;
        self.pending_pulls.insert(pull, (from, incarnation, id));
        let target_incarnation = self.entries[target].incarnation;
        self.deliver_entry(target, target_incarnation, Event::FeedPull { pull, since });
    }

    pub(super) fn side_effect(&mut self, index: SideIndex, incarnation: u64, effect: SideEffect) {
        match effect {
            SideEffect::Read(id, keys) => {
                let delay = self.table_delay();
                self.schedule(delay, SimEvent::SideRead { from: index, incarnation, id, keys });
            }
            SideEffect::Commit(id, txn) => {
                let delay = self.table_delay();
                self.schedule(delay, SimEvent::SideCommit { from: index, incarnation, id, txn });
            }
            SideEffect::ListEngine => {
                self.schedule(1, SimEvent::EngineList { from: index, incarnation });
            }
            SideEffect::Load { order, model, base, fence, memory_mb, peak_mb } => {
                let order = LoadOrder { order, model, base, fence, memory_mb, peak_mb };
                let delay = self.order_delay();
                self.schedule(delay, SimEvent::EngineLoad { from: index, incarnation, order });
            }
            SideEffect::Unload { order, model, fence } => {
                let delay = self.order_delay();
                let unload =
                    SimEvent::EngineUnload { from: index, incarnation, order, model, fence };
                self.schedule(delay, unload);
            }
            SideEffect::RunCall(call) => self.run_call(index, incarnation, call),
            SideEffect::AttachCall(_) => {}
            SideEffect::Decline(call, why) => self.declined(index, call, why),
            SideEffect::AbortCall(call) => {
                self.schedule(5, SimEvent::CallFinished { side: index, incarnation, call });
            }
            SideEffect::AnswerCancel(call, answer) => self.cancel_answer(index, call, answer),
            SideEffect::Announce(to, row) => {
                self.meters.side_bytes += frame_bytes(&rows_frame(std::slice::from_ref(&row)));
                self.send_message(to, Event::Announced(vec![row]));
            }
            SideEffect::Log(_) => {}
            SideEffect::Superseded | SideEffect::Drained => {
                self.sides[index].alive = false;
                self.sides[index].incarnation += 1;
                let leaving =
                    self.sides[index].reducer.endpoint_row().is_some_and(|row| row.leaving);
                if effect == SideEffect::Drained && leaving {
                    let name = self.sides[index].profile.instance.clone();
                    let endpoint = self.sides[index].endpoint;
                    if self.engines[endpoint].is_empty() && !self.has_side(endpoint) {
                        self.instances.remove(&name);
                    }
                }
            }
        }
    }

    /// Returns the transit time of an order, at most [`citronrill_decide::ORDER_TRANSIT_MS`].
    pub(super) fn order_delay(&mut self) -> u64 {
        if self.rng.random_bool(self.faults.delayed_messages) {
            return self.rng.random_range(1..citronrill_decide::ORDER_TRANSIT_MS);
        }
        1
    }

    pub(super) fn engine_list(&mut self, from: SideIndex, incarnation: u64) {
        let engine = &self.engines[self.sides[from].endpoint];
        let report =
            engine.alive.then(|| EngineReport { models: engine.report(), cached: engine.cached() });
        let delay = self.network_delay();
        self.schedule(delay, SimEvent::ToSide(from, incarnation, SideEvent::EngineListed(report)));
    }

    pub(super) fn engine_load(&mut self, from: SideIndex, incarnation: u64, order: &LoadOrder) {
        self.accumulate_idle();
        let endpoint = self.sides[from].endpoint;
        let spec = self.registry.models.get(&order.model);
        let spec = spec.and_then(|key| self.catalogue.models.get(&key));
        let tier = self.engines[endpoint].tier(&order.model);
        let time = spec.map_or(1_000, |spec| citronrill_decide::load_ms(spec, tier));
        let running = self.engines.iter().map(|engine| engine.remote_loads).sum::<u64>();
        let slowdown = self.faults.store_slowdown.max(1);
        let time = match tier {
            Tier::Remote => {
                let limit = self.catalogue.pool.concurrent_loads.max(1);
                time * slowdown * (running + 1).max(limit) / limit
            }
            Tier::Disk | Tier::Ram => time,
        };
        let fails = self.rng.random_bool(self.faults.failed_loads);
        match self.engines[endpoint].begin_load(order, tier, fails) {
            Ok(true) => {
                let (order, model) = (order.order, order.model.clone());
                let loaded = SimEvent::EngineLoaded { from, incarnation, endpoint, order, model };
                self.schedule(time, loaded);
            }
            Ok(false) => {}
            Err(violation) => {
                let refused = SideEvent::OrderDone { order: order.order, done: false };
                self.schedule(1, SimEvent::ToSide(from, incarnation, refused));
                self.violations.extend(violation);
            }
        }
    }
}
