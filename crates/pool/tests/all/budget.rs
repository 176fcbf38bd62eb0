//! The budget of second sends.

use citronrill_base::Millis;
use citronrill_pool::RetryBudget;

/// Endpoints turn slow, every request is sent again, and the endpoints get a multiple of the load.
/// In any window of ten seconds the second sends stay within a fifth of the first and the slack.
#[test]
fn repeats_stay_within_the_window() {
    let mut budget = RetryBudget::new(0.2, 10_000);
    budget.set_slack(3.0);
    let mut taken = Vec::new();
    for at in (0..60_000).step_by(50) {
        budget.first(Millis(at));
        if budget.take(Millis(at)) {
            taken.push(at);
        }
    }
    for start in (0..50_000).step_by(500) {
        let window = start..start + 10_000;
        let repeats = taken.iter().filter(|at| window.contains(*at)).count();
        assert!(repeats <= 43, "{repeats} second sends from {start} ms on, for 200 first sends");
    }
    assert!(taken.len() > 200, "the budget is there to be used: {}", taken.len());
}

/// Nothing was sent for a while, and a single request fails: it may be sent again from the slack.
#[test]
fn slack_serves_the_quiet_hour() {
    let mut budget = RetryBudget::new(0.2, 10_000);
    budget.set_slack(1.0);
    budget.first(Millis(0));
    assert!(budget.take(Millis(1)));
    assert!(!budget.take(Millis(2)), "one in the window is all that the slack allows");
    assert!(budget.take(Millis(10_002)));
}
