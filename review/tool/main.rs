//! Cases of the review, with the stand-ins that they need.
//!
//! A case starts the project's programs with the commands of the deploy file and its template of settings, beside a
//! store, workers and consumers of its own, all on loopback addresses.

mod consumer;
mod deployment;
mod gate;
mod http;
mod json;
mod process;
mod reclaimed;
mod record;
mod reused;
mod store;
mod unframed;
mod worker;

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

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
        Some((name, rest)) => run_case(name, rest),
        None => Err(io::ErrorKind::InvalidInput.into()),
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

/// Runs a case; its record goes into the folder of the case, and what the processes need into a temporary
/// one.
fn run_case(name: &str, arguments: &[String]) -> io::Result<Verdict> {
    let [folder] = arguments else { return Err(io::ErrorKind::InvalidInput.into()) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"))?;
    record.line(&format!("case {name}, trouble={trouble}"));
    let directory = temporary_directory()?;
    let verdict = match name {
        "reclaimed" => reclaimed::run(&record, &directory, trouble),
        "reused" => reused::run(&record, &directory, trouble),
        "unframed" => unframed::run(&record, &directory, trouble),
        _ => Err(io::ErrorKind::InvalidInput.into()),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        // What stays behind is in the temporary folder.
        let _ = std::fs::remove_dir_all(&directory);
    }
    record.line(&format!("verdict {verdict:?}"));
    verdict
}

fn temporary_directory() -> io::Result<PathBuf> {
    let directory = std::env::temp_dir().join(format!("citronrill-review-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}
