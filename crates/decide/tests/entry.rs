//! Guards of the entry's reducer, each with the failure it meets.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use citronrill_base::{Millis, Row};
use citronrill_config::{digest, hash_api_key};
use citronrill_decide::{
    Arrival, Decline, Effect, Entry, EntryProfile, Event, Policies, Ran, RefusalKind, RequestId,
    Wish,
    rows::{EndpointRow, HEAD, HeadRow, Phase, Replica, endpoint_key},
};
use prost::Message;

const ID: RequestId = RequestId(1);

fn text(model: &str) -> String {
    format!(
        "[pool]\nloads_second = 7\nloads_once = 4\n[organisation o]\nshare_mb = 900\n\
         key.1 = sha256:{}\n[service s]\norganisation = o\ndeadline_ms = 5000\n\
         [model {model}]\nservice = s\nmemory_mb = 10\nload_ms = 100\n",
        hash_api_key("k").to_hex()
    )
}

fn head(version: u64, text: &str, at: u64) -> Row {
    let head = HeadRow { version, digest: digest(text), object: String::new() };
    Row { key: HEAD.to_owned(), version: at, body: Some(head.encode_to_vec()) }
}

/// An endpoint that serves model `m`.
fn serving(name: &str, at: u64) -> Row {
    let replica = Replica {
        model: "m".to_owned(),
        org: "o".to_owned(),
        memory_mb: 10,
        phase: Phase::Ready.into(),
        ..Replica::default()
    };
    let row = EndpointRow {
        epoch: 1,
        address: name.to_owned(),
        zone: "z".to_owned(),
        memory_mb: 100,
        slots: 4,
        instance: name.to_owned(),
        replicas: vec![replica],
        ..EndpointRow::default()
    };
    Row { key: endpoint_key(name), version: at, body: Some(row.encode_to_vec()) }
}

struct Bench {
    entry: Entry,
    now: u64,
}

impl Bench {
    /// An entry that knows the text and two endpoints that serve its model.
    fn new() -> Bench {
        let profile = EntryProfile {
            instance: "e".to_owned(),
            address: "e".to_owned(),
            zone: "z".to_owned(),
            session: 5,
            request_limit: 100,
            share_parts: 4,
            seed: 1,
        };
        let entry = Entry::new(profile, Policies::default(), Millis(1_000));
        let mut bench = Bench { entry, now: 1_000 };
        let text = text("m");
        let rows = vec![head(1, &text, 3), serving("a", 4), serving("b", 5)];
        bench.step(Event::Rows(rows));
        bench.step(Event::Text { version: 1, text });
        assert_eq!(bench.entry.version(), 1);
        bench
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.now += 1;
        self.entry.step(Millis(self.now), event, &mut out);
        out
    }

    fn ask(&mut self) -> Vec<Effect> {
        self.step(arrival(ID))
    }
}

fn sent(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { call, .. } => Some(*call),
        _ => None,
    })
}

/// A request for model `m` by this name.
fn arrival(id: RequestId) -> Event {
    Event::Arrive(Arrival {
        id,
        key: hash_api_key("k"),
        wish: Wish::Model("m".to_owned()),
        deadline_ms: None,
        once: None,
        content: 0,
        prefix: 0,
    })
}

fn declined(call: u64) -> Event {
    Event::Declined { id: ID, call, why: Decline::Leaving, load: 0 }
}

/// A call that may run once runs twice.
///
/// A side declines a sending, and the entry sends the call elsewhere, where it runs. A copy of the
/// first decline comes late; taken for an answer to the second sending, it would cause a third.
#[test]
fn a_late_decline_of_an_earlier_sending_changes_nothing() {
    let mut bench = Bench::new();
    let first = sent(&bench.ask()).unwrap();
    let second = sent(&bench.step(declined(first))).unwrap();
    assert_ne!(first, second);
    assert_eq!(sent(&bench.step(declined(first))), None);
    assert_eq!(bench.entry.current_call(ID), Some(second));
}

/// A caller is told "not run" of a call that has run.
///
/// The first sending is lost after it may have run, the call may be repeated and is sent again, and
/// the second side declines. What the second one promises says nothing of the first.
#[test]
fn after_a_lost_sending_no_refusal_says_not_run() {
    let mut bench = Bench::new();
    let first = sent(&bench.ask()).unwrap();
    let second = sent(&bench.step(Event::Lost(ID, first))).unwrap();
    bench.step(declined(second));
    bench.now += 6_000;
    let effects = bench.step(Event::Tick { minute: 0 });
    let refusal = effects.iter().find_map(|effect| match effect {
        Effect::Refuse(_, refusal) => Some(*refusal),
        _ => None,
    });
    let refusal = refusal.unwrap();
    assert_eq!((refusal.kind, refusal.ran), (RefusalKind::Expired, Ran::Unknown));
}

/// An operator's change is undone by an answer that was late.
///
/// Version 2 is in force. A read from before it answers now, and a peer that lags sends the text of
/// version 1: neither the head nor the text goes back.
#[test]
fn a_late_answer_does_not_bring_an_older_text_back() {
    let mut bench = Bench::new();
    let (old, new) = (text("m"), text("n"));
    bench.step(Event::Rows(vec![head(2, &new, 9)]));
    bench.step(Event::Text { version: 2, text: new });
    assert_eq!(bench.entry.version(), 2);
    bench.step(Event::Rows(vec![head(1, &old, 3)]));
    bench.step(Event::Text { version: 1, text: old });
    assert_eq!(bench.entry.version(), 2);
    assert_eq!(bench.entry.view().head.row.as_ref().unwrap().version, 2);
}

/// A text that does not fit the head's digest was not the one accepted, whoever sends it.
#[test]
fn a_text_that_nobody_accepted_is_not_taken() {
    let mut bench = Bench::new();
    bench.step(Event::Rows(vec![head(2, &text("n"), 9)]));
    bench.step(Event::Text { version: 2, text: text("forged") });
    assert_eq!(bench.entry.version(), 1);
}

/// Callers wait for 13 s though the model is there.
///
/// The side beside the only endpoint with the model ends while six calls are on their way to it, and
/// another process takes the endpoint over at once. All six are lost at the same moment. They count
/// as one silence of the old process, and the requests go to the new one.
#[test]
fn lost_calls_of_an_ended_side_do_not_bar_its_successor() {
    let mut bench = Bench::new();
    bench.step(Event::Rows(vec![Row { key: endpoint_key("b"), version: 6, body: None }]));
    let calls = (1..=4).map(|id| (RequestId(id), sent(&bench.step(arrival(RequestId(id))))));
    let calls = calls.collect::<Vec<_>>();
    let mut row = EndpointRow::decode(&*serving("a", 7).body.unwrap()).unwrap();
    (row.epoch, row.address) = (2, "a2".to_owned());
    let body = Some(row.encode_to_vec());
    bench.step(Event::Rows(vec![Row { key: endpoint_key("a"), version: 7, body }]));
    let again = calls.into_iter().map(|(id, call)| bench.step(Event::Lost(id, call.unwrap())));
    let again = again.filter(|effects| sent(effects).is_some()).count();
    assert_eq!(again, 4, "each goes to the new process at once");
}
