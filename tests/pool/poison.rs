//! Requests that crash every worker that runs them, over real processes.

use std::{net::SocketAddr, thread, time::Duration};

use rstest::rstest;

use citronrill_platform_standin::Framing;

use crate::support::{Deployment, Process, Request, Response};

/// Crashes after which a poison request must not run again.
const MAX_CRASHES: usize = 3;
/// Crashes after which requests with a poisonous part in their prompts must not run again.
const MAX_PART_CRASHES: usize = 5;
/// Milliseconds between two attempts of a caller.
const PAUSE: Duration = Duration::from_millis(900);

fn crashes(pool: &Deployment) -> usize {
    pool.engines.iter().chain([&pool.ledger]).map(|worker| worker.crashes().len()).sum()
}

fn attempt(pool: &Deployment, entry: SocketAddr, path: &str, id: &str) -> Response {
    let request = match path.starts_with("/status/") {
        true => Request::call(path, id),
        false => Request::stream(path, id, "m0"),
    };
    pool.request_at(entry, &request)
}

/// Guards against a quarantine that ends because the store came back from a copy without it, and all
/// processes were lost after that.
#[test]
fn a_quarantine_is_written_again_after_the_store_came_back() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"])]);
    let copy = pool.store.copy();
    for number in 0..8 {
        attempt(&pool, pool.caller_address, "/chat/poison", &format!("poison-{number}"));
        thread::sleep(PAUSE);
    }
    pool.wait_until("the quarantine is saved", || pool.entry.logged(&["event=quarantine_saved"]));
    let saved = pool.store.count("quarantine");
    pool.store.restore(&copy);
    assert_eq!(pool.store.count("quarantine"), 0);
    pool.wait_until("the quarantine is written again", || pool.store.count("quarantine") == saved);
}

/// Guards against a quarantine that ends when all processes are lost at once.
#[test]
fn a_quarantine_outlives_all_processes() {
    let mut pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"])]);
    let entry = pool.caller_address;
    let mut status = 0;
    for number in 0..8 {
        status = attempt(&pool, entry, "/chat/poison", &format!("poison-{number}")).status;
        thread::sleep(PAUSE);
    }
    assert_eq!(status, 503);
    pool.wait_until("the quarantine is saved", || pool.entry.logged(&["event=quarantine_saved"]));
    pool.sides.iter_mut().for_each(Process::kill);
    pool.entry.kill();
    pool.sides.iter_mut().for_each(Process::restart);
    pool.restart_entry();
    pool.wait_until("the entry is ready", || pool.ready());
    let response = attempt(&pool, entry, "/chat/poison", "poison-last");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.body.contains("quarantined"), "{response:?}");
    assert!(crashes(&pool) <= MAX_CRASHES, "{} crashes", crashes(&pool));
}

/// Guards against a request that crashes one worker after another, by whichever entry it comes, also by
/// one that starts later.
#[rstest]
fn a_poison_request_crashes_three_workers_at_most(
    #[values("/chat/poison", "/draft/poison", "/status/poison")] path: &str,
) {
    let engines: [(&str, &[&str]); 4] =
        [("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"]), ("e4", &["m0"])];
    let pool = Deployment::start(&engines);
    let (_second, address) = pool.add_entry_at();
    let entries = [pool.caller_address, address];
    for number in 0..8 {
        attempt(&pool, entries[number % 2], path, &format!("poison-{number}"));
        thread::sleep(PAUSE);
    }
    assert!(crashes(&pool) <= MAX_CRASHES, "{} crashes", crashes(&pool));
    let (_later, address) = pool.add_entry_at();
    for entry in entries.into_iter().chain([address]) {
        let response = attempt(&pool, entry, path, "poison-last");
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.body.contains("quarantined"), "{response:?}");
    }
    assert!(crashes(&pool) <= MAX_CRASHES, "{} crashes", crashes(&pool));
    let innocent = attempt(&pool, pool.caller_address, &path.replace("poison", "x"), "innocent");
    assert_eq!((innocent.status, innocent.complete), (200, true), "{innocent:?}");
}

/// Guards against a stream that looks complete, and clears the request that crashes its workers, because
/// its connection was closed between two events when the worker crashed.
#[rstest]
fn a_crash_between_two_events_is_no_completion(
    #[values("/chat/poison", "/draft/poison")] path: &str,
) {
    let engines: [(&str, &[&str]); 4] =
        [("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"]), ("e4", &["m0"])];
    let pool = Deployment::start(&engines);
    pool.engines.iter().for_each(|engine| engine.set_framing(Framing::UntilClose));
    for number in 0..8 {
        let id = format!("poison-{number}");
        let response = attempt(&pool, pool.caller_address, path, &id);
        assert!(response.status != 200 || !response.complete, "{response:?}");
        thread::sleep(PAUSE);
    }
    assert!(crashes(&pool) <= MAX_CRASHES, "{} crashes", crashes(&pool));
    let response = attempt(&pool, pool.caller_address, path, "poison-last");
    assert!(response.body.contains("quarantined"), "{response:?}");
}

/// Sends a stream whose prompt has these shared parts; its path and last part are its own.
fn attempt_with_parts(pool: &Deployment, entry: SocketAddr, parts: &str, id: &str) -> Response {
    let (path, prompt) = (format!("/chat/{id}"), format!("{parts},{id}:300"));
    let headers = format!("X-Citronrill-Prompt-Prefix: {prompt}\r\n");
    let request = Request { headers: &headers, ..Request::stream(&path, id, "m0") };
    pool.request_at(entry, &request)
}

/// Guards against a part of prompts that crashes one worker after another, in requests that differ
/// otherwise, and against refusing other requests with the same first part.
#[rstest]
fn a_part_of_prompts_crashes_five_workers_at_most(
    #[values(Framing::Chunked, Framing::UntilClose)] framing: Framing,
) {
    let engines: [(&str, &[&str]); 4] =
        [("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"]), ("e4", &["m0"])];
    let pool = Deployment::start(&engines);
    pool.engines.iter().for_each(|engine| engine.set_framing(framing));
    let (_second, address) = pool.add_entry_at();
    let entries = [pool.caller_address, address];
    for number in 0..10 {
        attempt_with_parts(&pool, entries[number % 2], "1a:150,dead0bad:20", &format!("{number}"));
        attempt_with_parts(&pool, entries[number % 2], "1a:150,2b:30", &format!("sound{number}"));
        thread::sleep(PAUSE);
    }
    assert!(crashes(&pool) <= MAX_PART_CRASHES, "{} crashes", crashes(&pool));
    let (_later, address) = pool.add_entry_at();
    for entry in entries.into_iter().chain([address]) {
        let id = format!("last{}", entry.port());
        let response = attempt_with_parts(&pool, entry, "1a:150,dead0bad:20", &id);
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.body.contains("quarantined"), "{response:?}");
        let sound = attempt_with_parts(&pool, entry, "1a:150,2b:30", &format!("{id}-sound"));
        assert_eq!((sound.status, sound.complete), (200, true), "{sound:?}");
    }
    assert!(crashes(&pool) <= MAX_PART_CRASHES, "{} crashes", crashes(&pool));
}
