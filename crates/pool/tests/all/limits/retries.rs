//! The retry budget over all entries: real entries whose endpoints refuse, and that start again, are cut
//! off and added.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use citronrill_base::Millis;
use citronrill_pool::{
    EntryEffect, EntryEvent, EntryProfile, EntryRoster, MemberChange, PoolEntry, RequestId,
};
use citronrill_wire::SideState;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::fleet::ip;
use crate::support::{
    ENGINE, PLAIN, address, arrival, config, first_era, member, not_run, ok, profile, seeds_from,
    state,
};

const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
const SIDES: usize = 3;
/// Requests a second at each entry.
const RATE: f64 = 5.0;
/// Milliseconds between two reports of a side.
const REPORT_MS: u64 = 500;
/// Milliseconds from the start of the processes to the first request.
const LEAD_MS: u64 = 10_000;
/// Milliseconds within which all entries have connected to a side that has started.
const RECONNECT_MS: u64 = 4_000;
/// Milliseconds for which an entry that was killed is down.
const DOWN_MS: u64 = 500;

struct EntryNode {
    entry: PoolEntry,
    ip: IpAddr,
    up_at: u64,
    cut_until: u64,
    /// Whether the sides count it as connected.
    connected: bool,
}

/// What the endpoints of one service received.
#[derive(Default)]
struct Arrivals {
    firsts: Vec<u64>,
    repeats: Vec<u64>,
}

impl Arrivals {
    /// Returns the most repeats in a window as a share of what is permitted, and that window's start.
    fn worst(&self, slack: f64) -> (f64, u64) {
        let count = |times: &[u64], from: u64| {
            let until = from + WINDOW_MS;
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
        };
        let share = |from: u64| {
            let earlier = [0, WINDOW_MS / 2, WINDOW_MS].map(|back| from.saturating_sub(back));
            let firsts = earlier.map(|from| count(&self.firsts, from)).into_iter().max().unwrap();
            count(&self.repeats, from) as f64 / (RATIO * firsts as f64 + slack)
        };
        let shares = self.repeats.iter().map(|from| (share(*from), *from));
        shares.max_by(|(a, _), (b, _)| a.total_cmp(b)).unwrap_or_default()
    }
}

/// Entries before one service, whose endpoints refuse a share of what they get.
struct Fleet {
    now: u64,
    rng: SmallRng,
    slack: f64,
    entries: Vec<EntryNode>,
    rosters: Vec<EntryRoster>,
    refused_share: f64,
    arrivals: Arrivals,
    /// Connections that entries will make to a side, with their time.
    returning: Vec<(u64, usize, usize)>,
    /// Dispatches on their way, by arrival time.
    on_way: BTreeMap<u64, Vec<(usize, RequestId, u32)>>,
    arrived: BTreeSet<RequestId>,
    next_id: u64,
}

impl Fleet {
    fn new(seed: u64, entries: usize) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            slack: 50.0 + 2.0 * entries as f64,
            entries: Vec::new(),
            rosters: (0..SIDES).map(|_| EntryRoster::default()).collect(),
            refused_share: 0.0,
            arrivals: Arrivals::default(),
            returning: Vec::new(),
            on_way: BTreeMap::new(),
            arrived: BTreeSet::new(),
            next_id: 0,
        };
        (0..entries).for_each(|_| fleet.add_entry(true));
        while fleet.now < LEAD_MS {
            fleet.step(0.0);
        }
        fleet
    }

    fn add_entry(&mut self, first_start: bool) {
        let ip = ip(self.entries.len());
        let entry = self.start_entry(first_start);
        self.entries.push(EntryNode { entry, ip, up_at: 0, cut_until: 0, connected: false });
    }

    fn start_entry(&self, first_start: bool) -> PoolEntry {
        let mut entry = PoolEntry::new(EntryProfile {
            seed: self.entries.len() as u64,
            retry_slack: self.slack,
            first_start,
            ..profile()
        });
        let now = Millis(self.now);
        entry.step(now, EntryEvent::Config(config(1)));
        entry.step(now, EntryEvent::ConfigCurrent(true));
        let engines = (0..SIDES).map(|index| member(index as u8, ENGINE, &["m0"]));
        let plain = (0..6).map(|index| member(100 + index, PLAIN, &[]));
        let rows = engines.chain(plain).map(|member| (member.instance.clone(), Some(member)));
        let change = MemberChange { complete: true, version: first_era(1), rows: rows.collect() };
        entry.step(now, EntryEvent::Members(change));
        entry
    }

    /// Kills an entry.
    fn kill(&mut self, entry: usize) {
        self.disconnect(entry, false);
        let started = self.start_entry(false);
        let node = &mut self.entries[entry];
        node.entry = started;
        node.up_at = self.now + DOWN_MS;
    }

    fn disconnect(&mut self, entry: usize, silent: bool) {
        let node = &mut self.entries[entry];
        if std::mem::take(&mut node.connected) {
            for roster in &mut self.rosters {
                roster.remove(node.ip, silent, Millis(self.now));
            }
        }
    }

    /// Kills a side: it counts the entries anew, as they connect again.
    fn kill_side(&mut self, side: usize) {
        self.rosters[side] = EntryRoster::default();
        self.returning.retain(|(_, returning, _)| *returning != side);
        for entry in 0..self.entries.len() {
            let at = self.now + self.rng.random_range(100..RECONNECT_MS);
            self.returning.push((at, side, entry));
        }
    }

    fn reconnect(&mut self) {
        let now = self.now;
        let due = self.returning.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (_, side, entry) in due {
            if self.entries[entry].connected {
                self.rosters[side].add(self.entries[entry].ip);
            }
        }
    }

    fn is_up(&self, entry: usize) -> bool {
        self.now >= self.entries[entry].up_at
    }

    fn connect(&mut self) {
        for entry in 0..self.entries.len() {
            let cut = self.now < self.entries[entry].cut_until;
            if cut {
                self.disconnect(entry, true);
            } else if self.is_up(entry) && !self.entries[entry].connected {
                self.entries[entry].connected = true;
                let ip = self.entries[entry].ip;
                self.rosters.iter_mut().for_each(|roster| roster.add(ip));
            }
        }
    }

    fn report(&mut self) {
        for (side, roster) in self.rosters.iter().enumerate() {
            let known_entries = roster.count(Millis(self.now));
            let state = SideState { entries: known_entries, known_entries, ..state(1, &["m0"]) };
            for node in self.entries.iter_mut().filter(|node| node.connected) {
                let event = EntryEvent::SideReport(address(side as u8), state.clone());
                node.entry.step(Millis(self.now), event);
            }
        }
    }

    /// Advances the clock by one millisecond; each entry gets `rate` requests a second.
    fn step(&mut self, rate: f64) {
        self.now += 1;
        self.connect();
        self.reconnect();
        if self.now.is_multiple_of(REPORT_MS) {
            self.report();
        }
        for entry in 0..self.entries.len() {
            if self.rng.random_bool(rate / 1_000.0) {
                self.arrivals.firsts.push(self.now);
                if self.is_up(entry) {
                    self.request(entry);
                }
            }
            if self.is_up(entry) && self.now.is_multiple_of(20) {
                self.step_entry(entry, EntryEvent::Tick);
            }
        }
        for (entry, id, number) in self.on_way.remove(&self.now).unwrap_or_default() {
            self.arrive(entry, id, number);
        }
    }

    fn request(&mut self, entry: usize) {
        self.next_id += 1;
        let arrival = arrival(self.next_id, "/status/x", "");
        self.step_entry(entry, EntryEvent::RequestArrived(arrival));
    }

    fn step_entry(&mut self, entry: usize, event: EntryEvent) {
        let effects = self.entries[entry].entry.step(Millis(self.now), event);
        for effect in effects {
            if let EntryEffect::Dispatch(id, dispatch) = effect {
                let at = self.now + 1;
                self.on_way.entry(at).or_default().push((entry, id, dispatch.number));
            }
        }
    }

    /// Handles the arrival of a dispatch at an endpoint.
    fn arrive(&mut self, entry: usize, id: RequestId, number: u32) {
        if !self.arrived.insert(id) {
            self.arrivals.repeats.push(self.now);
        }
        let refused = self.rng.random_bool(self.refused_share);
        let head = if refused { not_run(503) } else { ok() };
        if self.is_up(entry) {
            self.step_entry(entry, EntryEvent::ResponseHead(id, number, head));
            if !refused {
                let end = citronrill_pool::ResponseEnd::Complete;
                self.step_entry(entry, EntryEvent::ResponseEnded(id, end));
            }
        }
    }

    fn inject_fault(&mut self) {
        let entries = self.entries.len();
        let entry = self.rng.random_range(0..entries);
        match self.rng.random_range(0..7) {
            0 => self.kill(entry),
            1 => (0..entries).for_each(|entry| self.kill(entry)),
            2 => (0..entries / 2).for_each(|entry| self.kill(entry)),
            3 => self.entries[entry].cut_until = self.now + self.rng.random_range(500..15_000),
            4 => (0..SIDES).for_each(|side| self.kill_side(side)),
            5 if entries < 100 => self.add_entry(false),
            _ => self.refused_share = self.rng.random_range(0.0..1.0),
        }
    }

    fn assert_bounded(&self, seed: u64) {
        let (share, from) = self.arrivals.worst(self.slack);
        assert!(share <= 1.0, "seed {seed}: {share:.2} of the permitted repeats from {from} ms on");
    }
}

/// Guards against repeats beyond the budget of all entries, whichever of them start again, are cut off or
/// added, and whichever sides count them anew.
/// `CITRONRILL_LIMIT_SEEDS=FIRST:COUNT` sets the seeds.
#[rstest]
#[case(4)]
#[case(21)]
#[case(68)]
fn repeats_stay_within_the_budget_in_any_series_of_starts(#[case] entries: usize) {
    let (first_seed, count) = seeds_from("CITRONRILL_LIMIT_SEEDS", "1:6");
    for seed in first_seed..first_seed + count {
        let mut fleet = Fleet::new(seed, entries);
        fleet.refused_share = 1.0;
        for ms in 0..30_000 {
            if ms % 500 == 0 && fleet.rng.random_bool(0.4) {
                fleet.inject_fault();
            }
            let hot = if (ms / 3_000) % 3 == 0 { 4.0 } else { 1.0 };
            fleet.step(hot * RATE);
        }
        fleet.assert_bounded(seed);
    }
}

/// Guards against a share of the budget that each start of an entry is given anew.
#[rstest]
fn repeats_stay_within_the_budget_while_all_entries_are_killed(
    #[values(4, 21, 68)] entries: usize,
    #[values(1_000, 3_000)] every_ms: u64,
) {
    let mut fleet = Fleet::new(3, entries);
    fleet.refused_share = 1.0;
    for ms in 0..20_000 {
        if ms % every_ms == every_ms - 1 {
            (0..entries).for_each(|entry| fleet.kill(entry));
        }
        fleet.step(RATE);
    }
    fleet.assert_bounded(3);
}

/// Guards against larger shares while the sides have started again and know few of the entries.
#[rstest]
fn repeats_stay_within_the_budget_while_all_sides_are_killed(#[values(21, 68)] entries: usize) {
    let mut fleet = Fleet::new(4, entries);
    fleet.refused_share = 1.0;
    for ms in 0..20_000 {
        if ms % 5_000 == 2_000 {
            (0..SIDES).for_each(|side| fleet.kill_side(side));
        }
        fleet.step(RATE);
    }
    fleet.assert_bounded(4);
}

/// Guards against a bound that is kept by giving hardly any repeat: while nothing starts again and every
/// endpoint refuses, at least nine tenths of the permitted repeats are sent.
#[rstest]
fn most_of_the_budget_is_used_while_no_entry_starts_again(#[values(4, 21, 68)] entries: usize) {
    let mut fleet = Fleet::new(5, entries);
    fleet.refused_share = 1.0;
    for _ in 0..20_000 {
        fleet.step(RATE);
    }
    fleet.assert_bounded(5);
    let (share, _) = fleet.arrivals.worst(fleet.slack);
    assert!(share >= 0.9, "{share:.2}");
}

/// Guards against a restart of one entry that costs the others their share.
#[test]
fn the_restart_of_one_entry_leaves_the_others_their_share() {
    let sent = |kills: bool| {
        let mut fleet = Fleet::new(9, 4);
        fleet.refused_share = 1.0;
        if kills {
            fleet.kill(0);
        }
        let mut sent = 0;
        for _ in 0..10_000 {
            let before = fleet.arrivals.repeats.len();
            fleet.step(RATE);
            sent += fleet.arrivals.repeats.len() - before;
        }
        sent as f64
    };
    let (without, with) = (sent(false), sent(true));
    assert!(with >= 0.7 * without, "{with} of {without}");
}
