//! `citronrill replay`: replays arrival traces through the reducers on virtual time.

use std::thread;

use argh::FromArgs;
use citronrill_lab::{
    DEFAULT, Deployment, FIXED_LONG, FIXED_MIDDLE, FIXED_SHORT, LITORAL, NAIVE, PolicySet,
    ReplayReport, VIENNA, replay,
};

use crate::exit::{CommandError, Exit};

const DEPLOYMENTS: [&Deployment; 2] = [&VIENNA, &LITORAL];
const POLICY_SETS: [PolicySet; 5] = [DEFAULT, NAIVE, FIXED_SHORT, FIXED_MIDDLE, FIXED_LONG];

/// Replay arrival traces of both deployments through the reducers on virtual time; print a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub(crate) struct Replay {
    /// number of days to replay
    #[argh(option, default = "5")]
    days: u64,

    /// number of first days that warm up the policies and are not reported
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
                for policy_set in POLICY_SETS {
                    let run = scope.spawn(move || replay(deployment, &policy_set, days, warm_up));
                    runs.push((deployment.name, policy_set.name, run));
                }
            }
            for (deployment, rules, run) in runs {
                if let Ok(report) = run.join() {
                    println!("{}", format_row(deployment, rules, &report));
                }
            }
        });
        Ok(Exit::Success)
    }
}

fn format_row(deployment: &str, rules: &str, report: &ReplayReport) -> String {
    let [p50, p99, p999] = report.cold_ms;
    let reads = (report.operations.polls + report.operations.reads) as f64 / report.seconds;
    let writes = report.operations.entry_commits + report.operations.side_commits;
    format!(
        "| {deployment} | {rules} | {} | {} | {} | {p50} | {p99} | {p999} | {} | {:.1} | {:.1} | {} \
         | {reads:.2} | {:.3} | {} |",
        report.requests,
        report.refused,
        report.cold_starts,
        report.lower_bound_ms[1],
        report.idle_hours,
        report.clairvoyant_hours,
        report.loads,
        writes as f64 / report.seconds,
        report.operations.conflicts,
    )
}
