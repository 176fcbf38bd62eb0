//! `citronrill fuzz`: long runs of the stateful fuzzing.

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

/// Violations that are printed in full.
const SHOWN: usize = 5;

/// Drive the reducers with random actions and faults, checking every invariant after each.
#[derive(FromArgs)]
#[argh(subcommand, name = "fuzz")]
pub(crate) struct Fuzz {
    /// the first run's seed
    #[argh(option, default = "1")]
    seed: u64,

    /// how many runs
    #[argh(option, default = "100")]
    runs: u64,

    /// random actions in each run
    #[argh(option, default = "100")]
    actions: usize,

    /// threads
    #[argh(option, default = "4")]
    threads: usize,
}

#[derive(Default)]
struct Total {
    steps: u64,
    requests: u64,
    answered: u64,
    violations: Vec<(u64, usize, Vec<String>)>,
}

impl Fuzz {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let begun = Instant::now();
        let next = AtomicU64::new(self.seed);
        let total = Mutex::new(Total::default());
        thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(|| self.work(&next, &total));
            }
        });
        let total = total.into_inner().unwrap_or_else(PoisonError::into_inner);
        for (seed, action, wrong) in total.violations.iter().take(SHOWN) {
            println!("seed {seed}, after action {action}:");
            wrong.iter().take(SHOWN).for_each(|text| println!("  {text}"));
        }
        println!(
            "{} runs, {} reducer steps, {} requests, {} answered, {} runs with a violation, {:.1} s",
            self.runs,
            total.steps,
            total.requests,
            total.answered,
            total.violations.len(),
            begun.elapsed().as_secs_f64()
        );
        Ok(if total.violations.is_empty() { Exit::Done } else { Exit::Failed })
    }

    fn work(&self, next: &AtomicU64, total: &Mutex<Total>) {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= self.seed + self.runs {
                return;
            }
            let report = fuzz(seed, &random_actions(seed, self.actions));
            let mut total = total.lock().unwrap_or_else(PoisonError::into_inner);
            total.steps += report.steps;
            total.requests += report.requests;
            total.answered += report.answered;
            if let Some((action, wrong)) = report.violation {
                total.violations.push((seed, action, wrong));
            }
        }
    }
}
