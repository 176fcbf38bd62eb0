//! Streams to which callers reconnect after all entries have restarted, over real sides.

use std::collections::BTreeMap;

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, EntryEffect, EntryEvent, EntryLink, Member, PoolSide, Reason, SideEffect, SideEvent,
};
use citronrill_wire::{SideState, StreamKind, StreamMessage, StreamQuery};
use rstest::rstest;

use crate::support::{Bench, ENGINE, address, config, dispatch, member, ok, refusal, state};

/// Streams that begin before the entries end.
const STREAMS: usize = 100;
/// Milliseconds in which both versions serve, longer than that in which callers reconnect.
const LONG_MIXED_MS: u64 = 15_000;
/// Milliseconds between two reports of a side.
const REPORT_MS: u64 = 200;
/// Milliseconds from the start of the system to the second version.
const ALONE_MS: u64 = 60_000;

fn versioned(index: u8, software: &str) -> Member {
    Member { software: software.to_owned(), ..member(index, ENGINE, &["m0"]) }
}

/// Engines 1 to 3 of the old version.
fn old() -> Vec<Member> {
    (1..=3).map(|index| versioned(index, "v1")).collect()
}

/// Engines 4 to 6 of the new version.
fn new() -> Vec<Member> {
    (4..=6).map(|index| versioned(index, "v2")).collect()
}

/// The sides of engines 1 to 6.
struct Sides(BTreeMap<u8, PoolSide>);

impl Sides {
    /// Starts them with the whole system.
    fn start() -> Sides {
        let start = |index| {
            let mut side = PoolSide::new(ENGINE).with_first_start(true);
            side.step(Millis(0), SideEvent::Config(config(1)));
            (index, side)
        };
        Sides((1..=6).map(start).collect())
    }

    /// Reports their states to an entry.
    fn report(&mut self, bench: &mut Bench) {
        for index in self.0.keys() {
            let state = SideState { tracks_streams: true, ..state(1, &["m0"]) };
            bench.step(EntryEvent::SideReport(address(*index), state));
        }
    }

    /// Delivers the messages about streams among effects, and the sides' replies; returns all effects.
    fn deliver(&mut self, bench: &mut Bench, mut effects: Vec<EntryEffect>) -> Vec<EntryEffect> {
        let mut next = 0;
        while next < effects.len() {
            if let EntryEffect::Streams(to, message) = effects[next].clone() {
                let index = (1..=6).find(|index| address(*index) == to).unwrap();
                let event = SideEvent::Streams(EntryLink(0), message);
                let replies = self.0.get_mut(&index);
                let replies = replies.map(|side| side.step(Millis(bench.now), event));
                for reply in replies.unwrap_or_default() {
                    if let SideEffect::Streams(_, message) = reply {
                        effects.extend(bench.step(EntryEvent::Streams(to, message)));
                    }
                }
            }
            next += 1;
        }
        effects
    }

    /// Ticks an entry for `ms`, while the sides report, and delivers what it tells.
    fn advance(&mut self, bench: &mut Bench, ms: u64) -> Vec<EntryEffect> {
        let end = bench.now + ms;
        let mut effects = Vec::new();
        while bench.now < end {
            self.report(bench);
            effects.extend(bench.advance(REPORT_MS.min(end - bench.now)));
        }
        self.deliver(bench, effects)
    }
}

/// Begins streams at an entry; returns the IDs of the attempts of those that began at an engine of the old version,
/// if `old`, or the new one.
fn begin(bench: &mut Bench, sides: &mut Sides, old: bool) -> Vec<String> {
    let mut begun = Vec::new();
    sides.report(bench);
    for number in 0..STREAMS {
        let arrival = bench.arrival("/chat/x", "m0");
        let caller_id = format!("first-{number}");
        let (id, effects) = bench.arrive(Arrival { caller_id: caller_id.clone(), ..arrival });
        let at = dispatch(&effects).unwrap().address;
        let effects = bench.respond(id, ok());
        sides.deliver(bench, effects);
        if (1..=3).any(|index| address(index) == at) == old {
            begun.push(caller_id);
        }
    }
    assert!(begun.len() >= STREAMS / 4, "{}", begun.len());
    begun
}

/// Reconnects to the stream that began in attempt `first`; returns the engine at which it goes on, if any.
fn reconnect(bench: &mut Bench, sides: &mut Sides, first: &str) -> Option<u8> {
    sides.report(bench);
    let arrival = bench.arrival("/chat/x", "m0");
    let first_attempt = Some(first.to_owned());
    let (_, effects) = bench.arrive(Arrival { reconnects: true, first_attempt, ..arrival });
    let mut effects = sides.deliver(bench, effects);
    effects.extend(sides.advance(bench, 160));
    match dispatch(&effects) {
        Some(sent) => (1..=6).find(|index| address(*index) == sent.address),
        None => {
            let reason = refusal(&effects).map(|(reason, _)| reason);
            let unknown = matches!(reason, Some(Reason::VersionUnknown | Reason::VersionGone));
            // It may wait for a slot.
            assert!(unknown || reason.is_none(), "{reason:?}");
            None
        }
    }
}

/// An entry that has seen one version alone, and then both.
fn mixed(sides: &mut Sides) -> Bench {
    let mut bench = Bench::new(old());
    sides.report(&mut bench);
    bench.now += ALONE_MS;
    let effects = bench.set_members(2, [old(), new()].concat());
    sides.deliver(&mut bench, effects);
    sides.advance(&mut bench, 500);
    bench
}

/// Guards against a stream of the old version that goes on at the new one: all entries have restarted, the engines of
/// the old version have left with the sides that were told of the stream, and the others have heard of none.
#[rstest]
fn a_stream_of_a_version_that_left_before_all_entries_restarted_is_refused(
    #[values(0, LONG_MIXED_MS)] mixed_ms: u64,
    #[values(0, 3_000)] later_ms: u64,
) {
    let mut sides = Sides::start();
    let mut first = mixed(&mut sides);
    sides.advance(&mut first, mixed_ms);
    let streams = begin(&mut first, &mut sides, true);
    let effects = first.set_members(3, new());
    sides.deliver(&mut first, effects);
    sides.advance(&mut first, later_ms);
    sides.0.retain(|index, _| *index > 3);
    let mut second = Bench::restarted_at(first.now + 500, new());
    sides.report(&mut second);
    for stream in streams {
        let at = reconnect(&mut second, &mut sides, &stream);
        assert_eq!(at, None, "{stream} goes on at another version");
    }
}

/// Guards against a stream of the new version that goes on at the old one, as the sides that were told of it are lost.
#[test]
fn a_stream_whose_sides_are_lost_is_not_taken_for_one_of_the_version_before() {
    let mut sides = Sides::start();
    let mut first = mixed(&mut sides);
    let mut second = mixed(&mut sides);
    let streams = begin(&mut first, &mut sides, false);
    let effects = second.set_members(3, [old(), vec![versioned(6, "v2")]].concat());
    sides.deliver(&mut second, effects);
    sides.0.retain(|index, _| ![4, 5].contains(index));
    sides.report(&mut second);
    for stream in streams {
        let at = reconnect(&mut second, &mut sides, &stream);
        assert!(at.is_none_or(|at| at == 6), "{stream} goes on at engine {at:?}");
    }
}

/// Guards against streams that are refused after all entries have restarted, although one version has served alone.
#[rstest]
#[case(&["v1"], true)]
#[case(&["v1", "v2"], false)]
fn streams_go_on_after_all_entries_restarted_where_one_version_served(
    #[case] versions: &[&str],
    #[case] goes_on: bool,
) {
    let mut sides = Sides::start();
    let members =
        (1..=6).map(|index| versioned(index, versions[usize::from(index) % versions.len()]));
    let members = members.collect::<Vec<_>>();
    let mut first = Bench::new(members.clone());
    sides.report(&mut first);
    first.now += ALONE_MS;
    sides.report(&mut first);
    sides.advance(&mut first, 100);
    let only = members.into_iter().filter(|member| member.software == "v1").collect();
    let mut second = Bench::restarted_at(first.now + 500, only);
    sides.report(&mut second);
    let at = reconnect(&mut second, &mut sides, "unknown");
    assert_eq!(at.is_some(), goes_on, "{at:?}");
}

/// Guards against a side that has just started and is taken for a witness that one version served alone.
#[rstest]
#[case(false, 5_000)]
#[case(true, u64::MAX)]
fn a_side_has_heard_of_no_second_version_since_its_start(
    #[case] first_start: bool,
    #[case] alone_ms: u64,
) {
    let mut side = PoolSide::new(ENGINE).with_first_start(first_start);
    let query = StreamQuery { stream: 1, unnamed: false, service: 7 };
    let message = StreamKind::Query(query).into();
    let effects = side.step(Millis(5_000), SideEvent::Streams(EntryLink(1), message));
    let replies = effects.iter().filter_map(|effect| match effect {
        SideEffect::Streams(_, StreamMessage { kind: Some(StreamKind::Reply(reply)) }) => {
            Some(reply.alone_ms)
        }
        _ => None,
    });
    assert_eq!(replies.collect::<Vec<_>>(), [alone_ms]);
}
