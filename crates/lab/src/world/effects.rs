//! Carrying out the reducers' effects.

use super::*;

impl World {
    pub(super) fn entry_effect(&mut self, index: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Send { id, call, address, model, org, class, slack_ms, .. } => {
                let session = self.entries[index].session;
                let call_id = CallId { session, number: call };
                let side = self.sides.iter().find(|it| it.profile.address == address);
                // The entry works the expiry out from the side's clock, a little early.
                let clock = side.map_or(0, |side| self.now - side.start);
                let expires = clock + slack_ms;
                let session = side.map_or(0, |side| side.profile.session);
                let sending = Sending { entry: index, life, id, call, session };
                self.sessions.insert(call_id, session);
                let offer = Offer { id: call_id, model, org, class, session, expires };
                let delay = self.hop();
                let silence = Happening::Silence { sending, to: address.clone(), expires };
                self.schedule(SILENCE_MS, silence);
                if !self.rng.random_bool(self.faults.drop_part) {
                    self.schedule(delay, Happening::Offer { to: address, sending, offer });
                }
            }
            Effect::Cancel { id, call, endpoint } => {
                let number = CallId { session: self.entries[index].session, number: call };
                let session = self.sessions.get(&number).copied().unwrap_or(0);
                let sending = Sending { entry: index, life, id, call, session };
                let row = self.entries[index].core.view().endpoint(endpoint);
                let to = row.map(|row| row.address.clone()).unwrap_or_default();
                let delay = self.hop();
                let expires = u64::MAX;
                let forward = true;
                let cancel = Happening::CancelCall { to, sending, expires, forward };
                self.schedule(delay, cancel);
            }
            Effect::Refuse(id, refusal) => self.end(id, Ending::Refused(refusal)),
            Effect::Replay(id, _) => self.end(id, Ending::Replayed),
            Effect::Models(..) | Effect::Log(_) | Effect::Configured(_) => {}
            Effect::Feed(effect) => self.feed_effect(index, life, effect),
            Effect::Commit(id, txn) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::EntryCommit { from: index, life, id, txn });
            }
            Effect::Read(keys) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::EntryRead { from: index, life, keys });
            }
            Effect::ReadClaim(id, key) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::ClaimRead { from: index, life, id, key });
            }
            Effect::FetchText(head) => {
                let text = self.texts.get(&head.version).cloned();
                let peer = self.entries.iter().any(|it| it.core.version() == head.version);
                if let Some(text) = text.filter(|_| peer || !self.faults.table_down) {
                    let event = Event::Text { version: head.version, text };
                    let delay = self.table_hop();
                    self.schedule(delay, Happening::ToEntry(index, life, event));
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
                self.meter(index, &to, &frame.into());
                self.post(to, Event::Demand(demand));
            }
            Effect::Heard { to, model } => {
                let frame = wire::Verdict { model: model.clone(), kind: 3 };
                self.meter(index, &to, &frame.into());
                self.post(to, Event::Heard(model));
            }
            Effect::Verdict { to, model, kind } => {
                let frame = wire::Verdict { model: model.clone(), kind: 0 };
                self.meter(index, &to, &frame.into());
                self.post(to, Event::Verdict { model, kind });
            }
            Effect::Announce { to, row } => {
                self.meter(index, &to, &rows_frame(std::slice::from_ref(&row)));
                self.post(to, Event::Told(vec![row]));
            }
            Effect::Poke { address, from, .. } => {
                let side = self.sides.iter().position(|it| it.profile.address == address);
                if let Some(side) = side {
                    let (life, delay) = (self.sides[side].life, self.hop());
                    self.schedule(delay, Happening::ToSide(side, life, SideEvent::Poke(from)));
                }
            }
            Effect::Drained => {
                self.entries[index].alive = false;
                self.entries[index].life += 1;
                let name = self.entries[index].name.clone();
                self.listed.remove(&name);
            }
        }
    }

    pub(super) fn post(&mut self, to: String, event: Event) {
        if self.rng.random_bool(self.faults.drop_part) {
            return;
        }
        let delay = self.hop();
        if self.rng.random_bool(self.faults.twice_part) {
            self.schedule(delay + 3, Happening::ToAddress(to.clone(), event.clone()));
        }
        self.schedule(delay, Happening::ToAddress(to, event));
    }

    pub(super) fn feed_effect(&mut self, from: usize, life: u64, effect: FeedEffect) {
        match effect {
            FeedEffect::Ask { id, source: Source::Table, since } => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::Changes { from, life, id, since });
            }
            FeedEffect::Ask { id, source: Source::Peer(to), since } => {
                let delay = self.hop();
                self.schedule(delay, Happening::Pull { from, life, id, to, since });
            }
            FeedEffect::Answer { pull, page } => {
                if let Some((to, life, id)) = self.pulls.remove(&pull) {
                    let name = self.entries[to].name.clone();
                    self.meter(from, &name, &rows_frame(&page.rows));
                    self.meter(from, &name, &wire::FeedPull { id, since: page.sequence }.into());
                    let delay = self.hop();
                    let event = Event::Fed(id, Some(page));
                    self.schedule(delay, Happening::ToEntry(to, life, event));
                }
            }
        }
    }

    pub(super) fn pull(&mut self, from: usize, life: u64, id: u64, to: &str, since: u64) {
        let target = self.entries.iter().position(|it| it.alive && it.name == to);
        let Some(target) = target else {
            return self.schedule(1, Happening::ToEntry(from, life, Event::Fed(id, None)));
        };
        self.next += 1;
        let pull = self.next;
        self.pulls.insert(pull, (from, life, id));
        let target_life = self.entries[target].life;
        self.deliver_entry(target, target_life, Event::Pull { pull, since });
    }

    pub(super) fn side_effect(&mut self, index: SideIndex, life: u64, effect: SideEffect) {
        match effect {
            SideEffect::Read(id, keys) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::SideRead { from: index, life, id, keys });
            }
            SideEffect::Commit(id, txn) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::SideCommit { from: index, life, id, txn });
            }
            SideEffect::ListEngine => {
                self.schedule(1, Happening::EngineList { from: index, life });
            }
            SideEffect::Load { order, model, base, fence, memory_mb, peak_mb } => {
                let order = LoadStart { order, model, base, fence, memory_mb, peak_mb };
                let delay = self.order_delay();
                self.schedule(delay, Happening::EngineLoad { from: index, life, order });
            }
            SideEffect::Unload { order, model, fence } => {
                let delay = self.order_delay();
                let unload = Happening::EngineUnload { from: index, life, order, model, fence };
                self.schedule(delay, unload);
            }
            SideEffect::Run(call) => self.run_call(index, life, call),
            SideEffect::Attach(_) => {}
            SideEffect::Decline(call, why) => self.declined(index, call, why),
            SideEffect::Stop(call) => {
                self.schedule(5, Happening::RunEnds { side: index, life, call });
            }
            SideEffect::Cancelled(call, answer) => self.cancel_answer(index, call, answer),
            SideEffect::Announce(to, row) => {
                self.meters.side_bytes += frame_bytes(&rows_frame(std::slice::from_ref(&row)));
                self.post(to, Event::Told(vec![row]));
            }
            SideEffect::Log(_) => {}
            SideEffect::Superseded | SideEffect::Drained => {
                self.sides[index].alive = false;
                self.sides[index].life += 1;
                let leaving = self.sides[index].core.endpoint_row().is_some_and(|row| row.leaving);
                if effect == SideEffect::Drained && leaving {
                    let name = self.sides[index].profile.instance.clone();
                    let endpoint = self.sides[index].endpoint;
                    if self.engines[endpoint].is_empty() && !self.has_side(endpoint) {
                        self.listed.remove(&name);
                    }
                }
            }
        }
    }

    /// Orders are on their way for at most [`citronrill_decide::ORDER_TRANSIT_MS`].
    pub(super) fn order_delay(&mut self) -> u64 {
        if self.rng.random_bool(self.faults.slow_part) {
            return self.rng.random_range(1..citronrill_decide::ORDER_TRANSIT_MS);
        }
        1
    }

    pub(super) fn engine_list(&mut self, from: SideIndex, life: u64) {
        let engine = &self.engines[self.sides[from].endpoint];
        let report =
            engine.alive.then(|| EngineReport { held: engine.report(), cached: engine.cached() });
        let delay = self.hop();
        self.schedule(delay, Happening::ToSide(from, life, SideEvent::Engine(report)));
    }

    pub(super) fn engine_load(&mut self, from: SideIndex, life: u64, order: &LoadStart) {
        self.count_idle();
        let endpoint = self.sides[from].endpoint;
        let spec = self.registry.models.get(&order.model);
        let spec = spec.and_then(|key| self.catalogue.models.get(&key));
        let tier = self.engines[endpoint].tier(&order.model);
        let time = spec.map_or(1_000, |spec| citronrill_decide::load_ms(spec, tier));
        let running = self.engines.iter().map(|it| it.remote_loads).sum::<u64>();
        let strained = self.faults.weights_slow.max(1);
        let time = match tier {
            Tier::Remote => {
                let once = self.catalogue.pool.loads_once.max(1);
                time * strained * (running + 1).max(once) / once
            }
            Tier::Disk | Tier::Ram => time,
        };
        let fails = self.rng.random_bool(self.faults.load_fails);
        match self.engines[endpoint].begin_load(order, tier, fails) {
            Ok(true) => {
                let (order, model) = (order.order, order.model.clone());
                let loaded = Happening::EngineLoaded { from, life, endpoint, order, model };
                self.schedule(time, loaded);
            }
            Ok(false) => {}
            Err(violation) => {
                let refused = SideEvent::OrderDone { order: order.order, done: false };
                self.schedule(1, Happening::ToSide(from, life, refused));
                self.violations.extend(violation);
            }
        }
    }
}
