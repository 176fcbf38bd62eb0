//! Entries and sides that share limits, on virtual time, with faults between them.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    Charge, Claim, CreditIssuer, CreditLedger, EntryLink, EntryRoster, LimitBounds, LimitUnit,
    Organisation, Organisations, Terms, UsageLimit,
};
use citronrill_wire::{CreditReply, CreditReport};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::address;

pub(crate) const BOUNDS: LimitBounds =
    LimitBounds { window_ms: 8_000, overage: 0.1, tolerance: 110_000.0 };
/// Milliseconds of silence after which a side gives up the connection of an entry.
const SILENT_MS: u64 = 1_700;
/// Milliseconds after which an entry notices that a side is lost.
const NOTICE_MS: u64 = 400;

pub(crate) const fn limit(rate: u64, burst: u64) -> UsageLimit {
    UsageLimit { rate, burst, unit: LimitUnit::Tokens(200) }
}

pub(crate) fn organisations(limits: &[UsageLimit]) -> Organisations {
    let organisation = |(index, limit): (usize, &UsageLimit)| Organisation {
        name: name(index),
        keys: Vec::new(),
        priority: None,
        limit: Some(*limit),
    };
    Organisations::new(limits.iter().enumerate().map(organisation).collect())
}

pub(crate) fn name(org: usize) -> Arc<str> {
    format!("org-{org}").into()
}

enum Message {
    Report(CreditReport),
    Reply(CreditReply),
}

struct Pending {
    claim: Claim,
    org: usize,
}

struct EntryNode {
    ledger: CreditLedger,
    pending: Vec<Pending>,
    /// Since when the entry has no connection to each side.
    cut_since: Vec<Option<u64>>,
    links: Vec<Option<EntryLink>>,
    frozen_until: u64,
    /// Milliseconds of the current freeze.
    frozen_ms: u64,
    /// Milliseconds that its clock stood still.
    lost_ms: u64,
}

#[derive(Default)]
struct SideNode {
    issuer: CreditIssuer,
    roster: EntryRoster,
    organisations: Option<Arc<Organisations>>,
}

/// What became of the requests of one organisation.
#[derive(Debug, Default, Clone)]
pub(crate) struct Tally {
    /// Units that were taken, with the time.
    pub(crate) taken: Vec<(u64, u64)>,
    /// Units that were refused, with the time.
    pub(crate) refused: Vec<(u64, u64)>,
    pub(crate) refused_units: u64,
    pub(crate) unknown_units: u64,
}

impl Tally {
    /// Returns the largest sum in any window of `window_ms`.
    pub(crate) fn largest_window(&self, window_ms: u64) -> u64 {
        let (mut window, mut sum, mut largest) = (VecDeque::new(), 0, 0);
        for (at, units) in &self.taken {
            window.push_back((*at, *units));
            sum += units;
            while window.front().is_some_and(|(first, _)| at - first > window_ms) {
                sum -= window.pop_front().unwrap().1;
            }
            largest = largest.max(sum);
        }
        largest
    }
}

/// Entries that admit requests by credit, and the sides that issue it.
pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) rng: SmallRng,
    pub(crate) organisations: Arc<Organisations>,
    pub(crate) tallies: Vec<Tally>,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    entries: Vec<EntryNode>,
    sides: Vec<SideNode>,
    in_flight: BTreeMap<(u64, u64), (usize, usize, EntryLink, Message)>,
    next_message: u64,
    next_link: u64,
    /// Cuts between an entry and a side, until this time.
    cuts: BTreeMap<(usize, usize), u64>,
}

impl Fleet {
    pub(crate) fn new(seed: u64, entries: usize, sides: usize, limits: &[UsageLimit]) -> Fleet {
        let organisations = Arc::new(organisations(limits));
        let mut fleet = Fleet {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            tallies: vec![Tally::default(); limits.len()],
            messages: 0,
            bytes: 0,
            entries: (0..entries).map(|_| entry(sides)).collect(),
            sides: (0..sides).map(|_| side(&organisations)).collect(),
            organisations,
            in_flight: BTreeMap::new(),
            next_message: 0,
            next_link: 0,
            cuts: BTreeMap::new(),
        };
        fleet.connect_all();
        fleet
    }

    pub(crate) fn entries(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn sides(&self) -> usize {
        self.sides.len()
    }

    /// Sends a request of an organisation to an entry.
    pub(crate) fn request(&mut self, entry: usize, org: usize, units: u64) {
        let organisation = name(org);
        let Some(limit) = self.organisations.named(&organisation).and_then(|found| found.limit)
        else {
            return;
        };
        let arrived = Millis(self.now - self.entries[entry].lost_ms);
        let claim = Claim { organisation, limit, units, arrived, asked: None };
        self.entries[entry].pending.push(Pending { claim, org });
        self.decide(entry);
    }

    /// Advances the clock by one millisecond.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        for entry in &mut self.entries {
            if entry.frozen_until == self.now {
                entry.lost_ms += std::mem::take(&mut entry.frozen_ms);
            }
        }
        self.notice_cuts();
        self.deliver();
        if self.now.is_multiple_of(20) {
            (0..self.entries.len()).for_each(|entry| self.decide(entry));
        }
    }

    /// Lets time pass without requests.
    pub(crate) fn run_idle(&mut self, for_ms: u64) {
        (0..for_ms).for_each(|_| self.step());
    }

    /// Changes the limits at once everywhere.
    pub(crate) fn set_limits(&mut self, limits: &[UsageLimit]) {
        self.organisations = Arc::new(organisations(limits));
        for side in &mut self.sides {
            side.organisations = Some(self.organisations.clone());
        }
    }

    /// Cuts the connection between an entry and a side for some time.
    pub(crate) fn cut(&mut self, entry: usize, side: usize, for_ms: u64) {
        self.cuts.insert((entry, side), self.now + for_ms);
    }

    /// Stops an entry, and its clock, for some time.
    pub(crate) fn freeze(&mut self, entry: usize, for_ms: u64) {
        let node = &mut self.entries[entry];
        if node.frozen_until <= self.now {
            node.frozen_until = self.now + for_ms;
            node.frozen_ms = for_ms;
        }
    }

    /// Kills an entry; it starts again at once.
    pub(crate) fn restart_entry(&mut self, entry: usize) {
        for side in 0..self.sides.len() {
            self.disconnect(entry, side, false);
        }
        let lost_ms = self.now;
        self.entries[entry] = self::entry(self.sides.len());
        self.entries[entry].lost_ms = lost_ms;
        self.connect_all();
    }

    /// Kills a side; it starts again at once.
    pub(crate) fn restart_side(&mut self, side: usize) {
        self.sides[side] = self::side(&self.organisations);
        for entry in &mut self.entries {
            entry.links[side] = None;
        }
        self.connect_all();
    }

    fn is_cut(&self, entry: usize, side: usize) -> bool {
        self.cuts.get(&(entry, side)).is_some_and(|until| self.now < *until)
    }

    fn connect_all(&mut self) {
        for entry in 0..self.entries.len() {
            for side in 0..self.sides.len() {
                if self.entries[entry].links[side].is_none() && !self.is_cut(entry, side) {
                    self.next_link += 1;
                    self.entries[entry].links[side] = Some(EntryLink(self.next_link));
                    self.sides[side].roster.add(ip(entry));
                }
            }
        }
    }

    fn disconnect(&mut self, entry: usize, side: usize, silent: bool) {
        if let Some(link) = self.entries[entry].links[side].take() {
            let now = Millis(self.now);
            self.sides[side].issuer.remove(link);
            self.sides[side].roster.remove(ip(entry), silent, now);
        }
    }

    fn notice_cuts(&mut self) {
        for entry in 0..self.entries.len() {
            for side in 0..self.sides.len() {
                let cut = self.is_cut(entry, side) || self.now < self.entries[entry].frozen_until;
                let since = &mut self.entries[entry].cut_since[side];
                *since = if cut { Some(since.unwrap_or(self.now)) } else { None };
                let silent_ms = since.map_or(0, |since| self.now - since);
                if silent_ms >= SILENT_MS {
                    self.disconnect(entry, side, true);
                }
            }
        }
        self.connect_all();
    }

    /// Returns the side that an entry takes for the issuer: the first that it can reach.
    fn issuer(&self, entry: usize) -> Option<usize> {
        let node = &self.entries[entry];
        (0..self.sides.len()).find(|side| {
            let noticed = node.cut_since[*side].is_some_and(|since| self.now - since >= NOTICE_MS);
            node.links[*side].is_some() && !noticed
        })
    }

    fn known_entries(&self, entry: usize) -> u32 {
        let sides = self.sides.iter().enumerate();
        let reached = sides.filter(|(side, _)| self.entries[entry].cut_since[*side].is_none());
        reached.map(|(_, side)| side.roster.count(Millis(self.now))).max().unwrap_or(8)
    }

    /// Decides on the requests that wait at an entry, and sends its report.
    fn decide(&mut self, entry: usize) {
        if self.now < self.entries[entry].frozen_until {
            return;
        }
        let (entries, issuer) = (self.known_entries(entry), self.issuer(entry));
        let at = self.now;
        let node = &mut self.entries[entry];
        let now = Millis(at - node.lost_ms);
        for mut pending in std::mem::take(&mut node.pending) {
            let (units, tally) = (pending.claim.units, &mut self.tallies[pending.org]);
            match node.ledger.charge(&pending.claim, entries, now) {
                Charge::Taken => tally.taken.push((at, units)),
                Charge::Wait(number) => {
                    pending.claim.asked = Some(number);
                    node.pending.push(pending);
                }
                Charge::Over(_) => {
                    tally.refused.push((at, units));
                    tally.refused_units += units;
                }
                Charge::Unknown => tally.unknown_units += units,
            }
        }
        node.ledger.set_issuer(issuer.map(|side| address(side as u8)));
        if let Some((_, report)) = node.ledger.take_report(entries, now) {
            let side = issuer.unwrap();
            let link = node.links[side].unwrap();
            self.send(entry, side, link, Message::Report(report));
        }
    }

    fn send(&mut self, entry: usize, side: usize, link: EntryLink, message: Message) {
        self.messages += 1;
        self.bytes += match &message {
            Message::Report(report) => prost::Message::encoded_len(report) as u64,
            Message::Reply(reply) => prost::Message::encoded_len(reply) as u64,
        };
        if self.is_cut(entry, side) {
            return;
        }
        let slow = self.rng.random_bool(0.01);
        let delay = self.rng.random_range(1..if slow { 120 } else { 4 });
        self.next_message += 1;
        let key = (self.now + delay, self.next_message);
        self.in_flight.insert(key, (entry, side, link, message));
    }

    fn deliver(&mut self) {
        while let Some(next) = self.in_flight.first_entry() {
            if next.key().0 > self.now {
                return;
            }
            let (entry, side, link, message) = next.remove();
            // A connection that was replaced delivers nothing.
            let current = self.entries[entry].links[side] == Some(link);
            if !current || self.is_cut(entry, side) {
                continue;
            }
            match message {
                Message::Report(report) => {
                    let now = Millis(self.now);
                    let node = &mut self.sides[side];
                    let organisations = node.organisations.clone().unwrap();
                    let terms = Terms {
                        organisations: Some(&organisations),
                        bounds: &BOUNDS,
                        entries: node.roster.count(now),
                    };
                    let reply = node.issuer.report(link, &report, terms, now);
                    self.send(entry, side, link, Message::Reply(reply));
                }
                Message::Reply(_) if self.now < self.entries[entry].frozen_until => {
                    // It is read when the entry runs again.
                    let key = (self.entries[entry].frozen_until, self.next_message);
                    self.next_message += 1;
                    self.in_flight.insert(key, (entry, side, link, message));
                }
                Message::Reply(reply) => {
                    self.entries[entry].ledger.apply(address(side as u8), &reply);
                    self.decide(entry);
                }
            }
        }
    }
}

fn entry(sides: usize) -> EntryNode {
    EntryNode {
        ledger: CreditLedger::new(BOUNDS),
        pending: Vec::new(),
        cut_since: vec![None; sides],
        links: vec![None; sides],
        frozen_until: 0,
        frozen_ms: 0,
        lost_ms: 0,
    }
}

fn side(organisations: &Arc<Organisations>) -> SideNode {
    SideNode { organisations: Some(organisations.clone()), ..SideNode::default() }
}

pub(crate) fn ip(entry: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a01_0000 + entry as u32))
}
