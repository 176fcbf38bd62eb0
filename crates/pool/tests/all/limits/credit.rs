//! The issuer, the ledger and the roster by themselves, each guard of its own.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    Charge, Claim, CreditIssuer, CreditLedger, EntryLink, EntryRoster, Organisations, Terms,
    UsageLimit,
};
use citronrill_wire::{Credit, CreditReply, CreditReport, LimitUse};

use super::fleet::{BOUNDS, limit, name, organisations};
use crate::support::address;

const LIMIT: UsageLimit = UsageLimit { burst: 69_000, ..limit(29_000, 0) };
/// Milliseconds after which an entry counts neither credit nor a connection as valid.
const LONG_MS: u64 = 70_000;

struct Issuer {
    issuer: CreditIssuer,
    organisations: Organisations,
    now: u64,
    number: u64,
}

impl Issuer {
    /// An issuer to which these entries have reported for `ms`, without any use.
    fn after(entries: u64, ms: u64) -> Issuer {
        let organisations = organisations(&[LIMIT]);
        let mut issuer =
            Issuer { issuer: CreditIssuer::default(), organisations, now: 0, number: 0 };
        while issuer.now < ms {
            for entry in 0..entries {
                issuer.report(entry, entries, None, false);
            }
            issuer.now += 500;
        }
        issuer
    }

    /// Reports what an entry holds and waits for; returns the credit that it gets.
    fn report(
        &mut self,
        entry: u64,
        entries: u64,
        held_and_waiting: Option<(u64, u64)>,
        first: bool,
    ) -> u64 {
        self.number += 1;
        let uses = held_and_waiting.map(|(held, waiting)| LimitUse {
            name: name(0).to_string(),
            endpoint: None,
            used: 0,
            held,
            waiting,
            ahead: 0,
        });
        let entries = entries as u32;
        let report =
            CreditReport { number: self.number, entries, first, uses: uses.into_iter().collect() };
        let terms = Terms { organisations: Some(&self.organisations), bounds: &BOUNDS, entries };
        let reply = self.issuer.report(EntryLink(entry), &report, terms, Millis(self.now));
        reply.credits.first().map_or(0, |credit| credit.units)
    }
}

/// Guards against credit that is issued again although an entry that was lost may still use it.
#[test]
fn what_a_lost_entry_held_is_not_issued_again() {
    let mut issuer = Issuer::after(2, 9_000);
    let all = issuer.report(0, 2, Some((0, 1_000_000)), false);
    assert!(all >= LIMIT.burst);
    issuer.issuer.remove(EntryLink(0));
    assert_eq!(issuer.report(1, 2, Some((0, 1_000_000)), false), 0);
}

/// Guards against credit that is issued again to an entry that used it while another side issued.
#[test]
fn what_a_returning_entry_held_is_not_issued_again() {
    let mut issuer = Issuer::after(2, 9_000);
    issuer.report(0, 2, Some((0, 1_000_000)), false);
    assert_eq!(issuer.report(0, 2, Some((0, 1_000_000)), true), 0);
}

/// Guards against a full bucket at an issuer that has just taken over: what was used before it is known
/// to nobody.
#[test]
fn an_issuer_without_memory_starts_with_little() {
    let slack = BOUNDS.maximum(LIMIT) - 8.0 * LIMIT.rate as f64 - LIMIT.burst as f64;
    let early = Issuer::after(2, 500).report(0, 2, Some((0, 1_000_000)), false);
    let settled = Issuer::after(2, 9_000).report(0, 2, Some((0, 1_000_000)), false);
    assert!(early as f64 <= slack / 4.0, "{early}");
    assert!(settled > LIMIT.burst, "{settled}");
}

/// An entry's ledger with the issuer at the first address.
fn ledger() -> CreditLedger {
    let mut ledger = CreditLedger::new(BOUNDS);
    ledger.set_issuer(Some(address(1)));
    ledger
}

fn claim(units: u64, arrived: u64, asked: Option<u64>) -> Claim {
    Claim { organisation: name(0), limit: LIMIT, units, arrived: Millis(arrived), asked }
}

/// Asks for credit at `now`, and gets `units`.
fn get_credit(ledger: &mut CreditLedger, units: u64, now: u64) -> CreditReport {
    assert!(matches!(ledger.charge(&claim(1, now, None), 2, Millis(now)), Charge::Wait(_)));
    ledger.withdraw(&name(0), 1);
    let (_, report) = ledger.take_report(2, Millis(now)).unwrap();
    let credits = vec![Credit { endpoint: false, name: name(0).to_string(), units, rate: 1_000 }];
    assert!(ledger.apply(address(1), &CreditReply { number: report.number, credits }));
    report
}

/// Guards against credit that an entry goes on using when it hears of no issuer any more: another one
/// issues the same.
#[test]
fn credit_lapses() {
    let mut ledger = ledger();
    get_credit(&mut ledger, 10_000, 1_000);
    assert_eq!(ledger.charge(&claim(100, 2_900, None), 2, Millis(2_900)), Charge::Taken);
    assert_ne!(ledger.charge(&claim(100, 3_100, None), 2, Millis(3_100)), Charge::Taken);
}

/// Guards against a new issuer that takes the previous one's credit for its own.
#[test]
fn credit_of_another_issuer_is_not_reported() {
    let mut ledger = ledger();
    assert!(get_credit(&mut ledger, 10_000, 1_000).first);
    let (_, report) = ledger.take_report(2, Millis(1_600)).unwrap();
    assert_eq!((report.first, report.uses[0].held), (false, 10_000));
    ledger.set_issuer(Some(address(2)));
    let (side, report) = ledger.take_report(2, Millis(1_700)).unwrap();
    assert_eq!((side, report.first, report.uses[0].held), (address(2), true, 0));
    assert_eq!(
        ledger.charge(&claim(100, 1_710, None), 2, Millis(1_710)),
        Charge::Taken,
        "it is used up until the new one replies"
    );
}

/// Guards against a sum that grows with the number of entries while none hears of an issuer.
#[test]
fn entries_without_an_issuer_share_a_part_of_the_slack() {
    let alone = |entries: u32| {
        let mut ledger = CreditLedger::new(BOUNDS);
        let mut taken = 0;
        for now in (0..8_000).step_by(10) {
            let request = claim(10, now, None);
            // It has waited for a reply before it may be admitted without one.
            let waited = Millis(now + 200);
            if ledger.charge(&request, entries, waited) == Charge::Taken {
                taken += 10;
            }
        }
        taken * u64::from(entries)
    };
    let slack = BOUNDS.maximum(LIMIT) - 8.0 * LIMIT.rate as f64 - LIMIT.burst as f64;
    for entries in [3, 21, 68] {
        assert!(alone(entries) as f64 <= slack / 4.0, "{entries} entries: {}", alone(entries));
    }
}

/// Guards against entries that use the whole limit on both sides of a cut: those that fell silent go on
/// counting for a while, those that ended do not.
#[test]
fn entries_that_fell_silent_count_for_a_while() {
    let ip = |last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
    let mut roster = EntryRoster::default();
    (1..=4).for_each(|last| roster.add(ip(last)));
    roster.remove(ip(1), true, Millis(1_000));
    roster.remove(ip(2), false, Millis(1_000));
    assert_eq!(roster.count(Millis(2_000)), 3);
    assert_eq!(roster.count(Millis(LONG_MS)), 2);
    roster.add(ip(1));
    assert_eq!(roster.count(Millis(2_000)), 3, "one that is back is not counted twice");
}

/// Guards against credit that grows with a report that is answered twice, or late.
#[test]
fn a_reply_counts_once() {
    let mut ledger = ledger();
    let report = get_credit(&mut ledger, 500, 1_000);
    let credits =
        vec![Credit { endpoint: false, name: name(0).to_string(), units: 500, rate: 1_000 }];
    let again = CreditReply { number: report.number, credits };
    let organisation: Arc<str> = name(0);
    assert_eq!(ledger.charge(&claim(400, 1_010, None), 2, Millis(1_010)), Charge::Taken);
    assert!(!ledger.apply(address(1), &again));
    let left = ledger.usage().find(|usage| usage.organisation == organisation).unwrap().left;
    assert_eq!(left, 100);
}
