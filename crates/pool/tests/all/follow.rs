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
            now = answered + follow.answered(version);
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
