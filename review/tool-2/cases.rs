//! The cases.

mod delisted;
mod deployment;
mod reborn;
mod slow_reader;

use std::path::Path;

/// Runs a case; returns its exit status.
pub fn run(name: &str, dir: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = Path::new(dir);
    match name {
        "delisted" => delisted::run(dir, trouble),
        "reborn" => reborn::run(dir, trouble),
        "slow-reader" => slow_reader::run(dir, trouble),
        _ => {
            eprintln!("no such case: {name}");
            2
        }
    }
}
