//! Following a table of a store that stops responding and recovers.

use citronrill_pool::{FollowerProfile, StoreAnswer, StoreQuery, StoreVersion, TableFollower};
use rstest::rstest;

use crate::support::first_era;

/// A store that answers no call from `down_at` to `up_at`, in milliseconds. Calls that are open or
/// held meanwhile are never answered. Changes made during the outage are available at its end.
struct SilentStore {
    down_at: u64,
    up_at: u64,
    answer_ms: u64,
}

impl SilentStore {
    /// Milliseconds from the end of the outage to the first answer of a call made after it.
    fn recovery_ms(&self, follower: &mut TableFollower) -> u64 {
        let (mut now, mut version) = (0, 0);
        loop {
            let call = follower.call();
            let hold_ms = match call.query {
                StoreQuery::Changes { hold_ms, .. } if now < self.up_at => hold_ms,
                _ => 0,
            };
            let answered = now + hold_ms + self.answer_ms;
            let call_lost = now < self.up_at && answered > self.down_at;
            if call_lost || answered > now + call.timeout_ms {
                now += call.timeout_ms + follower.failed(call.timeout_ms);
                continue;
            }
            if now >= self.up_at {
                return answered - self.up_at;
            }
            version += 1;
            let waited_ms = answered - now;
            now = answered + follower.answered(first_era(version), waited_ms).pause_ms;
        }
    }
}

/// A configuration is confirmed at the end of an outage. If the process still waits for a call lost
/// in the outage, the configuration is not in force when the recovery time ends.
#[rstest]
#[case::usual_store(3_000, 5)]
#[case::slow_store(3_000, 200)]
#[case::longer_recovery(4_000, 5)]
#[case::longest_recovery(5_000, 200)]
fn call_lost_in_an_outage_does_not_delay_recovery(#[case] recover_ms: u64, #[case] answer_ms: u64) {
    for down_at in (5_000..9_000).step_by(50) {
        for length in (50..12_000).step_by(50) {
            let store = SilentStore { down_at, up_at: down_at + length, answer_ms };
            let profile = FollowerProfile { seed: down_at + length, recover_ms, poll_pause_ms: 0 };
            let took = store.recovery_ms(&mut TableFollower::new(profile));
            assert!(
                took <= recover_ms,
                "{took} ms after {length} ms without answers from {down_at} ms on"
            );
        }
    }
}

/// Guards against a fixed timeout, with which a store that answers more slowly than usual is never
/// read, or only on every third call.
#[test]
fn timeout_grows_with_a_slow_store() {
    let profile = FollowerProfile { seed: 1, recover_ms: 3_000, poll_pause_ms: 900 };
    let mut follower = TableFollower::new(profile);
    follower.answered(first_era(1), 5);
    let failed = |follower: &mut TableFollower| {
        let call = follower.call();
        let late = call.timeout_ms < 900;
        if late {
            follower.failed(call.timeout_ms)
        } else {
            follower.answered(first_era(2), 900).pause_ms
        };
        late
    };
    let failures = (0..20).filter(|_| failed(&mut follower)).count();
    assert_eq!(failures, 1);
    follower.answered(first_era(3), 5);
    assert_eq!(follower.call().timeout_ms, 600);
}

fn era(era: u64, version: u64) -> StoreVersion {
    StoreVersion { era, version }
}

/// A follower that has read the table at version 50 of era 2.
fn follower() -> TableFollower {
    let profile = FollowerProfile { seed: 1, recover_ms: 3_000, poll_pause_ms: 900 };
    let mut follower = TableFollower::new(profile);
    follower.call();
    assert!(follower.answered(era(2, 50), 5).usable);
    follower
}

/// Guards against changes that are missed after the store came back from a copy: it has the known version
/// again, and what it answers follows another history.
#[rstest]
fn changes_of_a_new_era_lead_to_the_whole_table(#[values(10, 50, 90)] version: u64) {
    let mut follower = follower();
    assert!(matches!(follower.call().query, StoreQuery::Changes { after: 50, .. }));
    assert_eq!(follower.answered(era(3, version), 5), StoreAnswer { usable: false, pause_ms: 0 });
    assert_eq!(follower.call().query, StoreQuery::Table);
    assert!(follower.answered(era(3, version), 5).usable);
    let StoreQuery::Changes { after, .. } = follower.call().query else { panic!("reads on") };
    assert_eq!(after, version);
}

/// Guards against rows of an older era that are taken for the newest ones by their version, and against a
/// follower that goes back with them.
#[test]
fn an_answer_of_an_older_era_is_left_out() {
    let mut follower = follower();
    follower.call();
    assert!(!follower.answered(era(1, 900), 5).usable);
    let StoreQuery::Changes { after, .. } = follower.call().query else { panic!("reads on") };
    assert_eq!(after, 50);
}

/// Guards against changes that are asked for although an answer without rows, such as a refusal, was of a
/// new era.
#[test]
fn a_refusal_of_a_new_era_leads_to_the_whole_table() {
    let mut follower = follower();
    follower.call();
    assert!(follower.note_era(3));
    follower.failed(5);
    assert_eq!(follower.call().query, StoreQuery::Table);
}
