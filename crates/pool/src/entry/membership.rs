//! The endpoints: changes of the member list, and what their sides report.

use std::net::SocketAddr;

use citronrill_decide::LogEvent;
use citronrill_wire::{ModelName, SideState};

use super::{EntryEffect, PoolEntry, SideLoss};
use crate::{
    member::{MemberChange, full_name},
    pool::ListOutcome,
};

impl PoolEntry {
    pub(super) fn apply_members(&mut self, change: MemberChange) {
        let outcome = self.pool.apply(change, &mut self.names, self.now);
        self.preload.record_list(self.now);
        self.handle_membership(outcome);
        self.track_software();
        self.schedule_waiting();
    }

    /// Handles the effects of a membership change.
    pub(super) fn handle_membership(&mut self, outcome: ListOutcome) {
        let version = self.pool.list_version;
        if let Some(outdated) = outcome.outdated {
            let event = LogEvent::new("list_left_out").with("version", outdated);
            self.log(event.with("known", version));
        }
        for instance in outcome.restarted {
            self.handle_restart(&instance, "list");
        }
        for instance in outcome.deferred {
            let event = LogEvent::new("older_start").with("instance", instance);
            self.log(event.with("version", version));
        }
        for service in outcome.departed {
            self.preload.count_departure(&service, self.now);
        }
        for (instance, service) in outcome.unserved {
            let event = LogEvent::new("unknown_service").with("instance", instance);
            self.log(event.with("service", service).with("version", version));
        }
        if outcome.usable_changed {
            let open =
                self.pool.endpoints.values().filter(|endpoint| endpoint.accepts_requests()).count();
            let event = LogEvent::new("members").with("version", version);
            self.log(event.with("known", self.pool.endpoints.len()).with("open", open));
            self.update_sides();
        }
    }

    /// Handles a new incarnation of an endpoint: load requests to the previous one are void.
    pub(super) fn handle_restart(&mut self, instance: &str, source: &'static str) {
        self.forget_limit(instance);
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return };
        let address = endpoint.member.address;
        let started = endpoint.started().map_or(0, |start| start.0);
        self.record_loss(instance);
        self.prove_crash(instance, "restarted");
        self.load_requests.retain(|_, load_request| !load_request.sent_to(address));
        let event = LogEvent::new("restarted").with("instance", instance);
        self.log(event.with("started", started).with("source", source));
    }

    /// Updates the set of sides to connect to.
    pub(super) fn update_sides(&mut self) {
        let mut sides = self.sides().collect::<Vec<_>>();
        sides.sort_unstable();
        if !sides.is_empty() {
            self.expect_suspects();
        }
        if self.config.is_some() {
            self.effects.push(EntryEffect::ConnectSides(sides));
        }
    }

    /// Returns the addresses of the endpoints that have a side: those of services with models.
    pub(super) fn sides(&self) -> impl Iterator<Item = SocketAddr> {
        let engine = |name: &str| {
            let service = self.config.as_ref().and_then(|config| config.service(name));
            service.is_some_and(|service| service.engine.is_some())
        };
        let members = self.pool.endpoints.values().map(|endpoint| &endpoint.member);
        members.filter(move |member| engine(&member.service)).map(|member| member.address)
    }

    pub(super) fn apply_side_state(&mut self, address: SocketAddr, state: &SideState) {
        if let Some(outcome) = self.pool.apply_report(address, state, &mut self.names, self.now) {
            let restarted = self.pool.endpoint_at(address).filter(|_| outcome.restarted);
            if let Some(instance) = restarted.map(|endpoint| endpoint.member.instance.clone()) {
                self.handle_restart(&instance, "side");
            }
            if let Some(endpoint) = self.pool.endpoint_at(address).filter(|_| outcome.departed) {
                let instance = endpoint.member.instance.clone();
                self.endpoint_departed(&instance, "side", &address.to_string());
            }
            if let Some(ended) = outcome.ended {
                let event = LogEvent::new("superseded").with("instance", &ended);
                self.prove_crash(&ended, "superseded");
                self.log(event.with("by", &state.instance).with("sequence", state.sequence));
                self.record_loss(&state.instance);
                self.track_software();
            }
            self.add_collector();
            self.learn_told_limits(&state.endpoint_limits);
            self.update_store_limit();
            self.learn_pace(address);
            self.resolve_load_requests(address);
            self.schedule_waiting();
        }
    }

    pub(super) fn record_probe_reply(&mut self, address: SocketAddr) {
        let now = self.now;
        if let Some(endpoint) = self.pool.endpoint_at(address) {
            endpoint.liveness.record_traffic(now);
            self.schedule_waiting();
        }
    }

    pub(super) fn side_lost(&mut self, address: SocketAddr, loss: SideLoss) {
        let now = self.now;
        self.desync_suspects(address);
        self.store_claims.disconnect(address);
        let Some(endpoint) = self.pool.endpoint_at(address) else { return };
        match loss {
            SideLoss::Closed => endpoint.liveness.mark_disconnected(),
            SideLoss::Silent => endpoint.liveness.mark_lost(now),
        }
        // The side may have been one of those that know where streams of this entry began.
        self.record_begun(|_| true);
    }

    pub(super) fn record_decline(&mut self, address: SocketAddr, name: &ModelName) {
        let now = self.now;
        let Some(endpoint) = self.pool.endpoint_at(address) else { return };
        endpoint.mark_declined(now);
        let event = LogEvent::new("want_declined").with("at", &endpoint.member.instance);
        let full = full_name(&name.model, &name.adapter);
        let key = self.names.intern(&full);
        if name.adapter.is_empty() {
            self.decline_grant(key);
            // Another side may have room right away.
            self.load_requests
                .retain(|held, load_request| *held != key || !load_request.sent_to(address));
        } else if let Some(load_request) = self.load_requests.get_mut(&key) {
            load_request.decline(address, now);
        }
        self.log(event.with("model", full));
    }
}
