//! Guards of the side's reducer, each with the failure that it meets.

use citronrill_base::Millis;
use citronrill_pool::{
    EngineReport, EntryLink, Order, OrderKind, OrderOutcome, PoolSide, SideEffect, SideEvent,
};
use citronrill_wire::{SideState, Usage, Want};

use crate::support::{ENGINE, report, text, want};

const LINK: EntryLink = EntryLink(1);

/// A side with a clock.
pub(crate) struct Bench {
    pub(crate) side: PoolSide,
    pub(crate) now: u64,
}

impl Bench {
    /// A side whose endpoint holds `models`.
    fn new(models: &[&str]) -> Bench {
        let mut bench = Bench { side: PoolSide::new(ENGINE), now: 1_000 };
        bench.step(SideEvent::Text(text(1)));
        bench.report(report(1, models));
        bench
    }

    pub(crate) fn step(&mut self, event: SideEvent) -> Vec<SideEffect> {
        self.side.step(Millis(self.now), event)
    }

    /// Time passes and the endpoint is looked at.
    pub(crate) fn report(&mut self, report: EngineReport) -> Vec<SideEffect> {
        self.now += 25;
        self.step(SideEvent::Report(Some(report)))
    }

    pub(crate) fn want(&mut self, want: Want) -> Vec<SideEffect> {
        self.step(SideEvent::Want(LINK, want))
    }

    fn accepted(&mut self, order: &Order) -> Vec<SideEffect> {
        self.step(SideEvent::Ordered(order.number, OrderOutcome::Accepted, None))
    }
}

/// The orders among the effects.
pub(crate) fn orders(effects: &[SideEffect]) -> Vec<Order> {
    let one = |effect: &SideEffect| match effect {
        SideEffect::Order(order) => Some(order.clone()),
        _ => None,
    };
    effects.iter().filter_map(one).collect()
}

fn told(effects: &[SideEffect]) -> Option<&SideState> {
    effects.iter().rev().find_map(|effect| match effect {
        SideEffect::Publish(state) => Some(state),
        _ => None,
    })
}

/// How many wants are declined among the effects.
pub(crate) fn declines(effects: &[SideEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, SideEffect::Decline(..))).count()
}

/// A model is wanted and memory is full. The victim is told to all entries before its unloading is
/// ordered, and the load is ordered only when the endpoint shows that the victim is gone; an
/// endpoint that is ordered to hold more than it can crashes with everything on it.
#[test]
fn room_is_made_before_a_load() {
    let mut bench = Bench::new(&["m0", "m1"]);
    let effects = bench.want(want("m5", &["m0", "m1"]));
    assert!(orders(&effects).is_empty(), "entries must hear of it first");
    let state = told(&effects).unwrap();
    assert_eq!(
        (&state.leaving[..], &state.loading[..]),
        (&["m0".to_owned()][..], &["m5".to_owned()][..])
    );
    let first = orders(&bench.report(report(1, &["m0", "m1"]))).remove(0);
    assert_eq!((first.kind, first.model.as_str()), (OrderKind::Unload, "m0"));
    bench.accepted(&first);
    assert!(orders(&bench.report(report(2, &["m0", "m1"]))).is_empty(), "its runs go on");
    let second = orders(&bench.report(report(2, &["m1"]))).remove(0);
    assert_eq!((second.kind, second.model.as_str()), (OrderKind::Load, "m5"));
    assert_eq!(second.sequence, 2);
}

/// Two entries want models at the same moment and name the same victim. Each counted on the room;
/// the second is declined, or memory would be promised twice.
#[test]
fn room_is_promised_once() {
    let mut bench = Bench::new(&["m0", "m1"]);
    assert_eq!(declines(&bench.want(want("m5", &["m0"]))), 0);
    assert_eq!(declines(&bench.want(want("m6", &["m0"]))), 1);
    assert_eq!(declines(&bench.want(want("m7", &["m1"]))), 0);
}

/// A model has just come for somebody whose request is on its way. A want that names it as victim
/// is declined for a moment, or requests would chase models around and none be served.
#[test]
fn a_model_that_has_just_come_stays() {
    let mut bench = Bench::new(&["m0"]);
    bench.now += 1_000;
    bench.report(report(2, &["m0", "m5"]));
    assert_eq!(declines(&bench.want(want("m6", &["m5"]))), 1);
    bench.now += 400;
    assert_eq!(declines(&bench.want(want("m6", &["m5"]))), 0);
}

/// An order gets no answer; it may be carried out seconds later. It is given again with the same
/// expected sequence, so that only one of the two can take effect.
#[test]
fn a_silent_order_is_repeated_with_its_sequence() {
    let mut bench = Bench::new(&["m0"]);
    let first = orders(&bench.want(want("m5", &[]))).remove(0);
    bench.step(SideEvent::Ordered(first.number, OrderOutcome::Unknown, None));
    bench.now += 500;
    let again = orders(&bench.report(report(1, &["m0"]))).remove(0);
    assert_eq!(again, first);
    bench.step(SideEvent::Ordered(first.number, OrderOutcome::Unknown, None));
    bench.now += 500;
    let effects = bench.report(EngineReport { busy: true, ..report(2, &["m0"]) });
    assert!(orders(&effects).is_empty(), "the sequence shows that one was accepted");
}

/// The endpoint refuses an order, as another is under way. The next one waits for a report that is
/// newer than the refusal; given at once, 150 orders a second were refused.
#[test]
fn a_refused_order_waits_for_a_newer_report() {
    let mut bench = Bench::new(&["m0"]);
    let order = orders(&bench.want(want("m5", &[]))).remove(0);
    bench.now += 5;
    let effects = bench.step(SideEvent::Ordered(order.number, OrderOutcome::Conflict, None));
    assert!(orders(&effects).is_empty());
    assert!(orders(&bench.step(SideEvent::Tick)).is_empty());
    assert_eq!(orders(&bench.report(report(1, &["m0"]))).len(), 1);
}

/// The endpoint crashes and starts again; it counts orders from zero and knows no token. Nothing
/// that was planned for its last start holds.
#[test]
fn a_restarted_endpoint_is_planned_anew() {
    let mut bench = Bench::new(&["m0", "m1"]);
    bench.report(report(7, &["m0", "m1"]));
    bench.want(want("m5", &["m0"]));
    bench.report(report(0, &[]));
    assert!(bench.side.state().unwrap().loading.is_empty());
    bench.step(SideEvent::Named("i2".to_owned()));
    let right = Want { instance: "i2".to_owned(), ..want("m5", &[]) };
    let order = orders(&bench.want(right)).remove(0);
    assert_eq!((order.sequence, order.token, order.instance.as_str()), (0, 1, "i2"));
}

/// A side process starts again beside an endpoint that has accepted 41 orders. Its token must not be
/// below its last one, though it has kept nothing and the store may be away.
#[test]
fn tokens_rise_over_restarts_of_the_side() {
    let mut first = Bench::new(&["m0"]);
    let before = orders(&first.want(want("m5", &[]))).remove(0).token;
    let mut second = Bench { side: PoolSide::new(ENGINE), now: 50 };
    second.step(SideEvent::Text(text(1)));
    second.report(report(41, &["m0"]));
    let after = orders(&second.want(want("m6", &[]))).remove(0).token;
    assert!(after >= before, "{after} after {before}");
    assert_eq!(after, 42);
}

/// An endpoint is down and refuses connections at once. It is asked at the usual pace, not as fast
/// as it refuses: 21,000 questions in three seconds were seen.
#[test]
fn a_dead_endpoint_is_asked_at_the_usual_pace() {
    let mut bench = Bench::new(&["m0"]);
    let mut polls = 0;
    for _ in 0..1_000 {
        bench.now += 1;
        let effects = bench.step(SideEvent::Tick);
        if effects.contains(&SideEffect::Poll) {
            polls += 1;
            bench.step(SideEvent::Report(None));
        }
    }
    assert!((4..=6).contains(&polls), "{polls} in a second");
}

/// While a model comes or goes, the endpoint refuses orders for adapters. They wait, and go before
/// the next model: they take some ten milliseconds, and a model hundreds at least.
#[test]
fn adapters_wait_for_a_model_and_go_before_the_next() {
    let mut bench = Bench::new(&["m0", "m1"]);
    bench.want(want("m5", &["m1"]));
    let unload = orders(&bench.report(report(1, &["m0", "m1"]))).remove(0);
    bench.accepted(&unload);
    bench.want(Want { adapter: "a1".to_owned(), ..want("m0", &[]) });
    let busy = EngineReport { busy: true, ..report(2, &["m0", "m1"]) };
    assert!(orders(&bench.report(busy)).is_empty());
    let next = orders(&bench.report(report(2, &["m0"]))).remove(0);
    assert_eq!((next.model.as_str(), next.adapter.as_str()), ("m0", "a1"));
}

/// An endpoint has places for two adapters and both are taken. The one used longest ago makes way;
/// one that a request is just using does not.
#[test]
fn the_adapter_used_longest_ago_makes_way() {
    let mut bench = Bench::new(&["m0"]);
    let mut full = report(3, &["m0"]);
    full.models[0].adapters = vec!["a1".to_owned(), "a2".to_owned()];
    bench.report(full.clone());
    let used = |adapter: &str| {
        SideEvent::Used(Usage {
            model: "m0".to_owned(),
            adapter: adapter.to_owned(),
            missed: false,
        })
    };
    bench.step(used("a1"));
    bench.now += 500;
    bench.step(used("a2"));
    let effects = bench.want(Want { adapter: "a3".to_owned(), ..want("m0", &[]) });
    let order = orders(&effects).remove(0);
    assert_eq!((order.kind, order.adapter.as_str()), (OrderKind::Unload, "a1"));
}

/// The weight store allows seven loads a second over all engines. With 28 of them, one engine may
/// begin one in four seconds, without asking the others.
#[test]
fn the_store_is_shared_without_a_word() {
    let mut bench = Bench::new(&["m0"]);
    let far = |sequence: u64, models: &[&str]| EngineReport {
        on_disk: Vec::new(),
        ..report(sequence, models)
    };
    bench.report(far(1, &["m0"]));
    let load = orders(&bench.want(Want { fleet: 28, ..want("m5", &[]) })).remove(0);
    bench.accepted(&load);
    bench.now += 1_000;
    bench.report(far(2, &["m0", "m5"]));
    bench.now += 400;
    bench.report(far(2, &["m0", "m5"]));
    bench.want(Want { fleet: 28, ttl_ms: 9_000, ..want("m6", &["m5"]) });
    let unload = orders(&bench.report(far(2, &["m0", "m5"]))).remove(0);
    bench.accepted(&unload);
    assert!(orders(&bench.report(far(3, &["m0"]))).is_empty(), "too early");
    bench.now += 3_000;
    let order = orders(&bench.report(far(3, &["m0"]))).remove(0);
    assert_eq!((order.kind, order.model.as_str()), (OrderKind::Load, "m6"));
}

/// A want names a start of the endpoint that is gone. The side learns the present one from the
/// endpoint's refusal, tells it to all entries, and declines further wants for the old one.
#[test]
fn the_present_start_is_learned_and_told() {
    let mut bench = Bench::new(&["m0"]);
    let order = orders(&bench.want(want("m5", &[]))).remove(0);
    let named = Some("i9".to_owned());
    let effects = bench.step(SideEvent::Ordered(order.number, OrderOutcome::Rejected, named));
    assert_eq!(told(&effects).unwrap().instance, "i9");
    assert_eq!(declines(&bench.want(want("m6", &[]))), 1);
    let right = Want { instance: "i9".to_owned(), ..want("m6", &[]) };
    assert_eq!(declines(&bench.want(right)), 0);
}

/// An endpoint crashes and is up again; entries still name its last start for a second. The side
/// asks the endpoint itself, gives no order under the old name meanwhile, and tells the new one.
#[test]
fn a_restarted_endpoint_is_asked_for_its_name() {
    let mut bench = Bench::new(&["m0"]);
    bench.step(SideEvent::Named("i1".to_owned()));
    let effects = bench.report(report(0, &[]));
    assert!(effects.contains(&SideEffect::Identify("/health".to_owned())), "{effects:?}");
    assert_eq!(declines(&bench.want(want("m5", &[]))), 1, "i1 is over");
    let effects = bench.step(SideEvent::Named("i2".to_owned()));
    assert_eq!(told(&effects).unwrap().instance, "i2");
    let right = Want { instance: "i2".to_owned(), ..want("m5", &[]) };
    assert_eq!(orders(&bench.want(right))[0].instance, "i2");
}

/// An endpoint that crashed before it took any order shows no lower sequence afterwards. It did not
/// answer for a while, so its name is asked for again; until it answers, the known one stands.
#[test]
fn an_endpoint_that_was_silent_is_asked_again() {
    let mut bench = Bench::new(&["m0"]);
    bench.step(SideEvent::Named("i1".to_owned()));
    bench.now += 300;
    bench.step(SideEvent::Report(None));
    bench.now += 300;
    let effects = bench.report(report(1, &["m0"]));
    assert!(effects.contains(&SideEffect::Identify("/health".to_owned())), "{effects:?}");
    assert_eq!(declines(&bench.want(want("m5", &[]))), 0);
}

/// An endpoint never tells its name. Wants are refused for a second after its restart, and then
/// taken again: it must not stay empty for good.
#[test]
fn an_endpoint_without_a_name_is_used_again() {
    let mut bench = Bench::new(&["m0"]);
    bench.report(report(0, &[]));
    assert_eq!(declines(&bench.want(want("m5", &[]))), 1);
    bench.now += 1_200;
    bench.report(report(0, &[]));
    assert_eq!(declines(&bench.want(want("m5", &[]))), 0);
}

/// An entry chooses the holder for an adapter by how long each is held up. The side says how long the
/// order under way still takes, and not how long all that is planned does.
#[test]
fn the_order_under_way_is_told() {
    let mut bench = Bench::new(&["m0"]);
    let order = orders(&bench.want(want("m5", &[]))).remove(0);
    bench.accepted(&order);
    bench.want(want("m6", &["m0"]));
    bench.now += 300;
    let state = bench.side.state().unwrap();
    assert!((1..=800).contains(&state.order_ms), "{}", state.order_ms);
    assert!(state.busy_ms > 800, "{}", state.busy_ms);
}
