//! Probes of the sides: which instance counts as stalled, and what follows from it.

use citronrill_pool::{EntryEffect, EntryEvent, Member, RequestId, SideLoss};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, address, bare, dispatch, member, refusal, requested_load, state,
    state_with_rates,
};

/// Milliseconds in which an instance with requests that shows no activity counts as stalled.
const DETECTION_MS: u64 = 400;
/// Milliseconds in which an instance without requests that shows no activity counts as stalled.
const IDLE_DETECTION_MS: u64 = 1_200;

/// An entry with engines that each have one of `models` loaded and whose sides have reported.
fn bench(models: &[&str]) -> Bench {
    let members = (1..).zip(models).map(|(index, model)| member(index, ENGINE, &[model]));
    let mut bench = Bench::new(members.collect());
    for (index, model) in (1..).zip(models) {
        bench.step(EntryEvent::SideReport(address(index), state(1, &[model])));
    }
    bench
}

/// An entry whose only holder of `m0` has the only cached weights of it, and a second engine.
fn sole_copy_bench() -> Bench {
    let mut bench = Bench::new(vec![bare(1, &["m0"]), bare(2, &["m1"])]);
    for (index, model) in [(1, "m0"), (2, "m1")] {
        bench.step(EntryEvent::SideReport(address(index), state_with_rates(&[(model, 0)])));
    }
    bench
}

/// Advances the clock by `ms` while the sides of the endpoints `replying` reply to probes.
fn advance(bench: &mut Bench, replying: &[u8], ms: u64) -> Vec<EntryEffect> {
    let mut effects = Vec::new();
    let end = bench.now + ms;
    while bench.now < end {
        for index in replying {
            effects.extend(bench.step(EntryEvent::ProbeReply(address(*index))));
        }
        effects.extend(bench.advance(20));
    }
    effects
}

fn disconnects(effects: &[EntryEffect], id: RequestId) -> usize {
    effects.iter().filter(|effect| **effect == EntryEffect::Disconnect(id)).count()
}

/// Ticks once, `ms` after the last tick.
fn tick_after(bench: &mut Bench, ms: u64) -> Vec<EntryEffect> {
    bench.now += ms;
    bench.step(EntryEvent::Tick)
}

/// Guards against taking an instance for responsive, or waiting for a probe of it once more, after
/// the connection to its side was given up because nothing came from it.
#[rstest]
#[case::before_it_is_probed(400)]
#[case::while_it_counts_as_stalled(IDLE_DETECTION_MS)]
fn holder_whose_side_was_lost_in_silence_is_replaced_at_once(#[case] quiet_ms: u64) {
    let mut bench = bench(&["m0", "m1"]);
    advance(&mut bench, &[2], quiet_ms);
    bench.step(EntryEvent::SideLost(address(1), SideLoss::Silent));
    let (_, effects) = bench.request("/chat/x", "m0");
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    let (at, load_request) = requested_load(&effects).expect("a replica is requested at once");
    assert_eq!((at, load_request.model.as_str()), (address(2), "m0"));
}

/// Guards against a stream that hangs at an instance that cannot be probed: its side has closed its
/// connection, and a new one is given up after a long silence.
#[test]
fn stream_fails_over_when_a_reconnection_to_the_side_stays_silent() {
    let mut bench = bench(&["m0", "m0", "m0"]);
    let (id, sent) = bench.start_stream("/chat/x");
    bench.step(EntryEvent::SideLost(sent.address, SideLoss::Closed));
    let others = [1, 2, 3].into_iter().filter(|index| address(*index) != sent.address);
    let effects = advance(&mut bench, &others.collect::<Vec<_>>(), DETECTION_MS);
    assert_eq!(disconnects(&effects, id), 0, "{effects:?}");
    bench.step(EntryEvent::SideLost(sent.address, SideLoss::Silent));
    let effects = tick_after(&mut bench, 20);
    assert_eq!(disconnects(&effects, id), 1, "{effects:?}");
}

/// Guards against failing over streams that make progress when only the connection to the side was
/// silent.
#[test]
fn stream_with_progress_stays_when_the_side_is_lost_in_silence() {
    let mut bench = bench(&["m0", "m0", "m0"]);
    let (id, sent) = bench.start_stream("/chat/x");
    bench.advance(60);
    bench.step(EntryEvent::SideLost(sent.address, SideLoss::Silent));
    let effects = tick_after(&mut bench, 20);
    assert_eq!(disconnects(&effects, id), 0, "{effects:?}");
    assert_eq!(bench.entry.in_flight(), 1);
}

/// Guards against failing over streams because this process itself was paused: it has not read the
/// probe replies that arrived meanwhile.
#[test]
fn short_own_pause_does_not_count_as_an_unanswered_probe() {
    let mut bench = bench(&["m0", "m0", "m0"]);
    let (id, _) = bench.start_stream("/chat/x");
    bench.advance(260);
    let effects = tick_after(&mut bench, 61);
    assert_eq!(disconnects(&effects, id), 0, "{effects:?}");
    assert_eq!(bench.entry.in_flight(), 1, "the stream still runs");
}

/// Guards against taking slightly late deadline checks for pauses of this process, so that no stall
/// is ever detected.
#[test]
fn stall_is_detected_although_checks_are_late() {
    let mut bench = bench(&["m0", "m0", "m0"]);
    let (id, _) = bench.start_stream("/chat/x");
    let effects = (0..8).flat_map(|_| tick_after(&mut bench, 60)).collect::<Vec<_>>();
    assert_eq!(disconnects(&effects, id), 1, "{effects:?}");
}

/// Guards against replacing a responsive holder because an entry without requests was paused after
/// it had sent a probe.
#[test]
fn own_pause_of_an_idle_entry_does_not_count_as_an_unanswered_probe() {
    let mut bench = bench(&["m0", "m1"]);
    advance(&mut bench, &[2], 1_000);
    tick_after(&mut bench, 261);
    let (_, mut effects) = bench.request("/chat/x", "m0");
    effects.extend(bench.step(EntryEvent::ProbeReply(address(1))));
    assert!(requested_load(&effects).is_none(), "{effects:?}");
    assert_eq!(dispatch(&effects).map(|dispatch| dispatch.address), Some(address(1)));
}

/// Guards against taking the rare checks of an entry without requests for pauses of its own, so that
/// it detects no stall.
#[test]
fn idle_entry_replaces_a_stalled_sole_holder() {
    let mut bench = bench(&["m0", "m1"]);
    for _ in 0..6 {
        tick_after(&mut bench, 200);
        bench.step(EntryEvent::ProbeReply(address(2)));
    }
    let (_, effects) = bench.request("/chat/x", "m0");
    assert_eq!(requested_load(&effects).map(|(at, _)| at), Some(address(2)), "{effects:?}");
}

/// Guards against failing over the streams of an endpoint that keeps serving, because its side was
/// stopped while a probe of it was unanswered.
#[test]
fn probe_of_a_stopped_side_is_dropped() {
    let mut bench = bench(&["m0", "m0", "m0"]);
    let (id, sent) = bench.start_stream("/chat/x");
    let others = [1, 2, 3].into_iter().filter(|index| address(*index) != sent.address);
    let others = others.collect::<Vec<_>>();
    let effects = advance(&mut bench, &others, 160);
    assert!(effects.contains(&EntryEffect::Probe(sent.address)), "{effects:?}");
    bench.step(EntryEvent::SideLost(sent.address, SideLoss::Closed));
    let effects = advance(&mut bench, &others, DETECTION_MS);
    assert_eq!(disconnects(&effects, id), 0, "{effects:?}");
    assert_eq!(bench.entry.in_flight(), 1);
}

/// Guards against dispatching to an instance that has not replied to a probe for 80 ms while another
/// holder responds, although in another zone.
#[test]
fn responsive_holder_is_preferred_to_one_that_may_be_stalled() {
    let mut bench = Bench::new(vec![
        member(1, ENGINE, &["m0"]),
        Member { zone: "b".to_owned(), ..member(2, ENGINE, &["m0"]) },
    ]);
    for index in [1, 2] {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
    let (_, sent) = bench.start_stream("/chat/x");
    assert_eq!(sent.address, address(1), "the holder in the entry's zone is preferred otherwise");
    advance(&mut bench, &[2], 180);
    let (_, effects) = bench.request("/chat/x", "m0");
    assert_eq!(dispatch(&effects).map(|dispatch| dispatch.address), Some(address(2)));
}

/// Guards against copying the KV cache of a run to an instance that has not replied to a probe for
/// 80 ms.
#[test]
fn kv_cache_is_not_copied_to_an_instance_that_may_be_stalled() {
    let mut bench = bench(&["m0", "m0"]);
    let (id, _) = bench.start_stream("/draft/x");
    bench.step(EntryEvent::StreamBroken(id, Some(0)));
    advance(&mut bench, &[1], 980);
    let (_, sent) = bench.start_stream("/draft/x");
    assert_eq!((sent.address, sent.backup), (address(1), None));
    for index in [1, 2] {
        bench.step(EntryEvent::ProbeReply(address(index)));
    }
    let (_, sent) = bench.start_stream("/draft/x");
    assert!(sent.backup.is_some(), "both respond again");
}

/// Guards against disconnecting a stream from its stalled endpoint again at each check.
#[test]
fn stream_is_disconnected_from_a_stalled_instance_once() {
    let mut bench = bench(&["m0", "m0"]);
    let (id, sent) = bench.start_stream("/chat/x");
    let other = if sent.address == address(1) { 2 } else { 1 };
    let effects = advance(&mut bench, &[other], 2 * DETECTION_MS);
    assert_eq!(disconnects(&effects, id), 1, "{effects:?}");
}

/// Guards against charging the failover of a stream twice, when it is disconnected and when it is
/// dispatched again: the retry budget allows 14 retries here and would not cover nine streams.
#[test]
fn failover_of_a_stream_is_charged_once() {
    let mut bench = bench(&["m0", "m0"]);
    let report =
        |active| EntryEvent::SideReport(address(2), SideState { active, ..state(1, &["m0"]) });
    bench.step(report(24));
    let streams = (0..9).map(|_| bench.start_stream("/chat/x")).collect::<Vec<_>>();
    assert!(streams.iter().all(|(_, sent)| sent.address == address(1)), "{streams:?}");
    bench.step(report(0));
    let effects = advance(&mut bench, &[2], DETECTION_MS);
    assert!(streams.iter().all(|(id, _)| disconnects(&effects, *id) == 1), "{effects:?}");
    for (id, _) in streams {
        let effects = bench.step(EntryEvent::StreamBroken(id, Some(4)));
        assert_eq!(dispatch(&effects).map(|next| next.address), Some(address(2)), "{effects:?}");
    }
}

/// Guards against a load of six seconds from the weight store, and against refusing the request,
/// while the only holder of the model may respond again within a second.
#[rstest]
#[case::time_for_a_load_from_disk(5_000, 600)]
#[case::no_time_for_any_load(600, 100)]
fn paused_sole_holder_is_waited_for(#[case] deadline_ms: u64, #[case] wait_ms: u64) {
    let mut bench = sole_copy_bench();
    bench.start_stream("/chat/x");
    advance(&mut bench, &[2], DETECTION_MS);
    let (_, mut effects) = bench.request_with_deadline("/chat/x", "m0", deadline_ms);
    effects.extend(advance(&mut bench, &[2], wait_ms));
    assert!(requested_load(&effects).is_none(), "{effects:?}");
    assert!(refusal(&effects).is_none() && dispatch(&effects).is_none(), "{effects:?}");
    let effects = bench.step(EntryEvent::SideReport(address(1), state_with_rates(&[("m0", 0)])));
    assert_eq!(dispatch(&effects).map(|dispatch| dispatch.address), Some(address(1)));
}

/// Guards against waiting for a holder that has been silent for longer than a pause lasts.
#[test]
fn sole_holder_that_stays_silent_is_replaced_from_the_weight_store() {
    let mut bench = sole_copy_bench();
    bench.start_stream("/chat/x");
    advance(&mut bench, &[2], DETECTION_MS);
    let (_, mut effects) = bench.request("/chat/x", "m0");
    effects.extend(advance(&mut bench, &[2], 800));
    let (at, load_request) = requested_load(&effects).expect("the model is loaded elsewhere");
    assert_eq!((at, load_request.model.as_str()), (address(2), "m0"));
}

/// Guards against refusing a request because another entry's load of its model ends too late, while
/// the only holder may respond again within a second.
#[test]
fn paused_sole_holder_is_waited_for_during_a_load_for_another_entry() {
    let mut bench = sole_copy_bench();
    bench.start_stream("/chat/x");
    let loading = SideState {
        loading: vec!["m0".to_owned()],
        load_eta_ms: 6_000,
        ..state_with_rates(&[("m1", 0)])
    };
    bench.step(EntryEvent::SideReport(address(2), loading));
    advance(&mut bench, &[2], DETECTION_MS);
    let (_, effects) = bench.request("/chat/x", "m0");
    assert!(refusal(&effects).is_none() && dispatch(&effects).is_none(), "{effects:?}");
    let effects = bench.step(EntryEvent::SideReport(address(1), state_with_rates(&[("m0", 0)])));
    assert_eq!(dispatch(&effects).map(|dispatch| dispatch.address), Some(address(1)));
}

/// Guards against refusing a request because this entry's load of a second replica ends too late,
/// while the only holder may respond again within a second.
#[test]
fn paused_sole_holder_is_waited_for_during_a_load_of_a_replica() {
    let mut bench = sole_copy_bench();
    let holder = EntryEvent::SideReport(address(1), state_with_rates(&[("m0", 20)]));
    bench.step(holder.clone());
    let effects = bench.advance(20);
    assert_eq!(requested_load(&effects).map(|(at, _)| at), Some(address(2)), "{effects:?}");
    let loading = SideState {
        loading: vec!["m0".to_owned()],
        load_eta_ms: 6_000,
        ..state_with_rates(&[("m1", 0)])
    };
    bench.step(EntryEvent::SideReport(address(2), loading));
    bench.start_stream("/chat/x");
    advance(&mut bench, &[2], DETECTION_MS);
    let (_, effects) = bench.request("/chat/x", "m0");
    assert!(refusal(&effects).is_none() && dispatch(&effects).is_none(), "{effects:?}");
    let effects = bench.step(holder);
    assert_eq!(dispatch(&effects).map(|dispatch| dispatch.address), Some(address(1)));
}

/// Guards against taking a stalled instance for a live holder: a request for an adapter then has the
/// model loaded a second time while its first load is under way.
#[test]
fn adapter_request_waits_for_the_load_that_replaces_a_stalled_holder() {
    let mut bench = bench(&["m0", "m1", "m2"]);
    bench.start_stream("/chat/x");
    advance(&mut bench, &[2, 3], DETECTION_MS);
    let (_, effects) = bench.request("/chat/x", "m0");
    assert!(requested_load(&effects).is_some(), "{effects:?}");
    let (_, effects) = bench.request("/chat/x", "m0/a1");
    assert!(requested_load(&effects).is_none(), "{effects:?}");
}

/// Guards against requesting a load at a stalled instance because it looked idle before the stall.
#[test]
fn model_is_not_loaded_at_a_stalled_instance() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m1"]), member(2, ENGINE, &[])]);
    let on_disk = member(1, ENGINE, &[]).on_disk;
    let busy = SideState { on_disk, ..state_with_rates(&[("m1", 1)]) };
    bench.step(EntryEvent::SideReport(address(1), busy));
    bench.step(EntryEvent::SideReport(address(2), state(1, &[])));
    advance(&mut bench, &[1], IDLE_DETECTION_MS);
    let (_, effects) = bench.request("/chat/x", "m5");
    assert_eq!(requested_load(&effects).map(|(at, _)| at), Some(address(1)), "{effects:?}");
    bench.step(EntryEvent::SideReport(address(2), state(1, &[])));
    let (_, effects) = bench.request("/chat/x", "m6");
    assert_eq!(requested_load(&effects).map(|(at, _)| at), Some(address(2)), "it responds again");
}

/// Guards against requesting adapters at a stalled holder of their model while another responds.
#[test]
fn adapters_are_not_loaded_at_a_stalled_holder() {
    let mut bench = bench(&["m0", "m0"]);
    let (_, sent) = bench.start_stream("/chat/x");
    let other = if sent.address == address(1) { 2 } else { 1 };
    advance(&mut bench, &[other], DETECTION_MS);
    for adapter in 0..8 {
        let (_, effects) = bench.request("/chat/x", &format!("m0/a{adapter}"));
        assert_eq!(requested_load(&effects).map(|(at, _)| at), Some(address(other)), "{effects:?}");
    }
}

/// Guards against resuming a run at the instance with its copy while that instance is stalled.
#[test]
fn run_is_not_resumed_at_a_stalled_instance() {
    let mut bench = bench(&["m0", "m0"]);
    let (id, _) = bench.start_stream("/draft/x");
    bench.step(EntryEvent::StreamBroken(id, Some(0)));
    let (id, sent) = bench.start_stream("/draft/x");
    let others = (0..8).map(|_| bench.start_stream("/draft/x").1).collect::<Vec<_>>();
    assert!(others.iter().any(|other| Some(other.address) == sent.backup), "both have streams");
    let responsive = if sent.address == address(1) { 1 } else { 2 };
    advance(&mut bench, &[responsive], DETECTION_MS);
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(4)));
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    assert!(effects.contains(&EntryEffect::Abort(id)), "{effects:?}");
}

/// Guards against resuming a run from its copy after the connection to its stalled endpoint broke:
/// that endpoint continues with the run later.
#[test]
fn run_at_a_stalled_instance_is_not_resumed_from_its_copy() {
    let mut bench = bench(&["m0", "m0", "m0"]);
    let (id, _) = bench.start_stream("/draft/x");
    bench.step(EntryEvent::StreamBroken(id, Some(0)));
    let (id, sent) = bench.start_stream("/draft/x");
    assert!(sent.backup.is_some());
    let others = [1, 2, 3].into_iter().filter(|index| address(*index) != sent.address);
    advance(&mut bench, &others.collect::<Vec<_>>(), DETECTION_MS);
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(4)));
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    assert!(effects.contains(&EntryEffect::Abort(id)), "{effects:?}");
}

/// The connection to a side was lost in silence, and a stream there goes on. Guards against probing
/// over the lost connection when the stream pauses: no reply can come, and the stream would be
/// disconnected from an instance that works.
#[test]
fn side_that_is_not_connected_is_not_probed() {
    let mut bench = bench(&["m0", "m0"]);
    let (id, sent) = bench.start_stream("/chat/x");
    bench.step(EntryEvent::SideLost(sent.address, SideLoss::Silent));
    bench.step(EntryEvent::Progress(vec![id]));
    let other = if sent.address == address(1) { 2 } else { 1 };
    let effects = advance(&mut bench, &[other], DETECTION_MS);
    assert!(!effects.contains(&EntryEffect::Probe(sent.address)), "{effects:?}");
    assert_eq!(disconnects(&effects, id), 0, "{effects:?}");
}

/// An idle entry checks its clock seldom, and its first request has an instance probed just before
/// a check. Guards against moving that probe into the future, as if the entry had paused: the other
/// holder would be used only after a multiple of the usual time.
#[rstest]
#[case::just_checked(0)]
#[case::long_ago(190)]
fn probe_for_a_request_is_not_moved_into_the_future(#[case] idle_ms: u64) {
    let far = Member { zone: "b".to_owned(), ..member(2, ENGINE, &["m0"]) };
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), far]);
    for index in 1..=2 {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
    bench.now += 200;
    bench.step(EntryEvent::Tick);
    bench.now += idle_ms;
    let (_, mut effects) = bench.request("/draft/x", "m0");
    assert!(effects.contains(&EntryEffect::Probe(address(1))), "{effects:?}");
    effects.extend(bench.step(EntryEvent::Tick));
    for _ in 0..4 {
        bench.now += 20;
        effects.extend(bench.step(EntryEvent::ProbeReply(address(2))));
        effects.extend(bench.step(EntryEvent::Tick));
    }
    assert_eq!(dispatch(&effects).map(|sent| sent.address), Some(address(2)), "{effects:?}");
}

/// The connection to a side was lost in silence shortly after traffic, and its instance stalls.
/// Guards against dispatching there unconfirmed, as to an endpoint whose side has ended.
#[test]
fn nothing_is_dispatched_on_an_old_word_after_a_silent_loss() {
    let mut bench = bench(&["m0"]);
    let (id, sent) = bench.start_stream("/draft/x");
    bench.step(EntryEvent::SideLost(sent.address, SideLoss::Silent));
    for _ in 0..40 {
        bench.now += 20;
        bench.step(EntryEvent::Tick);
    }
    let (_, effects) = bench.request("/draft/x", "m0");
    assert!(dispatch(&effects).is_none(), "{id:?} still hangs there: {effects:?}");
}
