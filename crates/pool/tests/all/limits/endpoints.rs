//! Limits that endpoints name: real entries and sides before engines, with processes that start again and
//! are cut off.

use std::collections::BTreeMap;

use citronrill_base::Millis;
use citronrill_pool::{
    EndpointRate, EngineReport, EntryEffect, EntryEvent, EntryLink, EntryProfile, MemberChange,
    PoolEntry, PoolSide, Reason, RequestId, ResponseEnd, ResponseHead, SideEffect, SideEvent,
    SideLoss,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::fleet::ip;
use crate::support::{
    ENGINE, address, arrival, config, first_era, member, ok, profile, report, seeds_from,
};

const ENGINES: usize = 4;
/// Milliseconds of the window in which requests of all entries are summed.
const WINDOW_MS: u64 = 4_000;
/// By how much a limit may be exceeded, as a factor, and in requests.
const FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;
/// Milliseconds after a limit was first named from which the sum is bounded.
const CONTACT_MS: u64 = 3_000;
/// Milliseconds after an entry was told from which its requests count.
const TOLD_MS: u64 = 500;
/// Milliseconds that a run takes.
const RUN_MS: u64 = 100;
/// Milliseconds after which the loss of a connection is noticed.
const SILENT_MS: u64 = 1_700;

struct EntryNode {
    entry: PoolEntry,
    started: u64,
    links: Vec<Option<EntryLink>>,
    /// When each engine first told it of a limit.
    told: BTreeMap<usize, u64>,
    /// Until when it is cut off from each side.
    cut_until: Vec<u64>,
    cut_since: Vec<Option<u64>>,
}

#[derive(Clone)]
enum Input {
    Entry(usize, u64, Box<EntryEvent>),
    Side(usize, SideEvent),
    Received(usize, usize, u64, RequestId, u32),
    RunEnds(usize, u64, RequestId),
}

impl Input {
    fn entry(entry: usize, started: u64, event: EntryEvent) -> Input {
        Input::Entry(entry, started, Box::new(event))
    }
}

/// A request that an engine received.
struct Received {
    at: u64,
    /// Whether it counts: its entry had been told long enough before.
    counts: bool,
}

struct Fleet {
    now: u64,
    rng: SmallRng,
    entries: Vec<EntryNode>,
    sides: Vec<PoolSide>,
    /// The limit that each engine names, and since when.
    rates: Vec<Option<(f64, u64)>>,
    received: Vec<Vec<Received>>,
    inputs: BTreeMap<(u64, u64), Input>,
    next: u64,
    refused: BTreeMap<&'static str, u32>,
    sent: u32,
    /// Engines that hold the model that is asked for.
    holders: usize,
}

impl Fleet {
    /// Entries before engines of which the first `holders` hold the model that is asked for.
    fn new(seed: u64, entries: usize, holders: usize) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            sides: (0..ENGINES).map(|_| PoolSide::new(ENGINE).with_first_start(true)).collect(),
            rates: vec![None; ENGINES],
            received: (0..ENGINES).map(|_| Vec::new()).collect(),
            inputs: BTreeMap::new(),
            next: 0,
            refused: BTreeMap::new(),
            sent: 0,
            holders,
        };
        for side in 0..ENGINES {
            fleet.start_side(side);
        }
        for entry in 0..entries {
            let node = fleet.new_entry(entry, true);
            fleet.entries.push(node);
        }
        for _ in 0..4_000 {
            fleet.step(0.0, None);
        }
        fleet
    }

    fn start_side(&mut self, side: usize) {
        self.sides[side] = PoolSide::new(ENGINE).with_first_start(true);
        for node in &mut self.entries {
            node.links[side] = None;
        }
        self.step_side(side, SideEvent::Config(config(1)));
        self.step_side(side, SideEvent::NameReported(format!("i{side}")));
    }

    fn new_entry(&self, entry: usize, first_start: bool) -> EntryNode {
        let mut started =
            PoolEntry::new(EntryProfile { seed: entry as u64 * 7_919, first_start, ..profile() });
        let now = Millis(self.now);
        started.step(now, EntryEvent::Config(config(1)));
        started.step(now, EntryEvent::ConfigCurrent(true));
        let engine = |index| member(index as u8, ENGINE, self.models(index));
        let rows = (0..ENGINES).map(engine).map(|member| (member.instance.clone(), Some(member)));
        let change = MemberChange { complete: true, version: first_era(1), rows: rows.collect() };
        started.step(now, EntryEvent::Members(change));
        EntryNode {
            entry: started,
            started: self.now,
            links: vec![None; ENGINES],
            told: BTreeMap::new(),
            cut_until: vec![0; ENGINES],
            cut_since: vec![None; ENGINES],
        }
    }

    fn models(&self, engine: usize) -> &'static [&'static str] {
        if engine < self.holders { &["m0", "m1"] } else { &["m2", "m3"] }
    }

    fn engine_report(&self, engine: usize) -> EngineReport {
        report(1, self.models(engine))
    }

    fn kill_entry(&mut self, entry: usize) {
        for side in 0..ENGINES {
            self.disconnect(entry, side, false);
        }
        self.entries[entry] = self.new_entry(entry, false);
    }

    fn kill_side(&mut self, side: usize) {
        for entry in 0..self.entries.len() {
            self.disconnect(entry, side, false);
        }
        self.start_side(side);
    }

    fn disconnect(&mut self, entry: usize, side: usize, silent: bool) {
        if let Some(link) = self.entries[entry].links[side].take() {
            self.step_side(side, SideEvent::EntryLost(link, silent));
            self.count_entries(side);
            let loss = if silent { SideLoss::Silent } else { SideLoss::Closed };
            self.step_entry(entry, EntryEvent::SideLost(address(side as u8), loss));
        }
    }

    fn count_entries(&mut self, side: usize) {
        let linked = self.entries.iter().filter(|node| node.links[side].is_some()).count();
        self.step_side(side, SideEvent::EntryCount(linked as u32));
    }

    fn connect(&mut self) {
        for entry in 0..self.entries.len() {
            for side in 0..ENGINES {
                let cut = self.now < self.entries[entry].cut_until[side];
                let since = &mut self.entries[entry].cut_since[side];
                *since = cut.then(|| since.unwrap_or(self.now));
                if since.is_some_and(|since| self.now - since >= SILENT_MS) {
                    self.disconnect(entry, side, true);
                } else if !cut && self.entries[entry].links[side].is_none() {
                    self.next += 1;
                    let link = EntryLink(self.next);
                    self.entries[entry].links[side] = Some(link);
                    let connected = SideEvent::EntryConnected(link, ip(entry));
                    self.step_side(side, connected);
                    self.count_entries(side);
                    if let Some(state) = self.sides[side].state() {
                        self.post_to_entry(
                            entry,
                            EntryEvent::SideReport(address(side as u8), state),
                        );
                    }
                }
            }
        }
    }

    fn is_cut(&self, entry: usize, side: usize) -> bool {
        self.now < self.entries[entry].cut_until[side]
    }

    fn post(&mut self, delay: u64, input: Input) {
        self.next += 1;
        self.inputs.insert((self.now + delay, self.next), input);
    }

    fn hop(&mut self) -> u64 {
        if self.rng.random_bool(0.01) { self.rng.random_range(1..100) } else { 1 }
    }

    fn post_to_entry(&mut self, entry: usize, event: EntryEvent) {
        let (started, hop) = (self.entries[entry].started, self.hop());
        self.post(hop, Input::entry(entry, started, event));
    }

    fn post_to_side(&mut self, entry: usize, side: usize, event: impl Fn(EntryLink) -> SideEvent) {
        let link = self.entries[entry].links[side].filter(|_| !self.is_cut(entry, side));
        if let Some(link) = link {
            let hop = self.hop();
            self.post(hop, Input::Side(side, event(link)));
        }
    }

    /// Advances the clock by one millisecond; all entries together get `rate` requests a second, at
    /// `only` if that is given.
    fn step(&mut self, rate: f64, only: Option<usize>) {
        self.now += 1;
        self.connect();
        if self.rng.random_bool((rate / 1_000.0).min(1.0)) {
            let drawn = self.rng.random_range(0..self.entries.len());
            self.request(only.unwrap_or(drawn));
        }
        while let Some(next) = self.inputs.first_entry().filter(|next| next.key().0 <= self.now) {
            let input = next.remove();
            self.handle(input);
        }
        if self.now.is_multiple_of(20) {
            (0..self.entries.len()).for_each(|entry| self.step_entry(entry, EntryEvent::Tick));
            (0..ENGINES).for_each(|side| self.step_side(side, SideEvent::Tick));
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Entry(entry, started, event) => {
                if self.entries[entry].started == started {
                    self.step_entry(entry, *event);
                }
            }
            Input::Side(side, event) => self.step_side(side, event),
            Input::Received(engine, entry, started, id, number) => {
                self.receive(engine, entry, started, id, number);
            }
            Input::RunEnds(entry, started, id) => {
                let event = EntryEvent::ResponseEnded(id, ResponseEnd::Complete);
                self.handle(Input::entry(entry, started, event));
            }
        }
    }

    fn request(&mut self, entry: usize) {
        self.next += 1;
        let arrival = arrival(self.next, "/draft/x", "m0");
        self.sent += 1;
        self.step_entry(entry, EntryEvent::RequestArrived(arrival));
    }

    fn step_entry(&mut self, entry: usize, event: EntryEvent) {
        let effects = self.entries[entry].entry.step(Millis(self.now), event);
        let side_at = |at| (0..ENGINES).find(|side| address(*side as u8) == at).unwrap();
        for effect in effects {
            match effect {
                EntryEffect::Dispatch(id, dispatch) => {
                    let (engine, started) =
                        (side_at(dispatch.address), self.entries[entry].started);
                    let hop = self.hop();
                    let number = dispatch.number;
                    self.post(hop, Input::Received(engine, entry, started, id, number));
                }
                EntryEffect::Refuse(_, refusal) => {
                    *self.refused.entry(refusal.reason.as_str()).or_default() += 1;
                }
                EntryEffect::Probe(at) if !self.is_cut(entry, side_at(at)) => {
                    self.post_to_entry(entry, EntryEvent::ProbeReply(at));
                }
                EntryEffect::CreditReport(at, report) => {
                    let event = |link| SideEvent::CreditReport(link, report.clone());
                    self.post_to_side(entry, side_at(at), event);
                }
                EntryEffect::Suspects(at, message) => {
                    let event = |link| SideEvent::Suspects(link, message.clone());
                    self.post_to_side(entry, side_at(at), event);
                }
                EntryEffect::LoadRequest(at, request) => {
                    let event = |link| SideEvent::LoadRequest(link, request.clone());
                    self.post_to_side(entry, side_at(at), event);
                }
                _ => {}
            }
        }
    }

    fn step_side(&mut self, side: usize, event: SideEvent) {
        let effects = self.sides[side].step(Millis(self.now), event);
        let from = address(side as u8);
        let entry_of = |fleet: &Fleet, link| {
            let linked = |node: &EntryNode| node.links[side] == Some(link);
            fleet.entries.iter().position(linked).filter(|entry| !fleet.is_cut(*entry, side))
        };
        for effect in effects {
            match effect {
                SideEffect::Poll => {
                    let report = SideEvent::Report(Some(self.engine_report(side)));
                    self.post(1, Input::Side(side, report));
                }
                SideEffect::QueryName(_) => {
                    let name = SideEvent::NameReported(format!("i{side}"));
                    self.post(1, Input::Side(side, name));
                }
                SideEffect::Publish(state) => {
                    for entry in 0..self.entries.len() {
                        let linked = self.entries[entry].links[side].is_some();
                        if linked && !self.is_cut(entry, side) {
                            let event = EntryEvent::SideReport(from, (*state).clone());
                            self.post_to_entry(entry, event);
                        }
                    }
                }
                SideEffect::Credit(link, reply) => {
                    if let Some(entry) = entry_of(self, link) {
                        self.post_to_entry(entry, EntryEvent::Credit(from, reply));
                    }
                }
                SideEffect::Suspects(link, message) => {
                    if let Some(entry) = entry_of(self, link) {
                        self.post_to_entry(entry, EntryEvent::Suspects(from, message));
                    }
                }
                _ => {}
            }
        }
    }

    /// Handles a request that an engine received.
    fn receive(&mut self, engine: usize, entry: usize, started: u64, id: RequestId, number: u32) {
        let node = &mut self.entries[entry];
        let told = node.told.get(&engine).filter(|_| node.started == started);
        let counts = told.is_some_and(|told| self.now >= told + TOLD_MS);
        let rate = self.rates[engine];
        if rate.is_some() && node.started == started {
            node.told.entry(engine).or_insert(self.now + 1);
        }
        self.received[engine].push(Received { at: self.now, counts });
        let rate = rate.and_then(|(rate, _)| EndpointRate::from_per_second(rate));
        let head = ResponseHead { rate, ..ok() };
        self.post(1, Input::entry(entry, started, EntryEvent::ResponseHead(id, number, head)));
        self.post(RUN_MS, Input::RunEnds(entry, started, id));
    }

    /// Lets an engine name a limit from now on.
    fn name_limit(&mut self, engine: usize, rate: f64) {
        self.rates[engine] = Some((rate, self.now));
        for node in &mut self.entries {
            node.told.remove(&engine);
        }
    }

    /// Returns the most requests that count in a window as a share of what is permitted.
    fn worst(&self, engine: usize) -> f64 {
        let (rate, since) = self.rates[engine].unwrap();
        let counted = self.received[engine].iter().filter(|received| received.counts);
        let times = counted.map(|received| received.at).collect::<Vec<_>>();
        let permitted = FACTOR * rate * WINDOW_MS as f64 / 1_000.0 + EXTRA;
        let bounded = times.iter().enumerate().filter(|(_, at)| **at >= since + CONTACT_MS);
        let sums = bounded.map(|(first, at)| {
            times[first..].iter().take_while(|later| **later < at + WINDOW_MS).count()
        });
        sums.max().unwrap_or(0) as f64 / permitted
    }

    fn assert_bounded(&self, seed: u64) {
        for engine in (0..ENGINES).filter(|engine| self.rates[*engine].is_some()) {
            let worst = self.worst(engine);
            assert!(worst <= 1.0, "seed {seed}: engine {engine} got {worst:.2} of the permitted");
        }
    }

    /// Returns the requests a second that an engine received from `from` on.
    fn received_per_s(&self, engine: usize, from: u64) -> f64 {
        let count = self.received[engine].iter().filter(|received| received.at >= from).count();
        count as f64 * 1_000.0 / (self.now - from) as f64
    }

    fn inject_fault(&mut self) {
        let entries = self.entries.len();
        let entry = self.rng.random_range(0..entries);
        let side = self.rng.random_range(0..ENGINES);
        let until = self.now + self.rng.random_range(200..8_000);
        match self.rng.random_range(0..6) {
            0 => self.kill_entry(entry),
            1 => (0..entries).for_each(|entry| self.kill_entry(entry)),
            2 => self.kill_side(side),
            3 => (0..ENGINES).for_each(|side| self.kill_side(side)),
            4 => self.entries[entry].cut_until[side] = until,
            _ => (0..ENGINES).for_each(|side| self.entries[entry].cut_until[side] = until),
        }
    }
}

/// Guards against an endpoint that gets more requests of all entries together than the limit that it names,
/// whichever entries and sides start again or are cut off.
/// `CITRONRILL_LIMIT_SEEDS=FIRST:COUNT` sets the seeds.
#[rstest]
#[case(5)]
#[case(21)]
#[case(68)]
fn an_endpoints_limit_is_kept_in_any_series_of_faults(#[case] entries: usize) {
    let (first_seed, count) = seeds_from("CITRONRILL_LIMIT_SEEDS", "1:4");
    for seed in first_seed..first_seed + count {
        let mut fleet = Fleet::new(seed, entries, 3);
        fleet.name_limit(0, 2.3);
        fleet.name_limit(1, 3.1);
        for ms in 0..25_000 {
            if ms % 1_000 == 999 && fleet.rng.random_bool(0.4) {
                fleet.inject_fault();
            }
            let only = ((ms / 5_000) % 3 == 2).then_some(0);
            fleet.step(40.0, only);
        }
        fleet.assert_bounded(seed);
    }
}

/// Guards against an endpoint that gets more than its limit where nothing is wrong, and against one that
/// gets hardly anything: with three times its limit asked for, it gets nine tenths of it.
#[rstest]
fn an_endpoint_gets_its_limit(
    #[values(5, 21, 68)] entries: usize,
    #[values(false, true)] all_at_one: bool,
) {
    let mut fleet = Fleet::new(2, entries, 1);
    fleet.name_limit(0, 4.0);
    let from = fleet.now + CONTACT_MS;
    for _ in 0..20_000 {
        fleet.step(12.0, all_at_one.then_some(1));
    }
    fleet.assert_bounded(2);
    let rate = fleet.received_per_s(0, from);
    assert!((3.6..=4.4).contains(&rate), "{rate} a second");
    let served = fleet.refused.get(Reason::Expired.as_str()).copied().unwrap_or(0);
    assert_eq!(served, 0, "what cannot be served is refused before its deadline");
}

/// Guards against callers who wait or are refused although all of them stay within the limit.
#[rstest]
fn nobody_is_refused_below_an_endpoints_limit(#[values(5, 21, 68)] entries: usize) {
    let mut fleet = Fleet::new(6, entries, 1);
    fleet.name_limit(0, 8.0);
    for _ in 0..20_000 {
        fleet.step(5.0, None);
    }
    fleet.assert_bounded(6);
    let refused = fleet.refused.values().sum::<u32>();
    assert!(refused * 50 <= fleet.sent, "{refused} of {} refused", fleet.sent);
}

/// Guards against callers who are refused because one holder of their model names a limit although others
/// have room.
#[test]
fn other_holders_serve_what_a_limit_holds_back() {
    let mut fleet = Fleet::new(7, 5, 3);
    fleet.name_limit(0, 1.0);
    for _ in 0..10_000 {
        fleet.step(40.0, None);
    }
    fleet.assert_bounded(7);
    assert!(fleet.refused.is_empty(), "{:?}", fleet.refused);
}

/// Guards against a limit that holds on after the endpoint has lifted it.
#[rstest]
fn an_endpoint_that_lifts_its_limit_gets_all_again(#[values(5, 68)] entries: usize) {
    let mut fleet = Fleet::new(8, entries, 1);
    fleet.name_limit(0, 1.0);
    for _ in 0..6_000 {
        fleet.step(20.0, None);
    }
    fleet.rates[0] = None;
    for _ in 0..6_000 {
        fleet.step(20.0, None);
    }
    let from = fleet.now;
    for _ in 0..4_000 {
        fleet.step(20.0, None);
    }
    let rate = fleet.received_per_s(0, from);
    assert!(rate >= 16.0, "{rate} a second");
}
