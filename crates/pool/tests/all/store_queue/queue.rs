//! The queue alone.

use citronrill_base::Millis;
use citronrill_pool::{EntryLink, StoreGrant, StoreQueue};
use citronrill_wire::{StoreLoadReport, StoreLoadSeen, StoreWant};

const LOAD_MS: u64 = 10_000;

fn want(model: &str, waiting: u32, refused_milli: u32) -> StoreWant {
    StoreWant {
        model: model.to_owned(),
        waiting,
        refused_milli,
        load_ms: LOAD_MS,
        ..StoreWant::default()
    }
}

fn replica(model: &str, rank: u32, gain_ms: u32) -> StoreWant {
    StoreWant { rank, gain_ms, ..want(model, 0, 0) }
}

fn seen(model: &str, instance: &str, late_milli: u32) -> StoreLoadSeen {
    StoreLoadSeen {
        model: model.to_owned(),
        instance: instance.to_owned(),
        late_milli,
        concurrent: u32::from(late_milli > 0),
        load_ms: LOAD_MS,
    }
}

/// A queue, its clock and the numbers of the entries' reports.
struct Bench {
    queue: StoreQueue,
    now: u64,
    number: u64,
}

impl Bench {
    /// A queue to which two entries have reported for long enough.
    fn new() -> Bench {
        let mut bench = Bench { queue: StoreQueue::default(), now: 1_000, number: 0 };
        bench.report(1, vec![], vec![]);
        bench.report(2, vec![], vec![]);
        bench.now += 500;
        bench
    }

    fn report(&mut self, link: u64, wanted: Vec<StoreWant>, seen: Vec<StoreLoadSeen>) {
        self.report_with(link, StoreLoadReport { wanted, seen, ..StoreLoadReport::default() });
    }

    fn report_with(&mut self, link: u64, report: StoreLoadReport) {
        self.number += 1;
        let limit = report.limit.max(2);
        let report = StoreLoadReport { number: self.number, limit, ..report };
        assert!(self.queue.report(EntryLink(link), report, Millis(self.now)));
    }

    fn grants(&mut self) -> Vec<StoreGrant> {
        self.queue.find_stuck(Millis(self.now));
        self.queue.grant(|name| name != "dropped", Millis(self.now))
    }

    /// Returns the granted models with the entries that got them.
    fn granted(&mut self) -> Vec<(String, u64)> {
        let grants = self.grants().into_iter();
        grants.map(|granted| (granted.grant.model, granted.link.0)).collect()
    }
}

fn pairs(expected: &[(&str, u64)]) -> Vec<(String, u64)> {
    expected.iter().map(|(model, link)| ((*model).to_owned(), *link)).collect()
}

/// Refused callers count for the time of a load: ten a second weigh more than fifty that wait. The entry
/// that wants a model most gets the grant.
#[test]
fn the_most_wanted_model_goes_first() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("waited", 50, 0), want("refused", 0, 2_000)], vec![]);
    bench.report(2, vec![want("refused", 0, 8_000), want("third", 1, 0)], vec![]);
    assert_eq!(bench.granted(), pairs(&[("refused", 2), ("waited", 1)]));
    assert_eq!(bench.granted(), pairs(&[]), "two loads are under way");
}

/// Loads that are seen and grants whose loads are not seen yet count against the limit, and against further
/// loads of the same model.
#[test]
fn loads_under_way_count_against_the_limit() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("a", 1, 0), want("b", 9, 0)], vec![seen("b", "i1", 0)]);
    assert_eq!(bench.granted(), pairs(&[("a", 1)]), "b has an owner already");
    bench.report(2, vec![want("c", 5, 0)], vec![]);
    assert_eq!(bench.granted(), pairs(&[]));
    bench.report(1, vec![], vec![seen("a", "i2", 0)]);
    assert_eq!(bench.granted(), pairs(&[("c", 2)]), "b has ended, and a counts once");
}

/// An entry with a higher limit than the others has not learnt yet that the store is slow.
#[test]
fn the_lowest_limit_holds() {
    let mut bench = Bench::new();
    let wanted = vec![want("a", 1, 0), want("b", 1, 0), want("c", 1, 0), want("d", 1, 0)];
    bench.report_with(1, StoreLoadReport { wanted, limit: 8, ..StoreLoadReport::default() });
    assert_eq!(bench.granted().len(), 2);
}

/// Replicas and copies never take the last place while a missing model may come, and come after missing
/// models whatever their gain.
#[test]
fn replicas_rank_below_missing_models() {
    let mut bench = Bench::new();
    bench.report(1, vec![replica("copy", 2, 90_000), replica("more", 1, 50)], vec![]);
    assert_eq!(bench.granted(), pairs(&[("more", 1)]));
    bench.report(2, vec![want("missing", 1, 0)], vec![]);
    assert_eq!(bench.granted(), pairs(&[("missing", 2)]));
}

/// An entry that is cut off from the endpoint that holds a model takes it for missing.
#[test]
fn a_model_that_one_entry_sees_is_not_missing() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("held", 50, 9_000)], vec![]);
    bench.report(2, vec![replica("held", 1, 10), want("missing", 1, 0)], vec![]);
    assert_eq!(bench.granted()[0].0, "missing");
}

/// A new owner knows no grants of the last one and no loads until all entries have reported: it would start
/// loads a second time.
#[test]
fn nothing_is_granted_before_all_entries_have_reported() {
    let mut queue = StoreQueue::default();
    let report = |number, wanted, seen| StoreLoadReport {
        number,
        wanted,
        seen,
        limit: 1,
        ..StoreLoadReport::default()
    };
    queue.report(EntryLink(1), report(9, vec![want("a", 5, 0)], vec![]), Millis(5_000));
    assert_eq!(queue.grant(|_| true, Millis(5_000)), vec![]);
    let late = report(4, vec![], vec![seen("a", "i1", 0)]);
    queue.report(EntryLink(2), late, Millis(5_499));
    assert_eq!(queue.grant(|_| true, Millis(5_499)), vec![]);
    assert_eq!(queue.grant(|_| true, Millis(5_600)), vec![], "a is under way");
}

/// The entry with the grant was killed: the model is granted again after the lease, not earlier.
#[test]
fn an_unused_grant_expires_with_its_lease() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("a", 9, 0)], vec![]);
    bench.report(2, vec![want("a", 1, 0)], vec![]);
    assert_eq!(bench.granted(), pairs(&[("a", 1)]));
    bench.queue.remove(EntryLink(1));
    bench.now += 500;
    bench.report(2, vec![want("a", 1, 0)], vec![]);
    bench.now += 499;
    assert_eq!(bench.granted(), pairs(&[]), "the load may have begun");
    bench.now += 1;
    assert_eq!(bench.granted(), pairs(&[("a", 2)]));
}

/// An entry without a place for the model gives the grant back; another entry gets it, and a declined
/// number of another entry has no effect.
#[test]
fn a_declined_grant_goes_to_another_entry() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("a", 9, 0)], vec![]);
    bench.report(2, vec![want("a", 1, 0)], vec![]);
    let number = bench.grants()[0].grant.number;
    let wanted = vec![want("a", 1, 0)];
    let declined = vec![number];
    let report = |wanted, declined| StoreLoadReport { wanted, declined, ..Default::default() };
    bench.report_with(2, report(wanted, declined.clone()));
    assert_eq!(bench.granted(), pairs(&[]), "the grant is not this entry's");
    bench.report_with(1, report(vec![want("a", 9, 0)], declined));
    assert_eq!(bench.granted(), pairs(&[("a", 2)]));
}

/// A report that arrives after a newer one must not bring back a load or a need that has ended.
#[test]
fn an_older_report_is_ignored() {
    let mut bench = Bench::new();
    bench.report(1, vec![], vec![]);
    let older = StoreLoadReport {
        number: bench.number - 1,
        wanted: vec![want("a", 9, 0)],
        limit: 2,
        ..StoreLoadReport::default()
    };
    assert!(!bench.queue.report(EntryLink(1), older, Millis(bench.now)));
    assert_eq!(bench.granted(), pairs(&[]));
}

/// An entry that fell silent: what it wanted and saw last says nothing about the present.
#[test]
fn a_silent_entry_no_longer_counts() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("gone", 9, 0)], vec![seen("a", "i1", 0)]);
    bench.now += 1_000;
    bench.report(2, vec![want("a", 1, 0)], vec![]);
    bench.now += 500;
    assert_eq!(bench.granted(), pairs(&[("a", 2)]));
}

/// A model that the configuration has dropped is not loaded, although entries with an older configuration
/// still want it.
#[test]
fn a_dropped_model_leaves_the_queue() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("dropped", 9, 0), want("a", 1, 0)], vec![]);
    assert_eq!(bench.granted(), pairs(&[("a", 1)]));
}

/// An endpoint that restarts or leaves loses its load: the entries see it no longer and want the model.
#[test]
fn a_load_that_is_no_longer_seen_is_granted_again() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("a", 1, 0)], vec![seen("a", "i1", 0)]);
    assert_eq!(bench.granted(), pairs(&[]));
    bench.report(1, vec![want("a", 1, 0)], vec![]);
    assert_eq!(bench.granted(), pairs(&[("a", 1)]));
}

/// A load that never ended blocked its model for a whole day. Late by half without another load beside it,
/// it is granted again, for another instance.
#[test]
fn a_load_that_does_not_end_is_granted_elsewhere() {
    let mut bench = Bench::new();
    bench.report(1, vec![want("a", 1, 0)], vec![seen("a", "i1", 1_400)]);
    assert_eq!(bench.grants(), vec![]);
    bench.report(1, vec![want("a", 1, 0)], vec![seen("a", "i1", 1_600)]);
    let grants = bench.grants();
    assert_eq!(grants[0].grant.model, "a");
    assert_eq!(grants[0].grant.avoid, vec!["i1".to_owned()]);
    bench.report(1, vec![want("a", 1, 0)], vec![seen("a", "i1", 1_600), seen("a", "i2", 0)]);
    bench.now += 1_200;
    bench.report(1, vec![want("a", 1, 0)], vec![seen("a", "i1", 1_800), seen("a", "i2", 0)]);
    assert_eq!(bench.grants(), vec![], "the second load is its owner");
}

/// Two loads at a store that carries one each take twice as long: neither has stopped.
#[test]
fn a_load_that_others_slow_down_is_not_taken_for_stuck() {
    let mut bench = Bench::new();
    let at = |late| vec![seen("a", "i1", late), seen("b", "i2", late)];
    for step in 0..40 {
        let late = if step * 50 < 1_200 { 0 } else { step * 50 };
        bench.report(1, vec![want("a", 1, 0), want("b", 1, 0)], at(late));
        assert_eq!(bench.grants(), vec![], "after {} thousandths", step * 50);
        bench.now += 500;
    }
}

/// Two sides take themselves for the owner for a moment, and each hears half of the entries. Each counts the
/// loads that are seen, so that a model is loaded twice at most, and not at all once one load is seen.
#[test]
fn two_owners_start_one_load_more_at_most() {
    let (mut first, mut second) = (Bench::new(), Bench::new());
    first.report(1, vec![want("a", 5, 0)], vec![]);
    assert_eq!(first.granted(), pairs(&[("a", 1)]));
    second.report(2, vec![want("a", 5, 0)], vec![]);
    assert_eq!(second.granted(), pairs(&[("a", 2)]), "neither knows the other's grant");
    for (bench, link) in [(&mut first, 1), (&mut second, 2)] {
        bench.report(link, vec![want("a", 5, 0)], vec![seen("a", "i1", 0), seen("a", "i2", 0)]);
        assert_eq!(bench.granted(), pairs(&[]));
    }
    let (mut first, mut second) = (Bench::new(), Bench::new());
    first.report(1, vec![want("a", 5, 0)], vec![seen("a", "i1", 0)]);
    second.report(2, vec![want("a", 5, 0)], vec![seen("a", "i1", 0)]);
    assert_eq!((first.granted(), second.granted()), (pairs(&[]), pairs(&[])));
}

/// Replies to an entry are lost, while its reports arrive: with every grant it would keep the model from being
/// loaded.
#[test]
fn an_expired_grant_goes_to_another_entry() {
    let mut bench = Bench::new();
    let wanted = |bench: &mut Bench| {
        bench.report(1, vec![want("a", 9, 0)], vec![]);
        bench.report(2, vec![want("a", 1, 0)], vec![]);
    };
    wanted(&mut bench);
    assert_eq!(bench.granted(), pairs(&[("a", 1)]));
    bench.now += 1_000;
    wanted(&mut bench);
    assert_eq!(bench.granted(), pairs(&[("a", 2)]));
}
