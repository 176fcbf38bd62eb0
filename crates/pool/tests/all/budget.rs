//! The retry budget.

use citronrill_base::Millis;
use citronrill_pool::RetryBudget;

/// Slow endpoints cause retries of every request, which multiply the load on them. In any window of
/// ten seconds, retries stay within a fifth of the first attempts plus the slack.
#[test]
fn retries_stay_within_the_window() {
    let mut budget = RetryBudget::new(0.2, 10_000);
    budget.set_slack(3.0);
    let mut taken = Vec::new();
    for at in (0..60_000).step_by(50) {
        budget.record_first(Millis(at));
        if budget.try_take(Millis(at)) {
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

/// A single request fails after a time without traffic. The slack allows its retry.
#[test]
fn slack_allows_a_retry_without_traffic() {
    let mut budget = RetryBudget::new(0.2, 10_000);
    budget.set_slack(1.0);
    budget.record_first(Millis(0));
    assert!(budget.try_take(Millis(1)));
    assert!(!budget.try_take(Millis(2)), "the slack allows one retry in the window");
    assert!(budget.try_take(Millis(10_002)));
}
