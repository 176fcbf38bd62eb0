//! An entry's account of shares.

use std::{net::SocketAddr, sync::Arc};

use citronrill_base::Millis;
use citronrill_pool::{Organisations, ShareAccount, ShareChange};
use citronrill_wire::{OverShare, ServiceShares, ShareReply, ShareReport};

use super::organisations;
use crate::support::{PLAIN, address};

const SLOTS: u32 = 18;

struct Bench {
    account: ShareAccount,
    organisations: Organisations,
    now: u64,
}

impl Bench {
    fn new(seed: u64) -> Bench {
        let mut account = ShareAccount::new(seed);
        account.set_divider(Some(address(0)));
        Bench { account, organisations: Organisations::new(organisations(500)), now: 1_000 }
    }

    /// Counts a request; returns whether it is over the share.
    fn arrive(&mut self, org: usize, rank: u8) -> bool {
        let name: Arc<str> = format!("org-{org}").into();
        self.account.count_arrival(PLAIN, Some(&name), rank, Millis(self.now))
    }

    fn report(&mut self) -> ShareReport {
        self.account.take_report(|_| SLOTS, Millis(self.now)).unwrap().1
    }

    fn reply(&mut self, side: SocketAddr, number: u64, over: &[(usize, u32)]) {
        let over = over.iter().map(|(org, within_milli)| OverShare {
            name: format!("org-{org}"),
            within_milli: *within_milli,
        });
        let services = vec![ServiceShares { service: PLAIN.to_owned(), over: over.collect() }];
        let reply = ShareReply { number, services };
        self.account.apply(side, &reply, &self.organisations, Millis(self.now));
    }

    /// Replies that these organisations are over their share.
    fn tell(&mut self, over: &[(usize, u32)]) {
        self.arrive(499, 0);
        let number = self.report().number;
        self.reply(address(0), number, over);
    }

    fn divide_alone(&mut self, entries: u32) {
        self.account.divide_alone(|_| SLOTS, entries, &self.organisations, Millis(self.now));
    }
}

/// Guards against requests within a share that come in bursts.
#[test]
fn requests_within_a_share_are_spread_evenly() {
    let mut bench = Bench::new(3);
    bench.tell(&[(0, 400)]);
    let mut within = Vec::new();
    for _ in 0..200 {
        bench.now += 5;
        within.push(u32::from(!bench.arrive(0, 0)));
        assert!(!bench.arrive(1, 0));
    }
    for window in within.windows(10) {
        assert!((3..=5).contains(&window.iter().sum::<u32>()), "{window:?}");
    }
    assert!((79..=81).contains(&within.iter().sum::<u32>()));
    assert_eq!(u64::from(200 - within.iter().sum::<u32>()), bench.account.over_requests());
}

/// Guards against the first requests at all entries being over the share together.
#[test]
fn entries_begin_at_different_places() {
    let first = |seed: u64| {
        let mut bench = Bench::new(seed);
        bench.tell(&[(0, 400)]);
        bench.arrive(0, 0)
    };
    let within = (0..300).filter(|entry| !first(entry * 7_919)).count();
    assert!((95..145).contains(&within), "{within}");
}

/// Guards against an urgent request that is over the share while a less urgent one of the same organisation
/// is within it.
#[test]
fn urgent_routes_use_the_share_first() {
    let mut bench = Bench::new(3);
    bench.tell(&[(0, 500)]);
    let mut over = [0, 0];
    for _ in 0..400 {
        bench.now += 5;
        over[0] += u32::from(bench.arrive(0, 0));
        over[1] += u32::from(bench.arrive(0, 2));
    }
    assert!(over[0] < 40 && over[1] > 360, "{over:?}");
}

/// Guards against reports that grow with the organisations: the 64 largest are listed, the rest is one sum.
#[test]
fn a_report_lists_the_64_largest() {
    let mut bench = Bench::new(3);
    for org in 0..500 {
        bench.arrive(org, 0);
    }
    (100..164).for_each(|org| assert!(!bench.arrive(org, 0)));
    bench.account.count_arrival(PLAIN, None, 0, Millis(bench.now));
    let demand = &bench.report().services[0];
    let mut names = demand.organisations.iter().map(|demand| demand.name.clone());
    assert_eq!(demand.organisations.len(), 64);
    assert!(names.all(|name| (100..164).any(|org| name == format!("org-{org}"))));
    assert_eq!((demand.rest_count, demand.rest_milli), (437, 437 * 4_000));
    bench.now += 3_000;
    let demand = &bench.report().services[0];
    assert_eq!((demand.organisations.len(), demand.rest_count), (0, 0));
}

/// Guards against reports that are rarer than every 250 ms while a service is short of room anywhere, or as
/// frequent when it is not.
#[test]
fn reports_are_frequent_while_a_service_is_short_of_room() {
    let mut bench = Bench::new(3);
    bench.arrive(0, 0);
    let number = bench.report().number;
    let due = |bench: &Bench, ms: u64| bench.account.report_due(Millis(bench.now + ms));
    assert!(!due(&bench, 999) && due(&bench, 1_000));
    bench.reply(address(0), number, &[]);
    assert!(!due(&bench, 249) && due(&bench, 250));
    let number = bench.report().number;
    let none = ShareReply { number, services: Vec::new() };
    bench.account.apply(address(0), &none, &bench.organisations, Millis(bench.now));
    assert!(!due(&bench, 999));
    bench.account.mark_short(PLAIN, Millis(bench.now));
    assert!(due(&bench, 250));
    bench.account.set_divider(Some(address(1)));
    assert!(due(&bench, 0));
}

/// Guards against a reply of another side, one that was overtaken, and one to no report.
#[test]
fn replies_out_of_date_have_no_effect() {
    let mut bench = Bench::new(3);
    bench.tell(&[]);
    let number = bench.report().number;
    bench.reply(address(1), number, &[(0, 0)]);
    bench.reply(address(0), number + 1, &[(0, 0)]);
    bench.reply(address(0), number - 1, &[(0, 0)]);
    assert!(!bench.arrive(0, 0));
    bench.reply(address(0), number, &[(0, 0)]);
    assert!(bench.arrive(0, 0));
}

/// Guards against shares that end with the side: after 1.5 s without a reply an entry divides its own room,
/// until a side replies again.
#[test]
fn an_entry_divides_alone_after_silence() {
    let mut bench = Bench::new(3);
    bench.tell(&[]);
    bench.account.record_occupancy(PLAIN, 30.0);
    let send = |bench: &mut Bench, ms: u64| {
        let mut over = 0;
        for at in 0..ms {
            bench.now += 1;
            bench.account.mark_short(PLAIN, Millis(bench.now));
            over += u32::from(bench.arrive(0, 0));
            assert!(at % 50 != 0 || !bench.arrive(1, 0));
            bench.divide_alone(5);
        }
        over
    };
    assert_eq!(send(&mut bench, 1_498), 0);
    // Of 120 a second, 108 are divided, and the other one leaves 88 for 1,000.
    let over = send(&mut bench, 1_000);
    assert!((880..=930).contains(&over), "{over}");
    bench.tell(&[]);
    assert_eq!(send(&mut bench, 1_000), 0);
    let kinds = bench.account.take_changes().into_iter().map(|change| match change {
        ShareChange::Alone(_) => "alone",
        ShareChange::Over(..) => "over",
        ShareChange::Regained => "regained",
        ShareChange::Within(..) => "within",
    });
    assert_eq!(kinds.collect::<Vec<_>>(), ["alone", "over", "regained", "within"]);
}

/// Guards against a level made up without any knowledge of the capacity.
#[test]
fn an_entry_that_has_served_nothing_divides_nothing() {
    let mut bench = Bench::new(3);
    for _ in 0..4_000 {
        bench.now += 1;
        bench.account.mark_short(PLAIN, Millis(bench.now));
        assert!(!bench.arrive(0, 0));
        bench.divide_alone(5);
    }
}

/// Guards against records of organisations that a new configuration does not have.
#[test]
fn unknown_organisations_are_forgotten() {
    let mut bench = Bench::new(3);
    bench.arrive(0, 0);
    bench.tell(&[(0, 0), (600, 0)]);
    assert_eq!(bench.account.take_changes().len(), 1);
    assert!(bench.arrive(0, 0));
    let kept = Organisations::new(organisations(500).split_off(1));
    bench.account.retain_known(&kept);
    let listed = &bench.report().services[0].organisations;
    assert!(listed.iter().all(|demand| demand.name != "org-0"));
    assert!(!bench.arrive(0, 0));
}

/// Guards against room that an organisation is said to ask for with requests beyond its limit in tokens.
#[test]
fn requests_beyond_a_limit_are_no_demand() {
    let mut bench = Bench::new(3);
    let name: Arc<str> = "org-0".into();
    for _ in 0..50 {
        bench.arrive(0, 0);
        bench.account.uncount(PLAIN, Some(&name), 0, Millis(bench.now));
    }
    assert_eq!(bench.report().services[0].organisations, Vec::new());
}
