//! Credit for requests to an endpoint that names a limit: ledgers and an issuer by themselves.

use citronrill_base::Millis;
use citronrill_pool::{
    CreditIssuer, CreditLedger, EndpointRate, EntryLink, LimitBounds, Sharing, Terms,
};
use rstest::rstest;

use crate::support::address;

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

/// Entries with an issuer, without anything between them.
struct Fleet {
    issuer: CreditIssuer,
    ledgers: Vec<CreditLedger>,
    now: u64,
}

impl Fleet {
    /// Entries that know of a limit of three requests a second, and have reported for a while.
    fn new(entries: usize) -> Fleet {
        let ledgers = (0..entries).map(|_| CreditLedger::new(LimitBounds::default())).collect();
        let mut fleet = Fleet { issuer: CreditIssuer::default(), ledgers, now: 0 };
        let rate = EndpointRate::from_per_second(3.0);
        for ledger in &mut fleet.ledgers {
            ledger.set_issuer(Some(address(1)));
            ledger.set_endpoint("i1", rate, Millis(0), Millis(0));
        }
        fleet
    }

    /// Exchanges reports and replies for `ms`.
    fn run(&mut self, ms: u64) {
        let (end, bounds) = (self.now + ms, LimitBounds::default());
        while self.now < end {
            self.now += 20;
            let (entries, now) = (self.ledgers.len() as u32, Millis(self.now));
            for (link, ledger) in (0..).zip(&mut self.ledgers) {
                if let Some((_, report)) = ledger.take_report(entries, now) {
                    let terms = Terms { organisations: None, bounds: &bounds, entries };
                    let reply = self.issuer.report(EntryLink(link), &report, terms, now);
                    ledger.apply(address(1), &reply);
                }
            }
        }
    }

    fn want(&mut self, entry: usize) {
        self.ledgers[entry].want_endpoint("i1", true, Millis(self.now));
    }

    fn take(&mut self, entry: usize) -> bool {
        let sharing = Sharing { entries: self.ledgers.len() as u32, seed: 0 };
        self.ledgers[entry].take_endpoint("i1", sharing, Millis(self.now))
    }
}

/// Guards against credit that is held by entries that do not want it any more, so that none is left.
#[test]
fn credit_that_is_not_wanted_is_given_back() {
    let mut fleet = Fleet::new(12);
    fleet.run(5_000);
    for entry in 0..11 {
        fleet.want(entry);
        fleet.run(20);
    }
    fleet.run(3_000);
    let served = (0..5).filter(|_| {
        fleet.want(11);
        fleet.run(120);
        fleet.take(11)
    });
    assert_eq!(served.count(), 5);
}

/// Guards against an issuer that starts with a full bucket: what the endpoint got before is unknown to it.
#[test]
fn a_new_issuer_starts_with_one_request() {
    let mut fleet = Fleet::new(1);
    fleet.run(20);
    let taken = (0..10).filter(|_| {
        fleet.want(0);
        fleet.run(20);
        fleet.take(0)
    });
    assert_eq!(taken.count(), 1);
}
