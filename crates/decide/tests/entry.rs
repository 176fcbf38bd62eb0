//! Regression tests of the entry's reducer. Each names the failure that it guards against.

#![allow(clippy::unwrap_used, reason = "a test that cannot continue must fail")]

use citronrill_base::{Millis, Row};
use citronrill_config::{digest, hash_api_key};
use citronrill_decide::{
    Decline, Effect, Entry, EntryProfile, Event, IncomingRequest, Policies, Ran, RefusalKind,
    RequestId, RequestTarget,
    rows::{EndpointRow, HEAD, HeadRow, Phase, Replica, endpoint_key},
};
use prost::Message;

const ID: RequestId = RequestId(1);

fn config(model: &str) -> String {
    format!(
        "[pool]\nloads_second = 7\nloads_once = 4\n[organisation o]\nshare_mb = 900\n\
         key.1 = sha256:{}\n[service s]\norganisation = o\ndeadline_ms = 5000\n\
         [model {model}]\nservice = s\nmemory_mb = 10\nload_ms = 100\n",
        hash_api_key("k").to_hex()
    )
}

fn head(version: u64, config: &str, row_version: u64) -> Row {
    let head = HeadRow { version, digest: digest(config), object: String::new() };
    Row { key: HEAD.to_owned(), version: row_version, body: Some(head.encode_to_vec()) }
}

/// An endpoint with a ready replica of model `m`.
fn serving(name: &str, row_version: u64) -> Row {
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
    Row { key: endpoint_key(name), version: row_version, body: Some(row.encode_to_vec()) }
}

struct Harness {
    entry: Entry,
    now: u64,
}

impl Harness {
    /// Creates an entry with an active configuration and two endpoints that serve its model.
    fn new() -> Harness {
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
        let mut harness = Harness { entry, now: 1_000 };
        let config = config("m");
        let rows = vec![head(1, &config, 3), serving("a", 4), serving("b", 5)];
        harness.step(Event::Rows(rows));
        harness.step(Event::Config { version: 1, source: config });
        assert_eq!(harness.entry.config_version(), 1);
        harness
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.now += 1;
        self.entry.step(Millis(self.now), event, &mut out);
        out
    }

    fn send_request(&mut self) -> Vec<Effect> {
        self.step(request(ID))
    }
}

fn sent(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { call, .. } => Some(*call),
        _ => None,
    })
}

/// A request for model `m` with this id.
fn request(id: RequestId) -> Event {
    Event::Request(IncomingRequest {
        id,
        key: hash_api_key("k"),
        target: RequestTarget::Model("m".to_owned()),
        deadline_ms: None,
        idempotency_key: None,
        body_hash: 0,
        prefix_hash: 0,
    })
}

fn declined(call: u64) -> Event {
    Event::Declined { id: ID, call, why: Decline::Leaving, load: 0 }
}

/// Guards against a second run of a call that may run at most once.
///
/// A side declines the first attempt, and the call is sent to another endpoint, where it runs. A
/// duplicate of the decline arrives late; applied to the second attempt, it would cause a third.
#[test]
fn late_decline_of_an_earlier_attempt_is_ignored() {
    let mut harness = Harness::new();
    let first = sent(&harness.send_request()).unwrap();
    let second = sent(&harness.step(declined(first))).unwrap();
    assert_ne!(first, second);
    assert_eq!(sent(&harness.step(declined(first))), None);
    assert_eq!(harness.entry.current_call(ID), Some(second));
}

/// Guards against a refusal as "not run" of a call that may have run.
///
/// The connection of the first attempt is lost after the call may have run. The call is repeatable
/// and is retried, and the second side declines, which does not cover the first attempt.
#[test]
fn refusal_after_a_lost_attempt_does_not_claim_not_run() {
    let mut harness = Harness::new();
    let first = sent(&harness.send_request()).unwrap();
    let second = sent(&harness.step(Event::ConnectionLost(ID, first))).unwrap();
    harness.step(declined(second));
    harness.now += 6_000;
    let effects = harness.step(Event::Tick { minute: 0 });
    let refusal = effects.iter().find_map(|effect| match effect {
        Effect::Refuse(_, refusal) => Some(*refusal),
        _ => None,
    });
    let refusal = refusal.unwrap();
    assert_eq!((refusal.kind, refusal.ran), (RefusalKind::Expired, Ran::Unknown));
}

/// Guards against a late reply that reverts a configuration change.
///
/// Version 2 is active. An older read is answered late, and a lagging peer sends version 1: neither
/// the head nor the configuration reverts.
#[test]
fn late_reply_does_not_revert_the_configuration() {
    let mut harness = Harness::new();
    let (old, new) = (config("m"), config("n"));
    harness.step(Event::Rows(vec![head(2, &new, 9)]));
    harness.step(Event::Config { version: 2, source: new });
    assert_eq!(harness.entry.config_version(), 2);
    harness.step(Event::Rows(vec![head(1, &old, 3)]));
    harness.step(Event::Config { version: 1, source: old });
    assert_eq!(harness.entry.config_version(), 2);
    assert_eq!(harness.entry.view().head.row.as_ref().unwrap().version, 2);
}

/// Guards against activation of a configuration that does not match the head's digest.
#[test]
fn configuration_with_a_wrong_digest_is_ignored() {
    let mut harness = Harness::new();
    harness.step(Event::Rows(vec![head(2, &config("n"), 9)]));
    harness.step(Event::Config { version: 2, source: config("forged") });
    assert_eq!(harness.entry.config_version(), 1);
}

/// Guards against a backoff of 13 s from an endpoint that is available.
///
/// The side of the only endpoint with the model ends with several calls in flight, and a new side
/// process takes the endpoint over at once. All the calls are lost together. They must not count
/// against the new process, and the requests are retried there at once.
#[test]
fn lost_calls_of_an_ended_side_do_not_suspend_its_successor() {
    let mut harness = Harness::new();
    harness.step(Event::Rows(vec![Row { key: endpoint_key("b"), version: 6, body: None }]));
    let calls = (1..=4).map(|id| (RequestId(id), sent(&harness.step(request(RequestId(id))))));
    let calls = calls.collect::<Vec<_>>();
    let mut row = EndpointRow::decode(&*serving("a", 7).body.unwrap()).unwrap();
    (row.epoch, row.address) = (2, "a2".to_owned());
    let body = Some(row.encode_to_vec());
    harness.step(Event::Rows(vec![Row { key: endpoint_key("a"), version: 7, body }]));
    let retried =
        calls.into_iter().map(|(id, call)| harness.step(Event::ConnectionLost(id, call.unwrap())));
    let retried = retried.filter(|effects| sent(effects).is_some()).count();
    assert_eq!(retried, 4, "every request must be retried at the new side process at once");
}
