//! Stand-ins and checks for the review cases: the platform's store, workers, a cut on a link, consumers.
//!
//! Standard library only. `standin case NAME DIR` runs a case and writes `DIR/record.txt`;
//! `standin worker ...` is a worker process that a case starts.
//! Exit status of a case: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod http;
mod net;
mod process;
mod store;
mod worker;

fn main() {
    let args = std::env::args().skip(1).collect::<Vec<_>>();
    let words = args.iter().map(String::as_str).collect::<Vec<_>>();
    let status = match words.as_slice() {
        ["case", name, dir] => cases::run(name, dir),
        ["worker", rest @ ..] => worker::run(rest),
        _ => {
            eprintln!("usage: standin case NAME DIR");
            2
        }
    };
    std::process::exit(status);
}
