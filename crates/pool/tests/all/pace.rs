//! Looks at the clock.

use citronrill_base::Millis;
use citronrill_pool::{Due, Pace};

/// What is due in a second with a look every 20 ms, `event` coming or not in each millisecond.
fn looks(event: impl Fn(u64) -> bool) -> (usize, usize) {
    let mut pace = Pace::default();
    let due = (1..=1_000).map(|ms| {
        if event(ms) {
            pace.note_event();
        }
        pace.take(20, Millis(ms))
    });
    let due = due.collect::<Vec<_>>();
    let count = |which| due.iter().filter(|one| **one == which).count();
    (count(Due::Look), count(Due::Whole))
}

/// Under input that never paused for 20 ms, an entry looked at the clock seldom, and deadlines passed unseen.
#[test]
fn steady_input_delays_no_look() {
    assert_eq!(looks(|_| true), (40, 10));
}

/// An entry without input looks at all every time.
#[test]
fn looks_are_whole_without_input() {
    assert_eq!(looks(|_| false), (0, 50));
}
