//! What is done to the processes, the connections and the store. Faults come in series and overlap.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use citronrill_platform_standin::{Harm, Mode, Outage, Proxy};
use rand::{Rng, rngs::SmallRng};

use crate::support::{Deployment, LinkedEntry, PATIENCE, Process, large_text, text};

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// Faults of one run.
const FAULTS: usize = 24;
/// Milliseconds that a fault lasts at most: over the time after which sides count as silent. The next
/// one comes after a third of that at most, so that two or three overlap.
const LONGEST_MS: u64 = 1_500;
const PAUSE_MS: u64 = 500;
/// Bytes a second of an entry's slow link: a large text takes longer on it than sides or the store were
/// ever given for one.
const SLOW_LINK: u64 = 800_000;
/// Routes that make a text of 330 KB.
const MANY_ROUTES: usize = 1_400;

/// What is done to an entry, as its callers are told.
#[derive(Debug, Default)]
pub(crate) struct Disturbed {
    begun: AtomicU64,
    ended: AtomicU64,
}

impl Disturbed {
    /// How often something was begun, if nothing is under way.
    pub(crate) fn calm(&self) -> Option<u64> {
        let begun = self.begun.load(Ordering::Relaxed);
        (self.ended.load(Ordering::Relaxed) == begun).then_some(begun)
    }

    fn begin(&self) {
        self.begun.fetch_add(1, Ordering::Relaxed);
    }

    fn end(&self) {
        self.ended.fetch_add(1, Ordering::Relaxed);
    }
}

/// An entry as callers know it.
#[derive(Clone)]
pub(crate) struct EntryPoint {
    pub(crate) address: SocketAddr,
    pub(crate) disturbed: Arc<Disturbed>,
}

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
enum End {
    ResumeEntry(usize),
    ResumeSide(usize),
    StartSide(usize),
    CureWorker(usize),
    CurePath(usize),
    StoreUp,
}

/// A pool with proxies before its workers, and what is done to it.
pub(crate) struct Harness {
    deployment: Deployment,
    /// The entries beside the deployment's own, all behind slow links.
    others: Vec<LinkedEntry>,
    points: Vec<EntryPoint>,
    /// Entries that are being stopped as planned.
    stopping: Vec<bool>,
    proxies: Vec<Proxy>,
    rng: SmallRng,
    ends: Vec<(Instant, End)>,
    version: u64,
    started: Instant,
    story: Vec<String>,
    broken: Vec<String>,
}

impl Harness {
    pub(crate) fn new(deployment: Deployment, entries: usize, rng: SmallRng) -> Harness {
        let others = (1..entries).map(|_| deployment.entry_behind_link(SLOW_LINK));
        let others = others.collect::<Vec<_>>();
        let addresses = others.iter().map(|entry| entry.callers);
        let addresses = [deployment.callers].into_iter().chain(addresses);
        let point = |address| EntryPoint { address, disturbed: Arc::default() };
        let proxies = deployment.proxies();
        Harness {
            points: addresses.map(point).collect(),
            stopping: vec![false; entries],
            deployment,
            others,
            proxies,
            rng,
            ends: Vec::new(),
            version: 1,
            started: Instant::now(),
            story: Vec::new(),
            broken: Vec::new(),
        }
    }

    /// Where callers go.
    pub(crate) fn callers(&self) -> Vec<EntryPoint> {
        self.points.clone()
    }

    /// What was done, and when.
    pub(crate) fn story(&self) -> Vec<String> {
        self.story.clone()
    }

    /// Does one fault after the other; each ends by itself while others are under way.
    pub(crate) fn run(&mut self) {
        self.rest(500);
        for _ in 0..FAULTS {
            let fault = self.rng.random_range(0..13);
            self.fault(fault);
            let pause = self.rng.random_range(0..PAUSE_MS);
            self.rest(pause);
        }
        while !self.ends.is_empty() || self.stopping.contains(&true) {
            self.rest(20);
        }
        self.rest(1_000);
    }

    fn fault(&mut self, fault: u32) {
        let side = self.rng.random_range(0..self.deployment.engines.len());
        let entry = self.rng.random_range(0..self.points.len());
        let lasts = self.rng.random_range(200..LONGEST_MS);
        match fault {
            0 => self.kill_entry(entry),
            1 => {
                self.tell(format!("entry {entry} paused for {lasts} ms"));
                self.points[entry].disturbed.begin();
                self.entry(entry).signal(SIGSTOP);
                self.end_after(lasts, End::ResumeEntry(entry));
            }
            2 => self.stop_entry(entry),
            3 => {
                self.tell(format!("entry {entry} told to read its settings"));
                self.entry(entry).signal(SIGHUP);
            }
            4 => {
                self.tell(format!("side {side} killed for {lasts} ms"));
                self.deployment.sides[side].kill();
                self.end_after(lasts, End::StartSide(side));
            }
            5 => self.pause_side(side, lasts),
            6 | 7 => {
                let modes = [Mode::Hang, Mode::Break, Mode::Unsigned, Mode::Foreign, Mode::Full];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.tell(format!("worker {side} in {mode:?} for {lasts} ms"));
                self.deployment.engines[side].set_mode(mode);
                self.end_after(lasts, End::CureWorker(side));
            }
            8 | 9 => {
                let harms = [Harm::Delay, Harm::Silent, Harm::OneWay, Harm::Reset];
                let harm = harms[self.rng.random_range(0..harms.len())];
                self.tell(format!("connections to worker {side}: {harm:?} for {lasts} ms"));
                self.proxies[side].set(harm);
                self.end_after(lasts, End::CurePath(side));
            }
            10 => {
                // By what was drawn already, so that a seed goes on meaning the same.
                let outage = if lasts % 2 == 0 { Outage::Refuse } else { Outage::Silent };
                self.tell(format!("store down for {lasts} ms: {outage:?}"));
                self.deployment.store.set_outage(Some(outage));
                self.end_after(lasts, End::StoreUp);
            }
            11 => self.write_text("a new text", |version| text(version, &["/added/"])),
            _ => self.write_text("a large text", |version| large_text(version, MANY_ROUTES)),
        }
    }

    fn entry(&mut self, index: usize) -> &mut Process {
        match index {
            0 => &mut self.deployment.entry,
            _ => &mut self.others[index - 1].process,
        }
    }

    /// Kills an entry and starts it again, also in the middle of a planned stop.
    fn kill_entry(&mut self, index: usize) {
        self.tell(format!("entry {index} killed"));
        self.points[index].disturbed.begin();
        self.stopping[index] = false;
        self.entry(index).start_again();
        self.points[index].disturbed.end();
    }

    /// Begins to stop an entry as planned: nothing may be cut, so callers are not told.
    fn stop_entry(&mut self, index: usize) {
        self.tell(format!("entry {index} is stopped as planned"));
        self.entry(index).signal(SIGHUP);
        self.entry(index).signal(SIGTERM);
        self.stopping[index] = true;
    }

    fn pause_side(&mut self, side: usize, lasts: u64) {
        if !self.is_gone(side) {
            self.tell(format!("side {side} paused for {lasts} ms"));
            self.deployment.sides[side].signal(SIGSTOP);
            self.end_after(lasts, End::ResumeSide(side));
        }
    }

    /// Whether a side was killed and not started again: there is nothing to pause or wake.
    fn is_gone(&self, side: usize) -> bool {
        self.ends.iter().any(|(_, end)| matches!(end, End::StartSide(gone) if *gone == side))
    }

    fn write_text(&mut self, what: &str, make: impl FnOnce(u64) -> Vec<u8>) {
        self.version += 3;
        let version = self.version;
        self.tell(format!("{what}, version {version}"));
        self.deployment.store.put("op", "config", Some(make(version)));
        if self.rng.random_bool(0.3) {
            self.tell("the store forgets its history".to_owned());
            self.deployment.store.forget();
        }
    }

    fn end_after(&mut self, ms: u64, end: End) {
        self.ends.push((Instant::now() + Duration::from_millis(ms), end));
    }

    /// Lets time pass; ends what is due.
    fn rest(&mut self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        loop {
            self.end_due();
            self.start_stopped();
            if Instant::now() >= until {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn end_due(&mut self) {
        let now = Instant::now();
        let due = self.ends.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        for (_, end) in due {
            match end {
                End::ResumeEntry(entry) => {
                    self.entry(entry).signal(SIGCONT);
                    self.points[entry].disturbed.end();
                }
                End::ResumeSide(side) if self.is_gone(side) => {}
                End::ResumeSide(side) => self.deployment.sides[side].signal(SIGCONT),
                End::StartSide(side) => self.deployment.sides[side].start_again(),
                End::CureWorker(side) => self.deployment.engines[side].set_mode(Mode::Sound),
                End::CurePath(side) => self.proxies[side].set(Harm::None),
                End::StoreUp => self.deployment.store.set_outage(None),
            }
        }
    }

    /// Starts entries again whose planned stop has ended.
    fn start_stopped(&mut self) {
        for index in 0..self.stopping.len() {
            if !self.stopping[index] {
                continue;
            }
            let Some(status) = self.entry(index).child.try_wait().unwrap() else { continue };
            if status.code() != Some(0) {
                self.broken.push(format!("a planned stop ended with {:?}", status.code()));
            }
            self.stopping[index] = false;
            self.entry(index).start_again();
        }
    }

    fn tell(&mut self, what: String) {
        self.story.push(format!("{:>6} ms {what}", self.started.elapsed().as_millis()));
    }

    /// Whether the last text is in force everywhere now that nothing is harmed, and whether no process
    /// has gone back to an older one.
    pub(crate) fn check_texts(&mut self) -> Vec<String> {
        let version = self.version;
        let others = self.others.iter().map(|entry| &entry.process);
        let processes = [&self.deployment.entry].into_iter().chain(others);
        let processes = processes.chain(&self.deployment.sides).collect::<Vec<_>>();
        let versions = |process: &Process| process.numbers("event=text ", "version=");
        let end = Instant::now() + PATIENCE;
        let has_last = |process: &&Process| versions(process).last() == Some(&version);
        while !processes.iter().all(has_last) && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        let mut broken = Vec::new();
        for (index, process) in processes.iter().enumerate() {
            let versions = versions(process);
            if versions.last() != Some(&version) {
                broken.push(format!("process {index} has {versions:?}, not version {version}"));
            }
            if !versions.is_sorted() {
                broken.push(format!("process {index} went back: {versions:?}"));
            }
        }
        broken
    }

    /// How often each request ran, over all workers.
    pub(crate) fn ran(&self) -> BTreeMap<String, usize> {
        let workers = self.deployment.engines.iter().chain([&self.deployment.ledger]);
        let mut ran = BTreeMap::new();
        for id in workers.flat_map(|worker| worker.ran()) {
            *ran.entry(id).or_default() += 1;
        }
        ran
    }

    /// What workers saw to be broken.
    pub(crate) fn check_workers(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        broken.extend(self.deployment.engines.iter().flat_map(|worker| worker.broken()));
        broken
    }
}
