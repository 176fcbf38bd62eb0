//! A weight store with limits on the rate of loads and on concurrent loads at full speed.

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Limits of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightLimits {
    /// Concurrent loads at full speed; with more, all slow down equally.
    pub concurrent_loads: u64,
    /// Loads started per second; more are refused.
    pub loads_per_second: u64,
}

#[derive(Debug)]
struct State {
    running: u64,
    started: Vec<Instant>,
    max_running: u64,
    refused: u64,
    slowdown: u64,
}

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    limits: WeightLimits,
    state: Mutex<State>,
    wakeup: Condvar,
}

impl WeightStore {
    /// Returns a weight store with `limits`.
    pub fn new(limits: WeightLimits) -> WeightStore {
        let state =
            State { running: 0, started: Vec::new(), max_running: 0, refused: 0, slowdown: 1 };
        WeightStore { limits, state: Mutex::new(state), wakeup: Condvar::new() }
    }

    /// Slows every load down by a factor.
    pub fn slow_down(&self, factor: u64) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).slowdown = factor.max(1);
    }

    /// Executes a load that takes `millis` at full speed. Returns `false` if the rate limit is exceeded.
    pub(crate) fn load(&self, millis: u64) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        state.started.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        if state.started.len() as u64 >= self.limits.loads_per_second {
            state.refused += 1;
            return false;
        }
        state.started.push(now);
        state.running += 1;
        state.max_running = state.max_running.max(state.running);
        let mut remaining = millis as f64;
        while remaining > 0.0 {
            let share = self.limits.concurrent_loads as f64
                / state.running.max(self.limits.concurrent_loads) as f64;
            let speed = share / state.slowdown as f64;
            let started = Instant::now();
            let wait = Duration::from_millis((remaining / speed).ceil().min(50.0) as u64 + 1);
            let waited = self.wakeup.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            remaining -= started.elapsed().as_secs_f64() * 1000.0 * speed;
        }
        state.running -= 1;
        true
    }

    /// Returns the maximum number of concurrent loads, and the number refused for the rate limit.
    pub fn load_stats(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.max_running, state.refused)
    }
}
