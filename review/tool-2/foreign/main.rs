//! Case "foreign": the address of a lost worker goes to a worker of another service while the store turns an entry
//! away. Uses stand-ins of the first review where they serve as they are.

#[path = "../../tool/consumer.rs"]
mod consumer;
mod deployment;
mod foreign;
#[path = "../../tool/http.rs"]
mod http;
#[path = "../../tool/json.rs"]
mod json;
#[path = "../../tool/process.rs"]
mod process;
#[path = "../../tool/record.rs"]
mod record;
mod store;
#[path = "../../tool/worker.rs"]
mod worker;

use std::{io, path::Path, process::ExitCode};

use crate::record::Record;

/// What a case shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let result = match arguments.split_first() {
        Some((role, rest)) if role == "worker" => worker::run(rest).map(|()| Verdict::Held),
        Some((name, [folder])) if name == "foreign" => run_case(Path::new(folder)),
        _ => Err(io::ErrorKind::InvalidInput.into()),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the case; its record goes into its folder, and what the processes need into a temporary one.
fn run_case(folder: &Path) -> io::Result<Verdict> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = folder.join("record.txt");
    let record = Record::create(&file)?;
    record.line(&format!("case foreign, trouble={trouble}"));
    let directory = std::env::temp_dir().join(format!("citronrill-review-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let verdict = foreign::run(&record, &file, &directory, trouble);
    if std::env::var("KEEP").is_err() {
        // What stays behind is in the temporary folder.
        let _ = std::fs::remove_dir_all(&directory);
    }
    record.line(&format!("verdict {verdict:?}"));
    verdict
}
