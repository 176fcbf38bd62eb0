//! Tests of the side's reducer, each with the failure that it guards against.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use citronrill_base::{Millis, Outcome, Row};
use citronrill_config::Class;
use citronrill_decide::{
    Admission, CallId, Calls, CancelAnswer, Decline, EngineModel, EngineReport, Offer, Side,
    SideEffect, SideEvent, SideProfile, VERIFY_MS,
    rows::{EndpointRow, Phase, Replica, decode, endpoint_key},
};
use prost::Message;

const ADDRESS: &str = "127.0.0.1:1";

fn profile(fencing: bool) -> SideProfile {
    SideProfile {
        endpoint: "e".to_owned(),
        instance: "i".to_owned(),
        address: ADDRESS.to_owned(),
        zone: "z".to_owned(),
        memory_mb: 100,
        slots: 4,
        fencing,
        session: 7,
    }
}

fn loading(model: &str) -> Replica {
    Replica {
        model: model.to_owned(),
        org: "o".to_owned(),
        memory_mb: 40,
        peak_mb: 50,
        order: 9,
        phase: Phase::Loading.into(),
        ..Replica::default()
    }
}

/// A side with a table that stores only the side's row.
struct Harness {
    side: Side,
    row: Row,
    now: u64,
}

impl Harness {
    fn new(fencing: bool, row: Option<EndpointRow>, version: u64) -> Harness {
        let body = row.map(|row| row.encode_to_vec());
        let row = Row { key: endpoint_key("e"), version, body };
        Harness { side: Side::new(profile(fencing), Millis(1_000)), row, now: 1_000 }
    }

    fn step(&mut self, event: SideEvent) -> Vec<SideEffect> {
        let mut out = Vec::new();
        self.side.step(Millis(self.now), event, &mut out);
        out
    }

    /// Executes table and engine effects until none are left, and returns the other effects.
    fn settle(&mut self, engine: &EngineReport) -> Vec<SideEffect> {
        let mut orders = Vec::new();
        let mut effects = self.step(SideEvent::Tick);
        while let Some(effect) = effects.pop() {
            self.now += 1;
            let more = match effect {
                SideEffect::Read(id, keys) => {
                    let row = |key: String| match key == self.row.key {
                        true => self.row.clone(),
                        false => Row { key, version: 0, body: None },
                    };
                    let rows = keys.into_iter().map(row).collect();
                    self.step(SideEvent::Rows(id, rows))
                }
                SideEffect::Commit(id, txn) => {
                    let version = self.row.version + 1;
                    let own = txn.writes.into_iter().find(|write| write.key == self.row.key);
                    if let Some(write) = own {
                        self.row = Row { version, key: write.key, body: write.body };
                    }
                    self.step(SideEvent::TxnFinished(id, Outcome::Committed(version)))
                }
                SideEffect::ListEngine => self.step(SideEvent::EngineListed(Some(engine.clone()))),
                other => {
                    orders.push(other);
                    Vec::new()
                }
            };
            effects.extend(more);
        }
        orders
    }
}

fn loads(effects: &[SideEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, SideEffect::Load { .. })).count()
}

/// Guards against a model that is loaded without a decision and overcommits the accelerator.
///
/// A side is paused before it sends a load order, and a successor takes over the endpoint. When the
/// paused side resumes, it receives the answer to a read from before the pause, which still carries
/// its own epoch. An order based on it would reach an engine that ignores fencing tokens.
#[test]
fn a_paused_side_gives_no_order_on_an_answer_from_before_the_pause() {
    let mut harness = Harness::new(false, None, 0);
    harness.settle(&EngineReport::default());
    assert_eq!(harness.side.epoch(), 1);
    let mut row: EndpointRow = decode(&harness.row.body).unwrap();
    row.replicas.push(loading("m"));
    harness.row = Row { version: 50, body: Some(row.encode_to_vec()), ..harness.row.clone() };
    harness.now += 10_000;
    let effects = harness.step(SideEvent::RowChanged("home".to_owned()));
    let read = effects.iter().find_map(|effect| match effect {
        SideEffect::Read(id, _) => Some(*id),
        _ => None,
    });
    let before_pause = harness.row.clone();
    harness.now += VERIFY_MS + 60_000;
    let after_pause = harness.step(SideEvent::Rows(read.unwrap(), vec![before_pause]));
    let listed = harness.step(SideEvent::EngineListed(Some(EngineReport::default())));
    assert_eq!(loads(&after_pause) + loads(&listed), 0);
    // The next read shows the successor's epoch.
    row.epoch = 2;
    harness.row = Row { version: 51, body: Some(row.encode_to_vec()), ..harness.row.clone() };
    harness.now += 4_000;
    let after = harness.settle(&EngineReport::default());
    assert_eq!(loads(&after), 0);
    assert!(after.contains(&SideEffect::Superseded), "{after:?}");
}

/// Guards against a successor that orders a load while its predecessor's load is still running.
///
/// If the engine does not check fencing tokens, an order of the predecessor may still be in
/// transit. The successor sends no load order until no such order can reach the engine any more.
#[test]
fn a_successor_waits_out_its_predecessors_orders() {
    let mut row = EndpointRow { epoch: 1, memory_mb: 100, ..EndpointRow::default() };
    row.replicas.push(loading("m"));
    for (fencing, expected) in [(true, 1), (false, 0)] {
        let mut harness = Harness::new(fencing, Some(row.clone()), 3);
        assert_eq!(loads(&harness.settle(&EngineReport::default())), expected, "{fencing}");
        harness.now += 4_500;
        let later = harness.settle(&EngineReport::default());
        assert_eq!(loads(&later), 1 - expected, "{fencing}");
    }
}

/// A side that takes over adopts the decided replicas that are loaded and unloads other models.
#[test]
fn a_successor_adopts_what_was_decided_and_unloads_the_rest() {
    let mut row = EndpointRow { epoch: 1, memory_mb: 100, ..EndpointRow::default() };
    row.replicas.push(loading("m"));
    let loaded = |model: &str| EngineModel { model: model.to_owned(), ready: true, memory_mb: 40 };
    let engine = EngineReport { models: vec![loaded("m"), loaded("stray")], cached: Vec::new() };
    let mut harness = Harness::new(true, Some(row), 3);
    let orders = harness.settle(&engine);
    let unloaded = orders.iter().filter_map(|effect| match effect {
        SideEffect::Unload { model, .. } => Some(model.as_str()),
        _ => None,
    });
    assert_eq!(unloaded.collect::<Vec<_>>(), ["stray"]);
    let ledger: EndpointRow = decode(&harness.row.body).unwrap();
    assert_eq!(ledger.replica("m").unwrap().phase(), Phase::Ready);
}

fn offer(number: u64, expires: u64) -> Offer {
    Offer {
        id: CallId { session: 1, number },
        model: "m".to_owned(),
        org: "o".to_owned(),
        class: Class::Normal,
        session: 7,
        expires,
    }
}

/// Guards against a call that runs although its caller was told that it did not.
///
/// The call is delayed in transit, and its entry cancels it. The side has not received the call
/// yet and confirms that it will not run. Then the call arrives.
#[test]
fn a_call_that_comes_after_its_cancellation_does_not_run() {
    let mut calls = Calls::default();
    let late = offer(1, 5_000);
    assert_eq!(calls.cancel(Millis(100), late.id, late.expires), CancelAnswer::NotRun);
    let admission = calls.offer(Millis(200), 4, &late);
    assert_eq!(admission, Admission::Declined(Decline::Cancelled));
    // The call has expired by the time its record is removed.
    calls.expire(Millis(5_001));
    assert_eq!(calls.records(), 0);
    assert_eq!(calls.offer(Millis(5_002), 4, &late), Admission::Declined(Decline::Expired));
}

/// Guards against a confirmed cancellation that the side cannot record because its records are
/// full: the call would run if it arrived later.
#[test]
fn a_full_record_promises_nothing() {
    let mut calls = Calls::with_limit(2);
    for number in 1..=2 {
        let answer = calls.cancel(Millis(1), offer(number, 900).id, 900);
        assert_eq!(answer, CancelAnswer::NotRun);
    }
    assert_eq!(calls.cancel(Millis(1), offer(3, 900).id, 900), CancelAnswer::Unknown);
    assert_eq!(calls.offer(Millis(1), 4, &offer(4, 900)), Admission::Declined(Decline::Busy));
}

/// A duplicate offer must not run a call twice, neither during the call nor after its end.
#[test]
fn a_call_offered_twice_runs_once() {
    let mut calls = Calls::default();
    let call = offer(1, 5_000);
    assert_eq!(calls.offer(Millis(1), 4, &call), Admission::Run);
    assert_eq!(calls.offer(Millis(2), 4, &call), Admission::Duplicate);
    calls.ended(Millis(3), call.id);
    assert_eq!(calls.offer(Millis(4), 4, &call), Admission::Duplicate);
    assert_eq!(calls.running(), 0);
}

/// Calls of one organisation must leave slots to the others, and batch calls to urgent ones.
#[test]
fn the_last_slots_go_to_others_and_to_urgent_calls() {
    let mut calls = Calls::default();
    for number in 0..6 {
        assert_eq!(calls.offer(Millis(1), 8, &offer(number, 900)), Admission::Run);
    }
    let batch = Offer { class: Class::Batch, ..offer(10, 900) };
    assert_eq!(calls.offer(Millis(1), 8, &batch), Admission::Declined(Decline::Busy));
    let other = Offer { org: "p".to_owned(), ..offer(11, 900) };
    assert_eq!(calls.offer(Millis(1), 8, &other), Admission::Run);
    let urgent = Offer { class: Class::Urgent, ..offer(12, 900) };
    assert_eq!(calls.offer(Millis(1), 8, &urgent), Admission::Run);
    assert_eq!(calls.offer(Millis(1), 8, &offer(13, 900)), Admission::Declined(Decline::Busy));
}

/// Guards against a ready model that is loaded again because the successor's engine list is stale.
///
/// A successor requests the engine's list before its claim is committed. Meanwhile the
/// predecessor's load ends and the row says ready. According to the old list the model would be
/// missing.
#[test]
fn a_successor_judges_by_a_list_from_after_its_claim() {
    let mut row = EndpointRow { epoch: 1, memory_mb: 100, ..EndpointRow::default() };
    row.replicas.push(Replica { phase: Phase::Ready.into(), ..loading("m") });
    let mut harness = Harness::new(true, Some(row), 3);
    let effects = harness.step(SideEvent::Tick);
    let read = effects.iter().find_map(|effect| match effect {
        SideEffect::Read(id, _) => Some(*id),
        _ => None,
    });
    harness.now += 5;
    harness.step(SideEvent::EngineListed(Some(EngineReport::default())));
    harness.now += 5;
    let claim = harness.step(SideEvent::Rows(read.unwrap(), vec![harness.row.clone()]));
    let (id, txn) = claim
        .iter()
        .find_map(|effect| match effect {
            SideEffect::Commit(id, txn) => Some((*id, txn.clone())),
            _ => None,
        })
        .unwrap();
    harness.row = Row { version: 4, body: txn.writes[0].body.clone(), ..harness.row.clone() };
    harness.now += 5;
    let owned = harness.step(SideEvent::TxnFinished(id, Outcome::Committed(4)));
    // The answer to a list request from before the claim arrives late.
    harness.now += 5;
    let late = harness.step(SideEvent::EngineListed(Some(EngineReport::default())));
    let commits = |effects: &[SideEffect]| {
        effects.iter().any(|effect| matches!(effect, SideEffect::Commit(..)))
    };
    assert!(!commits(&owned) && !commits(&late), "{owned:?} {late:?}");
    assert!(late.contains(&SideEffect::ListEngine), "{late:?}");
}

/// Guards against an accelerator that is overcommitted by a model that the ledger does not have.
///
/// A predecessor's order arrived late, and the engine holds a model that was not decided. The
/// ledger has room for another load, but the engine has none until that model is unloaded.
#[test]
fn a_load_waits_for_memory_that_an_undecided_model_takes() {
    let mut row = EndpointRow { epoch: 1, memory_mb: 100, ..EndpointRow::default() };
    row.replicas.push(loading("m"));
    let stray = EngineModel { model: "stray".to_owned(), ready: true, memory_mb: 60 };
    let engine = EngineReport { models: vec![stray], cached: Vec::new() };
    let mut harness = Harness::new(true, Some(row), 3);
    let orders = harness.settle(&engine);
    assert_eq!(loads(&orders), 0, "{orders:?}");
    let unload = orders.iter().find_map(|effect| match effect {
        SideEffect::Unload { order, .. } => Some(*order),
        _ => None,
    });
    harness.now += 5;
    harness.step(SideEvent::OrderDone { order: unload.unwrap(), done: true });
    harness.now += 5_000;
    assert_eq!(loads(&harness.settle(&EngineReport::default())), 1);
}

/// Guards against a cancellation answered as "not run" by a side that cannot know.
///
/// The side to which the call was sent is replaced. That its successor has never received the call
/// does not show whether the predecessor ran it.
#[test]
fn a_successor_knows_nothing_of_its_predecessors_calls() {
    let mut harness = Harness::new(true, None, 0);
    harness.settle(&EngineReport::default());
    let id = CallId { session: 1, number: 1 };
    let expires = harness.now + 1_000;
    for (session, expected) in [(6, CancelAnswer::Unknown), (7, CancelAnswer::NotRun)] {
        let effects = harness.step(SideEvent::Cancel { id, session, expires });
        assert!(effects.contains(&SideEffect::AnswerCancel(id, expected)), "{effects:?}");
    }
}
