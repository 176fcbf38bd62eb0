//! What is done to the processes, the connections and the store.

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

use citronrill_platform_standin::{Harm, Mode, Proxy};
use rand::{Rng, rngs::SmallRng};

use crate::support::{Deployment, text};

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// Faults of one run, one after the other, each with a pause after it.
const FAULTS: usize = 12;
/// Milliseconds that a fault lasts at most: over the time after which sides count as silent.
const LONGEST_MS: u64 = 1_500;

/// A pool with proxies before its workers, and what is done to it.
pub(crate) struct Harness {
    deployment: Deployment,
    proxies: Vec<Proxy>,
    rng: SmallRng,
    /// Odd while something is being done to the entry process.
    disturbed: Arc<AtomicU64>,
    version: u64,
    started: Instant,
    story: Vec<String>,
    broken: Vec<String>,
}

impl Harness {
    pub(crate) fn new(deployment: Deployment, rng: SmallRng) -> Harness {
        let proxies = deployment.proxies();
        Harness {
            deployment,
            proxies,
            rng,
            disturbed: Arc::default(),
            version: 1,
            started: Instant::now(),
            story: Vec::new(),
            broken: Vec::new(),
        }
    }

    /// Where callers go.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.deployment.callers
    }

    /// Counts what is done to the entry.
    pub(crate) fn disturbed(&self) -> Arc<AtomicU64> {
        self.disturbed.clone()
    }

    /// What was done, and when.
    pub(crate) fn story(&self) -> Vec<String> {
        self.story.clone()
    }

    /// Does one fault after the other.
    pub(crate) fn run(&mut self) {
        self.pause(500);
        for _ in 0..FAULTS {
            let fault = self.rng.random_range(0..10);
            self.fault(fault);
            let rest = self.rng.random_range(50..400);
            self.pause(rest);
        }
        self.pause(1_000);
    }

    fn fault(&mut self, fault: u32) {
        let index = self.rng.random_range(0..self.deployment.engines.len());
        let lasts = self.rng.random_range(200..LONGEST_MS);
        match fault {
            0 => self.on_entry("entry killed", |one| one.deployment.restart_entry()),
            1 => self.on_entry("entry paused", |one| {
                one.deployment.entry.signal(SIGSTOP);
                one.pause(lasts);
                one.deployment.entry.signal(SIGCONT);
            }),
            2 => self.stop_entry(),
            3 => {
                self.tell(format!("side {index} killed for {lasts} ms"));
                self.deployment.kill_side(index);
                self.pause(lasts);
                self.deployment.start_side(index);
            }
            4 => {
                self.tell(format!("side {index} paused for {lasts} ms"));
                self.deployment.sides[index].signal(SIGSTOP);
                self.pause(lasts);
                self.deployment.sides[index].signal(SIGCONT);
            }
            5 | 6 => {
                let modes = [Mode::Hang, Mode::Break, Mode::Unsigned, Mode::Foreign, Mode::Full];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.tell(format!("worker {index} in {mode:?} for {lasts} ms"));
                self.deployment.engines[index].set_mode(mode);
                self.pause(lasts);
                self.deployment.engines[index].set_mode(Mode::Sound);
            }
            7 | 8 => {
                let harms = [Harm::Delay, Harm::Silent, Harm::OneWay, Harm::Reset];
                let harm = harms[self.rng.random_range(0..harms.len())];
                self.tell(format!("connections to worker {index}: {harm:?} for {lasts} ms"));
                self.proxies[index].set(harm);
                self.pause(lasts);
                self.proxies[index].set(Harm::None);
            }
            _ => self.harm_store(lasts),
        }
    }

    /// Does something to the entry process; callers know of it.
    fn on_entry(&mut self, what: &str, act: impl FnOnce(&mut Harness)) {
        self.tell(what.to_owned());
        self.disturbed.fetch_add(1, Ordering::Relaxed);
        act(self);
        self.disturbed.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops the entry as planned: nothing may be cut, so callers are not told.
    fn stop_entry(&mut self) {
        self.tell("entry stopped as planned".to_owned());
        self.deployment.entry.signal(SIGHUP);
        self.deployment.entry.signal(SIGTERM);
        let code = self.deployment.entry.wait();
        if code != Some(0) {
            self.broken.push(format!("a planned stop ended with {code:?}"));
        }
        self.deployment.restart_entry();
    }

    fn harm_store(&mut self, lasts: u64) {
        self.tell(format!("store down for {lasts} ms, with a new text in between"));
        self.deployment.store.set_down(true);
        self.pause(lasts);
        self.version += 3;
        self.deployment.store.put("op", "config", Some(text(self.version, &["/added/"])));
        self.deployment.store.forget();
        self.deployment.store.set_down(false);
    }

    fn tell(&mut self, what: String) {
        self.story.push(format!("{:>6} ms {what}", self.started.elapsed().as_millis()));
    }

    fn pause(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
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
