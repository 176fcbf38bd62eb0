//! Responses that end with their connection.

use citronrill_pool::{EndedBody, EndpointCheck, EntryEffect, EntryEvent, RequestId};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{Bench, ENGINE, PLAIN, address, dispatch, member, ok, state};

/// An entry with two engines that have `m0` loaded.
fn bench() -> Bench {
    let members = (1..=2).map(|index| member(index, ENGINE, &["m0"])).collect();
    let mut bench = Bench::new(members);
    for index in 1..=2 {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
    bench
}

/// Starts a stream that ends with its connection; returns it with its engine's number.
fn ended_stream(bench: &mut Bench, path: &str) -> (RequestId, u8) {
    let (id, effects) = bench.request(path, "m0");
    let engine = if dispatch(&effects).unwrap().address == address(1) { 1 } else { 2 };
    bench.respond(id, ok());
    let effects = bench.step(EntryEvent::EndUnproven(id, EndedBody::Events(Some(3))));
    assert!(effects.contains(&EntryEffect::CheckEndpoint(address(engine))), "{effects:?}");
    assert!(!effects.contains(&EntryEffect::Finish(id)));
    (id, engine)
}

/// The engine still runs, so the stream is whole.
#[test]
fn a_stream_of_a_running_engine_is_complete() {
    let mut bench = bench();
    let (id, engine) = ended_stream(&mut bench, "/chat/x");
    let effects = bench.step(EntryEvent::EndpointChecked(address(engine), EndpointCheck::Accepted));
    assert!(effects.contains(&EntryEffect::Finish(id)), "{effects:?}");
    assert_eq!(bench.entry.in_flight(), 0);
}

/// Guards against a stream that looks complete although its engine crashed between two events: a resumable
/// one goes on elsewhere, any other is cut.
#[rstest]
#[case("/chat/x", true)]
#[case("/draft/x", false)]
fn a_stream_of_a_crashed_engine_is_not_complete(#[case] path: &str, #[case] resumed: bool) {
    let mut bench = bench();
    let (id, engine) = ended_stream(&mut bench, path);
    let effects = bench.step(EntryEvent::EndpointChecked(address(engine), EndpointCheck::Refused));
    assert!(!effects.contains(&EntryEffect::Finish(id)), "{effects:?}");
    assert_eq!(effects.contains(&EntryEffect::Abort(id)), !resumed);
    let next = dispatch(&effects).and_then(|dispatch| dispatch.resume);
    assert_eq!(next.and_then(|resume| resume.last_event), resumed.then_some(3));
}

/// Guards against a stream that looks complete although its engine's instance is gone, so that nothing replies to
/// the check: a resumable one goes on elsewhere, any other is cut; and against one that waits for good.
#[rstest]
#[case("/chat/x", true)]
#[case("/draft/x", false)]
fn a_stream_whose_engine_cannot_be_checked_is_not_complete(
    #[case] path: &str,
    #[case] resumed: bool,
) {
    let mut bench = bench();
    let (id, engine) = ended_stream(&mut bench, path);
    bench.step(EntryEvent::EndpointChecked(address(engine), EndpointCheck::Unknown));
    bench.now += 20;
    assert!(bench.step(EntryEvent::UrgentTick).is_empty(), "checked again at once");
    bench.now += 80;
    let effects = bench.step(EntryEvent::UrgentTick);
    assert!(effects.contains(&EntryEffect::CheckEndpoint(address(engine))), "not checked again");
    bench.now += 900;
    for index in 1..=2 {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
    let effects = bench.step(EntryEvent::UrgentTick);
    assert!(!effects.contains(&EntryEffect::Finish(id)), "{effects:?}");
    assert_eq!(effects.contains(&EntryEffect::Abort(id)), !resumed);
    let next = dispatch(&effects).and_then(|dispatch| dispatch.resume);
    assert_eq!(next.and_then(|resume| resume.last_event), resumed.then_some(3));
}

/// Guards against a plain response without length that was cut by a crash of its endpoint, or may have been, and looks
/// complete; and against one of a running endpoint that does not.
#[rstest]
#[case(Some(EndpointCheck::Accepted), true)]
#[case(Some(EndpointCheck::Refused), false)]
#[case(None, false)]
fn a_plain_response_is_complete_if_its_endpoint_runs(
    #[case] check: Option<EndpointCheck>,
    #[case] complete: bool,
    #[values(("/book/x", ""), ("/status/x", ""), ("/chat/x", "m0"))] request: (&str, &str),
) {
    let mut bench = bench();
    let members = [member(1, ENGINE, &["m0"]), member(3, PLAIN, &[]), member(4, PLAIN, &[])];
    bench.set_members(2, members.to_vec());
    let (id, effects) = bench.request(request.0, request.1);
    let endpoint = dispatch(&effects).unwrap().address;
    bench.respond(id, ok());
    let mut effects = bench.step(EntryEvent::EndUnproven(id, EndedBody::Plain));
    assert!(effects.contains(&EntryEffect::CheckEndpoint(endpoint)), "{effects:?}");
    effects.extend(match check {
        Some(check) => bench.step(EntryEvent::EndpointChecked(endpoint, check)),
        None => bench.advance(1_000),
    });
    assert_eq!(effects.contains(&EntryEffect::Finish(id)), complete, "{effects:?}");
    assert_eq!(effects.contains(&EntryEffect::Abort(id)), !complete);
    assert!(dispatch(&effects).is_none(), "a second body would follow");
    assert_eq!(bench.entry.in_flight(), 0);
}

/// Guards against a stream that is held until its engine was checked, although the engine is known to have
/// restarted.
#[test]
fn a_restart_shows_that_a_stream_was_cut() {
    let mut bench = bench();
    let (id, engine) = ended_stream(&mut bench, "/draft/x");
    let restarted = SideState {
        instance: "other".to_owned(),
        service: ENGINE.to_owned(),
        healthy: true,
        ..state(1, &["m0"])
    };
    let effects = bench.step(EntryEvent::SideReport(address(engine), restarted));
    assert!(effects.contains(&EntryEffect::Abort(id)), "{effects:?}");
}

/// Guards against a stream that looks complete, or waits on, as its deadline passes while its engine is checked.
#[test]
fn a_stream_that_could_not_be_checked_by_its_deadline_is_cut() {
    let mut bench = bench();
    let (id, effects) = bench.request_with_deadline("/chat/x", "m0", 100);
    assert!(dispatch(&effects).is_some());
    bench.respond(id, ok());
    bench.now += 60;
    bench.step(EntryEvent::EndUnproven(id, EndedBody::Events(Some(3))));
    bench.now += 40;
    let effects = bench.step(EntryEvent::UrgentTick);
    assert!(effects.contains(&EntryEffect::Abort(id)), "{effects:?}");
    assert!(!effects.contains(&EntryEffect::Finish(id)));
    assert_eq!(bench.entry.in_flight(), 0);
}

/// Guards against one connection for each stream that ends at the same time.
#[test]
fn an_engine_is_checked_once_for_all_its_streams() {
    let mut bench = bench();
    let mut ends = Vec::new();
    for _ in 0..6 {
        let (id, effects) = bench.request("/chat/x", "m0");
        ends.push((id, dispatch(&effects).unwrap().address));
        bench.respond(id, ok());
    }
    let mut checks = Vec::new();
    for (id, _) in &ends {
        let effects = bench.step(EntryEvent::EndUnproven(*id, EndedBody::Events(Some(3))));
        checks.extend(effects.into_iter().filter_map(|effect| match effect {
            EntryEffect::CheckEndpoint(address) => Some(address),
            _ => None,
        }));
    }
    let mut engines = ends.iter().map(|(_, address)| *address).collect::<Vec<_>>();
    engines.sort_unstable();
    engines.dedup();
    checks.sort_unstable();
    assert_eq!(checks, engines);
}
