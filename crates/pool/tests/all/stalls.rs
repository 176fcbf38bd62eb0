//! Stalled instances, and failover of the streams on them.

use citronrill_pool::{Dispatch, EntryEffect, EntryEvent, Member, SideLoss};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::{
    simulation::{Faults, Load, Simulation, Stall, StallStats},
    support::{Bench, ENGINE, address, dispatch, member, refusal, requested_load, state},
};

/// Milliseconds after which no entry may dispatch a request to a stalled instance.
const MAX_DISPATCH_MS: u64 = 1_000;
/// Milliseconds in which a stalled instance is detected.
const DETECTION_MS: u64 = 400;

/// An entry with engines that all have `m0` loaded and whose sides have reported.
fn bench(engines: u8) -> Bench {
    let mut bench = Bench::new((1..=engines).map(|index| member(index, ENGINE, &["m0"])).collect());
    for index in 1..=engines {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
    bench
}

/// Advances the clock by `ms` while the sides of all endpoints but `stalled` reply to probes.
fn advance_except(
    bench: &mut Bench,
    engines: u8,
    stalled: Option<Dispatch>,
    ms: u64,
) -> Vec<EntryEffect> {
    let mut effects = Vec::new();
    let end = bench.now + ms;
    while bench.now < end {
        let others = (1..=engines).map(address);
        for at in
            others.filter(|at| stalled.as_ref().is_none_or(|dispatch| dispatch.address != *at))
        {
            effects.extend(bench.step(EntryEvent::ProbeReply(at)));
        }
        effects.extend(bench.advance(20));
    }
    effects
}

fn run_with_stall(seed: u64, engines: usize, entries: usize, busy_per_s: f64) -> StallStats {
    let mut simulation = Simulation::new(seed, engines, entries, Faults::none());
    simulation.run_ms = 800;
    simulation.stall_busiest(Stall {
        at: 8_000,
        duration_ms: 6_000,
        leave_from: 7_000,
        leave_to: 12_000,
        share: 0.5,
    });
    let load = Load { busy_per_s, rare_per_s: 4.0, rare_models: 8, seconds: 12 };
    let stats = simulation.run(&load);
    assert_eq!(stats.violations, Vec::<String>::new());
    stats.stalled
}

/// Callers of streams leave while an instance is stalled. Guards against most of their runs
/// continuing at that instance.
#[rstest]
#[case::nine(9, 4, 30.0)]
#[case::eighteen(18, 4, 60.0)]
#[case::forty_two(42, 12, 120.0)]
fn few_runs_stay_on_a_stalled_instance(
    #[case] engines: usize,
    #[case] entries: usize,
    #[case] busy_per_s: f64,
) {
    let all =
        (1..=6).map(|seed| run_with_stall(seed, engines, entries, busy_per_s)).collect::<Vec<_>>();
    let left = all.iter().map(|stats| stats.left).sum::<u32>();
    let left_running = all.iter().map(|stats| stats.left_running).sum::<u32>();
    assert!(left > 0, "{all:?}");
    assert!(4 * left_running <= left, "{left_running} of {left}: {all:?}");
    assert!(all.iter().all(|stats| stats.last_dispatch_ms <= MAX_DISPATCH_MS), "{all:?}");
}

/// Guards against dispatching to the only holder of a model while it is stalled, where callers hang
/// until they leave.
#[test]
fn nothing_is_dispatched_to_a_stalled_only_holder() {
    let mut bench = Bench::new(vec![
        member(1, ENGINE, &["m0"]),
        member(2, ENGINE, &["m1"]),
        member(3, ENGINE, &["m2"]),
    ]);
    for (index, model) in [(1, "m0"), (2, "m1"), (3, "m2")] {
        bench.step(EntryEvent::SideReport(address(index), state(1, &[model])));
    }
    let (_, sent) = bench.start_stream("/chat/x");
    advance_except(&mut bench, 3, Some(sent), DETECTION_MS);
    let (_, effects) = bench.request("/chat/x", "m0");
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none(), "{effects:?}");
    let (at, load_request) =
        requested_load(&effects).expect("a replica from cached weights is requested");
    assert_eq!(load_request.model, "m0");
    assert_ne!(at, address(1));
    let effects = bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
    assert_eq!(
        dispatch(&effects).map(|dispatch| dispatch.address),
        Some(address(1)),
        "the instance responds again"
    );
}

/// Guards against a resumable stream that hangs at a stalled instance until its caller leaves.
#[test]
fn resumable_stream_fails_over_from_a_stalled_instance() {
    let mut bench = bench(3);
    let (id, sent) = bench.start_stream("/chat/x");
    let effects = advance_except(&mut bench, 3, Some(sent.clone()), DETECTION_MS);
    assert!(effects.contains(&EntryEffect::Disconnect(id)), "{effects:?}");
    let again = advance_except(&mut bench, 3, Some(sent.clone()), DETECTION_MS);
    assert!(!again.contains(&EntryEffect::Disconnect(id)), "it is abandoned only once");
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(4)));
    let next = dispatch(&effects).unwrap();
    assert_ne!(next.address, sent.address);
    assert_eq!(next.resume.and_then(|resume| resume.last_event), Some(4));
}

/// An engine processes a long prompt, or the stream's own connection is silent: the side replies to
/// probes, and the stream stays.
#[test]
fn stream_stays_while_the_side_responds() {
    let mut bench = bench(3);
    let (id, _) = bench.start_stream("/chat/x");
    let effects = advance_except(&mut bench, 3, None, 2 * DETECTION_MS);
    assert!(!effects.contains(&EntryEffect::Disconnect(id)), "{effects:?}");
}

/// Guards against resuming a stream that may run only once from its copy while its endpoint is
/// stalled: when that endpoint responds again, two engines work on the same run.
#[rstest]
#[case::without_a_copy(false)]
#[case::with_a_copy(true)]
fn stream_that_may_run_once_stays_on_a_stalled_instance(#[case] copied: bool) {
    let mut bench = bench(3);
    if copied {
        let (id, _) = bench.start_stream("/draft/x");
        bench.step(EntryEvent::StreamBroken(id, Some(0)));
        for index in 1..=3 {
            bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
        }
    }
    let (id, sent) = bench.start_stream("/draft/x");
    assert_eq!(sent.backup.is_some(), copied);
    let effects = advance_except(&mut bench, 3, Some(sent), 2 * DETECTION_MS);
    assert!(!effects.contains(&EntryEffect::Disconnect(id)), "{effects:?}");
    assert_eq!(bench.entry.in_flight(), 1);
}

/// Guards against an entry that was stalled itself and takes all instances for stalled, as it has
/// not read their replies yet.
#[test]
fn stalled_entry_does_not_suspect_instances() {
    let mut bench = bench(3);
    let (id, _) = bench.start_stream("/chat/x");
    bench.advance(200);
    bench.now += 4_000;
    let effects = bench.step(EntryEvent::Tick);
    assert!(!effects.contains(&EntryEffect::Disconnect(id)), "{effects:?}");
    assert_eq!(bench.entry.in_flight(), 1, "its deadline has not passed");
}

/// An entry without requests ticks rarely. Guards against taking these intervals for stalls of its
/// own, after which it dispatches the next request to an instance that has long been stalled.
#[test]
fn idle_entry_detects_a_stalled_instance() {
    let mut bench = bench(1);
    for _ in 0..10 {
        bench.now += 200;
        bench.step(EntryEvent::Tick);
    }
    let (_, effects) = bench.request("/chat/x", "m0");
    assert!(dispatch(&effects).is_none(), "{effects:?}");
}

/// A stopped side closes its connection while its endpoint keeps serving: the endpoint is not
/// avoided.
#[test]
fn endpoint_of_a_stopped_side_is_still_used() {
    let mut bench = bench(1);
    let (_, sent) = bench.start_stream("/chat/x");
    bench.step(EntryEvent::SideLost(sent.address, SideLoss::Closed));
    bench.advance(DETECTION_MS);
    let (_, effects) = bench.request("/chat/x", "m0");
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}

/// Guards against loading all adapters at one of two holders, which then has most of the runs when
/// it stalls. The engines have 96 slots, and half of the requests for the model use adapters.
#[test]
fn adapter_is_loaded_where_fewer_runs_would_hang() {
    let wide = |index| Member { slots: 96, ..member(index, ENGINE, &["m0"]) };
    let requested = (0..8).map(|adapter| {
        let mut bench = Bench::new(vec![wide(1), wide(2)]);
        bench.step(EntryEvent::SideReport(
            address(1),
            SideState { active: 20, ..state(1, &["m0"]) },
        ));
        bench
            .step(EntryEvent::SideReport(address(2), SideState { active: 4, ..state(1, &["m0"]) }));
        let (_, effects) = bench.request("/draft/x", &format!("m0/a{adapter}"));
        requested_load(&effects).map(|(at, _)| at)
    });
    assert!(requested.into_iter().all(|at| at == Some(address(2))));
}

/// An entry has no request at an instance that stalls. Guards against dispatching the next one
/// there, as its side is not due to report yet: its caller would hang until it disconnects.
#[test]
fn instance_without_recent_traffic_is_probed_before_a_dispatch() {
    let mut bench = bench(1);
    bench.now += 300;
    let (_, effects) = bench.request("/draft/x", "m0");
    assert!(dispatch(&effects).is_none(), "{effects:?}");
    assert!(effects.contains(&EntryEffect::Probe(address(1))), "{effects:?}");
    let (_, effects) = bench.request("/draft/x", "m0");
    assert!(!effects.contains(&EntryEffect::Probe(address(1))), "one probe is enough");
    let effects = bench.step(EntryEvent::ProbeReply(address(1)));
    let dispatched =
        effects.iter().filter(|effect| dispatch(std::slice::from_ref(effect)).is_some());
    assert_eq!(dispatched.count(), 2, "both go as soon as the instance answers");
}

/// Guards against holding requests back where nothing can answer a probe: the side has ended, and
/// its endpoint serves on.
#[test]
fn endpoint_without_a_side_needs_no_probe() {
    let mut bench = bench(1);
    bench.step(EntryEvent::SideLost(address(1), SideLoss::Closed));
    bench.now += 300;
    let (_, effects) = bench.request("/draft/x", "m0");
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}
