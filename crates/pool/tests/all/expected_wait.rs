//! Expected wait of endpoints: the estimate, the method of choice, and the entry's use of it.

mod model;

use citronrill_base::Millis;
use citronrill_pool::{
    BadLoad, EngineReport, EntryEffect, EntryEvent, EntryProfile, LoadView, OwnView, Pace,
    PoolEntry, PoolSide, ResponseEnd, ResponseHead, ServerLoad, SideEvent, StartTime, WaitEstimate,
};
use citronrill_wire::SideState;
use rstest::rstest;

use self::model::{Method, Model, Setting};
use crate::support::{
    Bench, ENGINE, PLAIN, address, config, dispatch, member, ok, profile, report, requested_load,
    seeds_from, state, state_with_rates,
};

const OWN: OwnView = OwnView { requests: 0, slots: 4, service_ms: 100.0 };

fn load(running: u32, waiting: u32, slots: u32, percent: u32) -> ServerLoad {
    let pace = Pace::from_percent(percent);
    ServerLoad { running, waiting, slots: Some(slots), pace }
}

/// An endpoint that stated this at 1 s.
fn view(stated: ServerLoad) -> LoadView {
    let mut view = LoadView::default();
    view.record_stated(Some(stated), Millis(1_000)).unwrap();
    view
}

fn wait_ms(view: &LoadView, own: OwnView, now: u64) -> f64 {
    view.estimate(own, Millis(now)).wait_ms
}

fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 0.5, "{value} instead of {expected}");
}

/// Guards against a full queue that stays full in the view of an entry that sends nothing there, and
/// against a view in which the requests that this entry still has there are gone.
#[test]
fn a_stated_queue_drains_with_age_to_the_entrys_own_requests() {
    let view = view(load(4, 8, 4, 100));
    // The ninth in the queue begins after nine quarters of a work time.
    assert_near(wait_ms(&view, OWN, 1_000), 225.0);
    assert_near(wait_ms(&view, OWN, 1_100), 125.0);
    assert_near(wait_ms(&view, OWN, 1_400), 0.0);
    let own = OwnView { requests: 7, ..OWN };
    assert_near(wait_ms(&view, own, 1_400), 100.0);
}

/// Guards against a drained view of an engine whose side reports each change at once: silence means that
/// the load is as it was.
#[test]
fn a_load_that_a_side_reports_drains_only_until_its_next_report_is_due() {
    let mut view = LoadView::default();
    view.record_report(12, None, 100, Millis(1_000));
    assert_near(wait_ms(&view, OWN, 1_100), 125.0);
    assert_near(wait_ms(&view, OWN, 1_900), 125.0);
}

/// Guards against requests of this entry that count neither as stated nor as sent, or count as drained twice.
#[test]
fn dispatches_since_the_statement_count() {
    let mut view = view(load(4, 0, 4, 100));
    assert_near(wait_ms(&view, OWN, 1_000), 25.0);
    view.record_dispatch();
    view.record_dispatch();
    assert_near(wait_ms(&view, OWN, 1_000), 75.0);
    view.record_end();
    assert_near(wait_ms(&view, OWN, 1_000), 50.0);
    assert_near(wait_ms(&view, OWN, 1_025), 50.0);
}

/// Guards against a slow moment of a host that is believed for seconds, and against one that is not
/// believed while it lasts.
#[test]
fn the_weight_of_a_pace_decays_with_its_age() {
    let view = view(load(4, 3, 4, 300));
    let work_ms = |now| view.estimate(OWN, Millis(now)).work_ms;
    assert_near(work_ms(1_000), 300.0);
    // The average of the usual pace and the stated one is twice the usual.
    assert_near(work_ms(1_300), 200.0 + 100.0 / std::f64::consts::E);
    assert_near(work_ms(9_000), 200.0);
}

/// Guards against figures that cannot be true: they count as unknown, and those beside them still count.
#[rstest]
#[case::none(None, BadLoad::Missing)]
#[case::huge(Some(load(u32::MAX, 5, 4, 100)), BadLoad::TooMany)]
#[case::no_slots(Some(load(4, 8, 0, 100)), BadLoad::BadSlots)]
#[case::huge_slots(Some(load(4, 8, u32::MAX, 100)), BadLoad::BadSlots)]
#[case::no_pace(Some(load(4, 8, 4, 0)), BadLoad::NoPace)]
#[case::huge_pace(Some(load(4, 8, 4, u32::MAX)), BadLoad::NoPace)]
fn bad_figures_count_as_unknown(#[case] stated: Option<ServerLoad>, #[case] expected: BadLoad) {
    let mut view = view(load(4, 8, 4, 100));
    assert_eq!(view.record_stated(stated, Millis(1_000)), Err(expected));
    assert_near(wait_ms(&view, OWN, 1_000), 225.0);
    assert!(view.take_bad_log());
    assert!(!view.take_bad_log(), "logged once");
}

/// Guards against work times of nothing or without end, which would make an endpoint free or unusable.
#[test]
fn extreme_response_times_give_a_finite_wait() {
    for took_ms in [0, 1, u64::MAX] {
        let mut view = view(load(4, 8, 4, 10_000));
        for _ in 0..50 {
            view.record_response(took_ms, WaitEstimate::default(), Millis(1_000));
        }
        let estimate = view.estimate(OWN, Millis(1_000));
        assert!(estimate.wait_ms.is_finite() && estimate.wait_ms >= 0.0, "{estimate:?}");
        assert!(view.backlog_ms(OWN, Millis(1_000)).is_finite());
    }
}

/// Guards against an endpoint that states no queue and lets requests wait: its work time shows it.
#[test]
fn an_endpoint_that_states_it_is_idle_and_is_not_ranks_as_slow() {
    let backlog_ms = |took_ms| {
        let mut view = view(load(0, 0, 4, 100));
        for _ in 0..10 {
            let expected = view.estimate(OWN, Millis(1_000));
            view.record_response(took_ms, expected, Millis(1_000));
        }
        view.backlog_ms(OWN, Millis(1_000))
    };
    assert!(backlog_ms(800) > 4.0 * backlog_ms(100), "{} {}", backlog_ms(800), backlog_ms(100));
}

/// Guards against a wait in the queue that counts as work: a busy endpoint would rank as a slow one.
#[test]
fn the_wait_in_a_queue_is_not_work() {
    let mut view = view(load(4, 8, 4, 100));
    let expected = view.estimate(OWN, Millis(1_000));
    let work_ms = view.record_response(expected.total_ms() as u64, expected, Millis(1_000));
    assert_near(work_ms, 100.0);
}

/// Guards against a method by which all entries fill the endpoint that they see idle, or that leaves fast
/// endpoints free while slow ones queue.
#[test]
fn two_choices_by_backlog_wait_less_than_the_other_methods() {
    let plain = Setting {
        entries: 0,
        endpoints: 4,
        slots: 6,
        work_ms: 30.0,
        holders: 4,
        load: 0.7,
        reported: false,
    };
    let engine =
        Setting { endpoints: 40, slots: 24, work_ms: 500.0, holders: 3, reported: true, ..plain };
    let (first, count) = seeds_from("CITRONRILL_WAIT_SEEDS", "1:1");
    for seed in first..first + count {
        for (name, setting) in [("plain", plain), ("engine", engine)] {
            for entries in [21, 68, 300] {
                compare(name, Setting { entries, ..setting }, seed);
            }
        }
    }
}

fn compare(name: &str, setting: Setting, seed: u64) {
    let entries = setting.entries;
    let run = |method: Method| {
        let outcome = Model::run(setting, method, seed);
        println!("{name} seed={seed} entries={entries} {method:?} {outcome:?}");
        outcome.wait_p99
    };
    let kept = run(Method::TwoChoices);
    let (total, least) = (run(Method::TwoByTotal), run(Method::LeastWait));
    let shares = run(Method::RoomShares);
    assert!(kept < least, "{name} {entries}: {kept} {least}");
    if setting.reported {
        assert!(kept < total, "{name} {entries}: {kept} {total}");
    } else {
        assert!(kept < shares, "{name} {entries}: {kept} {shares}");
    }
}

/// An entry with two plain endpoints, of which the second has shown to be faster but states more requests.
fn paced_bench(paces: [Option<u32>; 2]) -> Bench {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    for _ in 0..40 {
        let (id, effects) = bench.request("/status/x", "");
        let Some(sent) = dispatch(&effects).cloned() else { continue };
        let slow = sent.instance == "i1";
        bench.now += if slow { 200 } else { 20 };
        let pace = paces[usize::from(!slow)].and_then(Pace::from_percent);
        let running = if slow { 1 } else { 3 };
        let stated = ServerLoad { running, waiting: 0, slots: Some(6), pace };
        bench.respond(id, ResponseHead { load: Some(stated), ..ok() });
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    }
    bench
}

fn sent_line(effects: &[EntryEffect]) -> String {
    let line = effects.iter().find_map(|effect| match effect {
        EntryEffect::Log(event) if event.event == "sent" => Some(event.to_string()),
        _ => None,
    });
    line.unwrap()
}

/// Guards against a choice by the number of requests where endpoints differ in speed, and against the
/// choice by wait where nothing calls for it.
#[rstest]
#[case::stated([Some(100), Some(100)], true)]
#[case::by_one([None, Some(100)], true)]
#[case::off([None, None], false)]
fn the_choice_is_by_wait_where_a_pace_is_stated(
    #[case] paces: [Option<u32>; 2],
    #[case] by_wait: bool,
) {
    let mut bench = paced_bench(paces);
    let (_, effects) = bench.request("/status/x", "");
    assert_eq!(sent_line(&effects).contains(" wait_ms="), by_wait, "{}", sent_line(&effects));
    if by_wait {
        assert_eq!(dispatch(&effects).unwrap().instance, "i2");
    }
}

/// Guards against a deployment with competing organisations whose endpoints state no pace.
#[test]
fn the_choice_is_by_wait_where_organisations_compete() {
    let profile = EntryProfile { contended: true, ..profile() };
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    bench.entry = PoolEntry::new(profile);
    bench.step(EntryEvent::Config(config(1)));
    bench.set_members(1, vec![member(1, PLAIN, &[])]);
    let (_, effects) = bench.request("/status/x", "");
    assert!(sent_line(&effects).contains(" wait_ms="));
    assert_eq!(bench.entry.wait_counts().map(|(_, counts)| counts.dispatches).sum::<u64>(), 1);
}

/// Guards against all requests of an entry at one of several idle endpoints.
#[test]
fn idle_endpoints_share_the_requests() {
    let members = (1..=6).map(|index| member(index, PLAIN, &[])).collect::<Vec<_>>();
    let mut bench = Bench::new(members.clone());
    bench.entry = PoolEntry::new(EntryProfile { contended: true, ..profile() });
    bench.step(EntryEvent::Config(config(1)));
    bench.set_members(1, members);
    let mut used = Vec::new();
    for _ in 0..60 {
        let (id, effects) = bench.request("/status/x", "");
        used.push(dispatch(&effects).unwrap().instance.clone());
        bench.now += 10;
        bench.respond(id, ResponseHead { load: Some(load(0, 0, 6, 100)), ..ok() });
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    }
    for index in 1..=6 {
        let count = used.iter().filter(|name| **name == format!("i{index}")).count();
        assert!((3..=20).contains(&count), "i{index}: {count} of 60");
    }
}

/// Guards against a draw of two full endpoints while a third one is idle.
#[test]
fn an_endpoint_with_room_is_drawn_before_full_ones() {
    let members = (1..=4).map(|index| member(index, PLAIN, &[])).collect::<Vec<_>>();
    let mut bench = Bench::new(members);
    let mut idle = Vec::new();
    for _ in 0..40 {
        let (id, effects) = bench.request("/status/x", "");
        let instance = dispatch(&effects).unwrap().instance.clone();
        let stated = if instance == "i3" { load(0, 0, 6, 100) } else { load(6, 6, 6, 100) };
        bench.now += 5;
        bench.respond(id, ResponseHead { load: Some(stated), ..ok() });
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
        idle.push(instance == "i3");
    }
    // The queues of the others drain in the view of the entry: each is tried again now and then.
    let count = idle[20..].iter().filter(|idle| **idle).count();
    assert!(count >= 15, "{count} of 20 at the idle endpoint");
}

/// Guards against figures of an incarnation that has ended: the new one has neither its queue nor its speed.
#[test]
fn figures_of_an_earlier_incarnation_are_dropped() {
    let started =
        |at| citronrill_pool::Member { started: Some(StartTime(at)), ..member(1, PLAIN, &[]) };
    let mut bench = Bench::new(vec![started(1_000)]);
    let (before, _) = bench.request("/status/x", "");
    bench.now += 100;
    bench.update_row(2, "i1", Some(started(2_000)));
    bench.respond(before, ResponseHead { load: Some(load(6, 90, 6, 900)), ..ok() });
    bench.step(EntryEvent::ResponseEnded(before, ResponseEnd::Complete));
    bench.advance(500);
    let (next, effects) = bench.request("/status/x", "");
    assert!(!sent_line(&effects).contains(" wait_ms="), "its pace is not known");
    bench.respond(next, ResponseHead { load: Some(load(1, 0, 6, 100)), ..ok() });
    let (_, effects) = bench.request("/status/x", "");
    assert!(sent_line(&effects).contains(" wait_ms=0"), "{}", sent_line(&effects));
}

/// Guards against bad figures that are not seen in the log, or fill it.
#[test]
fn bad_figures_are_logged_once() {
    let mut bench = paced_bench([Some(100), Some(100)]);
    let mut logged = 0;
    for _ in 0..20 {
        let (id, effects) = bench.request("/status/x", "");
        let Some(sent) = dispatch(&effects).cloned() else { continue };
        let head = ResponseHead { load: Some(load(1, 0, 0, 0)), ..ok() };
        let effects = bench.step(EntryEvent::ResponseHead(id, sent.number, head));
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
        let bad = |effect: &&EntryEffect| matches!(effect, EntryEffect::Log(event) if event.event == "bad_load");
        logged += effects.iter().filter(bad).count();
        bench.now += 20;
    }
    assert!((1..=2).contains(&logged), "{logged} lines of two endpoints");
}

/// Guards against an entry that has just started and takes a slow engine for one of usual speed until it has
/// its own responses.
#[test]
fn a_side_tells_the_pace_of_its_engine() {
    let mut side = PoolSide::new(ENGINE);
    side.step(Millis(1_000), SideEvent::Config(config(1)));
    let paced = EngineReport { pace: Pace::from_percent(250), ..report(1, &["m0"]) };
    side.step(Millis(1_010), SideEvent::Report(Some(paced)));
    assert_eq!(side.state().unwrap().pace, 250);

    let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
    let mut bench = Bench::new(members);
    let engine = |pace| SideState { pace, active: 12, entries: 3, ..state(1, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(1), engine(250)));
    bench.step(EntryEvent::SideReport(address(2), engine(100)));
    for _ in 0..4 {
        let (id, effects) = bench.request("/draft/x", "m0");
        assert!(sent_line(&effects).contains(" wait_ms=0"));
        assert_eq!(dispatch(&effects).unwrap().instance, "i2");
        bench.step(EntryEvent::CallerLeft(id));
    }
}

/// Guards against a change of the pace that entries learn with the next periodic report only.
#[test]
fn a_marked_change_of_the_pace_is_published_at_once() {
    let mut side = PoolSide::new(ENGINE);
    side.step(Millis(1_000), SideEvent::Config(config(1)));
    let mut published = |now, percent| {
        let paced = EngineReport { pace: Pace::from_percent(percent), ..report(1, &["m0"]) };
        let effects = side.step(Millis(now), SideEvent::Report(Some(paced)));
        effects.iter().any(|effect| matches!(effect, citronrill_pool::SideEffect::Publish(_)))
    };
    assert!(published(1_010, 100));
    assert!(!published(1_130, 110), "a little");
    assert!(!published(1_050, 250), "too soon");
    assert!(published(1_140, 250));
}

/// Guards against a retry of a call that merely queues, and against a call that stays at an endpoint that
/// hangs although its work takes a tenth of that.
#[rstest]
#[case::off(None, 900, false)]
#[case::off_later(None, 1_020, true)]
#[case::on(Some(100), 480, false)]
#[case::on_later(Some(100), 540, true)]
fn a_call_is_retried_once_its_endpoint_must_be_hanging(
    #[case] pace: Option<u32>,
    #[case] after_ms: u64,
    #[case] retried: bool,
) {
    let mut bench = paced_bench([pace, pace]);
    let (_, effects) = bench.request("/status/x", "");
    assert!(dispatch(&effects).is_some());
    let effects = bench.advance(after_ms);
    assert_eq!(dispatch(&effects).is_some(), retried, "{effects:?}");
}

/// Guards against another replica that is loaded only once requests already wait, and against one that is
/// loaded for a number of requests that a fast engine works off within the objective.
#[rstest]
#[case::room(20, 100, false)]
#[case::short_queue(24, 100, false)]
#[case::long_queue(60, 100, true)]
#[case::slow_host(34, 400, true)]
fn a_replica_is_requested_when_the_wait_exceeds_the_objective(
    #[case] active: u32,
    #[case] pace: u32,
    #[case] requested: bool,
) {
    let other = member(3, ENGINE, &["m1", "m2"]);
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"]), other]);
    let engine =
        |rates: &[(&str, u32)], active| SideState { pace, active, ..state_with_rates(rates) };
    bench.step(EntryEvent::SideReport(address(3), engine(&[("m1", 2), ("m2", 2)], 0)));
    for holder in [1, 2] {
        bench.step(EntryEvent::SideReport(address(holder), engine(&[("m0", 18)], 0)));
    }
    bench.request("/draft/x", "m0");
    assert!(requested_load(&bench.advance(20)).is_none(), "two replicas suffice for 36");
    for holder in [1, 2] {
        bench.step(EntryEvent::SideReport(address(holder), engine(&[("m0", 18)], active)));
    }
    let effects = bench.advance(20);
    assert_eq!(requested_load(&effects).is_some(), requested, "{effects:?}");
}
