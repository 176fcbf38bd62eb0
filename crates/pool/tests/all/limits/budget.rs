//! The retry budget of one entry, by itself.

use citronrill_base::Millis;
use citronrill_pool::{RetryBudget, RetryCounts};

const WINDOW_MS: u64 = 10_000;

/// A budget of one fifth of first attempts, and of a part of a slack of 13 among four entries.
fn budget() -> RetryBudget {
    let mut budget = RetryBudget::unused(0.2, WINDOW_MS, Millis(0));
    budget.set_slack(13.0, Some(4));
    budget
}

fn send(budget: &mut RetryBudget, now: u64) -> bool {
    budget.reserve(Millis(now)) && budget.send(Millis(now))
}

/// Guards against more retries in a window than a fifth of the first attempts plus the slack, although
/// every first attempt tries to retry.
#[test]
fn retries_stay_within_ratio_and_slack_in_every_window() {
    let mut budget = budget();
    let mut granted = Vec::new();
    for at in (0..30_000).step_by(100) {
        budget.record_first(Millis(at));
        if send(&mut budget, at) {
            granted.push(at);
        }
    }
    for start in (0..20_000).step_by(500) {
        let in_window =
            granted.iter().filter(|at| (start..start + WINDOW_MS).contains(*at)).count();
        assert!(in_window <= 23, "{in_window} retries in the window from {start} ms");
    }
    assert!(granted.len() >= 50);
}

/// Guards against retries of every request that multiply the load: in any window of ten seconds, they stay
/// within a fifth of the first attempts plus the slack.
#[test]
fn retries_stay_within_the_window() {
    let mut budget = RetryBudget::unused(0.2, WINDOW_MS, Millis(0));
    budget.set_slack(3.0, Some(1));
    let mut taken = Vec::new();
    for at in (0..60_000).step_by(50) {
        budget.record_first(Millis(at));
        if send(&mut budget, at) {
            taken.push(at);
        }
    }
    for start in (0..50_000).step_by(500) {
        let window = start..start + 10_000;
        let retries = taken.iter().filter(|at| window.contains(*at)).count();
        assert!(retries <= 43, "{retries} retries from {start} ms on, for 200 first attempts");
    }
    assert!(taken.len() > 200, "retries are allowed: {}", taken.len());
}

/// Guards against a budget that is used up for good.
#[test]
fn the_slack_is_available_again_after_a_window() {
    let mut budget = budget();
    let sent = (0..10).filter(|_| send(&mut budget, 1)).count();
    assert_eq!(sent, 3, "a part of the slack of three retries");
    assert!(!send(&mut budget, 5_000));
    assert!(send(&mut budget, 1 + WINDOW_MS + 300), "uses take effect up to 300 ms apart");
}

/// Guards against a start that gives the slack anew.
#[test]
fn an_entry_that_has_just_started_has_no_slack() {
    let mut budget = RetryBudget::after_restart(0.2, WINDOW_MS, Millis(0));
    budget.set_slack(13.0, Some(4));
    assert!(!send(&mut budget, 1));
    (0..6).for_each(|at| budget.record_first(Millis(100 + at)));
    assert!(send(&mut budget, 200), "its own first attempts have earned one");
    assert!(!send(&mut budget, 200));
    assert!(send(&mut budget, WINDOW_MS));
}

/// Guards against retries that are reserved in several windows and all sent in one.
#[test]
fn a_retry_counts_when_it_is_sent() {
    let mut budget = budget();
    assert!((0..3).all(|_| budget.reserve(Millis(1))));
    assert!(!budget.reserve(Millis(9_000)), "reserved ones count until they are sent");
    assert!((0..3).all(|_| budget.send(Millis(9_000))));
    assert!(!send(&mut budget, 9_100 + WINDOW_MS / 2));
}

/// Guards against a request whose caller has left that keeps a retry from others.
#[test]
fn a_reserved_retry_that_is_not_sent_is_returned() {
    let mut budget = budget();
    assert!((0..3).all(|_| budget.reserve(Millis(1))));
    assert!(!budget.reserve(Millis(2)));
    budget.count_denied();
    budget.cancel();
    assert!(budget.reserve(Millis(3)));
    assert_eq!(budget.counts(), RetryCounts { granted: 4, denied: 1, returned: 1 });
}

/// Guards against the whole slack at an entry that does not know how many share it.
#[test]
fn an_entry_that_does_not_know_the_number_of_entries_has_no_slack() {
    let mut budget = RetryBudget::unused(0.2, WINDOW_MS, Millis(0));
    budget.set_slack(50.0, None);
    assert_eq!(budget.left(Millis(1)), 1, "nothing was used before the first start");
}
