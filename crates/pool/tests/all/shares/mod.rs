//! Shares of organisations in the room of a service.

mod account;
mod divider;
mod entry;
mod fleet;

use citronrill_pool::water_level;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

use self::fleet::{CAPACITY, Fleet, Mode, Tally, organisations};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against capacity that nobody gets although somebody asks for it, against more than there is,
    /// and against a level where there is enough for all.
    #[test]
    fn the_level_uses_the_whole_capacity(
        demands in prop::collection::vec(0.0..1_000.0, 0..60),
        capacity in 0.0..20_000.0,
    ) {
        let total = demands.iter().sum::<f64>();
        match water_level(demands.iter().copied(), capacity) {
            Some(level) => {
                let given = demands.iter().map(|demand| demand.min(level)).sum::<f64>();
                prop_assert!((given - capacity).abs() < 1e-6 * capacity.max(1.0));
                prop_assert!(total > capacity);
            }
            None => prop_assert!(total <= capacity + 1e-6),
        }
    }

    /// Guards against a level below an equal part, which would take from a small organisation what a large one
    /// then gets, and against a level that depends on the order of the organisations.
    #[test]
    fn the_level_is_max_min_fair(
        mut demands in prop::collection::vec(0.0..1_000.0, 1..60),
        capacity in 0.0..20_000.0,
    ) {
        let level = water_level(demands.iter().copied(), capacity);
        let equal = capacity / demands.len() as f64;
        prop_assert!(level.is_none_or(|level| level >= equal - 1e-9));
        demands.reverse();
        let reversed = water_level(demands.iter().copied(), capacity);
        prop_assert_eq!(level.is_some(), reversed.is_some());
        let difference = level.unwrap_or(0.0) - reversed.unwrap_or(0.0);
        prop_assert!(difference.abs() < 1e-6);
    }

    /// Guards against an organisation that gets less because there is more.
    #[test]
    fn the_level_grows_with_the_capacity(
        demands in prop::collection::vec(0.0..1_000.0, 1..60),
        capacity in 0.0..20_000.0,
        more in 0.0..1_000.0,
    ) {
        let level = water_level(demands.iter().copied(), capacity);
        let higher = water_level(demands.iter().copied(), capacity + more);
        let infinite = f64::INFINITY;
        prop_assert!(higher.unwrap_or(infinite) >= level.unwrap_or(infinite) - 1e-9);
    }
}

/// Arrivals a second of 16 organisations, three of them large: six tenths of the capacity.
fn usual() -> Vec<f64> {
    let mut rates = vec![0.15, 0.1, 0.075];
    rates.extend([0.275 / 13.0; 13]);
    rates.into_iter().map(|part| part * CAPACITY).collect()
}

/// The usual arrivals, with seven times as many of the first organisation.
fn burst() -> Vec<f64> {
    let mut rates = usual();
    rates[0] *= 7.0;
    rates
}

/// More requests at the first entries than at the last.
fn skewed(_: usize, drawn: f64) -> f64 {
    drawn * drawn
}

fn full(tallies: &[Tally]) -> u64 {
    tallies.iter().map(|tally| tally.full).sum()
}

/// Returns the part of the capacity that was used in this time.
fn used(tallies: &[Tally], ms: u64) -> f64 {
    let served = tallies.iter().map(|tally| tally.served).sum::<u64>();
    served as f64 * 1_000.0 / ms as f64 / CAPACITY
}

/// Milliseconds after the beginning of a burst in which the entries' queues that it left are served.
const ONSET_MS: u64 = 1_500;
const BURST_MS: u64 = 6_000;

/// Runs a burst of the first organisation; returns the tallies of the requests that arrive in its onset, and
/// of the rest.
fn run_burst(fleet: &mut Fleet) -> (Vec<Tally>, Vec<Tally>) {
    fleet.run(6_000, &usual(), skewed);
    fleet.take();
    fleet.run(ONSET_MS, &burst(), skewed);
    let mut onset = fleet.take();
    fleet.run(BURST_MS - ONSET_MS, &burst(), skewed);
    for (tally, more) in onset.iter_mut().zip(&fleet.full_before) {
        tally.full += more;
    }
    (onset, fleet.take())
}

/// Guards against organisations that are refused `full` or wait because another one sends seven times its
/// usual, and against capacity that lies idle meanwhile.
#[rstest]
fn a_burst_of_one_organisation_refuses_no_other(
    #[values(5, 31, 68)] entries: usize,
    #[values(17, 18, 19, 20, 21)] seed: u64,
) {
    let mut fleet = Fleet::new(entries, organisations(16), Mode::Side).with_seed(seed);
    let (onset, burst) = run_burst(&mut fleet);
    let arrived = burst[1..].iter().map(|tally| tally.arrived).sum::<u64>();
    println!(
        "{entries} entries, seed {seed}: refused below the share {} of {} in the onset, {} of {arrived} \
         later; {:.3} used",
        full(&onset[1..]),
        onset[1..].iter().map(|tally| tally.arrived).sum::<u64>(),
        full(&burst[1..]),
        used(&burst, BURST_MS - ONSET_MS)
    );
    // At many entries some requests are refused before the level is known: all entries send what waits to the
    // same endpoint, whose queue overflows.
    assert!(entries > 5 || full(&onset[1..]) == 0);
    assert_eq!(full(&burst[1..]), 0);
    assert!(used(&burst, BURST_MS - ONSET_MS) >= 0.9);
    assert!(burst[0].full > 0);
}

/// Guards against a burst that outlives itself: once it is over, nothing is refused.
#[rstest]
fn nothing_is_over_a_share_after_the_burst(#[values(5, 31, 68)] entries: usize) {
    let mut fleet = Fleet::new(entries, organisations(16), Mode::Side);
    run_burst(&mut fleet);
    fleet.run(4_000, &usual(), skewed);
    fleet.take();
    let over = fleet.over_requests();
    fleet.run(4_000, &usual(), skewed);
    assert_eq!(full(&fleet.take()), 0);
    assert_eq!(fleet.over_requests(), over);
}

/// Guards against a way that refuses fewer requests below the share, or uses more of the capacity, than the
/// division by a side: by each entry alone, and without shares.
#[rstest]
fn a_side_divides_better_than_each_entry_alone(#[values(5, 31, 68)] entries: usize) {
    let ways = [Mode::Side, Mode::Alone, Mode::Off].map(|mode| {
        let mut fleet = Fleet::new(entries, organisations(16), mode);
        let (onset, burst) = run_burst(&mut fleet);
        let arrived = burst[1..].iter().map(|tally| tally.arrived).sum::<u64>();
        let slowest = burst[1..].iter().map(|tally| tally.slowest_ms).max().unwrap();
        println!(
            "{entries} entries, {mode:?}: refused below the share {} in the onset, {} of {arrived} later, \
             slowest {slowest} ms; {:.3} used; {:.1} reports and {:.0} bytes a second and entry",
            full(&onset[1..]),
            full(&burst[1..]),
            used(&burst, BURST_MS - ONSET_MS),
            fleet.reports as f64 / 12.0 / entries as f64,
            fleet.bytes as f64 / 12.0 / entries as f64
        );
        (full(&onset[1..]), full(&burst[1..]))
    });
    let [side, alone, off] = ways;
    assert!(side.1 <= alone.1 && alone.1 < off.1, "{ways:?}");
    assert!(2 * side.0 < off.0, "{ways:?}");
}

/// Guards against an organisation that keeps its share because only one entry sees it: what it asks for
/// there counts in full.
#[rstest]
fn an_organisation_seen_by_one_entry_counts_in_full(#[values(5, 31)] entries: usize) {
    let mut fleet = Fleet::new(entries, organisations(16), Mode::Side);
    let at_one = |org: usize, drawn: f64| if org == 0 { 0.0 } else { drawn };
    fleet.run(6_000, &usual(), at_one);
    fleet.take();
    fleet.run(ONSET_MS, &burst(), at_one);
    fleet.take();
    fleet.run(BURST_MS - ONSET_MS, &burst(), at_one);
    let tallies = fleet.take();
    assert_eq!(full(&tallies[1..]), 0);
    assert!(used(&tallies, BURST_MS - ONSET_MS) >= 0.9);
}

/// Guards against reports and replies that grow with the organisations, and against small ones that are taken
/// for over their share because they are not listed.
#[test]
fn one_of_500_organisations_is_over_its_share() {
    let mut fleet = Fleet::new(5, organisations(500), Mode::Side);
    let mut rates = vec![0.6 * CAPACITY / 499.0; 500];
    rates[0] = 0.02 * CAPACITY;
    fleet.run(6_000, &rates, skewed);
    fleet.take();
    rates[0] = 1.2 * CAPACITY;
    fleet.run(ONSET_MS, &rates, skewed);
    fleet.take();
    fleet.run(BURST_MS - ONSET_MS, &rates, skewed);
    let tallies = fleet.take();
    assert_eq!(full(&tallies[1..]), 0);
    assert!(tallies[0].full > 0);
    assert!(used(&tallies, BURST_MS - ONSET_MS) >= 0.9);
    assert!(fleet.longest_report <= 64, "{}", fleet.longest_report);
}

/// Guards against shares that end with the side that divides them: the next collector takes over within
/// about a second.
#[rstest]
fn the_next_collector_takes_over(#[values(5, 31)] entries: usize) {
    let mut fleet = Fleet::new(entries, organisations(16), Mode::Side);
    run_burst(&mut fleet);
    let divider = fleet.divider();
    fleet.kill_side(divider);
    fleet.run(2_500, &burst(), skewed);
    let during = fleet.take();
    assert_ne!(fleet.divider(), divider);
    fleet.run(3_000, &burst(), skewed);
    let after = fleet.take();
    assert_eq!(full(&after[1..]), 0, "{} while it takes over", full(&during[1..]));
    assert!(used(&after, 3_000) >= 0.9);
}

/// Guards against shares that end with the last side: each entry divides its own room, so that others are
/// refused less than without shares.
#[test]
fn entries_divide_alone_without_a_side() {
    let refused = |mode| {
        let mut fleet = Fleet::new(5, organisations(16), mode);
        fleet.run(6_000, &usual(), skewed);
        fleet.take();
        fleet.kill_side(0);
        fleet.kill_side(1);
        fleet.run(BURST_MS, &burst(), skewed);
        full(&fleet.take()[1..])
    };
    let (with, without) = (refused(Mode::Side), refused(Mode::Off));
    assert!(2 * with < without, "{with} of {without}");
}

/// Guards against a level made of the demand of a few entries, right after all have started again.
#[test]
fn nothing_is_over_a_share_after_all_entries_restart() {
    let mut fleet = Fleet::new(31, organisations(16), Mode::Side);
    run_burst(&mut fleet);
    fleet.restart_entries();
    fleet.run(400, &burst(), skewed);
    assert_eq!(fleet.over_requests(), 0);
    fleet.run(2_000, &burst(), skewed);
    fleet.take();
    fleet.run(2_000, &burst(), skewed);
    assert_eq!(full(&fleet.take()[1..]), 0);
    assert!(fleet.over_requests() > 0);
}

/// Guards against a less urgent organisation that is served where a more urgent one is refused: what a more
/// urgent one asks for is within its share while there is room for it.
#[test]
fn a_more_urgent_organisation_is_not_over_its_share() {
    let mut list = organisations(16);
    for (org, entry) in list.iter_mut().enumerate() {
        entry.priority = Some(if org == 0 { 0 } else { 1 });
    }
    let mut fleet = Fleet::new(5, list, Mode::Side);
    let mut rates = usual();
    rates[0] = 0.3 * CAPACITY;
    fleet.run(3_000, &usual(), skewed);
    rates[1] = 0.6 * CAPACITY;
    fleet.run(ONSET_MS, &rates, skewed);
    fleet.take();
    fleet.run(4_000, &rates, skewed);
    let tallies = fleet.take();
    assert_eq!(tallies[0].full, 0);
    assert!(tallies[1].full > 0);
    assert_eq!(full(&tallies[2..]), 0);
}

/// Guards against records of organisations that the configuration does not have any more.
#[test]
fn a_removed_organisation_has_no_share() {
    let mut fleet = Fleet::new(5, organisations(16), Mode::Side);
    run_burst(&mut fleet);
    fleet.configure(organisations(16).split_off(1));
    let mut rates = usual();
    rates[1] *= 8.0;
    fleet.run(ONSET_MS, &rates, skewed);
    fleet.take();
    fleet.run(4_000, &rates, skewed);
    let tallies = fleet.take();
    assert_eq!((tallies[0].served, tallies[0].full), (0, 0));
    assert!(tallies[1].full > 0);
    assert_eq!(full(&tallies[2..]), 0);
}
