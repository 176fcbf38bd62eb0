//! `citronrill slopes`: measures the cost of the control plane by deployment size.

use std::thread;

use argh::FromArgs;
use citronrill_lab::{Operations, PLANNED_SIZE, ScaleReport, Size, scale};

use crate::exit::{CommandError, Exit};

/// Divisors of the planned deployment size, for smaller sizes.
const DIVISORS: [usize; 4] = [16, 8, 4, 2];
/// Adapter counts of two smaller sizes that are otherwise identical.
const ADAPTER_COUNTS: [usize; 2] = [100, 1_000];

/// Sizes of the current deployments: Vienna and Litoral.
const CURRENT_SIZES: [Size; 2] = [
    Size {
        entries: 3,
        sides: 21,
        models: 100,
        adapters: 120,
        zones: 3,
        requests: 10,
        cold_requests: 53,
    },
    Size {
        entries: 3,
        sides: 12,
        models: 50,
        adapters: 40,
        zones: 3,
        requests: 5,
        cold_requests: 22,
    },
];

/// Measure control messages, bytes, table operations, reducer time and staleness by size.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub(crate) struct Slopes {
    /// virtual seconds of steady state to measure at each size
    #[argh(option, default = "20")]
    seconds: u64,

    /// leave out the full planned size
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
        let reports = thread::scope(|scope| {
            let runs = self.sizes().into_iter();
            let runs = runs.map(|size| (size, scope.spawn(move || scale(&size, seconds))));
            let runs = runs.collect::<Vec<_>>();
            let results = runs.into_iter().filter_map(|(size, run)| Some((size, run.join().ok()?)));
            results.collect::<Vec<_>>()
        });
        for (size, report) in &reports {
            println!("{}", format_row(size, report));
        }
        println!();
        println!(
            "| entries | morning burst reads, writes in 10 s | zone loss in 30 s | restart of a zone in 10 s | rows |"
        );
        println!("|---|---|---|---|---|");
        for (size, report) in &reports {
            let reads_writes = |operations: Operations| {
                format!("{}, {}", operations.polls + operations.reads, writes(operations))
            };
            println!(
                "| {} | {} | {} | {} | {} |",
                size.entries,
                reads_writes(report.cold_burst),
                reads_writes(report.zone_loss),
                reads_writes(report.zone_restart),
                report.rows
            );
        }
        println!();
        println!("Bytes per second received by one entry, by message kind:");
        for (size, report) in &reports {
            let kinds = report.bytes_by_kind.iter().filter(|(_, bytes)| *bytes >= 0.5);
            let kinds = kinds.map(|(kind, bytes)| format!("{kind} {bytes:.0}"));
            println!("- {} entries: {}", size.entries, kinds.collect::<Vec<_>>().join(", "));
        }
        Ok(Exit::Success)
    }

    fn sizes(&self) -> Vec<Size> {
        let mut sizes = Vec::new();
        for divisor in DIVISORS {
            sizes.push(Size {
                entries: PLANNED_SIZE.entries / divisor,
                sides: PLANNED_SIZE.sides / divisor,
                requests: PLANNED_SIZE.requests / divisor as u64,
                ..PLANNED_SIZE
            });
        }
        for adapters in ADAPTER_COUNTS {
            sizes.push(Size { entries: 20, sides: 36, requests: 250, adapters, ..PLANNED_SIZE });
        }
        sizes.extend(CURRENT_SIZES);
        if !self.small {
            sizes.push(PLANNED_SIZE);
        }
        sizes
    }
}

fn writes(operations: Operations) -> u64 {
    operations.entry_commits + operations.side_commits
}

fn format_row(size: &Size, report: &ScaleReport) -> String {
    let per_second = |count: u64| count as f64 / report.seconds;
    format!(
        "| {} | {} | {} | {} | {} | {:.0} ({:.0}) | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {} | {} \
         | {} | {} ({}) |",
        size.entries,
        size.sides,
        size.models,
        size.adapters,
        size.requests,
        report.entry_bytes.0,
        report.entry_bytes.1,
        report.side_bytes,
        report.entry_us,
        report.side_us,
        per_second(report.steady.polls + report.steady.reads),
        per_second(writes(report.steady)),
        report.config_ms,
        report.placement_ms,
        report.leaving_ms,
        report.burst_commits.0,
        report.burst_commits.1
    )
}
