//! The division by a side.

use citronrill_base::Millis;
use citronrill_pool::{EntryLink, Organisations, ShareDivider};
use citronrill_wire::{OrganisationDemand, ServiceDemand, ShareReply, ShareReport};

use super::organisations;

/// A report of an entry that finds its service short of room: the capacity, and the rate of each organisation.
fn report(number: u64, capacity: u64, rates: &[(usize, u64)]) -> ShareReport {
    let organisations = rates.iter().map(|(org, rate)| OrganisationDemand {
        name: format!("org-{org}"),
        rate_milli: rate * 1_000,
    });
    let demand = ServiceDemand {
        service: "plain".to_owned(),
        capacity_milli: capacity * 1_000,
        short: true,
        organisations: organisations.collect(),
        ..ServiceDemand::default()
    };
    ShareReport { number, services: vec![demand] }
}

struct Bench {
    divider: ShareDivider,
    organisations: Organisations,
    number: u64,
    now: u64,
}

impl Bench {
    fn new() -> Bench {
        Bench {
            divider: ShareDivider::default(),
            organisations: Organisations::new(organisations(600)),
            number: 0,
            now: 1_000,
        }
    }

    fn send(&mut self, link: u64, report: ShareReport) -> Option<ShareReply> {
        let organisations = Some(&self.organisations);
        self.divider.report(EntryLink(link), report, organisations, Millis(self.now))
    }

    /// Sends the reports of all entries until the division has settled; returns the last reply.
    fn settle(&mut self, reports: &[ShareReport]) -> ShareReply {
        let mut reply = None;
        for _ in 0..5 {
            self.now += 250;
            for (link, report) in reports.iter().enumerate() {
                self.number += 1;
                let report = ShareReport { number: self.number, ..report.clone() };
                reply = self.send(link as u64, report).or(reply);
            }
        }
        reply.unwrap()
    }

    /// Returns the organisations over their share of the first service, and the parts within it.
    fn over(&mut self, reports: &[ShareReport]) -> Vec<(String, u32)> {
        let reply = self.settle(reports);
        let shares = reply.services.into_iter().next();
        let over = shares.into_iter().flat_map(|shares| shares.over);
        over.map(|over| (over.name, over.within_milli)).collect()
    }
}

/// Guards against an organisation that counts less because one entry alone sees it: 90 of 100 are divided,
/// of which the other one leaves 60.
#[test]
fn an_organisation_at_one_entry_counts_in_full() {
    let spread = report(1, 100, &[(1, 15)]);
    let at_one = report(1, 100, &[(0, 650), (1, 15)]);
    assert_eq!(Bench::new().over(&[at_one, spread]), vec![("org-0".to_owned(), 92)]);
}

/// Guards against a level without a shortage.
#[test]
fn nobody_is_over_a_share_while_there_is_room() {
    let mut calm = report(1, 100, &[(0, 650)]);
    calm.services[0].short = false;
    assert_eq!(Bench::new().over(&[calm]), Vec::new());
    assert_eq!(Bench::new().over(&[report(1, 100, &[(0, 50), (1, 40)])]), Vec::new());
}

/// Guards against a level made of the demand of a few entries: a side that has just begun does not reply
/// until each entry could report.
#[test]
fn a_side_gathers_reports_before_it_replies() {
    let mut bench = Bench::new();
    assert_eq!(bench.send(1, report(1, 100, &[(0, 650)])), None);
    bench.now += 499;
    assert_eq!(bench.send(2, report(1, 100, &[(0, 650)])), None);
    bench.now += 1;
    assert!(bench.send(1, report(2, 100, &[(0, 650)])).is_some());
}

/// Guards against a report that was overtaken, which would bring old demand back.
#[test]
fn an_older_report_is_ignored() {
    let mut bench = Bench::new();
    bench.settle(&[report(1, 100, &[(0, 50)])]);
    assert_eq!(bench.send(0, report(1, 100, &[(0, 650)])), None);
    assert_eq!(bench.over(&[report(1, 100, &[(0, 50)])]), Vec::new());
}

/// Guards against demand of an entry that has ended or is cut off.
#[test]
fn demand_of_a_lost_entry_is_dropped() {
    let (large, small) = (report(1, 100, &[(0, 650)]), report(1, 100, &[(1, 20)]));
    let mut bench = Bench::new();
    assert_eq!(bench.over(&[small.clone(), large.clone()]).len(), 1);
    bench.divider.remove(EntryLink(1));
    assert_eq!(bench.over(std::slice::from_ref(&small)), Vec::new());
    assert_eq!(bench.over(&[small.clone(), large]).len(), 1);
    bench.now += 2_000;
    assert_eq!(bench.over(&[small]), Vec::new());
}

/// Guards against records of organisations that the configuration does not have, and against a reply without
/// a configuration.
#[test]
fn unknown_organisations_are_dropped() {
    let mut bench = Bench::new();
    let unknown = report(1, 100, &[(700, 300), (0, 90)]);
    assert_eq!(bench.over(std::slice::from_ref(&unknown)), Vec::new());
    let reply = bench.divider.report(EntryLink(9), unknown, None, Millis(bench.now));
    assert_eq!(reply, None);
}

/// Guards against one entry that knows the capacity badly.
#[test]
fn one_bad_estimate_of_the_capacity_does_not_count() {
    let reports = [10, 300, 301, 90_000, 0].map(|capacity| report(1, capacity, &[(0, 50)]));
    assert_eq!(Bench::new().over(&reports), Vec::new());
    let reports = [1, 100, 101, 90_000, 0].map(|capacity| report(1, capacity, &[(0, 50)]));
    assert_eq!(Bench::new().over(&reports), vec![("org-0".to_owned(), 363)]);
}

/// Guards against callers that are not listed one by one and get nothing, or everything.
#[test]
fn unlisted_callers_share_the_room() {
    let mut few = report(1, 100, &[(0, 200)]);
    (few.services[0].rest_milli, few.services[0].rest_count) = (45_000, 10);
    assert_eq!(Bench::new().over(&[few.clone()]), vec![("org-0".to_owned(), 225)]);
    (few.services[0].rest_milli, few.services[0].rest_count) = (500_000, 4);
    assert_eq!(Bench::new().over(&[few]), vec![("org-0".to_owned(), 90)]);
}

/// Guards against sums that overflow, and time and memory that a malformed report could cost.
#[test]
fn malformed_reports_are_bounded() {
    let mut bad = report(1, 100, &[(0, 200), (0, 200)]);
    (bad.services[0].rest_milli, bad.services[0].rest_count) = (u64::MAX, u32::MAX);
    bad.services[0].organisations[1].rate_milli = u64::MAX;
    let mut bench = Bench::new();
    let [(name, part)] = &bench.over(&[bad.clone(), bad])[..] else { panic!() };
    assert_eq!(name, "org-0");
    assert!(*part <= 1_000);
    let over = bench.over(&[report(1, 100, &[(0, u64::MAX / 1_000)]), report(1, 100, &[(0, 9)])]);
    assert_eq!(over, vec![("org-0".to_owned(), 0)]);
}

/// Guards against an organisation that is over its share by chance: the rate of a small one varies by more
/// than its excess. One that was over it stays so until it is below the level.
#[test]
fn a_chance_excess_does_not_count() {
    let mut bench = Bench::new();
    let near = |rate| report(1, 100, &[(0, rate), (1, 46), (2, 3)]);
    assert_eq!(bench.over(&[near(55)]), Vec::new());
    assert_eq!(bench.over(&[near(90)]).len(), 1);
    assert_eq!(bench.over(&[near(55)]).len(), 1);
    assert_eq!(bench.over(&[near(40)]), Vec::new());
}
