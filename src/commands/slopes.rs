//! `citronrill slopes`: what control costs, by size.

use std::thread;

use argh::FromArgs;
use citronrill_lab::{Operations, PLAN, ScaleReport, Size, scale};

use crate::exit::{CommandError, Exit};

/// Sizes below the plan's, each a part of it.
const PARTS: [usize; 4] = [16, 8, 4, 2];
/// Sizes at which one thing alone is varied.
const ADAPTERS: [usize; 2] = [100, 1_000];

/// Today's deployments: Vienna and the river yards.
const TODAY: [Size; 2] = [
    Size { entries: 3, sides: 21, models: 100, adapters: 120, zones: 3, requests: 10, wakes: 53 },
    Size { entries: 3, sides: 12, models: 50, adapters: 40, zones: 3, requests: 5, wakes: 22 },
];

/// Measure control messages, bytes, table operations, reducer time and staleness by size.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub(crate) struct Slopes {
    /// virtual seconds of calm to measure at each size
    #[argh(option, default = "20")]
    seconds: u64,

    /// leave out the size of the plan itself
    #[argh(switch)]
    small: bool,
}

impl Slopes {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        println!(
            "| entries | sides | models | adapters | requests/s | entry B/s (busiest) | side B/s | \
             entry us/s | side us/s | table reads/s | writes/s | config ms | placement ms | \
             leaving ms | burst writes (conflicts) |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        let seconds = self.seconds;
        let events = thread::scope(|scope| {
            let runs = self.sizes().into_iter();
            let runs = runs.map(|size| (size, scope.spawn(move || scale(&size, seconds))));
            let runs = runs.collect::<Vec<_>>();
            let done = runs.into_iter().filter_map(|(size, run)| Some((size, run.join().ok()?)));
            done.collect::<Vec<_>>()
        });
        for (size, report) in &events {
            println!("{}", line(size, report));
        }
        println!();
        println!(
            "| entries | morning burst reads, writes in 10 s | zone loss in 30 s | restart of a zone in 10 s | rows |"
        );
        println!("|---|---|---|---|---|");
        for (size, report) in &events {
            let spent = |it: Operations| format!("{}, {}", it.polls + it.reads, writes(it));
            println!(
                "| {} | {} | {} | {} | {} |",
                size.entries,
                spent(report.morning),
                spent(report.zone),
                spent(report.restart),
                report.rows
            );
        }
        println!();
        println!("Bytes a second that one entry takes, by what they are for:");
        for (size, report) in &events {
            let kinds = report.kinds.iter().filter(|(_, bytes)| *bytes >= 0.5);
            let kinds = kinds.map(|(kind, bytes)| format!("{kind} {bytes:.0}"));
            println!("- {} entries: {}", size.entries, kinds.collect::<Vec<_>>().join(", "));
        }
        Ok(Exit::Done)
    }

    fn sizes(&self) -> Vec<Size> {
        let mut sizes = Vec::new();
        for part in PARTS {
            sizes.push(Size {
                entries: PLAN.entries / part,
                sides: PLAN.sides / part,
                requests: PLAN.requests / part as u64,
                ..PLAN
            });
        }
        for adapters in ADAPTERS {
            sizes.push(Size { entries: 20, sides: 36, requests: 250, adapters, ..PLAN });
        }
        sizes.extend(TODAY);
        if !self.small {
            sizes.push(PLAN);
        }
        sizes
    }
}

fn writes(operations: Operations) -> u64 {
    operations.entry_commits + operations.side_commits
}

fn line(size: &Size, it: &ScaleReport) -> String {
    let second = |count: u64| count as f64 / it.seconds;
    format!(
        "| {} | {} | {} | {} | {} | {:.0} ({:.0}) | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {} | {} \
         | {} | {} ({}) |",
        size.entries,
        size.sides,
        size.models,
        size.adapters,
        size.requests,
        it.entry_bytes.0,
        it.entry_bytes.1,
        it.side_bytes,
        it.entry_us,
        it.side_us,
        second(it.calm.polls + it.calm.reads),
        second(writes(it.calm)),
        it.config_ms,
        it.placement_ms,
        it.leaving_ms,
        it.burst.0,
        it.burst.1
    )
}
