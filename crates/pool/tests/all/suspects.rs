//! Requests that were running when endpoints crashed: trials, quarantine, and what clears a request.

mod quarantine;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use citronrill_pool::{
    EndedBody, EndpointCheck, EntryEffect, EntryEvent, Reason, RequestDigest, RequestId,
    ResponseEnd, ResponseHead, SideLoss, TokenCount,
};
use citronrill_wire::{
    CrashRecord, EndpointLimit, SideState, SuspectKind, SuspectMessage, SuspectRecord,
    SuspectUpdate, TrialReply, TrialRequest,
};
use rstest::rstest;

use crate::support::{Bench, ENGINE, PLAIN, address, config, dispatch, member, ok, refusal, state};

const DIGEST: RequestDigest = RequestDigest(0x7000);
const ONE: Option<IpAddr> = Some(IpAddr::V4(Ipv4Addr::new(100, 64, 0, 1)));
const OTHER: Option<IpAddr> = Some(IpAddr::V4(Ipv4Addr::new(100, 64, 0, 2)));
/// Milliseconds until the cause of a crash in a trial is decided.
const DECISION_MS: u64 = 300;
/// Milliseconds of calm before a test, over which the rate of crashes is measured.
const CALM_MS: u64 = 60_000;

fn tracking() -> SideState {
    SideState { tracks_suspects: true, ..state(1, &["m0"]) }
}

/// Has the sides report, as they do all the time.
fn report_sides(bench: &mut Bench, engines: u8) -> Vec<EntryEffect> {
    let mut effects = Vec::new();
    for index in 1..=engines {
        effects.extend(bench.step(EntryEvent::SideReport(address(index), tracking())));
    }
    effects
}

/// An entry with engines that all hold `m0`, and sides that collect suspects.
fn pool(engines: u8) -> Bench {
    let members = (1..=engines).map(|index| member(index, ENGINE, &["m0"])).collect();
    let mut bench = Bench::new(members);
    bench.now += CALM_MS;
    report_sides(&mut bench, engines);
    bench.advance(20);
    report_sides(&mut bench, engines);
    bench
}

/// Returns the messages about suspects among the effects, with the sides that they go to.
fn messages(effects: &[EntryEffect]) -> Vec<(SocketAddr, SuspectKind)> {
    let messages = effects.iter().filter_map(|effect| match effect {
        EntryEffect::Suspects(side, message) => Some((*side, message.kind.clone()?)),
        _ => None,
    });
    messages.collect()
}

/// Returns the first trial request among the effects.
fn trial_request(effects: &[EntryEffect]) -> Option<(SocketAddr, TrialRequest)> {
    messages(effects).into_iter().find_map(|(side, kind)| match kind {
        SuspectKind::TrialRequest(request) => Some((side, request)),
        _ => None,
    })
}

fn grant(bench: &mut Bench, side: SocketAddr, request: &TrialRequest) -> Vec<EntryEffect> {
    let instance = request.instances.first().cloned().unwrap_or_default();
    let reply = TrialReply { digest: request.digest.clone(), instance };
    bench.step(EntryEvent::Suspects(side, SuspectKind::TrialReply(reply).into()))
}

/// Dispatches a request, as a trial if it needs one; returns its ID and its endpoint.
fn run(
    bench: &mut Bench,
    digest: RequestDigest,
    caller: Option<IpAddr>,
) -> (RequestId, SocketAddr) {
    let (id, mut effects) = bench.attempt("/draft/x", digest, caller);
    if let Some((side, request)) = trial_request(&effects) {
        effects = grant(bench, side, &request);
    }
    let sent = dispatch(&effects).unwrap().clone();
    bench.now += 10;
    bench.step(EntryEvent::ResponseHead(id, sent.number, ok()));
    (id, sent.address)
}

/// Crashes the endpoint that runs a request, `after_ms` after the start of its response.
fn crash(
    bench: &mut Bench,
    id: RequestId,
    endpoint: SocketAddr,
    after_ms: u64,
) -> Vec<EntryEffect> {
    bench.now += after_ms;
    let mut effects = bench.step(EntryEvent::StreamBroken(id, None));
    effects.extend(bench.step(EntryEvent::EndpointChecked(endpoint, EndpointCheck::Refused)));
    effects
}

/// Has a request crash the endpoints that run it, as often as given; another incarnation comes up after
/// each crash.
fn crash_endpoints(bench: &mut Bench, engines: u8, caller: Option<IpAddr>, times: u32) {
    for _ in 0..times {
        let (id, endpoint) = run(bench, DIGEST, caller);
        crash(bench, id, endpoint, 60);
        settle(bench, engines, endpoint);
    }
}

/// Lets the cause of a crash be decided, and restarts the endpoint.
fn settle(bench: &mut Bench, engines: u8, endpoint: SocketAddr) {
    bench.advance(DECISION_MS);
    let restarted = SideState { instance: format!("i-{}", bench.now), ..tracking() };
    bench.step(EntryEvent::SideReport(endpoint, restarted));
    for index in (1..=engines).filter(|index| address(*index) != endpoint) {
        bench.step(EntryEvent::SideReport(address(index), tracking()));
    }
    bench.advance(1_100);
    for index in 1..=engines {
        bench.step(EntryEvent::ProbeReply(address(index)));
    }
}

fn is_quarantined(bench: &mut Bench, caller: Option<IpAddr>) -> bool {
    let (id, effects) = bench.attempt("/draft/x", DIGEST, caller);
    bench.step(EntryEvent::CallerLeft(id));
    refusal(&effects).is_some_and(|(reason, _)| reason == Reason::Quarantined)
}

/// Has a side pass on that other requests ran at endpoints that crashed.
fn tell(bench: &mut Bench, digest: u128, incarnations: &[u64]) {
    tell_decided(bench, digest, incarnations, false);
}

fn tell_decided(bench: &mut Bench, digest: u128, incarnations: &[u64], conclusive: bool) {
    let crashes = incarnations.iter().map(|incarnation| CrashRecord {
        incarnation: *incarnation,
        responding_ms: 60,
        conclusive,
        ..CrashRecord::default()
    });
    let digest = digest.to_be_bytes().to_vec();
    let suspects =
        vec![SuspectRecord { digest, crashes: crashes.collect(), ..SuspectRecord::default() }];
    let update = SuspectKind::Update(SuspectUpdate { suspects });
    bench.step(EntryEvent::Suspects(address(1), update.into()));
}

/// Returns the incarnations of the crashes that the effects report.
fn reported(effects: &[EntryEffect]) -> Vec<u64> {
    let updates = messages(effects).into_iter().filter_map(|(_, kind)| match kind {
        SuspectKind::Update(update) => Some(update),
        _ => None,
    });
    let crashes = updates.flat_map(|update| update.suspects).flat_map(|record| record.crashes);
    let mut incarnations = crashes.map(|crash| crash.incarnation).collect::<Vec<_>>();
    incarnations.sort_unstable();
    incarnations.dedup();
    incarnations
}

/// Guards against a third crash under a request that several entries run at once.
#[test]
fn a_request_runs_as_a_trial_after_two_crashes() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    let (side, request) = trial_request(&effects).unwrap();
    let effects = grant(&mut bench, side, &request);
    let sent = dispatch(&effects).unwrap();
    assert_eq!(sent.instance, request.instances[0]);
    assert_eq!(sent.backup, None, "no copy of a suspect's run is made");
}

/// Guards against a trial that keeps others from its endpoint although it is not sent, as the endpoint has
/// named a limit meanwhile.
#[test]
fn a_trial_that_a_limit_holds_back_is_returned() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    let (side, request) = trial_request(&effects).unwrap();
    let instance = request.instances[0].clone();
    let limit = EndpointLimit { instance, milli: Some(500), age_ms: 0 };
    bench.now += 20;
    let state = SideState { endpoint_limits: vec![limit], ..tracking() };
    bench.step(EntryEvent::SideReport(side, state));
    let effects = grant(&mut bench, side, &request);
    assert!(dispatch(&effects).is_none());
    let ended = messages(&effects);
    assert!(ended.iter().any(|(_, kind)| matches!(kind, SuspectKind::TrialEnded(_))), "{ended:?}");
}

/// Guards against a request that goes on crashing endpoints after the third.
#[test]
fn a_request_is_quarantined_after_a_crash_in_a_trial() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 3);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!(reason, Reason::Quarantined);
    assert!(retry_ms.unwrap() > 3_600_000, "callers learn that it stays quarantined: {retry_ms:?}");
}

/// Guards against refusals that do not say which request or part of prompts is quarantined.
#[test]
fn a_quarantined_request_is_refused_with_its_cause_in_the_log() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 3);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    let refused = effects.iter().find_map(|effect| match effect {
        EntryEffect::Log(event) if event.event == "refused" => Some(event),
        _ => None,
    });
    let digest = refused.unwrap().fields.iter().find(|(name, _)| *name == "digest");
    assert_eq!(digest.unwrap().1, DIGEST.to_string());
}

/// Guards against refusing a caller whose request has the same content as another caller's.
#[test]
fn a_quarantine_is_for_the_caller_until_a_second_one_crashes_an_endpoint() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 3);
    assert!(!is_quarantined(&mut bench, OTHER));
    crash_endpoints(&mut bench, 5, OTHER, 1);
    assert!(is_quarantined(&mut bench, OTHER));
    assert!(is_quarantined(&mut bench, None));
}

/// Guards against taking a connection that was reset for a crash.
#[test]
fn a_broken_connection_is_no_crash() {
    let mut bench = pool(5);
    for _ in 0..3 {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        bench.step(EntryEvent::StreamBroken(id, None));
        bench.step(EntryEvent::EndpointChecked(endpoint, EndpointCheck::Accepted));
        let effects = bench.advance(120);
        let checks =
            effects.iter().filter(|effect| matches!(effect, EntryEffect::CheckEndpoint(_)));
        assert_eq!(checks.count(), 1, "it is checked once more");
        bench.step(EntryEvent::EndpointChecked(endpoint, EndpointCheck::Accepted));
        bench.advance(3_100);
        report_sides(&mut bench, 5);
    }
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}

/// Guards against a crash that is not conclusive, beside one other, because its endpoint has restarted under
/// another name and its service's size is not known any more.
#[test]
fn a_crash_proven_by_a_restart_is_conclusive() {
    let mut bench = pool(9);
    tell(&mut bench, 1, &[100]);
    for _ in 0..3 {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        bench.now += 60;
        bench.step(EntryEvent::StreamBroken(id, None));
        settle(&mut bench, 9, endpoint);
        bench.advance(DECISION_MS);
        report_sides(&mut bench, 9);
    }
    assert!(is_quarantined(&mut bench, ONE));
}

/// Guards against counting a reset connection as a crash because the endpoint crashes a second later, under
/// another request.
#[test]
fn a_crash_after_a_reset_has_another_cause() {
    let mut bench = pool(5);
    let (id, endpoint) = run(&mut bench, DIGEST, ONE);
    bench.step(EntryEvent::StreamBroken(id, None));
    bench.step(EntryEvent::EndpointChecked(endpoint, EndpointCheck::Accepted));
    bench.advance(120);
    bench.step(EntryEvent::EndpointChecked(endpoint, EndpointCheck::Accepted));
    bench.advance(1_000);
    let restarted = SideState { instance: "i-next".to_owned(), ..tracking() };
    let effects = bench.step(EntryEvent::SideReport(endpoint, restarted));
    assert_eq!(reported(&effects), Vec::<u64>::new());
}

/// Guards against taking a stream that is taken away from a stalled instance for one that its endpoint
/// lost.
#[test]
fn a_stream_taken_from_a_stalled_instance_is_no_crash() {
    let mut bench = pool(5);
    let (id, _) = run(&mut bench, DIGEST, ONE);
    bench.advance(600);
    let effects = bench.step(EntryEvent::StreamBroken(id, None));
    let checked = effects.iter().any(|effect| matches!(effect, EntryEffect::CheckEndpoint(_)));
    assert!(!checked, "{effects:?}");
}

/// Guards against a crash that is not noticed because the endpoint restarts before it is checked.
#[test]
fn a_restart_proves_a_crash() {
    let mut bench = pool(5);
    let (id, endpoint) = run(&mut bench, DIGEST, ONE);
    bench.step(EntryEvent::StreamBroken(id, None));
    bench.step(EntryEvent::EndpointChecked(endpoint, EndpointCheck::Accepted));
    let restarted = SideState { instance: "i-next".to_owned(), ..tracking() };
    let effects = bench.step(EntryEvent::SideReport(endpoint, restarted));
    let updates = messages(&effects);
    let updates = updates.iter().filter(|(_, kind)| matches!(kind, SuspectKind::Update(_)));
    assert_eq!(updates.count(), 2, "both collectors are told: {effects:?}");
}

/// Guards against requests that stay suspects although they ran to their end.
#[test]
fn a_request_that_completes_is_cleared() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (id, _) = run(&mut bench, DIGEST, ONE);
    let effects = bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    let cleared = messages(&effects);
    let cleared = cleared.iter().filter(|(_, kind)| matches!(kind, SuspectKind::Cleared(_)));
    assert_eq!(cleared.count(), 2, "both collectors are told: {effects:?}");
    crash_endpoints(&mut bench, 5, ONE, 1);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(dispatch(&effects).is_some(), "one crash since: {effects:?}");
}

/// Guards against refusing all callers of a popular request, which runs at every endpoint that crashes.
#[rstest]
#[case::one_caller(ONE)]
#[case::other_callers(OTHER)]
fn a_request_that_completes_meanwhile_is_no_suspect(#[case] caller: Option<IpAddr>) {
    let mut bench = pool(5);
    for lost_by in [ONE, caller, ONE] {
        let (id, _) = run(&mut bench, DIGEST, caller);
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
        let (id, endpoint) = run(&mut bench, DIGEST, lost_by);
        crash(&mut bench, id, endpoint, 60);
        settle(&mut bench, 5, endpoint);
    }
    let (id, _) = run(&mut bench, DIGEST, caller);
    bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}

/// Guards against crashes of a popular request that are recorded after it has completed.
#[test]
fn a_request_that_has_just_completed_is_no_suspect() {
    let mut bench = pool(5);
    let (id, _) = run(&mut bench, DIGEST, ONE);
    bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}

/// Guards against quarantining a request for a crash that may have another cause: others crash in the
/// same second or often, or another suspect was at the same crashes.
#[rstest]
#[case::common_cause(&[101, 102], true)]
#[case::frequent(&[101, 102, 103, 104, 105, 106, 107, 108], false)]
fn a_crash_with_another_cause_is_not_conclusive(#[case] others: &[u64], #[case] together: bool) {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    if !together {
        tell(&mut bench, 1, others);
        bench.now += 2_000;
        report_sides(&mut bench, 5);
    }
    let (id, endpoint) = run(&mut bench, DIGEST, ONE);
    crash(&mut bench, id, endpoint, 60);
    if together {
        tell(&mut bench, 1, others);
    }
    settle(&mut bench, 5, endpoint);
    assert!(!is_quarantined(&mut bench, ONE));
}

/// Guards against a poison request that is cleared by an error response, for which nothing began to run.
#[test]
fn an_error_response_does_not_clear_a_suspect() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (id, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    let (side, request) = trial_request(&effects).unwrap();
    let effects = grant(&mut bench, side, &request);
    let number = dispatch(&effects).unwrap().number;
    let failed = ResponseHead { status: 500, signed: true, ..ResponseHead::default() };
    let effects = bench.step(EntryEvent::ResponseHead(id, number, failed));
    assert!(effects.contains(&EntryEffect::Forward(id)), "{effects:?}");
    let effects = bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    let cleared = |kind: &SuspectKind| matches!(kind, SuspectKind::Cleared(_));
    assert!(!messages(&effects).iter().any(|(_, kind)| cleared(kind)), "{effects:?}");
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(trial_request(&effects).is_some(), "{effects:?}");
}

/// Guards against a poison request that is cleared by a crash which closes its connection between two
/// events, while its endpoint cannot be checked.
#[test]
fn an_end_that_was_not_checked_does_not_clear_a_suspect() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (id, endpoint) = run(&mut bench, DIGEST, ONE);
    bench.step(EntryEvent::EndUnproven(id, EndedBody::Events(Some(1))));
    bench.step(EntryEvent::EndpointChecked(endpoint, EndpointCheck::Unknown));
    let effects = bench.advance(1_000);
    assert!(effects.contains(&EntryEffect::Abort(id)), "{effects:?}");
    report_sides(&mut bench, 5);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(trial_request(&effects).is_some(), "{effects:?}");
}

/// Guards against counting two crashes as one, of an endpoint that restarts under its name and is listed
/// late.
#[test]
fn a_crash_after_a_restart_that_is_not_listed_counts() {
    let mut bench = pool(1);
    for crashes in 1..=3 {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        let incarnations = reported(&crash(&mut bench, id, endpoint, 60));
        assert_eq!(incarnations.len(), crashes);
        bench.advance(DECISION_MS);
        report_sides(&mut bench, 1);
        bench.advance(1_100);
        bench.step(EntryEvent::ProbeReply(address(1)));
    }
    assert!(is_quarantined(&mut bench, ONE));
}

/// Guards against quarantining a request for the crashes of a poison request that ran at the same
/// endpoints.
#[test]
fn a_suspect_with_a_rival_is_not_quarantined() {
    let mut bench = pool(5);
    let mut rival = Vec::new();
    for _ in 0..3 {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        rival = reported(&crash(&mut bench, id, endpoint, 60));
        tell(&mut bench, 1, &rival);
        settle(&mut bench, 5, endpoint);
    }
    assert!(rival.len() >= 3);
    assert!(!is_quarantined(&mut bench, ONE));
}

/// Guards against a poison request that goes on crashing endpoints because another one always fits as well.
#[test]
fn six_crashes_are_conclusive_whatever_else_fits() {
    let mut bench = pool(5);
    for crashes in 1..=6 {
        assert!(!is_quarantined(&mut bench, ONE), "after {} crashes", crashes - 1);
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        let incarnations = reported(&crash(&mut bench, id, endpoint, 60));
        tell(&mut bench, 1, &incarnations);
        settle(&mut bench, 5, endpoint);
    }
    assert!(is_quarantined(&mut bench, ONE));
}

/// Guards against quarantining a request for one crash of its own, beside those of a poison request that is
/// quarantined.
#[test]
fn crashes_of_a_quarantined_request_do_not_count_for_another() {
    let mut bench = pool(5);
    let mut explained = Vec::new();
    for _ in 0..2 {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        explained = reported(&crash(&mut bench, id, endpoint, 60));
        settle(&mut bench, 5, endpoint);
    }
    explained.push(100);
    tell_decided(&mut bench, 1, &explained, true);
    crash_endpoints(&mut bench, 5, ONE, 1);
    assert!(!is_quarantined(&mut bench, ONE));
}

/// Guards against quarantining a request that was at any point of its response when endpoints crashed.
#[test]
fn crashes_at_different_points_are_not_conclusive() {
    let mut bench = pool(5);
    for after_ms in [5, 900, 400] {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        crash(&mut bench, id, endpoint, after_ms);
        settle(&mut bench, 5, endpoint);
    }
    assert!(!is_quarantined(&mut bench, ONE));
}

/// Guards against a second trial that starts before the crash of the first one is known.
#[test]
fn a_trial_ends_after_its_crash_was_reported() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (id, endpoint) = run(&mut bench, DIGEST, ONE);
    let mut effects = crash(&mut bench, id, endpoint, 60);
    effects.extend(bench.advance(DECISION_MS));
    let kinds = messages(&effects).into_iter().map(|(_, kind)| kind).collect::<Vec<_>>();
    let ended = kinds.iter().position(|kind| matches!(kind, SuspectKind::TrialEnded(_))).unwrap();
    let conclusive = |kind: &SuspectKind| match kind {
        SuspectKind::Update(update) => {
            let mut crashes = update.suspects.iter().flat_map(|record| &record.crashes);
            crashes.any(|crash| crash.conclusive)
        }
        _ => false,
    };
    assert!(kinds[..ended].iter().any(conclusive), "{kinds:?}");
}

/// Guards against suspects that wait for ever because the side that grants trials is silent.
#[test]
fn the_other_collector_is_asked_when_the_first_is_silent() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    let (first, _) = trial_request(&effects).unwrap();
    bench.now += 160;
    let effects = report_sides(&mut bench, 5);
    let (second, _) = trial_request(&effects).unwrap();
    assert_ne!(first, second);
}

/// Guards against two trials of one request at an entry that no side answers.
#[test]
fn an_entry_without_sides_runs_one_trial_at_a_time() {
    let members = (1..=4).map(|index| member(index, ENGINE, &["m0"])).collect();
    let mut bench = Bench::new(members);
    let report = |bench: &mut Bench| {
        for index in 1..=4 {
            bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
        }
    };
    report(&mut bench);
    for _ in 0..2 {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        crash(&mut bench, id, endpoint, 60);
        bench.advance(DECISION_MS);
        report(&mut bench);
    }
    let (_, first) = bench.attempt("/draft/x", DIGEST, ONE);
    let (_, second) = bench.attempt("/draft/x", DIGEST, ONE);
    assert!(dispatch(&first).is_some(), "{first:?}");
    assert!(dispatch(&second).is_none(), "{second:?}");
}

/// Guards against requests that wait behind a suspect which waits for its trial.
#[test]
fn a_waiting_suspect_holds_up_no_other_request() {
    let mut bench = pool(3);
    crash_endpoints(&mut bench, 3, ONE, 2);
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    let (side, request) = trial_request(&effects).unwrap();
    let denied = TrialReply { digest: request.digest, instance: String::new() };
    for index in 1..=3 {
        bench.step(EntryEvent::SideReport(address(index), SideState { active: 60, ..tracking() }));
    }
    let (id, effects) = bench.request("/chat/x", "m0");
    assert!(dispatch(&effects).is_none(), "all engines are full");
    bench.step(EntryEvent::Suspects(side, SuspectKind::TrialReply(denied).into()));
    let mut effects = Vec::new();
    for index in 1..=3 {
        effects.extend(bench.step(EntryEvent::SideReport(address(index), tracking())));
    }
    let sent =
        effects.iter().any(|effect| matches!(effect, EntryEffect::Dispatch(to, _) if *to == id));
    assert!(sent, "{effects:?}");
}

/// Guards against memory that grows with a flood of distinct requests that are lost.
#[test]
fn records_are_bounded() {
    let mut bench = pool(5);
    for digest in 0..6_000 {
        tell(&mut bench, 0x10_0000 + digest, &[digest as u64]);
    }
    bench.step(EntryEvent::SideLost(address(1), SideLoss::Closed));
    bench.step(EntryEvent::SideLost(address(2), SideLoss::Closed));
    let mut effects = bench.advance(20);
    report_sides(&mut bench, 5);
    effects.extend(bench.advance(220));
    for index in 3..=5 {
        effects.extend(bench.step(EntryEvent::SideLost(address(index), SideLoss::Closed)));
    }
    report_sides(&mut bench, 5);
    effects.extend(bench.advance(220));
    let sizes = messages(&effects).into_iter().filter_map(|(_, kind)| match kind {
        SuspectKind::Update(update) => Some(update.suspects.len()),
        _ => None,
    });
    let largest = sizes.max().unwrap();
    assert!((1..=4_096).contains(&largest), "{largest}");
}

/// Guards against copies of the KV cache that carry a suspect to a second endpoint.
#[test]
fn a_suspect_gets_no_backup() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    let tokens = TokenCount { prompt: 100, answer: 100 };
    let (_, effects) = bench.request_with_tokens("/draft/x", "m0", tokens);
    assert!(dispatch(&effects).unwrap().backup.is_some(), "others get one after losses");
    let (_, effects) = bench.attempt("/draft/x", DIGEST, ONE);
    let (side, request) = trial_request(&effects).unwrap();
    let effects = grant(&mut bench, side, &request);
    assert_eq!(dispatch(&effects).unwrap().backup, None);
}

/// Starts a pool whose sides collect suspects, with an entry that waits for what they know.
fn starting(engines: u8) -> Bench {
    let mut bench = Bench::learning(300);
    bench.step(EntryEvent::Config(config(1)));
    bench.step(EntryEvent::ConfigCurrent(true));
    let engines = (1..=engines).map(|index| member(index, ENGINE, &["m0"]));
    bench.set_members(1, engines.chain([member(9, PLAIN, &[])]).collect());
    bench
}

/// Returns the sides that an entry sends its records to, in the order of their rank.
fn collectors(effects: &[EntryEffect]) -> Vec<SocketAddr> {
    let updates = messages(effects).into_iter();
    updates
        .filter(|(_, kind)| matches!(kind, SuspectKind::Update(_)))
        .map(|(side, _)| side)
        .collect()
}

fn nothing_known() -> SuspectMessage {
    SuspectKind::Update(SuspectUpdate::default()).into()
}

/// Guards against an entry that runs a quarantined request before it has learned of it, from the sides and
/// from the platform store.
#[test]
fn requests_wait_at_a_start_for_what_others_know() {
    let mut bench = starting(5);
    let (id, effects) = bench.request("/status/x", "");
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    let mut effects = report_sides(&mut bench, 5);
    effects.extend(bench.advance(20));
    effects.extend(report_sides(&mut bench, 5));
    bench.step(EntryEvent::QuarantineRead(SuspectUpdate::default()));
    let mut sent = Vec::new();
    for side in collectors(&effects) {
        sent.extend(bench.step(EntryEvent::Suspects(side, nothing_known())));
    }
    let sent_to =
        |effect: &EntryEffect| matches!(effect, EntryEffect::Dispatch(to, _) if *to == id);
    assert!(sent.iter().any(sent_to), "{sent:?}");
}

/// Guards against requests that never run because no side replies.
#[test]
fn requests_wait_at_a_start_for_a_limited_time() {
    let mut bench = starting(5);
    let (_, effects) = bench.request("/status/x", "");
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    assert!(dispatch(&bench.advance(320)).is_some());
}

/// Guards against taking the first side that is connected for one that collects the records.
#[test]
fn only_a_collector_tells_what_others_know() {
    let mut bench = starting(5);
    bench.step(EntryEvent::QuarantineRead(SuspectUpdate::default()));
    bench.request("/status/x", "");
    let mut running = pool(5);
    let (id, endpoint) = run(&mut running, DIGEST, ONE);
    let first_two = collectors(&crash(&mut running, id, endpoint, 60));
    let other = (1..=5).map(address).find(|side| !first_two.contains(side)).unwrap();
    bench.step(EntryEvent::SideReport(other, tracking()));
    let effects = bench.step(EntryEvent::Suspects(other, nothing_known()));
    assert!(dispatch(&effects).is_none(), "{effects:?}");
}

/// Guards against a side that was restarted and knows nothing of the suspects.
#[test]
fn a_collector_that_was_lost_is_told_again() {
    let mut bench = pool(3);
    crash_endpoints(&mut bench, 3, ONE, 1);
    let (id, endpoint) = run(&mut bench, RequestDigest(1), ONE);
    let side = collectors(&crash(&mut bench, id, endpoint, 60))[0];
    bench.step(EntryEvent::SideLost(side, SideLoss::Closed));
    bench.advance(220);
    let mut effects = report_sides(&mut bench, 3);
    effects.extend(bench.advance(220));
    let told = messages(&effects).into_iter().any(|(to, kind)| match kind {
        SuspectKind::Update(update) => to == side && update.suspects.len() == 2,
        _ => false,
    });
    assert!(told, "{effects:?}");
}

/// Guards against requests of a crashed endpoint that all go on at the same next one, with the poison
/// request among them.
#[test]
fn lost_runs_are_retried_at_different_endpoints() {
    let mut retried = Vec::new();
    for digest in 0..12 {
        let mut bench = pool(6);
        let (id, effects) = bench.attempt("/chat/x", RequestDigest(digest), ONE);
        let sent = dispatch(&effects).unwrap().clone();
        bench.step(EntryEvent::ResponseHead(id, sent.number, ok()));
        let effects = bench.step(EntryEvent::StreamBroken(id, Some(1)));
        retried.push(dispatch(&effects).unwrap().address);
    }
    retried.sort_unstable();
    retried.dedup();
    assert!(retried.len() >= 4, "{retried:?}");
}

/// Guards against requests that are sent to an endpoint which is known to be gone.
#[test]
fn a_crashed_endpoint_is_avoided() {
    let mut bench = pool(2);
    let (id, endpoint) = run(&mut bench, DIGEST, ONE);
    crash(&mut bench, id, endpoint, 60);
    for _ in 0..4 {
        let (_, effects) = bench.request("/draft/x", "m0");
        assert_ne!(dispatch(&effects).unwrap().address, endpoint);
    }
}

/// Guards against suspects that wait for the whole run of another one.
#[test]
fn a_trial_shares_its_endpoint_after_a_while() {
    let mut bench = pool(5);
    crash_endpoints(&mut bench, 5, ONE, 2);
    run(&mut bench, DIGEST, ONE);
    let effects = bench.advance(300);
    let shared = messages(&effects).into_iter().any(|(_, kind)| match kind {
        SuspectKind::TrialEnded(ended) => ended.running,
        _ => false,
    });
    assert!(shared, "{effects:?}");
}

/// Guards against a suspect that is moved to a second endpoint while the first one may still crash under it.
#[test]
fn a_trial_does_not_fail_over() {
    let mut bench = pool(5);
    for _ in 0..2 {
        let (id, endpoint) = run(&mut bench, DIGEST, ONE);
        crash(&mut bench, id, endpoint, 60);
        settle(&mut bench, 5, endpoint);
    }
    let (_, effects) = bench.attempt("/chat/x", DIGEST, ONE);
    let (side, request) = trial_request(&effects).unwrap();
    let endpoint = dispatch(&grant(&mut bench, side, &request)).unwrap().address;
    let effects = stall(&mut bench, endpoint);
    assert!(dispatch(&effects).is_none());
    assert!(messages(&effects).is_empty(), "its trial goes on: {effects:?}");
    // Another request does fail over.
    let (_, effects) = bench.request("/chat/x", "m0");
    let endpoint = dispatch(&effects).unwrap().address;
    assert!(dispatch(&stall(&mut bench, endpoint)).is_some());
}

/// Lets an endpoint be silent for 1.5 s while the others report.
fn stall(bench: &mut Bench, endpoint: SocketAddr) -> Vec<EntryEffect> {
    let mut effects = Vec::new();
    for _ in 0..75 {
        for other in (1..=5).map(address).filter(|other| *other != endpoint) {
            effects.extend(bench.step(EntryEvent::SideReport(other, tracking())));
        }
        effects.extend(bench.advance(20));
    }
    effects
}
