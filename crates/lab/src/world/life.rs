//! Processes and instances: started, killed, paused, drained.

use super::*;

impl World {
    pub(super) fn zone(&self, index: usize) -> String {
        self.options.zones[index % self.options.zones.len()].clone()
    }

    /// Starts one more endpoint with its side; gives its number.
    pub fn add_endpoint(&mut self, memory_mb: u64, fencing: bool) -> usize {
        let endpoint = self.engines.len();
        self.engines.push(Engine::new(memory_mb, fencing));
        self.start_side(endpoint);
        endpoint
    }

    /// Starts a side beside an endpoint, whether or not another one still lives there.
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
        self.listed.insert(peer.name.clone(), Listed { peer, entry: false, leaving: false });
        let start = self.now;
        let core = Side::new(profile.clone(), Millis(0));
        let offers = Map::default();
        let (life, paused, alive) = (0, 0, true);
        self.sides.push(SideNode { core, endpoint, start, life, paused, alive, profile, offers });
        let delay = self.rng.random_range(0..100);
        self.schedule(delay, Happening::SideTick(index, 0));
    }

    /// Starts one more entry; gives its number.
    pub fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let core = self.new_entry(&name, index, index as u64 + 1);
        let address = name.clone();
        let peer = Peer { name: name.clone(), address, zone: self.zone(index) };
        self.listed.insert(name.clone(), Listed { peer, entry: true, leaving: false });
        let start = self.now;
        let session = index as u64 + 1;
        let (life, paused, alive, version, was_paused) = (0, 0, true, 0, false);
        self.entries.push(EntryNode {
            core,
            name,
            start,
            life,
            paused,
            alive,
            session,
            was_paused,
            version,
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
        let life = self.entries[index].life;
        let delay = self.rng.random_range(0..100);
        self.schedule(delay, Happening::EntryTick(index, life));
        self.schedule(delay, Happening::List(index, life));
    }

    /// Ends an entry process without warning.
    pub fn kill_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        node.alive = false;
        node.life += 1;
    }

    /// Starts a killed entry again, with nothing kept.
    pub fn restart_entry(&mut self, index: usize) {
        if self.entries[index].alive {
            return;
        }
        self.next_request += 1;
        let session = 10_000 + self.next_request;
        let name = self.entries[index].name.clone();
        let core = self.new_entry(&name, index, session);
        let now = self.now;
        let node = &mut self.entries[index];
        (node.core, node.start, node.session) = (core, now, session);
        (node.alive, node.paused, node.version, node.was_paused) = (true, 0, 0, false);
        node.life += 1;
        self.begin_entry(index);
    }

    /// Ends every side process of an endpoint without warning; its engine goes on.
    pub fn kill_sides(&mut self, endpoint: usize) {
        for side in self.sides.iter_mut().filter(|side| side.endpoint == endpoint) {
            side.alive = false;
            side.life += 1;
        }
    }

    /// Ends an endpoint's instance, its engine too; the platform's list tells of it later.
    pub fn kill_endpoint(&mut self, endpoint: usize) {
        self.kill_sides(endpoint);
        self.engines[endpoint].lose();
        let lag = self.rng.random_range(1_000..10_000);
        self.schedule(lag, Happening::Unlist(format!("worker-{endpoint}")));
    }

    /// Stops a process from running for a while; it notices nothing.
    pub fn pause_entry(&mut self, index: usize, millis: u64) {
        self.entries[index].paused = self.now + millis;
        self.entries[index].was_paused = true;
    }

    /// Whether an entry was paused, so that its answers may be late.
    pub(crate) fn was_paused(&self, index: usize) -> bool {
        self.entries[index].was_paused
    }

    /// Whether a change of the text took shares away that were in use.
    pub(crate) fn faults_changed_shares(&self) -> bool {
        self.texts.len() > 1
    }

    /// Stops the side processes of an endpoint from running for a while.
    pub fn pause_sides(&mut self, endpoint: usize, millis: u64) {
        let until = self.now + millis;
        for side in self.sides.iter_mut().filter(|side| side.endpoint == endpoint && side.alive) {
            side.paused = until;
        }
    }

    /// Restarts an endpoint's engine: it holds nothing any more.
    pub fn restart_engine(&mut self, endpoint: usize) {
        self.engines[endpoint].restart();
    }

    /// Begins a planned stop of an endpoint's side.
    pub fn drain_endpoint(&mut self, endpoint: usize, give_back: bool) {
        let living = (0..self.sides.len())
            .filter(|index| self.sides[*index].endpoint == endpoint && self.sides[*index].alive);
        for index in living.collect::<Vec<_>>() {
            self.step_side(index, SideEvent::Drain { give_back });
        }
    }

    /// Begins a planned stop of an entry.
    pub fn drain_entry(&mut self, index: usize) {
        if self.entries[index].alive {
            self.step_entry(index, Event::Drain);
        }
    }
}
