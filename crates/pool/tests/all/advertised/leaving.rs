//! Endpoints that say that they leave.

use citronrill_pool::{
    EntryEffect, EntryEvent, Member, RequestId, ResponseEnd, ResponseHead, StartTime,
};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, PLAIN, address, dispatch, member, not_run, ok, refusal, state,
};

const ENGINE_PATH: &str = "/draft/x";
const PLAIN_PATH: &str = "/book/x";

/// A response of an endpoint that leaves.
fn leaving(head: ResponseHead) -> ResponseHead {
    ResponseHead { leaving: true, ..head }
}

fn members(service: &str) -> Vec<Member> {
    (1..=2).map(|index| member(index, service, &["m0"])).collect()
}

fn report(bench: &mut Bench, index: u8) -> Vec<EntryEffect> {
    let reported = SideState { instance: format!("i{index}"), ..state(1, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(index), reported))
}

/// An entry with two endpoints of a service that can both run a request.
fn bench(service: &str) -> Bench {
    let mut bench = Bench::new(members(service));
    if service == ENGINE {
        (1..=2).for_each(|index| drop(report(&mut bench, index)));
    }
    bench
}

fn path(service: &str) -> &'static str {
    if service == ENGINE { ENGINE_PATH } else { PLAIN_PATH }
}

/// Sends a request; returns its ID and the instance that it is dispatched to.
fn send(bench: &mut Bench, service: &str) -> (RequestId, Option<String>) {
    let (id, effects) = bench.request(path(service), if service == ENGINE { "m0" } else { "" });
    (id, dispatch(&effects).map(|dispatch| dispatch.instance.clone()))
}

/// Lets an endpoint say that it leaves in a response with this head; returns its index.
fn tell(bench: &mut Bench, service: &str, head: ResponseHead) -> u8 {
    let (id, instance) = send(bench, service);
    bench.respond(id, head);
    bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    bench.now += 20;
    instance.unwrap().trim_start_matches('i').parse().unwrap()
}

/// Returns the instances that eight requests are dispatched to, each of which ends at once.
fn used(bench: &mut Bench, service: &str) -> Vec<String> {
    let sent = (0..8).filter_map(|_| {
        if service == ENGINE {
            (1..=2).for_each(|index| drop(bench.step(EntryEvent::ProbeReply(address(index)))));
        }
        let (id, instance) = send(bench, service);
        bench.respond(id, ok());
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
        bench.now += 20;
        instance
    });
    sent.collect()
}

/// Guards against requests to an endpoint after any kind of its responses has said that it leaves.
#[rstest]
fn an_endpoint_that_leaves_by_its_response_gets_no_requests(
    #[values(ENGINE, PLAIN)] service: &str,
    #[values(ok(), not_run(503), ResponseHead { status: 404, ..ok() },
        ResponseHead { status: 500, ..ok() }, ResponseHead { status: 429, ..not_run(429) })]
    head: ResponseHead,
) {
    let mut bench = bench(service);
    let told = format!("i{}", tell(&mut bench, service, leaving(head)));
    let used = used(&mut bench, service);
    assert_eq!(used.len(), 8);
    assert!(!used.contains(&told), "{used:?}");
}

/// How something that is older than the endpoint's own word reaches the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Older {
    /// A complete list, in which the endpoint is ready.
    List,
    /// A row of the list, in which it is ready.
    Row,
    /// Its row lapses and comes back.
    LapsedRow,
    /// Its service is dropped from the configuration and comes back.
    Service,
    /// Its side reports that it is healthy.
    Report,
    /// Another request's response from before says nothing of it.
    Response,
}

/// Guards against an endpoint that gets requests again because something older says that it is ready.
#[rstest]
fn nothing_older_takes_back_that_an_endpoint_leaves(
    #[values(ENGINE, PLAIN)] service: &str,
    #[values(
        Older::List,
        Older::Row,
        Older::LapsedRow,
        Older::Service,
        Older::Report,
        Older::Response
    )]
    older: Older,
) {
    let mut bench = bench(service);
    let (overtaken, instance) = send(&mut bench, service);
    let index = tell(&mut bench, service, leaving(ok()));
    let name = format!("i{index}");
    let row = member(index, service, &["m0"]);
    match older {
        Older::List => drop(bench.set_members(2, members(service))),
        Older::Row => drop(bench.update_row(2, &name, Some(row))),
        Older::LapsedRow => {
            bench.update_row(2, &name, None);
            bench.now += 2_000;
            bench.update_row(3, &name, Some(row));
        }
        Older::Service => {
            let unserved = Member { service: "other".to_owned(), ..row.clone() };
            bench.update_row(2, &name, Some(unserved));
            bench.update_row(3, &name, Some(row));
        }
        Older::Report if service == ENGINE => drop(report(&mut bench, index)),
        Older::Report => {}
        Older::Response => {
            assert!(instance.is_some());
            bench.respond(overtaken, ok());
        }
    }
    bench.now += 20;
    if service == ENGINE {
        (1..=2).for_each(|index| drop(report(&mut bench, index)));
    }
    let used = used(&mut bench, service);
    assert!(!used.is_empty() && !used.contains(&name), "{used:?}");
}

/// Guards against an endpoint that gets no requests because of what its previous incarnation said, or
/// somebody else.
#[rstest]
#[case::previous(ok(), true)]
#[case::other_incarnation(ResponseHead { other_incarnation: true, ..ok() }, false)]
#[case::other_request(ResponseHead { misdirected: true, ..ok() }, false)]
#[case::somebody_at_its_address(not_run(421), false)]
fn what_somebody_else_says_marks_no_endpoint(#[case] head: ResponseHead, #[case] restarts: bool) {
    let mut bench = bench(PLAIN);
    let index = tell(&mut bench, PLAIN, leaving(head));
    if restarts {
        for started in [1, 2] {
            let row = Member { started: Some(StartTime(started)), ..member(index, PLAIN, &[]) };
            bench.update_row(1 + started, &format!("i{index}"), Some(row));
        }
    }
    let other = format!("i{}", 3 - index);
    bench.update_row(5, &other, None);
    assert!(used(&mut bench, PLAIN).contains(&format!("i{index}")));
}

/// Guards against an endpoint that gets no requests because its previous incarnation said that it leaves in a
/// response that arrives after the list shows the next one.
#[test]
fn a_late_response_of_the_previous_incarnation_marks_no_endpoint() {
    let started = |at| Member { started: Some(StartTime(at)), ..member(1, PLAIN, &[]) };
    let mut bench = Bench::new(vec![started(1)]);
    let (id, _) = send(&mut bench, PLAIN);
    bench.now += 500;
    bench.update_row(2, "i1", Some(started(2)));
    bench.respond(id, leaving(ok()));
    bench.now += 20;
    assert_eq!(used(&mut bench, PLAIN), vec!["i1"; 8]);
}

/// Guards against a request that waits for an endpoint that leaves, and is dispatched there.
#[test]
fn a_request_waits_for_no_endpoint_that_leaves() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let index = tell(&mut bench, PLAIN, leaving(ok()));
    assert_eq!(index, 1);
    let (_, effects) = bench.request(PLAIN_PATH, "");
    assert!(refusal(&effects).is_some_and(|(reason, _)| reason.status() == 503));
}
/// Guards against a side that knows that its endpoint leaves and tells no entry.
#[test]
fn an_entry_learns_from_a_side_that_its_endpoint_leaves() {
    let mut bench = bench(ENGINE);
    let reported = SideState { instance: "i1".to_owned(), leaving: true, ..state(1, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(1), reported));
    bench.now += 20;
    report(&mut bench, 1);
    let used = used(&mut bench, ENGINE);
    assert!(used.iter().all(|instance| instance == "i2"), "{used:?}");
}

/// Guards against an endpoint that gets no requests because of what a side says that does not know its name.
#[test]
fn a_side_that_names_no_endpoint_marks_none() {
    let mut bench = bench(ENGINE);
    let reported = SideState { leaving: true, ..state(1, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(1), reported));
    bench.update_row(2, "i2", None);
    assert_eq!(used(&mut bench, ENGINE), vec!["i1"; 8]);
}
