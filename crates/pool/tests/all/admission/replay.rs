//! A plain service on virtual time: entries, endpoints with a first-in, first-out queue, and callers.

use std::collections::{BTreeMap, VecDeque};

use citronrill_base::{Millis, hash_bytes};
use citronrill_pool::{
    Arrival, EntryEffect, EntryEvent, EntryProfile, Member, MemberChange, PoolEntry, Reason,
    RequestId, ResponseEnd, ResponseHead, RetryPolicy, Route, ServerLoad, ServingConfig,
};
use citronrill_wire::SideState;

use crate::support::{
    ENGINE, PLAIN, address, arrival, config, first_era, member, not_run, ok, profile, route, state,
};

/// Milliseconds from one tick of an entry to the next.
const TICK_MS: u64 = 20;
/// Milliseconds from an entry to an endpoint, or back.
const NETWORK_MS: u64 = 1;
/// Index of the engine whose side reports the number of entries.
const ENGINE_INDEX: u8 = 99;

/// A load on a plain service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    pub(super) entries: u32,
    pub(super) endpoints: u8,
    pub(super) work_ms: u64,
    pub(super) target_ms: u64,
    /// Milliseconds that callers wait.
    pub(super) deadline_ms: u64,
    /// Requests a second, and for how many milliseconds.
    pub(super) per_s: u64,
    pub(super) lasts_ms: u64,
    /// Whether refused callers return once, at the time that they are told.
    pub(super) returns: bool,
    pub(super) contended: bool,
    /// One request in so many is turned away by the endpoint that gets it; 0: none.
    pub(super) shed_every: u64,
    /// Milliseconds of the backoff that it asks for then.
    pub(super) backoff_ms: u64,
}

/// Three endpoints, 31 entries and callers of 800 ms: the calls that run at most once.
pub(super) const PLAIN_CALLS: Load = Load {
    entries: 31,
    endpoints: 3,
    work_ms: 30,
    target_ms: 150,
    deadline_ms: 800,
    per_s: 450,
    lasts_ms: 6_000,
    returns: false,
    contended: true,
    shed_every: 0,
    backoff_ms: 0,
};

/// What became of the requests.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) sent: usize,
    /// Milliseconds from arrival to the end of the response, of the served requests.
    pub(super) served: Vec<u64>,
    /// Milliseconds from arrival to the refusal, and the reason.
    pub(super) refused: Vec<(u64, Reason)>,
    /// Callers that returned, and how many of these were served.
    pub(super) returned: usize,
    pub(super) returned_served: usize,
    /// Times that an endpoint turned a request away.
    pub(super) turned_away: usize,
}

impl Outcome {
    pub(super) fn refused_after(&self, ms: u64) -> usize {
        self.refused.iter().filter(|(after, _)| *after > ms).count()
    }

    pub(super) fn served_within(&self, ms: u64) -> usize {
        self.served.iter().filter(|took| **took <= ms).count()
    }
}

#[derive(Debug, Default)]
struct Server {
    running: Vec<(u64, Run)>,
    queue: VecDeque<Run>,
    received: u64,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    entry: usize,
    id: RequestId,
    number: u32,
}

#[derive(Debug)]
enum Happening {
    Reaches(u8, Run),
    Head(Run, ResponseHead),
    Arrives { returning: bool },
}

struct Replay {
    load: Load,
    now: u64,
    entries: Vec<PoolEntry>,
    servers: Vec<Server>,
    agenda: BTreeMap<(u64, u64), Happening>,
    number: u64,
    callers: BTreeMap<u64, (u64, bool)>,
    outcome: Outcome,
}

/// Plays a load and returns what became of its requests.
pub(super) fn play(load: Load) -> Outcome {
    let mut replay = Replay::new(load);
    let end = replay.now + load.lasts_ms;
    let arrivals = load.per_s * load.lasts_ms / 1_000;
    for index in 0..arrivals {
        // Evenly distributed over the time, in no order.
        let at = hash_bytes(&index.to_le_bytes()) % load.lasts_ms;
        replay.plan(replay.now + at, Happening::Arrives { returning: false });
    }
    while replay.now < end + 10_000 {
        replay.advance();
    }
    replay.outcome
}

fn plain_config(load: Load) -> ServingConfig {
    let call = route("/book/", PLAIN, RetryPolicy::Once, 1);
    let call = Route { target_ms: load.target_ms, timeout_ms: load.deadline_ms, ..call };
    ServingConfig { routes: vec![call], ..(*config(1)).clone() }
}

impl Replay {
    fn new(load: Load) -> Replay {
        let now = 1_000;
        let entries = (0..load.entries).map(|seed| {
            let profile =
                EntryProfile { seed: u64::from(seed), contended: load.contended, ..profile() };
            PoolEntry::new(profile)
        });
        let mut replay = Replay {
            load,
            now,
            entries: entries.collect(),
            servers: (0..load.endpoints).map(|_| Server::default()).collect(),
            agenda: BTreeMap::new(),
            number: 0,
            callers: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        let mut members =
            (0..load.endpoints).map(|index| member(index, PLAIN, &[])).collect::<Vec<_>>();
        members.push(member(ENGINE_INDEX, ENGINE, &["m0"]));
        let row = |member: &Member| (member.instance.clone(), Some(member.clone()));
        let change = MemberChange {
            complete: true,
            version: first_era(1),
            rows: members.iter().map(row).collect(),
        };
        let side = SideState { entries: load.entries, ..state(1, &["m0"]) };
        for entry in 0..replay.entries.len() {
            let config = std::sync::Arc::new(plain_config(load));
            replay.step(entry, EntryEvent::Config(config));
            replay.step(entry, EntryEvent::ConfigCurrent(true));
            replay.step(entry, EntryEvent::Members(change.clone()));
            replay.step(entry, EntryEvent::SideReport(address(ENGINE_INDEX), side.clone()));
        }
        replay
    }

    fn plan(&mut self, at: u64, happening: Happening) {
        self.number += 1;
        self.agenda.insert((at, self.number), happening);
    }

    fn advance(&mut self) {
        for index in 0..self.servers.len() {
            self.serve(index);
        }
        while let Some(next) = self.agenda.first_entry().filter(|next| next.key().0 <= self.now) {
            match next.remove() {
                Happening::Reaches(server, run) => self.reach(server, run),
                Happening::Head(run, head) => self.answer(run, head),
                Happening::Arrives { returning } => self.arrive(returning),
            }
        }
        for entry in 0..self.entries.len() {
            if (self.now + 7 * entry as u64).is_multiple_of(TICK_MS) {
                self.step(entry, EntryEvent::Tick);
            }
        }
        self.now += 1;
    }

    /// Ends the runs that are due, and begins the next ones.
    fn serve(&mut self, index: usize) {
        let (now, work_ms) = (self.now, self.load.work_ms);
        let server = &mut self.servers[index];
        let ended = server.running.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>();
        while server.running.len() < 6 {
            let Some(run) = server.queue.pop_front() else { break };
            server.running.push((now + work_ms, run));
        }
        let head = ResponseHead { load: Some(stated(server)), ..ok() };
        for (_, run) in ended {
            self.plan(now + NETWORK_MS, Happening::Head(run, head));
        }
    }

    fn reach(&mut self, index: u8, run: Run) {
        let (now, load) = (self.now, self.load);
        let server = &mut self.servers[usize::from(index)];
        server.received += 1;
        let sheds = load.shed_every > 0 && server.received.is_multiple_of(load.shed_every);
        if sheds || server.running.len() + server.queue.len() >= 30 {
            self.outcome.turned_away += 1;
            let backoff_ms = (load.backoff_ms > 0).then_some(load.backoff_ms);
            let head = ResponseHead { load: Some(stated(server)), backoff_ms, ..not_run(503) };
            self.plan(now + NETWORK_MS, Happening::Head(run, head));
        } else if server.running.len() < 6 {
            server.running.push((now + load.work_ms, run));
        } else {
            server.queue.push_back(run);
        }
    }

    fn answer(&mut self, run: Run, head: ResponseHead) {
        self.step(run.entry, EntryEvent::ResponseHead(run.id, run.number, head));
        if head.success() {
            self.step(run.entry, EntryEvent::ResponseEnded(run.id, ResponseEnd::Complete));
            let Some((arrived, returning)) = self.callers.remove(&run.id.0) else { return };
            self.outcome.served.push(self.now - arrived);
            self.outcome.returned_served += usize::from(returning);
        }
    }

    fn arrive(&mut self, returning: bool) {
        self.number += 1;
        let id = self.number;
        let entry = hash_bytes(&id.to_le_bytes()) % self.entries.len() as u64;
        self.callers.insert(id, (self.now, returning));
        self.outcome.sent += usize::from(!returning);
        self.outcome.returned += usize::from(returning);
        let deadline_ms = Some(self.load.deadline_ms);
        let arrival = Arrival { deadline_ms, ..arrival(id, "/book/x", "") };
        self.step(entry as usize, EntryEvent::RequestArrived(arrival));
    }

    fn step(&mut self, entry: usize, event: EntryEvent) {
        let effects = self.entries[entry].step(Millis(self.now), event);
        for effect in effects {
            match effect {
                EntryEffect::Dispatch(id, dispatch) => {
                    let run = Run { entry, id, number: dispatch.number };
                    let server =
                        (0..self.load.endpoints).find(|index| address(*index) == dispatch.address);
                    self.plan(self.now + NETWORK_MS, Happening::Reaches(server.unwrap(), run));
                }
                EntryEffect::Refuse(id, refusal) => {
                    let Some((arrived, returning)) = self.callers.remove(&id.0) else { continue };
                    self.outcome.refused.push((self.now - arrived, refusal.reason));
                    let retry_ms = refusal.retry_ms.filter(|_| self.load.returns && !returning);
                    if let Some(retry_ms) = retry_ms {
                        let returns = Happening::Arrives { returning: true };
                        self.plan(self.now + retry_ms, returns);
                    }
                }
                _ => {}
            }
        }
    }
}

fn stated(server: &Server) -> ServerLoad {
    ServerLoad {
        running: server.running.len() as u32,
        waiting: server.queue.len() as u32,
        slots: Some(6),
        pace: None,
    }
}
