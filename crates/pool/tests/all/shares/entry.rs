//! Shares at an entry: what is sent, and which requests get room.

use std::sync::Arc;

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, EntryEffect, EntryEvent, EntryProfile, KeyDigest, MemberChange, PoolEntry, Reason,
    RequestId, ResponseEnd, ResponseHead, ServerLoad, ServingConfig,
};
use citronrill_wire::{OverShare, ServiceShares, ShareKind, ShareMessage, ShareReply, SideState};

use super::organisations;
use crate::support::{
    ENGINE, PLAIN, address, arrival, config, dispatch, first_era, member, ok, profile, refusal,
    state, with_organisations,
};

struct Bench {
    entry: PoolEntry,
    now: u64,
    next: u64,
    reports: Vec<u64>,
}

impl Bench {
    fn new(config: Arc<ServingConfig>, contended: bool) -> Bench {
        let entry = PoolEntry::new(EntryProfile { contended, ..profile() });
        let mut bench = Bench { entry, now: 1_000, next: 0, reports: Vec::new() };
        bench.step(EntryEvent::Config(config));
        bench.step(EntryEvent::ConfigCurrent(true));
        let members = [member(0, ENGINE, &["m0"]), member(1, PLAIN, &[])];
        let rows =
            members.into_iter().map(|member| (member.instance.clone(), Some(member))).collect();
        let change = MemberChange { complete: true, version: first_era(1), rows };
        bench.step(EntryEvent::Members(change));
        bench
    }

    fn competing() -> Bench {
        let mut bench = Bench::new(with_organisations(1, organisations(4)), true);
        bench.connect(true, 300);
        bench
    }

    /// Lets time pass, while the side reports.
    fn connect(&mut self, divides_shares: bool, ms: u64) {
        for _ in 0..ms / 100 {
            let side = SideState { divides_shares, tracks_suspects: true, ..state(1, &["m0"]) };
            self.step(EntryEvent::SideReport(address(0), side));
            self.advance(100);
        }
    }

    fn step(&mut self, event: EntryEvent) -> Vec<EntryEffect> {
        let effects = self.entry.step(Millis(self.now), event);
        for effect in &effects {
            if let EntryEffect::Shares(to, message) = effect {
                assert_eq!(*to, address(0));
                let Some(ShareKind::Report(report)) = &message.kind else { panic!() };
                self.reports.push(report.number);
            }
        }
        effects
    }

    fn advance(&mut self, ms: u64) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        for _ in 0..ms / 20 {
            self.now += 20;
            effects.extend(self.step(EntryEvent::Tick));
        }
        effects
    }

    fn request(&mut self, org: u128) -> (RequestId, Vec<EntryEffect>) {
        self.next += 1;
        let arrival = Arrival { key: Some(KeyDigest(org)), ..arrival(self.next, "/status/x", "") };
        (RequestId(self.next), self.step(EntryEvent::RequestArrived(arrival)))
    }

    /// Replies that all requests of the first organisation are over its share.
    fn tell(&mut self) {
        let over = vec![OverShare { name: "org-0".to_owned(), within_milli: 0 }];
        let services = vec![ServiceShares { service: PLAIN.to_owned(), over }];
        let number = *self.reports.last().unwrap();
        let reply = ShareKind::Reply(ShareReply { number, services });
        self.step(EntryEvent::Shares(address(0), reply.into()));
    }

    /// Ends a request, whose endpoint states this load.
    fn end(&mut self, id: RequestId, running: u32, waiting: u32) -> Vec<EntryEffect> {
        let load = ServerLoad { running, waiting, slots: Some(6), pace: None };
        let head = ResponseHead { load: Some(load), ..ok() };
        let mut effects = self.step(EntryEvent::ResponseHead(id, 1, head));
        effects.extend(self.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete)));
        effects
    }

    /// Serves a request of another organisation, whose endpoint states this load.
    fn observe(&mut self, running: u32, waiting: u32) {
        let (id, _) = self.request(1);
        self.now += 30;
        self.end(id, running, waiting);
    }
}

/// Guards against messages and decisions where the settings do not call for them.
#[test]
fn nothing_is_sent_where_none_compete() {
    let calm = Bench::new(with_organisations(1, organisations(4)), false);
    let alone = Bench::new(config(1), true);
    let empty = Bench::new(with_organisations(1, Vec::new()), true);
    for mut bench in [calm, alone, empty] {
        bench.connect(true, 300);
        bench.request(0);
        bench.connect(true, 3_000);
        assert_eq!(bench.reports, Vec::<u64>::new());
        assert_eq!(bench.entry.over_share_requests(), 0);
    }
}

/// Guards against messages to a side that does not understand them.
#[test]
fn an_older_side_gets_no_report() {
    let mut bench = Bench::new(with_organisations(1, organisations(4)), true);
    bench.connect(false, 3_000);
    assert_eq!(bench.reports, Vec::<u64>::new());
    bench.connect(true, 3_000);
    assert!((3..=5).contains(&bench.reports.len()), "{:?}", bench.reports);
}

/// Guards against a request over the share that queues at an endpoint, in place of one within a share.
#[test]
fn room_in_queues_is_for_requests_within_a_share() {
    let mut bench = Bench::competing();
    bench.observe(5, 0);
    bench.tell();
    bench.observe(5, 0);
    assert!(dispatch(&bench.request(0).1).is_some(), "there is a free slot");
    bench.observe(6, 1);
    assert!(dispatch(&bench.request(0).1).is_none());
    assert!(dispatch(&bench.request(1).1).is_some());
}

/// Guards against a request over the share that is sent where a slot was free long ago: at many entries, all
/// of them would fill the endpoint's queue.
#[test]
fn an_old_load_says_nothing_about_free_slots() {
    let mut bench = Bench::competing();
    bench.observe(1, 0);
    bench.tell();
    bench.observe(1, 0);
    bench.now += 40;
    assert!(dispatch(&bench.request(0).1).is_none());
    assert!(dispatch(&bench.request(1).1).is_some());
}

/// Guards against a request over the share that goes before one within a share, and against one that never
/// runs although a slot is free.
#[test]
fn requests_within_a_share_go_first() {
    let mut bench = Bench::competing();
    bench.observe(5, 0);
    bench.tell();
    let (running, _) = bench.request(1);
    bench.observe(6, 13);
    let (over, effects) = bench.request(0);
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none());
    let (within, effects) = bench.request(2);
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none());
    bench.end(running, 6, 0);
    let first = bench.advance(20);
    let sent = first.iter().filter_map(|effect| match effect {
        EntryEffect::Dispatch(id, _) => Some(*id),
        _ => None,
    });
    assert_eq!(sent.collect::<Vec<_>>(), [within]);
    bench.end(within, 1, 0);
    let effects = bench.advance(20);
    assert!(
        effects.iter().any(|effect| matches!(effect, EntryEffect::Dispatch(id, _) if *id == over))
    );
}

/// Guards against a request over the share that takes the slot that has just become free, before one within a
/// share that waits for it.
#[test]
fn a_request_over_the_share_does_not_overtake() {
    let mut bench = Bench::competing();
    bench.observe(5, 0);
    bench.tell();
    let (running, _) = bench.request(1);
    bench.observe(6, 13);
    let (within, effects) = bench.request(2);
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none());
    assert!(dispatch(&bench.end(running, 6, 0)).is_none());
    assert!(dispatch(&bench.request(0).1).is_none());
    let effects = bench.advance(20);
    let first = effects.iter().find_map(|effect| match effect {
        EntryEffect::Dispatch(id, _) => Some(*id),
        _ => None,
    });
    assert_eq!(first, Some(within));
}

/// Guards against a log line that does not say why a request of an organisation over its share was refused.
#[test]
fn the_log_says_that_a_request_is_over_its_share() {
    let mut bench = Bench::competing();
    bench.observe(6, 13);
    bench.tell();
    bench.request(0);
    let effects = bench.advance(3_000);
    assert_eq!(refusal(&effects).map(|(reason, _)| reason), Some(Reason::Full));
    let lines = effects.iter().filter_map(|effect| match effect {
        EntryEffect::Log(event) => Some(event.to_string()),
        _ => None,
    });
    let refused = lines.filter(|line| line.contains("event=refused")).collect::<Vec<_>>();
    assert!(refused.iter().all(|line| line.contains("over_share=true")), "{refused:?}");
}

/// Guards against a message that this process does not expect.
#[test]
fn an_unexpected_message_has_no_effect() {
    let mut bench = Bench::competing();
    for kind in [None, Some(ShareKind::Report(Default::default()))] {
        let message = ShareMessage { kind };
        let effects = bench.step(EntryEvent::Shares(address(0), message));
        assert!(
            matches!(&effects[0], EntryEffect::Log(event) if event.event == "share_unreadable")
        );
    }
}
