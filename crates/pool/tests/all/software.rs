//! Streams go on only at the software version that began them.

use std::net::SocketAddr;

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, EntryEffect, EntryEvent, EntryLink, Member, PoolSide, Reason, RequestId, ResponseHead,
    SideEffect, SideEvent, SideLoss, SoftwareKey, StreamKey,
};
use citronrill_wire::{
    SideState, StreamKind, StreamMessage, StreamOrigin, StreamQuery, StreamReply, StreamsBegun,
};
use rstest::rstest;

use crate::support::{Bench, ENGINE, address, dispatch, member, ok, refusal, state};

/// Milliseconds after which no caller reconnects to a stream, with the routes of the tests.
const HORIZON_MS: u64 = 30_000;

fn versioned(index: u8, software: &str, models: &[&str]) -> Member {
    Member { software: software.to_owned(), ..member(index, ENGINE, models) }
}

fn key(software: &str) -> SoftwareKey {
    SoftwareKey::new(ENGINE, software)
}

fn report_sides(bench: &mut Bench, models: &[&[&str]]) {
    for (index, models) in models.iter().enumerate() {
        let state = SideState { tracks_streams: true, ..state(1, models) };
        bench.step(EntryEvent::SideReport(address(index as u8 + 1), state));
    }
}

/// An entry with four engines that hold `m0`, in turn of versions v1 and v2.
fn mixed() -> Bench {
    let members = (1..=4).map(|index| versioned(index, ["v2", "v1"][index as usize % 2], &["m0"]));
    let mut bench = Bench::new(members.collect());
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"], &["m0"]]);
    bench
}

/// Report of engine 1's side on a new incarnation, `i1-b`, which is not listed yet.
fn renamed() -> SideState {
    SideState {
        instance: "i1-b".to_owned(),
        service: ENGINE.to_owned(),
        healthy: true,
        tracks_streams: true,
        ..state(1, &["m0"])
    }
}

/// Messages about single streams among effects, with the sides that they go to.
fn messages(effects: &[EntryEffect]) -> Vec<(SocketAddr, StreamKind)> {
    let messages = effects.iter().filter_map(|effect| match effect {
        EntryEffect::Streams(side, message) => Some((*side, message.kind.clone().unwrap()))
            .filter(|(_, kind)| !matches!(kind, StreamKind::Mixed(_))),
        _ => None,
    });
    messages.collect()
}

/// Reconnects to the stream that began in attempt `first`.
fn reconnect(bench: &mut Bench, first: Option<&str>) -> (RequestId, Vec<EntryEffect>) {
    let arrival = bench.arrival("/chat/x", "m0");
    bench.arrive(Arrival { reconnects: true, first_attempt: first.map(str::to_owned), ..arrival })
}

fn reply(query: StreamQuery, software: Option<&str>, memory_ms: u64) -> StreamMessage {
    let software = software.map(|software| key(software).0);
    StreamKind::Reply(StreamReply {
        stream: query.stream,
        software,
        memory_ms,
        alone_ms: memory_ms,
    })
    .into()
}

/// Returns the queries among effects, with the sides that they go to.
fn queries(effects: &[EntryEffect]) -> Vec<(SocketAddr, StreamQuery)> {
    let queries = messages(effects).into_iter().filter_map(|(side, kind)| match kind {
        StreamKind::Query(query) => Some((side, query)),
        _ => None,
    });
    queries.collect()
}

/// Sends the same reply from all sides that were asked.
fn reply_all(
    bench: &mut Bench,
    asked: &[EntryEffect],
    software: Option<&str>,
    memory_ms: u64,
) -> Vec<EntryEffect> {
    let asked = queries(asked);
    assert_eq!(asked.len(), 3, "not all sides were asked");
    let replies = asked
        .into_iter()
        .map(|(side, query)| EntryEvent::Streams(side, reply(query, software, memory_ms)));
    replies.flat_map(|reply| bench.step(reply)).collect()
}

fn sent_software(effects: &[EntryEffect]) -> Option<&'static str> {
    let address = dispatch(effects)?.address;
    Some(if [self::address(1), self::address(3)].contains(&address) { "v1" } else { "v2" })
}

/// A stream goes on at the version that a side names, whichever that is.
#[rstest]
fn a_stream_goes_on_at_the_version_that_a_side_knows(#[values("v1", "v2")] software: &str) {
    for _ in 0..4 {
        let mut bench = mixed();
        let (_, asked) = reconnect(&mut bench, Some("first"));
        assert!(dispatch(&asked).is_none(), "sent before a side has replied");
        let (side, query) = queries(&asked)[0];
        assert_eq!(query.stream, StreamKey::new("first").0);
        let effects = bench.step(EntryEvent::Streams(side, reply(query, Some(software), 0)));
        assert_eq!(sent_software(&effects), Some(software));
    }
}

/// Guards against a stream that goes on by guess: no side knows it, and two versions have served.
#[rstest]
fn an_unknown_stream_is_refused_while_two_versions_serve(
    #[values(0, u64::MAX)] memory_ms: u64,
    #[values(true, false)] named: bool,
) {
    let mut bench = mixed();
    let (_, asked) = reconnect(&mut bench, named.then_some("first"));
    assert!(queries(&asked).iter().all(|(_, query)| query.unnamed != named));
    let effects = reply_all(&mut bench, &asked, None, memory_ms);
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, retry_ms), (Reason::VersionUnknown, None));
}

/// Guards against a version that left a moment ago and is forgotten: a stream of it may still come back.
#[test]
fn a_version_that_has_just_left_counts() {
    let mut bench = mixed();
    let only_v1 = [1, 3].map(|index| versioned(index, "v1", &["m0"]));
    bench.set_members(2, only_v1.to_vec());
    report_sides(&mut bench, &[&["m0"], &[], &["m0"]]);
    let (id, _) = reconnect(&mut bench, Some("first"));
    let effects = bench.advance(200);
    assert_eq!(refusal(&effects).unwrap().0, Reason::VersionUnknown, "{id:?}");
    bench.now += HORIZON_MS;
    bench.set_members(3, only_v1.to_vec());
    report_sides(&mut bench, &[&["m0"], &[], &["m0"]]);
    reconnect(&mut bench, Some("first"));
    let mut effects = bench.advance(200);
    effects.extend(bench.step(EntryEvent::ProbeReply(address(1))));
    effects.extend(bench.step(EntryEvent::ProbeReply(address(3))));
    assert_eq!(sent_software(&effects), Some("v1"), "{effects:?}");
}

/// Guards against an entry that has just started and takes the only version that it has seen for the only
/// one that has served; a side that has kept everything for long enough knows better.
#[rstest]
#[case(0, false)]
#[case(HORIZON_MS, true)]
fn a_restarted_entry_relies_on_the_memory_of_sides(
    #[case] memory_ms: u64,
    #[case] goes_on: bool,
    #[values(Some("first"), None)] named: Option<&str>,
) {
    let members = (1..=4).map(|index| versioned(index, "v1", &["m0"])).collect();
    let mut bench = Bench::restarted(members);
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"], &["m0"]]);
    let (_, asked) = reconnect(&mut bench, named);
    let effects = reply_all(&mut bench, &asked, None, memory_ms);
    assert_eq!(dispatch(&effects).is_some(), goes_on);
    assert_eq!(refusal(&effects).is_none(), goes_on);
}

/// Guards against a stream that goes on by guess because one side remembers for long: the side that was told
/// of its beginning may be one that has started again since.
#[rstest]
fn the_shortest_memory_of_the_sides_counts(#[values(0, 1, 2)] restarted: usize) {
    let members = (1..=4).map(|index| versioned(index, "v1", &["m0"])).collect();
    let mut bench = Bench::restarted(members);
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"], &["m0"]]);
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let mut effects = Vec::new();
    for (place, (side, query)) in queries(&asked).into_iter().enumerate() {
        let memory_ms = if place == restarted { 0 } else { HORIZON_MS };
        effects.extend(bench.step(EntryEvent::Streams(side, reply(query, None, memory_ms))));
    }
    assert_eq!(refusal(&effects).unwrap().0, Reason::VersionUnknown);
}

/// Guards against a caller that waits for a version of which no endpoint is left.
#[test]
fn a_stream_of_a_version_that_is_gone_is_refused_at_once() {
    let mut bench = mixed();
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let effects = reply_all(&mut bench, &asked, Some("v3"), u64::MAX);
    assert_eq!(refusal(&effects).unwrap().0, Reason::VersionGone);
}

/// The only endpoint of the stream's version does not hold the model, but has its weights on disk: it loads
/// the model, although others hold it.
#[test]
fn the_model_is_loaded_at_the_version_of_the_stream() {
    let members =
        vec![versioned(1, "v1", &["m0"]), versioned(2, "v2", &["m1"]), versioned(3, "v1", &["m0"])];
    let mut bench = Bench::new(members);
    report_sides(&mut bench, &[&["m0"], &["m1"], &["m0"]]);
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let effects = reply_all(&mut bench, &asked, Some("v2"), u64::MAX);
    let loads = effects.iter().filter_map(|effect| match effect {
        EntryEffect::LoadRequest(side, load) => Some((*side, load.model.as_str())),
        _ => None,
    });
    assert_eq!(loads.collect::<Vec<_>>(), [(address(2), "m0")]);
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none());
}

/// Where streams begin is told to two sides while two versions serve, and to none while one does.
#[test]
fn beginnings_are_told_only_while_versions_are_mixed() {
    let mut alone = Bench::new((1..=4).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut alone, &[&["m0"], &["m0"], &["m0"], &["m0"]]);
    let (id, _) = alone.request("/chat/x", "m0");
    assert!(messages(&alone.respond(id, ok())).is_empty());
    let mut bench = mixed();
    let (id, effects) = bench.request("/chat/x", "m0");
    let software = sent_software(&effects).unwrap();
    let effects = bench.respond(id, ok());
    let told = messages(&effects);
    assert_eq!(told.len(), 2);
    let begun = |kind: &StreamKind| match kind {
        StreamKind::Begun(begun) => begun.streams[0].software,
        _ => 0,
    };
    assert!(told.iter().all(|(_, kind)| begun(kind) == key(software).0), "{told:?}");
    let forwarded = effects.iter().position(|effect| *effect == EntryEffect::Forward(id));
    let first = effects.iter().position(|effect| matches!(effect, EntryEffect::Streams(..)));
    assert!(first < forwarded, "told after the caller may have an event");
}

/// Guards against streams that nobody knows because they began just before the second version came.
#[test]
fn streams_under_way_are_told_when_a_second_version_comes() {
    let mut bench = Bench::new((1..=3).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"]]);
    let (id, _) = bench.request("/chat/x", "m0");
    bench.respond(id, ok());
    let effects = bench.update_row(2, "i4", Some(versioned(4, "v2", &[])));
    assert_eq!(messages(&effects).len(), 2, "{effects:?}");
}

/// Guards against a stream that nobody knows because its entry ended just before the second version came:
/// it began at the version that served alone until then.
#[test]
fn a_stream_from_before_the_second_version_goes_on_at_the_first() {
    let mut bench = Bench::new((1..=3).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"]]);
    bench.update_row(2, "i4", Some(versioned(4, "v2", &["m0"])));
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"], &["m0"]]);
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let effects = reply_all(&mut bench, &asked, None, u64::MAX);
    assert_ne!(dispatch(&effects).unwrap().address, address(4));
    let (_, asked) = reconnect(&mut bench, Some("second"));
    let effects = reply_all(&mut bench, &asked, None, 100);
    assert_eq!(
        refusal(&effects).unwrap().0,
        Reason::VersionUnknown,
        "no side has kept everything for long enough"
    );
}

/// Guards against streams that are refused after a restart, as the new incarnation has another version
/// until it is listed.
#[test]
fn a_version_is_known_once_its_incarnation_is_listed() {
    let mut bench = Bench::new((1..=2).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut bench, &[&["m0"], &["m0"]]);
    bench.step(EntryEvent::SideReport(address(1), renamed()));
    let (id, _) = bench.request("/chat/x", "m0");
    let told = messages(&bench.respond(id, ok()));
    assert_eq!(told.len(), 2, "not told while the version of an incarnation is unknown");
    let listed = Member { instance: "i1-b".to_owned(), ..versioned(1, "v1", &["m0"]) };
    bench.update_row(2, "i1-b", Some(listed));
    let (id, _) = bench.request("/chat/x", "m0");
    assert!(messages(&bench.respond(id, ok())).is_empty(), "still told");
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let (side, query) = queries(&asked)[0];
    let StreamKind::Begun(begun) = &told[0].1 else { panic!("{told:?}") };
    let software = Some(begun.streams[0].software);
    let reply = StreamReply { stream: query.stream, software, memory_ms: 0, alone_ms: 0 };
    let effects = bench.step(EntryEvent::Streams(side, StreamKind::Reply(reply).into()));
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}

/// Guards against an entry that takes its old member list for the whole truth: it reaches neither a side nor
/// the platform store, and a second version may have come.
#[rstest]
#[case(true, true)]
#[case(false, false)]
fn an_entry_that_reaches_nobody_refuses_unknown_streams(
    #[case] store: bool,
    #[case] goes_on: bool,
) {
    let mut bench = Bench::new((1..=2).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut bench, &[&["m0"], &["m0"]]);
    bench.step(EntryEvent::ConfigCurrent(store));
    let (_, mut effects) = reconnect(&mut bench, Some("first"));
    effects.extend(bench.advance(200));
    assert_eq!(refusal(&effects).is_none(), goes_on, "{effects:?}");
}

/// Guards against a response of another incarnation than the intended one, which may have another version:
/// a stream does not go on with it, and one that begins with it goes on nowhere else.
#[test]
fn a_response_of_another_incarnation_fits_no_stream() {
    let other = ResponseHead { other_incarnation: true, ..ok() };
    let mut bench = mixed();
    let (id, asked) = reconnect(&mut bench, Some("first"));
    let (side, query) = queries(&asked)[0];
    bench.step(EntryEvent::Streams(side, reply(query, Some("v1"), 0)));
    let effects = bench.respond(id, other);
    assert!(!effects.contains(&EntryEffect::Forward(id)), "{effects:?}");
    let (id, _) = bench.request("/chat/x", "m0");
    let effects = bench.respond(id, other);
    assert!(effects.contains(&EntryEffect::Forward(id)));
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(2)));
    assert!(effects.contains(&EntryEffect::Abort(id)), "{effects:?}");
}

/// Guards against a copy that another version would continue: the endpoint that has it was restarted with
/// other software meanwhile.
#[test]
fn a_copy_at_another_version_is_not_used() {
    let mut bench = mixed();
    let (lost, _) = bench.request("/draft/x", "m0");
    bench.respond(lost, ok());
    bench.step(EntryEvent::StreamBroken(lost, Some(0)));
    let (id, effects) = bench.request("/draft/x", "m0");
    let copy = dispatch(&effects).unwrap().backup.unwrap();
    bench.respond(id, ok());
    let index = (1..=4).find(|index| address(*index) == copy).unwrap();
    bench.update_row(2, &format!("i{index}"), Some(versioned(index, "v3", &["m0"])));
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(2)));
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    assert!(effects.contains(&EntryEffect::Abort(id)));
}

/// Returns the sides that are asked to load something.
fn load_places(effects: &[EntryEffect]) -> Vec<SocketAddr> {
    let places = effects.iter().filter_map(|effect| match effect {
        EntryEffect::LoadRequest(side, _) => Some(*side),
        _ => None,
    });
    places.collect()
}

/// Guards against an adapter that is loaded where the stream cannot go on.
#[rstest]
fn the_adapter_is_loaded_at_the_version_of_the_stream(#[values("v1", "v2")] software: &str) {
    let mut bench = mixed();
    let arrival = bench.arrival("/chat/x", "m0/a1");
    let first_attempt = Some("first".to_owned());
    let (_, asked) = bench.arrive(Arrival { reconnects: true, first_attempt, ..arrival });
    let effects = reply_all(&mut bench, &asked, Some(software), u64::MAX);
    let places = load_places(&effects);
    assert_eq!(places.len(), 1, "{effects:?}");
    assert_eq!([address(1), address(3)].contains(&places[0]), software == "v1");
}

/// Guards against a model that is loaded at the cheapest place, where the stream cannot go on.
#[test]
fn the_model_is_not_loaded_at_another_version() {
    let members = vec![
        versioned(1, "v1", &["m0"]),
        versioned(2, "v2", &["m1", "m2"]),
        versioned(3, "v1", &[]),
    ];
    let mut bench = Bench::new(members);
    report_sides(&mut bench, &[&["m0"], &["m1", "m2"], &[]]);
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let effects = reply_all(&mut bench, &asked, Some("v2"), u64::MAX);
    let places = load_places(&effects);
    assert!(places == [address(2)] || places.is_empty() && refusal(&effects).is_some());
}

/// Guards against a caller that waits for the first report of an endpoint of another version, although no
/// endpoint of its own is left.
#[test]
fn a_version_that_is_gone_is_not_waited_for() {
    let members = (1..=4).map(|index| versioned(index, "v1", &["m0"])).collect();
    let mut bench = Bench::new(members);
    report_sides(&mut bench, &[&[], &[], &[]]);
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let effects = reply_all(&mut bench, &asked, Some("v3"), u64::MAX);
    assert_eq!(refusal(&effects).unwrap().0, Reason::VersionGone);
}

/// Guards against a stream that is taken for one from before the second version long after it came.
#[test]
fn a_mixture_that_is_older_than_the_horizon_leaves_no_guess() {
    let mut bench = Bench::new((1..=3).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"]]);
    bench.update_row(2, "i4", Some(versioned(4, "v2", &["m0"])));
    bench.now += HORIZON_MS;
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"], &["m0"]]);
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let effects = reply_all(&mut bench, &asked, None, u64::MAX);
    assert_eq!(refusal(&effects).unwrap().0, Reason::VersionUnknown);
}

/// Guards against requests that wait behind a stream which waits for its own version, or for what sides
/// know of it.
#[rstest]
#[case::waits_for_its_version(true)]
#[case::waits_for_the_sides(false)]
fn a_reconnecting_caller_holds_up_no_other_request(#[case] known: bool) {
    let members = vec![versioned(1, "v1", &["m0"]), versioned(2, "v2", &["m0"])];
    let mut bench = Bench::new(members);
    let full = SideState { tracks_streams: true, active: 60, ..state(1, &["m0"]) };
    for index in 1..=2 {
        bench.step(EntryEvent::SideReport(address(index), full.clone()));
    }
    let (_, asked) = reconnect(&mut bench, Some("first"));
    if known {
        let (side, query) = queries(&asked)[0];
        bench.step(EntryEvent::Streams(side, reply(query, Some("v1"), 0)));
    }
    let (id, effects) = bench.request("/chat/x", "m0");
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none(), "{effects:?}");
    let free = SideState { active: 0, sequence: 2, ..full };
    let effects = bench.step(EntryEvent::SideReport(address(2), free));
    let sent = effects.iter().find_map(|effect| match effect {
        EntryEffect::Dispatch(sent, dispatch) if *sent == id => Some(dispatch.address),
        _ => None,
    });
    assert_eq!(sent, Some(address(2)), "{effects:?}");
}

/// Guards against a stream that leaves a stalled instance although no other has its version.
#[test]
fn a_stream_stays_at_a_stalled_instance_that_alone_has_its_version() {
    let members =
        vec![versioned(1, "v1", &["m0"]), versioned(2, "v2", &["m0"]), versioned(3, "v3", &["m0"])];
    let mut bench = Bench::new(members);
    report_sides(&mut bench, &[&["m0"], &["m0"], &["m0"]]);
    let (id, sent) = bench.start_stream("/chat/x");
    let mut effects = Vec::new();
    for _ in 0..100 {
        for index in (1..=3).filter(|index| address(*index) != sent.address) {
            effects.extend(bench.step(EntryEvent::ProbeReply(address(index))));
        }
        effects.extend(bench.advance(20));
    }
    assert!(!effects.contains(&EntryEffect::Disconnect(id)), "{effects:?}");
}

/// Guards against streams that nobody knows because the sides that were told of them are lost.
#[test]
fn other_sides_are_told_when_one_is_lost() {
    let mut bench = mixed();
    let (id, _) = bench.request("/chat/x", "m0");
    let told = messages(&bench.respond(id, ok()));
    let effects = bench.step(EntryEvent::SideLost(told[0].0, SideLoss::Closed));
    let sides = messages(&effects).into_iter().map(|(side, _)| side).collect::<Vec<_>>();
    assert_eq!(sides.len(), 2);
    assert!(!sides.contains(&told[0].0), "told the lost one");
}

/// Guards against a stream that its entry takes on at another version: its own has no endpoint left, and
/// it is cut.
#[test]
fn a_broken_stream_is_cut_rather_than_continued_at_another_version() {
    let members = vec![versioned(1, "v1", &["m0"]), versioned(2, "v2", &["m0"])];
    let mut bench = Bench::new(members);
    report_sides(&mut bench, &[&["m0"], &["m0"]]);
    let (id, effects) = bench.request("/chat/x", "m0");
    let first = dispatch(&effects).unwrap().address;
    bench.respond(id, ok());
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(2)));
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    let gone = if first == address(1) { "i1" } else { "i2" };
    let mut effects = [effects, bench.update_row(2, gone, None)].concat();
    effects.extend(bench.advance(100));
    assert!(effects.contains(&EntryEffect::Abort(id)), "{effects:?}");
}

/// A stream without an event is free: it begins again at any version.
#[test]
fn a_stream_without_an_event_begins_at_any_version() {
    let members = vec![versioned(1, "v1", &["m0"]), versioned(2, "v2", &["m0"])];
    let mut bench = Bench::new(members);
    report_sides(&mut bench, &[&["m0"], &["m0"]]);
    let (id, effects) = bench.request("/chat/x", "m0");
    let first = dispatch(&effects).unwrap().address;
    bench.respond(id, ok());
    let effects = bench.step(EntryEvent::StreamBroken(id, None));
    assert_ne!(dispatch(&effects).unwrap().address, first);
}

/// Guards against a copy of a run that no endpoint can continue, as it is at another version.
#[test]
fn a_run_is_copied_within_its_version() {
    for _ in 0..4 {
        let mut bench = mixed();
        let (lost, _) = bench.request("/draft/x", "m0");
        bench.respond(lost, ok());
        bench.step(EntryEvent::StreamBroken(lost, Some(0)));
        let (_, effects) = bench.request("/draft/x", "m0");
        let sent = dispatch(&effects).unwrap();
        let place = |address| (1..=4).position(|index| address == self::address(index)).unwrap();
        assert_eq!(place(sent.address) % 2, place(sent.backup.unwrap()) % 2);
    }
}

/// Guards against an incarnation whose version is not listed yet, taken for one of the version that was at
/// its address before.
#[test]
fn an_incarnation_that_only_its_side_reports_has_no_known_version() {
    let mut bench = Bench::new((1..=2).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut bench, &[&["m0"], &["m0"]]);
    bench.step(EntryEvent::SideReport(address(1), renamed()));
    let (_, asked) = reconnect(&mut bench, Some("first"));
    let (side, query) = queries(&asked)[0];
    let effects = bench.step(EntryEvent::Streams(side, reply(query, Some("v1"), 0)));
    assert_eq!(dispatch(&effects).unwrap().address, address(2));
}

/// A side tells what it was told, forgets it after the horizon, and says how far its memory goes back.
#[test]
fn a_side_remembers_streams_for_the_horizon() {
    let mut side = PoolSide::new(ENGINE).with_first_start(true);
    let link = EntryLink(1);
    let begin = |side: &mut PoolSide, now: u64, stream: u64| {
        let streams = vec![StreamOrigin { stream, software: 7 }];
        let message = StreamKind::Begun(StreamsBegun { streams }).into();
        side.step(Millis(now), SideEvent::Streams(link, message));
    };
    let ask = |side: &mut PoolSide, now: u64, stream: u64| {
        let message =
            StreamKind::Query(StreamQuery { stream, unnamed: stream == 0, service: 0 }).into();
        let effects = side.step(Millis(now), SideEvent::Streams(link, message));
        let mut replies = effects.into_iter().filter_map(|effect| match effect {
            SideEffect::Streams(_, StreamMessage { kind: Some(StreamKind::Reply(reply)) }) => {
                Some(reply)
            }
            _ => None,
        });
        replies.next_back().unwrap()
    };
    begin(&mut side, 1_000, 1);
    let known = ask(&mut side, 2_000, 1);
    assert_eq!((known.software, known.memory_ms), (Some(7), u64::MAX));
    assert_eq!(ask(&mut side, 2_000, 2).software, None);
    for second in 0..100 {
        begin(&mut side, 2_000 + second * 1_000, 100 + second);
    }
    let forgotten = ask(&mut side, 102_000, 1);
    assert_eq!(forgotten.software, None);
    assert!((30_000..=60_000).contains(&forgotten.memory_ms), "{forgotten:?}");
    assert_eq!(ask(&mut side, 102_000, 180).software, Some(7));
    // It was told of a stream one second ago.
    assert_eq!(ask(&mut side, 102_000, 0).memory_ms, 1_000);
}

/// Guards against streams that are refused after a mere restart: an incarnation that is not listed yet is no second
/// version, of which the sides would be told.
#[test]
fn a_restart_is_no_second_version_to_the_sides() {
    let mut bench = Bench::new((1..=2).map(|index| versioned(index, "v1", &["m0"])).collect());
    report_sides(&mut bench, &[&["m0"], &["m0"]]);
    let mut effects = bench.step(EntryEvent::SideReport(address(1), renamed()));
    effects.extend(bench.advance(100));
    let mixed = |effect: &EntryEffect| match effect {
        EntryEffect::Streams(_, message) => matches!(message.kind, Some(StreamKind::Mixed(_))),
        _ => false,
    };
    assert!(!effects.iter().any(mixed), "{effects:?}");
}
