//! A randomized soak: the real programs as processes of their own, harmed from outside, and checked
//! by what callers and workers see.
//!
//! `cargo test --test soak` plays the seeds below. `CITRONRILL_SOAK=FIRST:COUNT cargo test --release
//! --test soak` plays others, and prints what each did. A seed that ever failed is kept below with a
//! line on its cause. Each run takes some ten seconds and uses about a dozen processes on loopback;
//! it ends only processes that it started.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

mod callers;
mod faults;
#[path = "../pool/support.rs"]
mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    callers::{Caller, Record},
    faults::Harness,
    support::Deployment,
};

/// Seeds that CI plays.
const SEEDS: [u64; 2] = [1, 2];
/// Callers at once.
const CALLERS: u64 = 6;

#[test]
fn promises_hold_under_faults() {
    let seeds = match std::env::var("CITRONRILL_SOAK") {
        Ok(range) => parse(&range),
        Err(_) => SEEDS.to_vec(),
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let (broken, story) = play(seed);
        if !broken.is_empty() {
            println!("seed {seed}:\n{}\n{}", story.join("\n"), broken.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "promises were broken with seeds {failed:?}");
}

fn parse(range: &str) -> Vec<u64> {
    let (first, count) = range.split_once(':').unwrap();
    let first = first.parse::<u64>().unwrap();
    (first..first + count.parse::<u64>().unwrap()).collect()
}

/// Plays one seed; gives what was broken, and what was done.
fn play(seed: u64) -> (Vec<String>, Vec<String>) {
    let engines: [(&str, &[&str]); 3] =
        [("e1", &["m0", "m1"]), ("e2", &["m0", "m2"]), ("e3", &["m3"])];
    let deployment = Deployment::start(&engines);
    let mut harness = Harness::new(deployment, SmallRng::seed_from_u64(seed));
    let stop = Arc::new(AtomicBool::new(false));
    let records = Arc::new(Mutex::new(Vec::<Record>::new()));
    let callers = (0..CALLERS).map(|index| {
        let caller = Caller::new(seed, index, harness.callers(), harness.disturbed());
        let (stop, records) = (stop.clone(), records.clone());
        thread::spawn(move || caller.run(&stop, &records))
    });
    let callers = callers.collect::<Vec<_>>();
    harness.run();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().unwrap();
    }
    let records = records.lock().unwrap();
    let mut broken = harness.check_workers();
    broken.extend(records.iter().filter_map(|record| record.check(&harness.ran())));
    let served = records.iter().filter(|record| record.served()).count();
    let mut story = harness.story();
    story.push(format!("{} requests, {served} served whole", records.len()));
    if served == 0 {
        broken.push("nothing was served".to_owned());
    }
    println!("seed {seed}: {} requests, {served} served whole", records.len());
    (broken, story)
}
