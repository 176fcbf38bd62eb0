//! Requests to an endpoint that names a limit, of entries that have no issuer.

use citronrill_base::Millis;
use citronrill_pool::{CreditLedger, EndpointRate, LimitBounds, Sharing};
use rstest::rstest;

const WINDOW_MS: u64 = 4_000;
/// Milliseconds of the test: several periods of 68 entries.
const DURATION_MS: u64 = 400_000;

/// Guards against entries that send nothing where no side issues credit, so that the endpoint can never
/// lift its limit, and against more than it permits. At 68 entries the requests of a window are bounded by
/// chance only.
#[rstest]
#[case(5, 1.0)]
#[case(21, 1.0)]
#[case(68, 2.3)]
fn entries_without_an_issuer_send_a_few(#[case] entries: u32, #[case] per_s: f64) {
    let rate = EndpointRate::from_per_second(per_s);
    let sharing = |entry: u32| Sharing { entries, seed: u64::from(entry) * 7_919 };
    let mut ledgers =
        (0..entries).map(|_| CreditLedger::new(LimitBounds::default())).collect::<Vec<_>>();
    let mut sent = Vec::new();
    for ledger in &mut ledgers {
        ledger.set_endpoint("i1", rate, Millis(0), Millis(0));
    }
    for now in (0..DURATION_MS).step_by(100) {
        for (entry, ledger) in (0..).zip(&mut ledgers) {
            ledger.want_endpoint("i1", true, Millis(now));
            if ledger.take_endpoint("i1", sharing(entry), Millis(now)) {
                sent.push((now, entry));
            }
        }
    }
    let windows = sent.iter().map(|(from, _)| {
        sent.iter().filter(|(at, _)| (*from..from + WINDOW_MS).contains(at)).count()
    });
    let most = windows.max().unwrap_or(0);
    assert!(most as f64 <= 6.0 * per_s + 5.0, "{most} in a window");
    for entry in 0..entries {
        assert!(sent.iter().any(|(_, sender)| *sender == entry), "entry {entry} sent none");
    }
}
