//! The endpoints known to an entry, from the member list and from the reports of their sides.

use std::net::SocketAddr;

use citronrill_base::{Interner, Map, Millis, ModelKey, Set};
use citronrill_wire::SideState;

use crate::{
    advertised::Advertised,
    delisted::DelistedEndpoints,
    endpoint::{Endpoint, ModelInventory, SideView},
    incarnation::{IncarnationChange, OLDER_START_DELAY_MS, StartTime},
    member::{Member, MemberChange},
    rewrite::Rewrite,
    server_load::Pace,
    side::LOAD_INTERVAL_MS,
    store_version::StoreVersion,
};

/// Result of applying a side's report.
#[derive(Debug)]
pub(crate) struct ReportOutcome {
    /// The incarnation that has ended, if the side named another one.
    pub(crate) ended: Option<String>,
    /// Whether the endpoint has restarted under the same name.
    pub(crate) restarted: bool,
    /// Whether the side says for the first time that the endpoint leaves.
    pub(crate) departed: bool,
}

/// Result of applying a change of the member list.
#[derive(Debug, Default)]
pub(crate) struct ListOutcome {
    /// Whether the set of usable endpoints has changed.
    pub(crate) usable_changed: bool,
    /// The version of the list, if it is older than the one that is known and was left out.
    pub(crate) outdated: Option<StoreVersion>,
    /// Endpoints that have restarted under the same name.
    pub(crate) restarted: Vec<String>,
    /// Endpoints whose list entry was deferred because it belongs to an incarnation that has
    /// presumably ended.
    pub(crate) deferred: Vec<String>,
    /// Services of endpoints that have started to leave, or have disappeared without announcing it.
    pub(crate) departed: Vec<String>,
    /// List entries of services that the configuration does not name, with the services.
    pub(crate) unserved: Vec<(String, String)>,
}

/// The endpoints by instance name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) endpoints: Map<String, Endpoint>,
    by_address: Map<SocketAddr, String>,
    pub(crate) delisted: DelistedEndpoints,
    rewrite: Rewrite,
    /// Incarnations known to have ended that the member list may still name.
    ended: Set<String>,
    /// The services in the configuration; `None` while no configuration is known.
    services: Option<Set<String>>,
    /// List entries of services that the configuration does not name.
    unserved: Map<String, Member>,
    pub(crate) list_version: StoreVersion,
}

impl Pool {
    /// Applies a change of the member list.
    pub(crate) fn apply(
        &mut self,
        change: MemberChange,
        names: &mut Interner<ModelKey>,
        now: Millis,
    ) -> ListOutcome {
        let mut outcome = ListOutcome::default();
        // A list that was read earlier can arrive later; it must not bring back endpoints that have
        // left.
        if change.version < self.list_version {
            outcome.outdated = Some(change.version);
            return outcome;
        }
        if self.list_version.is_known() && change.version.era > self.list_version.era {
            self.rewrite.begin(now);
        }
        self.list_version = change.version;
        let restored = change.complete && self.rewrite.is_under_way(now);
        if change.complete {
            self.drop_unlisted(&change.rows, now, &mut outcome);
        }
        for (id, member) in change.rows {
            self.rewrite.listed(&id, !change.complete);
            match member {
                Some(member) if restored && self.may_have_ended(&id) => {
                    self.remove_unlisted(&id, now, &mut outcome);
                    self.rewrite.hold(member);
                }
                Some(member) if self.is_served(&member.service) => {
                    self.unserved.remove(&id);
                    self.upsert(member, change.complete, names, now, &mut outcome);
                }
                member => {
                    self.ended.remove(&id);
                    self.remove_unlisted(&id, now, &mut outcome);
                    self.unserved.remove(&id);
                    if let Some(member) = member {
                        outcome.unserved.push((id.clone(), member.service.clone()));
                        self.unserved.insert(id, member);
                    }
                }
            }
        }
        outcome
    }

    /// Returns whether an endpoint was not listed any more before the store came back from a copy.
    fn may_have_ended(&self, id: &str) -> bool {
        self.delisted.contains(id) || self.rewrite.is_doubtful(id)
    }

    /// Removes endpoints that a complete member list does not contain.
    fn drop_unlisted(
        &mut self,
        rows: &[(String, Option<Member>)],
        now: Millis,
        outcome: &mut ListOutcome,
    ) {
        let listed = |id: &String| rows.iter().any(|(row, _)| row == id);
        self.ended.retain(listed);
        self.unserved.retain(|id, _| listed(id));
        let reported =
            |endpoint: &Endpoint| endpoint.unlisted && endpoint.fresh_side(now).is_some();
        let gone =
            self.endpoints.iter().filter(|(id, endpoint)| !listed(id) && !reported(endpoint));
        let gone = gone.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        if self.rewrite.is_under_way(now) {
            self.rewrite.await_rows(gone);
            return;
        }
        gone.iter().for_each(|id| self.remove_unlisted(id, now, outcome));
    }

    /// Removes the endpoints that have not written their rows again in time after the store came back from a
    /// copy, and takes over the rows of the copy that nothing has contradicted.
    pub(crate) fn end_rewrite(
        &mut self,
        names: &mut Interner<ModelKey>,
        now: Millis,
    ) -> ListOutcome {
        let mut outcome = ListOutcome::default();
        for id in self.rewrite.take_missing(now) {
            self.remove_unlisted(&id, now, &mut outcome);
        }
        for member in self.rewrite.take_held(now) {
            if self.is_served(&member.service) {
                self.upsert(member, true, names, now, &mut outcome);
            }
        }
        outcome
    }

    /// Removes an endpoint that is no longer listed.
    fn remove_unlisted(&mut self, id: &str, now: Millis, outcome: &mut ListOutcome) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        if endpoint.accepts_requests() {
            outcome.departed.push(endpoint.member.service.clone());
        }
        outcome.usable_changed = true;
        self.remove(id, now);
    }

    /// Returns whether the configuration names a service; any service counts while no configuration
    /// is known.
    fn is_served(&self, service: &str) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(service))
    }

    /// Sets the services that the configuration names, and moves list entries accordingly.
    ///
    /// Guards against another writer's list entry that names a service which is not served, and the
    /// address of an endpoint that is served. If it were taken for a new endpoint at that address,
    /// it would replace the one that serves.
    pub(crate) fn set_services(
        &mut self,
        services: Set<String>,
        names: &mut Interner<ModelKey>,
        now: Millis,
    ) -> ListOutcome {
        let mut outcome = ListOutcome::default();
        let unserved = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| !services.contains(&endpoint.member.service));
        let unserved = unserved.map(|(id, endpoint)| (id.clone(), endpoint.member.clone()));
        let unserved = unserved.collect::<Vec<_>>();
        let served = self.unserved.iter().filter(|(_, member)| services.contains(&member.service));
        let served = served.map(|(_, member)| member.clone()).collect::<Vec<_>>();
        self.services = Some(services);
        for (id, member) in unserved {
            self.remove(&id, now);
            outcome.usable_changed = true;
            outcome.unserved.push((id.clone(), member.service.clone()));
            self.unserved.insert(id, member);
        }
        for member in served {
            self.unserved.remove(&member.instance);
            self.upsert(member, true, names, now, &mut outcome);
        }
        outcome
    }

    /// Removes an endpoint; another one listed at its address takes over the address.
    pub(crate) fn remove(&mut self, id: &str, now: Millis) {
        if let Some(endpoint) = self.take_out(id, now) {
            self.release_address(endpoint.member.address, id);
        }
    }

    /// Takes an endpoint out, and keeps what it has said of itself.
    fn take_out(&mut self, id: &str, now: Millis) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(id)?;
        self.delisted.keep(&endpoint, now);
        Some(endpoint)
    }

    /// Returns what an endpoint has said of itself, listed or not, if the response to a request that was
    /// dispatched at `sent_at` can be of its incarnation.
    pub(crate) fn advertised_mut(
        &mut self,
        instance: &str,
        sent_at: Millis,
    ) -> Option<&mut Advertised> {
        let listed = self.endpoints.get_mut(instance);
        let (advertised, known_since) = match listed {
            Some(endpoint) => (&mut endpoint.advertised, endpoint.known_since),
            None => {
                let delisted = self.delisted.get_mut(instance)?;
                (&mut delisted.advertised, delisted.known_since)
            }
        };
        (sent_at >= known_since).then_some(advertised)
    }

    /// Returns whether an endpoint is listed, or was until recently.
    pub(crate) fn remembers(&self, instance: &str) -> bool {
        self.endpoints.contains_key(instance) || self.delisted.contains(instance)
    }

    /// Reassigns the address of an endpoint to another one that is listed there.
    fn release_address(&mut self, address: SocketAddr, id: &str) {
        if self.by_address.get(&address).is_none_or(|held| held != id) {
            return;
        }
        let mut others = self.endpoints.values().map(|endpoint| &endpoint.member);
        let successor = others.find(|member| member.address == address && member.instance != id);
        match successor.map(|member| member.instance.clone()) {
            Some(instance) => self.by_address.insert(address, instance),
            None => self.by_address.remove(&address),
        };
    }

    fn upsert(
        &mut self,
        member: Member,
        complete: bool,
        names: &mut Interner<ModelKey>,
        now: Millis,
        outcome: &mut ListOutcome,
    ) {
        let id = member.instance.clone();
        if self.ended.contains(&id) {
            return;
        }
        let known = self.endpoints.contains_key(&id);
        if known && !self.apply_start_time(&member, now, outcome) {
            return;
        }
        // An endpoint that crashed stays listed for some heartbeats beside its next incarnation.
        // Only one can be at the address, and it is the one that was listed last.
        let previous = self.by_address.get(&member.address).filter(|held| **held != id).cloned();
        if let Some(previous) = previous.filter(|_| !known && !complete) {
            self.take_out(&previous, now);
        }
        let old_address = self.endpoints.get(&id).map(|endpoint| endpoint.member.address);
        let moved = old_address.filter(|address| *address != member.address);
        if let Some(old_address) = moved {
            self.release_address(old_address, &id);
        }
        self.by_address.insert(member.address, id.clone());
        let delisted = self.delisted.take(&id);
        let endpoint =
            self.endpoints.entry(id).or_insert_with(|| Endpoint::new(member.clone(), now));
        if !known {
            delisted.into_iter().for_each(|delisted| endpoint.restore(delisted));
            endpoint.set_first_start(member.started, now);
        }
        // The list is seconds behind. While the side reports, its reports take precedence: a list
        // that still names a model that is being evicted would attract requests that are then
        // refused.
        if endpoint.fresh_side(now).is_none() {
            endpoint.inventory = ModelInventory::from_member(&member, names);
        }
        let (accepted, leaves) = (endpoint.accepts_requests(), member.leaving);
        if known && accepted && leaves {
            outcome.departed.push(member.service.clone());
        }
        endpoint.set_member(member);
        let changed = moved.is_some() || accepted != endpoint.accepts_requests();
        outcome.usable_changed |= !known || changed;
    }

    /// Applies the start time of a list entry to a known endpoint. Returns false if the entry is
    /// deferred because it belongs to an incarnation that has presumably ended.
    ///
    /// A leaving endpoint is accepted as leaving immediately unless its side reports otherwise:
    /// dispatching requests to it after that would violate the guarantee given to leaving
    /// endpoints, while avoiding it for one heartbeat costs little.
    fn apply_start_time(
        &mut self,
        member: &Member,
        now: Millis,
        outcome: &mut ListOutcome,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&member.instance) else { return true };
        match endpoint.incarnation.update(member.started, now) {
            IncarnationChange::Same => {}
            IncarnationChange::New => {
                endpoint.reset_for_restart(now);
                outcome.restarted.push(member.instance.clone());
            }
            IncarnationChange::Older => {
                let since = endpoint.deferred.as_ref().map_or(now, |(_, since)| *since);
                if member.leaving && endpoint.fresh_side(now).is_none() {
                    outcome.usable_changed |= !endpoint.member.leaving;
                    endpoint.member.leaving = true;
                }
                endpoint.deferred = Some((member.clone(), since));
                outcome.deferred.push(member.instance.clone());
                return false;
            }
        }
        endpoint.deferred = None;
        true
    }

    /// Applies deferred entries of older incarnations that nothing has contradicted for
    /// [`OLDER_START_DELAY_MS`].
    pub(crate) fn apply_deferred(
        &mut self,
        names: &mut Interner<ModelKey>,
        now: Millis,
    ) -> ListOutcome {
        let mut outcome = ListOutcome::default();
        let settled = self.endpoints.values_mut().filter_map(|endpoint| {
            endpoint.deferred.take_if(|(_, since)| now.since(*since) >= OLDER_START_DELAY_MS)
        });
        for (member, _) in settled.collect::<Vec<_>>() {
            self.upsert(member, true, names, now, &mut outcome);
        }
        outcome
    }

    /// Returns the endpoint that was last listed at `address`.
    pub(crate) fn endpoint_at(&mut self, address: SocketAddr) -> Option<&mut Endpoint> {
        let id = self.by_address.get(&address)?;
        self.endpoints.get_mut(id)
    }

    /// Returns the endpoint that was last listed at `address`, for reading.
    pub(crate) fn endpoint_listed_at(&self, address: SocketAddr) -> Option<&Endpoint> {
        self.endpoints.get(self.by_address.get(&address)?)
    }

    /// Applies a side's report to the endpoint at `address`.
    pub(crate) fn apply_report(
        &mut self,
        address: SocketAddr,
        state: &SideState,
        names: &mut Interner<ModelKey>,
        now: Millis,
    ) -> Option<ReportOutcome> {
        let ended = self.supersede(address, state, now);
        let endpoint = self.endpoint_at(address)?;
        let change = endpoint.incarnation.update(state.started.map(StartTime), now);
        if change == IncarnationChange::Older {
            return None;
        }
        let restarted = change == IncarnationChange::New;
        if restarted {
            endpoint.reset_for_restart(now);
        }
        // The side queries the endpoint itself: a list entry for another incarnation is out of
        // date.
        endpoint.deferred = endpoint.deferred.take().filter(|_| state.started.is_none());
        if state.healthy {
            endpoint.inventory = ModelInventory::from_state(state, names);
        }
        let leaves = state.leaving && state.instance == endpoint.member.instance;
        let departed = leaves && endpoint.advertised.record_leaving();
        endpoint.liveness.mark_connected();
        endpoint.liveness.record_traffic(now);
        let load = state.active.saturating_add(state.queued);
        endpoint.set_load(load, now);
        let pace = Pace::from_percent(state.pace);
        endpoint.load_view.record_report(load, pace, LOAD_INTERVAL_MS, now);
        let rates = state
            .models
            .iter()
            .map(|model| (names.intern(&model.name), f64::from(model.rate_milli) / 1_000.0));
        let rates = rates.collect();
        let missed = state.missed.iter();
        let missed = missed
            .map(|model| (names.intern(&model.name), f64::from(model.rate_milli) / 1_000.0))
            .collect();
        let pinned = state.models.iter().filter(|model| model.pinned);
        let pinned = pinned.map(|model| names.intern(&model.name)).collect();
        let from_store = state.models.iter().filter(|model| model.from_store);
        let from_store = from_store.map(|model| names.intern(&model.name)).collect();
        endpoint.side = Some(SideView {
            received_at: now,
            loading: state.loading.iter().map(|name| names.intern(name)).collect(),
            evicting: state.evicting.iter().map(|name| names.intern(name)).collect(),
            entry_count: state.entries,
            healthy: state.healthy,
            load_eta_ms: state.load_eta_ms,
            order_eta_ms: state.order_eta_ms,
            store_loads: state.store_loads,
            store_slowdown: state.store_slowdown,
            store_overdue: state.store_overdue,
            store_concurrent: state.store_concurrent,
            tracks_suspects: state.tracks_suspects,
            issues_credit: state.issues_credit,
            divides_shares: state.divides_shares,
            tracks_streams: state.tracks_streams,
            known_entries: state.known_entries,
            queues_store_loads: state.queues_store_loads,
            from_store,
            missed,
            pinned,
            rates,
        });
        Some(ReportOutcome { ended, restarted, departed })
    }

    /// Registers the incarnation that the side names at `address`; returns the one that has ended.
    ///
    /// An endpoint that crashed is listed under its previous name for seconds after it is up again,
    /// and requests sent to that name are refused. The new incarnation takes the address and the
    /// service of the previous one. A report from a side of another service at the same address
    /// concerns neither.
    fn supersede(&mut self, address: SocketAddr, state: &SideState, now: Millis) -> Option<String> {
        let previous = self.by_address.get(&address)?.clone();
        let service = &self.endpoints.get(&previous)?.member.service;
        let valid = state.healthy && !state.instance.is_empty() && *service == state.service;
        if !valid || previous == state.instance {
            return None;
        }
        let mut member = self.take_out(&previous, now)?.member;
        member.instance.clone_from(&state.instance);
        member.leaving = false;
        member.software.clear();
        let known = self.endpoints.contains_key(&state.instance);
        let delisted = self.delisted.take(&state.instance).filter(|_| !known);
        let endpoint = self
            .endpoints
            .entry(state.instance.clone())
            .or_insert_with(|| Endpoint::unlisted(member, now));
        delisted.into_iter().for_each(|delisted| endpoint.restore(delisted));
        endpoint.member.address = address;
        self.by_address.insert(address, state.instance.clone());
        self.ended.remove(&state.instance);
        self.ended.insert(previous.clone());
        Some(previous)
    }
}
