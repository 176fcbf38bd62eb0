//! Looks at the clock.

use citronrill_base::Millis;
use citronrill_pool::Pace;

/// Under input that never paused for 20 ms, an entry looked at the clock seldom, and deadlines passed unseen.
#[test]
fn steady_input_delays_no_look() {
    let mut pace = Pace::default();
    let looks = (1..=1_000).filter(|ms| pace.take(20, Millis(*ms))).count();
    assert_eq!(looks, 50);
    assert_eq!(pace.left_ms(20, Millis(1_005)), 15);
}
