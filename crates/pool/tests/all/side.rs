//! Tests of the side's state machine, each for one failure.

use citronrill_base::Millis;
use citronrill_pool::{
    EngineReport, EntryLink, Order, OrderKind, OrderOutcome, PoolSide, SideEffect, SideEvent,
};
use citronrill_wire::{LoadRequest, SideState, UsageReport};
use rstest::rstest;

use crate::support::{ENGINE, config, load_request, report};

const LINK: EntryLink = EntryLink(1);

/// A side and its virtual clock.
pub(crate) struct Bench {
    pub(crate) side: PoolSide,
    pub(crate) now: u64,
}

impl Bench {
    /// A side whose endpoint has `models` loaded.
    fn new(models: &[&str]) -> Bench {
        let mut bench = Bench { side: PoolSide::new(ENGINE), now: 1_000 };
        bench.step(SideEvent::Config(config(1)));
        bench.report(report(1, models));
        bench
    }

    pub(crate) fn step(&mut self, event: SideEvent) -> Vec<SideEffect> {
        self.side.step(Millis(self.now), event)
    }

    /// Advances the clock by 25 ms and delivers a report of the endpoint.
    pub(crate) fn report(&mut self, report: EngineReport) -> Vec<SideEffect> {
        self.now += 25;
        self.step(SideEvent::Report(Some(report)))
    }

    pub(crate) fn request_load(&mut self, load_request: LoadRequest) -> Vec<SideEffect> {
        self.step(SideEvent::LoadRequest(LINK, load_request))
    }

    fn accepted(&mut self, order: &Order) -> Vec<SideEffect> {
        self.step(SideEvent::OrderAnswered(order.number, OrderOutcome::Accepted, None))
    }
}

/// Returns the orders among the effects.
pub(crate) fn orders(effects: &[SideEffect]) -> Vec<Order> {
    let order = |effect: &SideEffect| match effect {
        SideEffect::Order(order) => Some(order.clone()),
        _ => None,
    };
    effects.iter().filter_map(order).collect()
}

fn published(effects: &[SideEffect]) -> Option<&SideState> {
    effects.iter().rev().find_map(|effect| match effect {
        SideEffect::Publish(state) => Some(&**state),
        _ => None,
    })
}

/// Returns the number of declined load requests among the effects.
pub(crate) fn declines(effects: &[SideEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, SideEffect::Decline(..))).count()
}

/// Loading into full memory crashes the endpoint with everything on it. The side therefore reports
/// the eviction to all entries first, then orders the unload, and orders the load only after the
/// endpoint reports that the model is gone.
#[test]
fn candidate_is_unloaded_before_a_load() {
    let mut bench = Bench::new(&["m0", "m1"]);
    let effects = bench.request_load(load_request("m5", &["m0", "m1"]));
    assert!(orders(&effects).is_empty(), "the eviction must be reported to entries first");
    let state = published(&effects).unwrap();
    assert_eq!(
        (&state.evicting[..], &state.loading[..]),
        (&["m0".to_owned()][..], &["m5".to_owned()][..])
    );
    let first = orders(&bench.report(report(1, &["m0", "m1"]))).remove(0);
    assert_eq!((first.kind, first.model.as_str()), (OrderKind::Unload, "m0"));
    bench.accepted(&first);
    assert!(
        orders(&bench.report(report(2, &["m0", "m1"]))).is_empty(),
        "its runs are still in progress"
    );
    let second = orders(&bench.report(report(2, &["m1"]))).remove(0);
    assert_eq!((second.kind, second.model.as_str()), (OrderKind::Load, "m5"));
    assert_eq!(second.sequence, 2);
}

/// Two entries send load requests at the same time and name the same eviction candidate. The second
/// is declined, or the same memory would be promised twice.
#[test]
fn candidate_is_evicted_for_one_load_only() {
    let mut bench = Bench::new(&["m0", "m1"]);
    assert_eq!(declines(&bench.request_load(load_request("m5", &["m0"]))), 0);
    assert_eq!(declines(&bench.request_load(load_request("m6", &["m0"]))), 1);
    assert_eq!(declines(&bench.request_load(load_request("m7", &["m1"]))), 0);
}

/// A request for a newly loaded model is still on its way. A load request that names the model as
/// eviction candidate is declined for a short time; otherwise models would evict each other before
/// serving any request.
#[test]
fn newly_loaded_model_is_not_evicted() {
    let mut bench = Bench::new(&["m0"]);
    bench.now += 1_000;
    bench.report(report(2, &["m0", "m5"]));
    assert_eq!(declines(&bench.request_load(load_request("m6", &["m5"]))), 1);
    bench.now += 400;
    assert_eq!(declines(&bench.request_load(load_request("m6", &["m5"]))), 0);
}

/// An order without an answer may still be carried out seconds later. It is repeated with the same
/// expected sequence, so that only one of the two can take effect.
#[test]
fn unanswered_order_is_repeated_with_its_sequence() {
    let mut bench = Bench::new(&["m0"]);
    let first = orders(&bench.request_load(load_request("m5", &[]))).remove(0);
    bench.step(SideEvent::OrderAnswered(first.number, OrderOutcome::Unknown, None));
    bench.now += 500;
    let again = orders(&bench.report(report(1, &["m0"]))).remove(0);
    assert_eq!(again, first);
    bench.step(SideEvent::OrderAnswered(first.number, OrderOutcome::Unknown, None));
    bench.now += 500;
    let effects = bench.report(EngineReport { busy: true, ..report(2, &["m0"]) });
    assert!(orders(&effects).is_empty(), "the sequence shows that one order was accepted");
}

/// The endpoint refuses an order because another one is in progress. The next order waits for a
/// report newer than the refusal; when it was sent at once, 150 orders a second were refused.
#[test]
fn retry_of_a_refused_order_waits_for_a_newer_report() {
    let mut bench = Bench::new(&["m0"]);
    let order = orders(&bench.request_load(load_request("m5", &[]))).remove(0);
    bench.now += 5;
    let effects = bench.step(SideEvent::OrderAnswered(order.number, OrderOutcome::Conflict, None));
    assert!(orders(&effects).is_empty());
    assert!(orders(&bench.step(SideEvent::Tick)).is_empty());
    assert_eq!(orders(&bench.report(report(1, &["m0"]))).len(), 1);
}

/// The endpoint crashes and restarts with an order count of zero and no fencing token. Nothing
/// planned for the previous incarnation applies.
#[test]
fn restart_of_the_endpoint_discards_the_plan() {
    let mut bench = Bench::new(&["m0", "m1"]);
    bench.report(report(7, &["m0", "m1"]));
    bench.request_load(load_request("m5", &["m0"]));
    bench.report(report(0, &[]));
    assert!(bench.side.state().unwrap().loading.is_empty());
    bench.step(SideEvent::NameReported("i2".to_owned()));
    let current = LoadRequest { instance: "i2".to_owned(), ..load_request("m5", &[]) };
    let order = orders(&bench.request_load(current)).remove(0);
    assert_eq!((order.sequence, order.token, order.instance.as_str()), (0, 1, "i2"));
}

/// A side restarts next to an endpoint that has accepted 41 orders. Its fencing token must not be
/// below the last one, although the side has no stored state and the platform store may be
/// unavailable.
#[test]
fn tokens_increase_across_side_restarts() {
    let mut first = Bench::new(&["m0"]);
    let before = orders(&first.request_load(load_request("m5", &[]))).remove(0).token;
    let mut second = Bench { side: PoolSide::new(ENGINE), now: 50 };
    second.step(SideEvent::Config(config(1)));
    second.report(report(41, &["m0"]));
    let after = orders(&second.request_load(load_request("m6", &[]))).remove(0).token;
    assert!(after >= before, "{after} after {before}");
    assert_eq!(after, 42);
}

/// An endpoint that is down refuses connections at once. It is polled at the usual rate and not as
/// fast as it refuses, which caused 21,000 polls in three seconds.
#[test]
fn unreachable_endpoint_is_polled_at_the_usual_rate() {
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

/// The endpoint refuses adapter orders while it loads or unloads a model. They wait and run before
/// the next model order: an adapter takes some ten milliseconds, a model at least hundreds.
#[test]
fn adapter_orders_run_between_model_orders() {
    let mut bench = Bench::new(&["m0", "m1"]);
    bench.request_load(load_request("m5", &["m1"]));
    let unload = orders(&bench.report(report(1, &["m0", "m1"]))).remove(0);
    bench.accepted(&unload);
    bench.request_load(LoadRequest { adapter: "a1".to_owned(), ..load_request("m0", &[]) });
    let busy = EngineReport { busy: true, ..report(2, &["m0", "m1"]) };
    assert!(orders(&bench.report(busy)).is_empty());
    let next = orders(&bench.report(report(2, &["m0"]))).remove(0);
    assert_eq!((next.model.as_str(), next.adapter.as_str()), ("m0", "a1"));
}

/// An endpoint has room for two adapters and both are loaded. The least recently used one is
/// evicted, and not one that a request is using.
#[test]
fn least_recently_used_adapter_is_evicted() {
    let mut bench = Bench::new(&["m0"]);
    let mut full = report(3, &["m0"]);
    full.models[0].adapters = vec!["a1".to_owned(), "a2".to_owned()];
    bench.report(full.clone());
    let used = |adapter: &str| {
        SideEvent::Usage(UsageReport {
            model: "m0".to_owned(),
            adapter: adapter.to_owned(),
            missed: false,
        })
    };
    bench.step(used("a1"));
    bench.now += 500;
    bench.step(used("a2"));
    let effects =
        bench.request_load(LoadRequest { adapter: "a3".to_owned(), ..load_request("m0", &[]) });
    let order = orders(&effects).remove(0);
    assert_eq!((order.kind, order.adapter.as_str()), (OrderKind::Unload, "a1"));
}

/// The weight store allows seven loads a second over all engines. With 28 engines, each may start
/// one load in four seconds, without coordination.
#[test]
fn store_rate_is_divided_by_the_engine_count() {
    let mut bench = Bench::new(&["m0"]);
    let uncached = |sequence: u64, models: &[&str]| EngineReport {
        on_disk: Vec::new(),
        ..report(sequence, models)
    };
    bench.report(uncached(1, &["m0"]));
    let load =
        orders(&bench.request_load(LoadRequest { engine_count: 28, ..load_request("m5", &[]) }))
            .remove(0);
    bench.accepted(&load);
    bench.now += 1_000;
    bench.report(uncached(2, &["m0", "m5"]));
    bench.now += 400;
    bench.report(uncached(2, &["m0", "m5"]));
    bench.request_load(LoadRequest {
        engine_count: 28,
        ttl_ms: 9_000,
        ..load_request("m6", &["m5"])
    });
    let unload = orders(&bench.report(uncached(2, &["m0", "m5"]))).remove(0);
    bench.accepted(&unload);
    assert!(orders(&bench.report(uncached(3, &["m0"]))).is_empty(), "too early");
    bench.now += 3_000;
    let order = orders(&bench.report(uncached(3, &["m0"]))).remove(0);
    assert_eq!((order.kind, order.model.as_str()), (OrderKind::Load, "m6"));
}

/// A load request names a previous incarnation of the endpoint. The side learns the current one
/// from the endpoint's refusal, publishes it to all entries, and declines further load requests for
/// the old one.
#[test]
fn incarnation_in_a_refusal_is_published() {
    let mut bench = Bench::new(&["m0"]);
    let order = orders(&bench.request_load(load_request("m5", &[]))).remove(0);
    let named = Some("i9".to_owned());
    let effects = bench.step(SideEvent::OrderAnswered(order.number, OrderOutcome::Rejected, named));
    assert_eq!(published(&effects).unwrap().instance, "i9");
    assert_eq!(declines(&bench.request_load(load_request("m6", &[]))), 1);
    let current = LoadRequest { instance: "i9".to_owned(), ..load_request("m6", &[]) };
    assert_eq!(declines(&bench.request_load(current)), 0);
}

/// An endpoint crashes and restarts, and entries use the previous instance name for about a second.
/// The side asks the endpoint for its name, sends no order under the old name meanwhile, and
/// publishes the new one.
#[test]
fn restarted_endpoint_is_asked_for_its_name() {
    let mut bench = Bench::new(&["m0"]);
    bench.step(SideEvent::NameReported("i1".to_owned()));
    let effects = bench.report(report(0, &[]));
    assert!(effects.contains(&SideEffect::QueryName("/health".to_owned())), "{effects:?}");
    assert_eq!(
        declines(&bench.request_load(load_request("m5", &[]))),
        1,
        "i1 is a previous incarnation"
    );
    let effects = bench.step(SideEvent::NameReported("i2".to_owned()));
    assert_eq!(published(&effects).unwrap().instance, "i2");
    let current = LoadRequest { instance: "i2".to_owned(), ..load_request("m5", &[]) };
    assert_eq!(orders(&bench.request_load(current))[0].instance, "i2");
}

/// An endpoint crashes before its first order, so that its sequence does not fall at the restart.
/// After a time without answers the side asks for its name again, and uses the known name until it
/// gets a reply.
#[test]
fn endpoint_that_was_unreachable_is_asked_for_its_name() {
    let mut bench = Bench::new(&["m0"]);
    bench.step(SideEvent::NameReported("i1".to_owned()));
    bench.now += 300;
    bench.step(SideEvent::Report(None));
    bench.now += 300;
    let effects = bench.report(report(1, &["m0"]));
    assert!(effects.contains(&SideEffect::QueryName("/health".to_owned())), "{effects:?}");
    assert_eq!(declines(&bench.request_load(load_request("m5", &[]))), 0);
}

/// An endpoint never reports its name. Load requests are declined for a second after its restart
/// and accepted after that, or it would stay empty forever.
#[test]
fn endpoint_that_reports_no_name_is_used_again() {
    let mut bench = Bench::new(&["m0"]);
    bench.report(report(0, &[]));
    assert_eq!(declines(&bench.request_load(load_request("m5", &[]))), 1);
    bench.now += 1_200;
    bench.report(report(0, &[]));
    assert_eq!(declines(&bench.request_load(load_request("m5", &[]))), 0);
}

/// An entry chooses the holder for an adapter by how long each one is blocked. The side reports the
/// remaining time of the current order separately from that of all planned orders.
#[test]
fn remaining_time_of_the_current_order_is_reported() {
    let mut bench = Bench::new(&["m0"]);
    let order = orders(&bench.request_load(load_request("m5", &[]))).remove(0);
    bench.accepted(&order);
    bench.request_load(load_request("m6", &["m0"]));
    bench.now += 300;
    let state = bench.side.state().unwrap();
    assert!((1..=800).contains(&state.order_eta_ms), "{}", state.order_eta_ms);
    assert!(state.load_eta_ms > 800, "{}", state.load_eta_ms);
}

/// Entries know of each other's requests only from the side. Guards against several of them
/// dispatching to an endpoint that has filled up since its last state, and against a message for
/// every single request or every 20 ms.
#[rstest]
#[case::one_more(4, 5, 100, false)]
#[case::two_more(4, 6, 100, true)]
#[case::two_less(4, 2, 100, true)]
#[case::a_little_of_many(40, 44, 100, false)]
#[case::a_quarter_of_many(40, 50, 100, true)]
#[case::too_soon(4, 8, 40, false)]
fn marked_change_of_load_is_published_at_once(
    #[case] before: u32,
    #[case] after: u32,
    #[case] later_ms: u64,
    #[case] expected: bool,
) {
    let mut bench = Bench::new(&["m0"]);
    bench.now += 500;
    bench.report(EngineReport { active: before, ..report(1, &["m0"]) });
    // A report comes 25 ms later.
    bench.now += later_ms - 25;
    let effects = bench.report(EngineReport { active: after, ..report(1, &["m0"]) });
    assert_eq!(published(&effects).is_some(), expected, "{effects:?}");
}
