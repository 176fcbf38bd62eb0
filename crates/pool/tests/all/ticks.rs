//! Scheduling of timer ticks.

use citronrill_base::Millis;
use citronrill_pool::{CheckTimer, DueCheck};

/// Counts the urgent and full ticks due in one second, polled each millisecond with an interval of
/// 20 ms. `event` says whether an event arrives in that millisecond.
fn ticks(event: impl Fn(u64) -> bool) -> (usize, usize) {
    let mut timer = CheckTimer::default();
    let due = (1..=1_000).map(|ms| {
        if event(ms) {
            timer.note_event();
        }
        timer.take_due(20, Millis(ms))
    });
    let due = due.collect::<Vec<_>>();
    let count = |which| due.iter().filter(|tick| **tick == which).count();
    (count(DueCheck::Urgent), count(DueCheck::Full))
}

/// Guards against an entry that rarely runs its timers, and so misses deadlines, while its input
/// never pauses for 20 ms.
#[test]
fn continuous_input_does_not_delay_ticks() {
    assert_eq!(ticks(|_| true), (40, 10));
}

/// Without input, every tick of an entry is a full one.
#[test]
fn all_ticks_are_full_without_input() {
    assert_eq!(ticks(|_| false), (0, 50));
}
