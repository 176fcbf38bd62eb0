//! `citronrill replay`: arrival traces over the reducers on virtual time.

use std::thread;

use argh::FromArgs;
use citronrill_lab::{
    Deployment, FIXED_LONG, FIXED_MIDDLE, FIXED_SHORT, LITORAL, NAIVE, OURS, ReplayReport, Rules,
    VIENNA, replay,
};

use crate::exit::{CommandError, Exit};

const DEPLOYMENTS: [&Deployment; 2] = [&VIENNA, &LITORAL];
const RULES: [Rules; 5] = [OURS, NAIVE, FIXED_SHORT, FIXED_MIDDLE, FIXED_LONG];

/// Replay arrival traces of both deployments over the reducers on virtual time; print a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub(crate) struct Replay {
    /// days to replay
    #[argh(option, default = "5")]
    days: u64,

    /// first days that are learned from and not reported on
    #[argh(option, default = "3")]
    warm_up: u64,
}

impl Replay {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        println!(
            "| deployment | rules | requests | refused | cold starts | p50 ms | p99 ms | p99.9 ms \
             | bound p99 ms | idle h | clairvoyant h | loads | table reads/s | writes/s | conflicts |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        let (days, warm_up) = (self.days, self.warm_up.min(self.days));
        thread::scope(|scope| {
            let mut runs = Vec::new();
            for deployment in DEPLOYMENTS {
                for rules in RULES {
                    let run = scope.spawn(move || replay(deployment, &rules, days, warm_up));
                    runs.push((deployment.name, rules.name, run));
                }
            }
            for (deployment, rules, run) in runs {
                if let Ok(report) = run.join() {
                    println!("{}", line(deployment, rules, &report));
                }
            }
        });
        Ok(Exit::Done)
    }
}

fn line(deployment: &str, rules: &str, it: &ReplayReport) -> String {
    let [p50, p99, p999] = it.cold_ms;
    let reads = (it.operations.polls + it.operations.reads) as f64 / it.seconds;
    let writes = it.operations.entry_commits + it.operations.side_commits;
    format!(
        "| {deployment} | {rules} | {} | {} | {} | {p50} | {p99} | {p999} | {} | {:.1} | {:.1} | {} \
         | {reads:.2} | {:.3} | {} |",
        it.requests,
        it.refused,
        it.colds,
        it.bound_ms[1],
        it.idle_hours,
        it.clairvoyant_hours,
        it.loads,
        writes as f64 / it.seconds,
        it.operations.conflicts,
    )
}
