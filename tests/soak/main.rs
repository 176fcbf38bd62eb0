//! A randomized soak: the real programs as processes of their own, harmed from outside, and checked
//! by what callers, workers and operators see.
//!
//! `cargo test --test soak` plays the seeds below. `CITRONRILL_SOAK=FIRST:COUNT cargo test --release
//! --test soak` plays others, and prints what each did; `CITRONRILL_SOAK_SIZE=SIDES:ENTRIES` sets how
//! many processes there are. A seed that ever failed is kept below with a line on its cause. Each run
//! takes some ten seconds and, with the usual size, nine processes on loopback; it ends only processes
//! that it started.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

mod callers;
mod faults;
#[path = "../pool/support/mod.rs"]
mod support;

use std::{
    collections::BTreeMap,
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
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// Callers at once for each entry; every other one keeps its connection.
const CALLERS: u64 = 4;

/// How many processes a run has.
#[derive(Debug, Clone, Copy)]
struct Size {
    sides: usize,
    entries: usize,
}

/// A few of each, as today's smallest deployments.
const USUAL: Size = Size { sides: 3, entries: 2 };

#[test]
fn promises_hold_under_faults() {
    let seeds = match std::env::var("CITRONRILL_SOAK") {
        Ok(range) => parse(&range, |first, count| (first..first + count).collect()),
        Err(_) => SEEDS.to_vec(),
    };
    let size = match std::env::var("CITRONRILL_SOAK_SIZE") {
        Ok(size) => {
            parse(&size, |sides, entries| Size { sides: sides as usize, entries: entries as usize })
        }
        Err(_) => USUAL,
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let (broken, story) = play(seed, size);
        if !broken.is_empty() {
            println!("seed {seed}:\n{}\n{}", story.join("\n"), broken.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "promises were broken with seeds {failed:?}");
}

/// Reads two numbers.
fn parse<T>(pair: &str, make: impl FnOnce(u64, u64) -> T) -> T {
    let (first, second) = pair.split_once(':').unwrap();
    make(first.parse().unwrap(), second.parse().unwrap())
}

/// Plays one seed; gives what was broken, and what was done.
fn play(seed: u64, size: Size) -> (Vec<String>, Vec<String>) {
    const MODELS: [&[&str]; 3] = [&["m0", "m1"], &["m0", "m2"], &["m3"]];
    let engine = |index: usize| {
        let name: &'static str = format!("e{}", index + 1).leak();
        (name, MODELS[index % MODELS.len()])
    };
    let deployment = Deployment::start(&(0..size.sides).map(engine).collect::<Vec<_>>());
    let mut harness = Harness::new(deployment, size.entries, SmallRng::seed_from_u64(seed));
    let stop = Arc::new(AtomicBool::new(false));
    let records = Arc::new(Mutex::new(Vec::<Record>::new()));
    let entries = harness.callers();
    let callers = (0..CALLERS * entries.len() as u64).map(|index| {
        let entry = entries[index as usize % entries.len()].clone();
        let caller = Caller::new(seed, index, entry);
        let (stop, records) = (stop.clone(), records.clone());
        thread::spawn(move || caller.run(&stop, &records))
    });
    let callers = callers.collect::<Vec<_>>();
    harness.run();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().unwrap();
    }
    let mut broken = harness.check_texts();
    broken.extend(harness.check_workers());
    let records = records.lock().unwrap();
    broken.extend(records.iter().filter_map(|record| record.check(&harness.ran())));
    let served = records.iter().filter(|record| record.served()).count();
    let mut story = harness.story();
    story.push(format!("{} requests, {served} served whole", records.len()));
    if served == 0 {
        broken.push("nothing was served".to_owned());
    }
    let mut statuses = BTreeMap::<u16, usize>::new();
    records.iter().for_each(|record| *statuses.entry(record.status).or_default() += 1);
    println!("seed {seed}: {} requests, {served} served whole; {statuses:?}", records.len());
    (broken, story)
}
