//! Following a table of a store that falls silent and comes back.

use citronrill_pool::{Follow, FollowProfile, StoreAsk};
use rstest::rstest;

/// A store that answers nobody from `lost` to `back`, in milliseconds; what is asked or held meanwhile is
/// never answered. What changed in the outage is there when it is back.
struct SilentStore {
    lost: u64,
    back: u64,
    answer_ms: u64,
}

impl SilentStore {
    /// Milliseconds from the store's return to the first answer of a call that was made after it.
    fn regained_ms(&self, follow: &mut Follow) -> u64 {
        let (mut now, mut version) = (0, 0);
        loop {
            let call = follow.call();
            let hold_ms = match call.ask {
                StoreAsk::Changes { hold_ms, .. } if now < self.back => hold_ms,
                _ => 0,
            };
            let answered = now + hold_ms + self.answer_ms;
            let swallowed = now < self.back && answered > self.lost;
            if swallowed || answered > now + call.limit_ms {
                now += call.limit_ms + follow.failed(call.limit_ms);
                continue;
            }
            if now >= self.back {
                return answered - self.back;
            }
            version += 1;
            let waited_ms = answered - now;
            now = answered + follow.answered(version, waited_ms);
        }
    }
}

/// Guards against a text that is confirmed as an outage ends and is still not in force when the outage
/// no longer excuses it, as a call of the outage is waited for.
#[rstest]
#[case::usual_store(3_000, 5)]
#[case::slow_store(3_000, 200)]
#[case::longer_excuse(4_000, 5)]
#[case::longest_excuse(5_000, 200)]
fn a_call_that_an_outage_swallowed_delays_nothing_after_it(
    #[case] recover_ms: u64,
    #[case] answer_ms: u64,
) {
    for lost in (5_000..9_000).step_by(50) {
        for length in (50..12_000).step_by(50) {
            let store = SilentStore { lost, back: lost + length, answer_ms };
            let profile = FollowProfile { seed: lost + length, recover_ms, pace_ms: 0 };
            let took = store.regained_ms(&mut Follow::new(profile));
            assert!(took <= recover_ms, "{took} ms after {length} ms of silence from {lost} on");
        }
    }
}

/// Guards against a list that is never read, or only each third time, while each answer takes longer than is
/// usually waited for.
#[test]
fn a_slow_store_is_waited_for_longer() {
    let profile = FollowProfile { seed: 1, recover_ms: 3_000, pace_ms: 900 };
    let mut follow = Follow::new(profile);
    follow.answered(1, 5);
    let failed = |follow: &mut Follow| {
        let call = follow.call();
        let late = call.limit_ms < 900;
        if late {
            follow.failed(call.limit_ms)
        } else {
            follow.answered(2, 900)
        };
        late
    };
    let failures = (0..20).filter(|_| failed(&mut follow)).count();
    assert_eq!(failures, 1);
    follow.answered(3, 5);
    assert_eq!(follow.call().limit_ms, 600);
}
