//! Start, kill, pause and drain of processes and instances.

use super::*;

impl Simulation {
    pub(super) fn zone(&self, index: usize) -> String {
        self.options.zones[index % self.options.zones.len()].clone()
    }

    /// Starts an endpoint with its side. Returns the endpoint's index.
    pub fn add_endpoint(&mut self, memory_mb: u64, fencing: bool) -> usize {
        let endpoint = self.engines.len();
        self.engines.push(Engine::new(memory_mb, fencing));
        self.start_side(endpoint);
        endpoint
    }

    /// Starts a side of an endpoint, even if another one is still running.
    pub fn start_side(&mut self, endpoint: usize) {
        let name = format!("worker-{endpoint}");
        let index = self.sides.len();
        let profile = SideProfile {
            endpoint: name.clone(),
            instance: name.clone(),
            address: format!("side-{index}"),
            zone: self.zone(endpoint),
            memory_mb: self.engines[endpoint].memory_mb,
            slots: self.options.slots,
            fencing: self.engines[endpoint].fencing,
            session: 1_000_000 + index as u64,
        };
        let peer = Peer { name, address: profile.address.clone(), zone: profile.zone.clone() };
        self.instances
            .insert(peer.name.clone(), ListedInstance { peer, entry: false, leaving: false });
        let started_at = self.now;
        let reducer = Side::new(profile.clone(), Millis(0));
        let attempts = Map::default();
        let (incarnation, paused_until, alive) = (0, 0, true);
        self.sides.push(SideNode {
            reducer,
            endpoint,
            started_at,
            incarnation,
            paused_until,
            alive,
            profile,
            attempts,
        });
        let delay = self.rng.random_range(0..100);
        self.schedule(delay, SimEvent::SideTick(index, 0));
    }

    /// Starts an entry. Returns its index.
    pub fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let reducer = self.new_entry(&name, index, index as u64 + 1);
        let address = name.clone();
        let peer = Peer { name: name.clone(), address, zone: self.zone(index) };
        self.instances.insert(name.clone(), ListedInstance { peer, entry: true, leaving: false });
        let started_at = self.now;
        let session = index as u64 + 1;
        let (incarnation, paused_until, alive, config_version, was_paused) = (0, 0, true, 0, false);
        self.entries.push(EntryNode {
            reducer,
            name,
            started_at,
            incarnation,
            paused_until,
            alive,
            session,
            was_paused,
            config_version,
        });
        self.begin_entry(index);
        index
    }

    pub(super) fn new_entry(&mut self, name: &str, index: usize, session: u64) -> Entry {
        let profile = EntryProfile {
            instance: name.to_owned(),
            address: name.to_owned(),
            zone: self.zone(index),
            session,
            request_limit: 10_000,
            share_parts: SHARE_PARTS,
            seed: self.rng.random(),
        };
        Entry::new(profile, (self.options.policies)(), Millis(0))
    }

    pub(super) fn begin_entry(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation;
        let delay = self.rng.random_range(0..100);
        self.schedule(delay, SimEvent::EntryTick(index, incarnation));
        self.schedule(delay, SimEvent::ReadInstances(index, incarnation));
    }

    /// Kills an entry process.
    pub fn kill_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        node.alive = false;
        node.incarnation += 1;
    }

    /// Restarts a killed entry without any state.
    pub fn restart_entry(&mut self, index: usize) {
        if self.entries[index].alive {
            return;
        }
        self.next_request += 1;
        let session = 10_000 + self.next_request;
        let name = self.entries[index].name.clone();
        let reducer = self.new_entry(&name, index, session);
        let now = self.now;
        let node = &mut self.entries[index];
        (node.reducer, node.started_at, node.session) = (reducer, now, session);
        (node.alive, node.paused_until, node.config_version, node.was_paused) = (true, 0, 0, false);
        node.incarnation += 1;
        self.begin_entry(index);
    }

    /// Kills all side processes of an endpoint; its engine keeps running.
    pub fn kill_sides(&mut self, endpoint: usize) {
        for side in self.sides.iter_mut().filter(|side| side.endpoint == endpoint) {
            side.alive = false;
            side.incarnation += 1;
        }
    }

    /// Kills an endpoint's instance with its engine; the platform's instance list follows later.
    pub fn kill_endpoint(&mut self, endpoint: usize) {
        self.kill_sides(endpoint);
        self.engines[endpoint].terminate();
        let delay = self.rng.random_range(1_000..10_000);
        self.schedule(delay, SimEvent::RemoveInstance(format!("worker-{endpoint}")));
    }

    /// Pauses an entry process for a time; the process is not informed.
    pub fn pause_entry(&mut self, index: usize, millis: u64) {
        self.entries[index].paused_until = self.now + millis;
        self.entries[index].was_paused = true;
    }

    /// Returns whether an entry was paused, so that its answers may be late.
    pub(crate) fn was_paused(&self, index: usize) -> bool {
        self.entries[index].was_paused
    }

    /// Returns whether the configuration was changed, which may reduce shares that are in use.
    pub(crate) fn config_changed(&self) -> bool {
        self.configs.len() > 1
    }

    /// Pauses the running side processes of an endpoint for a time.
    pub fn pause_sides(&mut self, endpoint: usize, millis: u64) {
        let until = self.now + millis;
        for side in self.sides.iter_mut().filter(|side| side.endpoint == endpoint && side.alive) {
            side.paused_until = until;
        }
    }

    /// Restarts an endpoint's engine with no models loaded.
    pub fn restart_engine(&mut self, endpoint: usize) {
        self.engines[endpoint].restart();
    }

    /// Starts to drain the running sides of an endpoint.
    pub fn drain_endpoint(&mut self, endpoint: usize, give_back: bool) {
        let running = (0..self.sides.len())
            .filter(|index| self.sides[*index].endpoint == endpoint && self.sides[*index].alive);
        for index in running.collect::<Vec<_>>() {
            self.step_side(index, SideEvent::Drain { give_back });
        }
    }

    /// Starts to drain an entry.
    pub fn drain_entry(&mut self, index: usize) {
        if self.entries[index].alive {
            self.step_entry(index, Event::Drain);
        }
    }
}
