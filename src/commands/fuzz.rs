//! `citronrill fuzz`: runs the stateful fuzzer.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use argh::FromArgs;
use citronrill_lab::{fuzz, random_actions};

use crate::exit::{CommandError, Exit};

/// Maximum number of violating runs to print, and of violations per run.
const MAX_PRINTED: usize = 5;

/// Drive the reducers with random actions and faults, and check all invariants after each action.
#[derive(FromArgs)]
#[argh(subcommand, name = "fuzz")]
pub(crate) struct Fuzz {
    /// the seed of the first run
    #[argh(option, default = "1")]
    seed: u64,

    /// number of runs
    #[argh(option, default = "100")]
    runs: u64,

    /// number of random actions in each run
    #[argh(option, default = "100")]
    actions: usize,

    /// number of threads
    #[argh(option, default = "4")]
    threads: usize,
}

#[derive(Default)]
struct Totals {
    steps: u64,
    requests: u64,
    answered: u64,
    violations: Vec<(u64, usize, Vec<String>)>,
}

impl Fuzz {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let started = Instant::now();
        let next_seed = AtomicU64::new(self.seed);
        let totals = Mutex::new(Totals::default());
        thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(|| self.run_seeds(&next_seed, &totals));
            }
        });
        let totals = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
        for (seed, action, messages) in totals.violations.iter().take(MAX_PRINTED) {
            println!("seed {seed}, after action {action}:");
            messages.iter().take(MAX_PRINTED).for_each(|violation| println!("  {violation}"));
        }
        println!(
            "{} runs, {} reducer steps, {} requests, {} answered, {} runs with a violation, {:.1} s",
            self.runs,
            totals.steps,
            totals.requests,
            totals.answered,
            totals.violations.len(),
            started.elapsed().as_secs_f64()
        );
        Ok(if totals.violations.is_empty() { Exit::Success } else { Exit::Failure })
    }

    fn run_seeds(&self, next_seed: &AtomicU64, totals: &Mutex<Totals>) {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= self.seed + self.runs {
                return;
            }
            let report = fuzz(seed, &random_actions(seed, self.actions));
            let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
            totals.steps += report.steps;
            totals.requests += report.requests;
            totals.answered += report.answered;
            if let Some((action, messages)) = report.violation {
                totals.violations.push((seed, action, messages));
            }
        }
    }
}
