//! Placement of models on endpoints, and the choice of eviction candidates.

use citronrill_pool::{EntryEffect, EntryEvent, Member, Reason};
use citronrill_wire::{ModelName, SideState};

use crate::support::{
    Bench, ENGINE, address, bare, dispatch, member, refusal, requested_load, state,
    state_with_rates,
};

/// State reported by a side, with the request rate (per second) of each model.
fn busy(rates: &[(&str, u32)]) -> SideState {
    let names = rates.iter().map(|(name, _)| *name).collect::<Vec<_>>();
    let mut state = state(1, &names);
    for (model, (_, rate)) in state.models.iter_mut().zip(rates) {
        model.rate_milli = rate * 1_000;
    }
    state
}

/// A request needs a model that no endpoint has loaded. It waits while the model is loaded at the
/// endpoint with the lowest cost, and is dispatched as soon as the side reports the model.
#[test]
fn request_waits_for_its_model() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1", "m2"])]);
    bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
    bench.step(EntryEvent::SideReport(address(2), state(1, &["m1", "m2"])));
    let (_, effects) = bench.request("/draft/x", "m5");
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.model.as_str()), (address(1), "m5"));
    assert!(load_request.eviction_candidates.is_empty(), "memory suffices for both models");
    let effects = bench.step(EntryEvent::SideReport(address(1), state(2, &["m0", "m5"])));
    assert_eq!(dispatch(&effects).unwrap().instance, "i1");
}

/// The member list lags by seconds and still names a model that its side reports as being evicted.
/// Requests dispatched there were refused (one request in eighteen under normal load); the side's
/// report must decide.
#[test]
fn side_state_overrides_the_member_list() {
    let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
    let mut bench = Bench::new(members.clone());
    bench.step(EntryEvent::SideReport(address(2), state(3, &["m0"])));
    let mut evicting = state(3, &["m0"]);
    evicting.evicting = vec!["m0".to_owned()];
    bench.step(EntryEvent::SideReport(address(1), evicting));
    bench.set_members(9, members);
    for _ in 0..8 {
        let (_, effects) = bench.request("/chat/x", "m0");
        assert_eq!(dispatch(&effects).unwrap().instance, "i2");
    }
}

/// A busy model has two replicas, and the instance of one loses power. The member list names it for
/// three more heartbeats. A rare model must not evict the remaining replica.
#[test]
fn replica_of_a_silent_side_does_not_count() {
    let members = vec![member(1, ENGINE, &["m0", "m1"]), member(2, ENGINE, &["m0", "m2"])];
    let mut bench = Bench::new(members);
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", 10), ("m1", 1)])));
    bench.now += 2_500;
    bench.step(EntryEvent::SideReport(address(2), busy(&[("m0", 10), ("m2", 1)])));
    let (_, effects) = bench.request("/draft/x", "m7");
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!(at, address(2));
    assert_eq!(load_request.eviction_candidates, vec!["m2".to_owned()]);
}

/// In a burst of requests for rare models, a replica of a busy model is the cheapest eviction for
/// each of them alone; if it were evicted and reloaded in turn, it would be missing most of the
/// time. It stays while the remaining replicas would be overloaded without it.
#[test]
fn burst_of_rare_models_does_not_evict_busy_ones() {
    let members = vec![member(1, ENGINE, &["m0", "m1"]), member(2, ENGINE, &["m0", "m2"])];
    let mut bench = Bench::new(members);
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", 20), ("m1", 2)])));
    bench.step(EntryEvent::SideReport(address(2), busy(&[("m0", 20), ("m2", 2)])));
    for rare in ["m5", "m6", "m7"] {
        let (_, effects) = bench.request("/draft/x", rare);
        if let Some((_, load_request)) = requested_load(&effects) {
            assert!(
                !load_request.eviction_candidates.contains(&"m0".to_owned()),
                "{rare} evicts m0"
            );
        }
    }
}

/// Guards against rare models that occupy the weight store when the only instances with a busy model's
/// weights leave: with two of their loads beside it, the busy model took twice its load time, and its
/// callers were refused for 24 s instead of 10.
#[test]
fn rare_models_leave_room_in_the_store_for_one_in_demand() {
    let mut members = (1..=24).map(|index| member(index, ENGINE, &[])).collect::<Vec<_>>();
    members.iter_mut().for_each(|member| member.on_disk.clear());
    let mut bench = Bench::new(members);
    let empty = || SideState { on_disk: Vec::new(), ..state(0, &[]) };
    for index in 1..=24 {
        bench.step(EntryEvent::SideReport(address(index), empty()));
    }
    let mut loading = Vec::new();
    for name in ["m1", "m2", "m3", "m0", "m0", "m0", "m0", "m0", "m0"] {
        let (_, effects) = bench.request("/draft/x", name);
        if let Some((at, load_request)) = requested_load(&effects) {
            loading.push(load_request.model.clone());
            let state = SideState {
                loading: vec![load_request.model.clone()],
                store_loads: 1,
                load_eta_ms: 6_000,
                ..empty()
            };
            bench.step(EntryEvent::SideReport(at, state));
        }
    }
    assert_eq!(loading, ["m1", "m0"]);
}

/// After a power loss no endpoint has cached weights, and every model is requested. The weight
/// store serves a few loads at full speed; twelve at once take three times as long and block as
/// many endpoints. Further loads wait for their turn.
#[test]
fn loads_from_the_weight_store_are_bounded() {
    let mut members = (1..=9).map(|index| member(index, ENGINE, &[])).collect::<Vec<_>>();
    members.iter_mut().for_each(|member| member.on_disk.clear());
    let mut bench = Bench::new(members);
    let empty = || SideState { on_disk: Vec::new(), ..state(0, &[]) };
    for index in 1..=9 {
        bench.step(EntryEvent::SideReport(address(index), empty()));
    }
    let mut loading = 0;
    for index in 0..9 {
        let name = format!("m{index}");
        let (_, effects) = bench.request("/draft/x", &name);
        if let Some((at, load_request)) = requested_load(&effects) {
            let state = SideState {
                loading: vec![load_request.model.clone()],
                store_loads: 1,
                load_eta_ms: 6_000,
                ..empty()
            };
            loading += 1;
            bench.step(EntryEvent::SideReport(at, state));
        }
    }
    assert_eq!(loading, 1, "one load at a time for rare models on nine engines");
    let requested = (0..12).filter_map(|_| {
        let (_, effects) = bench.request("/draft/x", "m9");
        requested_load(&effects).map(|(_, load_request)| load_request.model.clone())
    });
    let requested = requested.collect::<Vec<_>>();
    assert_eq!(
        requested,
        vec!["m9".to_owned()],
        "a model with many waiting requests is loaded too"
    );
}

/// A request has less time left than its model needs to load. It is refused at once and not held;
/// the model is still loaded, for later requests.
#[test]
fn request_is_refused_at_once_if_its_model_cannot_load_in_time() {
    let mut uncached = member(1, ENGINE, &["m0"]);
    uncached.on_disk.clear();
    let mut bench = Bench::new(vec![uncached]);
    let state = SideState { on_disk: Vec::new(), ..state(1, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(1), state));
    let (_, effects) = bench.request("/chat/x", "m5");
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!(reason, Reason::TooLate);
    assert!(retry_ms.is_some());
    assert_eq!(requested_load(&effects).unwrap().1.model, "m5");
}

/// A side with a full plan declines an adapter. Repeating the load request on every event sent it
/// 8,266 messages in three seconds; the entry pauses instead.
#[test]
fn declined_adapter_is_requested_after_a_pause() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
    let (_, effects) = bench.request("/draft/x", "m0/a1");
    assert_eq!(requested_load(&effects).unwrap().1.adapter, "a1");
    let declined = ModelName { model: "m0".to_owned(), adapter: "a1".to_owned() };
    bench.step(EntryEvent::LoadDeclined(address(1), declined));
    for _ in 0..4 {
        assert!(requested_load(&bench.advance(20)).is_none());
        let effects = bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
        assert!(requested_load(&effects).is_none());
    }
    assert!(requested_load(&bench.advance(300)).is_some(), "requested again after the pause");
}

/// Demand shifts to a model with one replica. While that replica is slow to respond, another one is
/// loaded.
#[test]
fn overloaded_model_gets_another_replica() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])]);
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", 30)])));
    bench.step(EntryEvent::SideReport(address(2), state(1, &["m1"])));
    for _ in 0..26 {
        bench.request("/chat/x", "m0");
    }
    let effects = bench.advance(20);
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.model.as_str()), (address(2), "m0"));
}

/// Demand shifts to a model that no endpoint has loaded, and ten requests a second wait for it.
/// When it is loaded, its side has counted none of them yet, and a single request for a rare model
/// would evict it again. Requests count as demand whether they were served or not.
#[test]
fn unserved_requests_count_as_demand() {
    let members = vec![member(1, ENGINE, &["m2", "m3"]), member(2, ENGINE, &["m1", "m4"])];
    let mut bench = Bench::new(members);
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m2", 1), ("m3", 1)])));
    bench.step(EntryEvent::SideReport(address(2), busy(&[("m1", 1), ("m4", 1)])));
    for _ in 0..10 {
        bench.request("/chat/x", "m0");
    }
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", 0), ("m3", 1)])));
    let (_, effects) = bench.request("/draft/x", "m7");
    let (_, load_request) = requested_load(&effects).unwrap();
    assert!(
        !load_request.eviction_candidates.contains(&"m0".to_owned()),
        "{:?}",
        load_request.eviction_candidates
    );
}

/// An endpoint crashed and restarted under a new name that its side knows but the member list does
/// not. Models are loaded at the new incarnation at once, and the old name, which the member list
/// repeats for a while, does not come back.
#[test]
fn restarted_endpoint_is_used_before_it_is_listed() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.step(EntryEvent::SideReport(address(1), state(3, &["m0"])));
    let restarted = SideState { instance: "i1-b".to_owned(), ..state(0, &[]) };
    bench.step(EntryEvent::SideReport(address(1), restarted.clone()));
    bench.set_members(2, vec![member(1, ENGINE, &["m0"])]);
    let (_, effects) = bench.request("/draft/x", "m5");
    assert_eq!(requested_load(&effects).unwrap().1.instance, "i1-b");
    let loaded_state = SideState { instance: "i1-b".to_owned(), ..state(1, &["m5"]) };
    let effects = bench.step(EntryEvent::SideReport(address(1), loaded_state));
    assert_eq!(dispatch(&effects).unwrap().instance, "i1-b");
    // Once listed, the new incarnation leaves like any other.
    let leaving = Member { instance: "i1-b".to_owned(), leaving: true, ..member(1, ENGINE, &[]) };
    bench.set_members(3, vec![leaving]);
    let (_, effects) = bench.request("/draft/x", "m5");
    assert!(dispatch(&effects).is_none());
}

/// An endpoint of another service reuses an address. The report of its side must not make it an
/// endpoint of the first service, or it would receive requests not meant for it.
#[test]
fn side_of_another_service_does_not_rename_an_endpoint() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    let other =
        SideState { instance: "x1".to_owned(), service: "other".to_owned(), ..state(0, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(1), other));
    let (_, effects) = bench.request("/chat/x", "m0");
    assert_eq!(dispatch(&effects).unwrap().instance, "i1");
}

/// Fifty requests a second go to a model with two replicas of 24 slots. With nearly all slots
/// taken, a small increase would delay every request. A third replica is loaded before that, even
/// if another model in demand is evicted for it, but not while two replicas suffice.
#[test]
fn replica_is_added_before_the_slots_are_full() {
    let full = member(3, ENGINE, &["m1", "m2"]);
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"]), full]);
    bench.step(EntryEvent::SideReport(address(3), busy(&[("m1", 2), ("m2", 2)])));
    bench.step(EntryEvent::SideReport(address(2), busy(&[("m0", 18)])));
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", 18)])));
    assert!(requested_load(&bench.advance(20)).is_none(), "two replicas suffice for 36");
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", 32)])));
    let effects = bench.advance(20);
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.model.as_str()), (address(3), "m0"));
}

/// The instance with the only replica of a model with eight requests a second loses power, and with
/// it the only nearby disk with cached weights. Requests were refused for the six seconds of a load
/// from the weight store. Such a model gets a second replica in advance.
#[test]
fn model_in_demand_has_a_spare_replica() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])]);
    bench.step(EntryEvent::SideReport(address(2), busy(&[("m1", 1)])));
    bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", 8)])));
    let effects = bench.advance(20);
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.model.as_str()), (address(2), "m0"));
    assert!(load_request.eviction_candidates.is_empty());
    bench.step(EntryEvent::SideReport(address(2), busy(&[("m1", 1), ("m0", 0)])));
    assert!(requested_load(&bench.advance(1_000)).is_none(), "one spare replica is enough");
}

/// All instances lost power and no model is loaded. A model with ten requests a second needs two
/// replicas; both are loaded at the same time instead of one after the other.
#[test]
fn replicas_of_a_missing_model_are_loaded_concurrently() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &[]), member(2, ENGINE, &[])]);
    bench.step(EntryEvent::SideReport(address(1), state(0, &[])));
    bench.step(EntryEvent::SideReport(address(2), state(0, &[])));
    let (_, effects) = bench.request("/chat/x", "m0");
    let (first, _) = requested_load(&effects).unwrap();
    for _ in 0..9 {
        bench.request("/chat/x", "m0");
        bench.advance(20);
    }
    let loading_state = SideState { loading: vec!["m0".to_owned()], ..state(0, &[]) };
    bench.step(EntryEvent::SideReport(first, loading_state));
    bench.advance(100);
    let loaded_state = SideState { ..state(1, &["m0"]) };
    let effects =
        [bench.step(EntryEvent::SideReport(first, loaded_state)), bench.advance(40)].concat();
    let (second, load_request) = requested_load(&effects).unwrap();
    assert_eq!(load_request.model, "m0");
    assert_ne!(second, first);
}

/// After a power loss, an entry receives one side's report first. The weights of a requested model
/// are cached on the disk of another instance, whose side reports a moment later: the model loads
/// there within a second, and not from the weight store in six.
#[test]
fn load_waits_briefly_for_a_side_that_may_report_cached_weights() {
    let bare = |index| Member { on_disk: Vec::new(), ..member(index, ENGINE, &[]) };
    let mut bench = Bench::new(vec![bare(1), member(2, ENGINE, &[])]);
    bench.step(EntryEvent::SideReport(
        address(1),
        SideState { on_disk: Vec::new(), ..state(0, &[]) },
    ));
    let (_, effects) = bench.request("/draft/x", "m5");
    assert!(requested_load(&effects).is_none() && refusal(&effects).is_none(), "{effects:?}");
    let effects = bench.step(EntryEvent::SideReport(address(2), state(0, &[])));
    assert_eq!(requested_load(&effects).unwrap().0, address(2));
}

/// The side of the instance with the cached weights does not report. After a short wait the model
/// is loaded from the weight store.
#[test]
fn load_does_not_wait_long_for_a_missing_side() {
    let bare = |index| Member { on_disk: Vec::new(), ..member(index, ENGINE, &[]) };
    let mut bench = Bench::new(vec![bare(1), member(2, ENGINE, &[])]);
    bench.step(EntryEvent::SideReport(
        address(1),
        SideState { on_disk: Vec::new(), ..state(0, &[]) },
    ));
    bench.request("/draft/x", "m5");
    bench.advance(1_000);
    bench.step(EntryEvent::SideReport(
        address(1),
        SideState { on_disk: Vec::new(), ..state(0, &[]) },
    ));
    let effects = bench.advance(400);
    assert_eq!(requested_load(&effects).unwrap().0, address(1));
}

/// Two entries get requests for the same model within milliseconds, and a side is already loading
/// it for the other entry. A second load for the same callers would occupy another engine or the
/// weight store.
#[test]
fn load_requested_by_another_entry_is_waited_for() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])]);
    let loading_state = |load_eta_ms| {
        let loading = vec!["m5".to_owned()];
        EntryEvent::SideReport(address(1), SideState { loading, load_eta_ms, ..state(1, &["m0"]) })
    };
    bench.step(loading_state(700));
    bench.step(EntryEvent::SideReport(address(2), state(1, &["m1"])));
    let (_, effects) = bench.request("/draft/x", "m5");
    assert!(requested_load(&effects).is_none() && refusal(&effects).is_none(), "{effects:?}");
    let effects = bench.step(EntryEvent::SideReport(address(1), state(2, &["m0", "m5"])));
    assert_eq!(dispatch(&effects).unwrap().instance, "i1");
    // The weight store would take six seconds, and the other endpoint has the weights cached.
    bench.step(EntryEvent::SideReport(address(1), state(3, &["m0"])));
    bench.step(loading_state(6_000));
    let (_, effects) = bench.request("/draft/x", "m5");
    assert_eq!(requested_load(&effects).unwrap().0, address(2));
}

/// A rare model can be loaded at an endpoint with twenty requests a second that use adapters, or at
/// one with one request a second. A model load blocks adapter loads, so it goes where fewer
/// requests wait for one.
#[test]
fn models_are_loaded_where_demand_is_lowest() {
    for (first, second, at) in [(20, 1, 2), (1, 20, 1)] {
        let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])];
        let mut bench = Bench::new(members);
        bench.step(EntryEvent::SideReport(address(1), busy(&[("m0", first)])));
        bench.step(EntryEvent::SideReport(address(2), busy(&[("m1", second)])));
        let (_, effects) = bench.request("/draft/x", "m7");
        assert_eq!(requested_load(&effects).unwrap().0, address(at));
    }
}

/// Two endpoints hold a model, and one of them has just begun to load another model, which takes a
/// second. The adapter is loaded at the idle one, whichever holder the entry prefers otherwise.
#[test]
fn adapter_is_loaded_at_an_idle_holder() {
    for (busy, free) in [(1, 2), (2, 1)] {
        let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
        let mut bench = Bench::new(members);
        let loading = SideState { order_eta_ms: 900, ..state(1, &["m0"]) };
        bench.step(EntryEvent::SideReport(address(busy), loading));
        bench.step(EntryEvent::SideReport(address(free), state(1, &["m0"])));
        let (_, effects) = bench.request("/chat/x", "m0/a3");
        assert_eq!(requested_load(&effects).unwrap().0, address(free));
    }
}

/// A model has twenty requests a second and one instance has its only cached weights. Without that
/// instance, a load from the weight store takes six seconds, in which all requests are refused. A
/// second copy is therefore loaded from the weight store at once, despite the cost.
#[test]
fn only_copy_of_a_busy_model_gets_a_second() {
    let bare =
        |index, models: &[&str]| Member { on_disk: Vec::new(), ..member(index, ENGINE, models) };
    let state_of = |rates: &[(&str, u32)]| SideState { on_disk: Vec::new(), ..busy(rates) };
    let mut bench = Bench::new(vec![bare(1, &["m0"]), bare(2, &["m1", "m2"])]);
    bench.step(EntryEvent::SideReport(address(2), state_of(&[("m1", 1), ("m2", 1)])));
    bench.step(EntryEvent::SideReport(address(1), state_of(&[("m0", 20)])));
    let effects = bench.advance(20);
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.model.as_str()), (address(2), "m0"));
}

/// An endpoint that caches only the weights of its loaded models, and the state its side reports.
fn bare_endpoint(index: u8, rates: &[(&str, u32)]) -> (Member, SideState) {
    let names = rates.iter().map(|(name, _)| *name).collect::<Vec<_>>();
    (bare(index, &names), state_with_rates(rates))
}

/// Returns the effects of an entry within 100 ms after it has received the state of these
/// endpoints.
fn initial_effects(pool: Vec<(Member, SideState)>) -> Vec<EntryEffect> {
    let (members, states): (Vec<_>, Vec<_>) = pool.into_iter().unzip();
    let addresses = members.iter().map(|member| member.address).collect::<Vec<_>>();
    let mut bench = Bench::new(members);
    for (address, state) in addresses.into_iter().zip(states) {
        bench.step(EntryEvent::SideReport(address, state));
    }
    bench.advance(100)
}

/// A model with seven requests a second is loaded at one instance, and no other has its weights
/// cached. Guards against loading no second replica although the weight store is idle: all callers
/// of the model hung when that instance stalled (22 of 27 streams, each `event=sent ... able=1`).
/// The six seconds of the load counted as waiting time of callers, although the first replica
/// served them meanwhile.
#[test]
fn busy_model_gets_a_second_replica_from_an_idle_store() {
    let others = [bare_endpoint(2, &[("m1", 4)]), bare_endpoint(3, &[("m2", 4)])];
    let effects = initial_effects([vec![bare_endpoint(1, &[("m0", 7)])], others.to_vec()].concat());
    let (at, load_request) = requested_load(&effects).expect("a second replica is requested");
    assert_eq!(load_request.model, "m0");
    assert_ne!(at, address(1));
}

/// Most streams of a service use one model, which two instances serve without overload. When one of
/// them stalls, half of all callers hang until they leave, and their runs continue there. A third
/// instance has free memory and cached weights, so a third replica costs nothing. Guards against a
/// number of replicas that covers the load, but ignores the callers lost when one of them stalls.
#[test]
fn replica_is_added_where_many_streams_depend_on_one() {
    let busy_model = [("m0", 10)];
    let spare = member(3, ENGINE, &[]);
    let pool =
        vec![bare_endpoint(1, &busy_model), bare_endpoint(2, &busy_model), (spare, state(1, &[]))];
    let effects = initial_effects(pool);
    let (at, load_request) = requested_load(&effects).expect("a third replica is requested");
    assert_eq!((at, load_request.model.as_str()), (address(3), "m0"));
    assert!(load_request.eviction_candidates.is_empty());
}

/// A replica against stalls is not loaded if the third instance is full of models in demand:
/// evicting one of them would cost more callers than the possible stall.
#[test]
fn replica_against_stalls_evicts_no_model_in_demand() {
    let busy_model = [("m0", 10)];
    let full = [("m1", 2), ("m2", 2)];
    let (full, mut full_state) = bare_endpoint(3, &full);
    full_state.on_disk.push("m0".to_owned());
    let pool =
        vec![bare_endpoint(1, &busy_model), bare_endpoint(2, &busy_model), (full, full_state)];
    let effects = initial_effects(pool);
    let requested =
        effects.iter().filter_map(|effect| requested_load(std::slice::from_ref(effect)));
    assert!(requested.into_iter().all(|(_, load_request)| load_request.model != "m0"));
}

/// Instances with 96 slots in the given zones that all have `m0` loaded, seen by an entry in zone
/// `a`.
fn wide_holders(zones: &[&str]) -> Bench {
    let wide = |(index, zone): (u8, &&str)| Member {
        slots: 96,
        zone: (*zone).to_owned(),
        ..member(index, ENGINE, &["m0"])
    };
    let members = (1..).zip(zones).map(wide).collect::<Vec<_>>();
    let addresses = members.iter().map(|member| member.address).collect::<Vec<_>>();
    let mut bench = Bench::new(members);
    for address in addresses {
        bench.step(EntryEvent::SideReport(address, state(1, &["m0"])));
    }
    bench
}

/// Returns how many of `streams` streams for `m0` go to the first instance; none of them ends.
fn sent_to_first(bench: &mut Bench, streams: u32) -> usize {
    let instances = (0..streams).map(|_| {
        let (_, effects) = bench.request("/draft/x", "m0");
        dispatch(&effects).unwrap().instance.clone()
    });
    instances.filter(|instance| instance == "i1").count()
}

/// Two instances hold the model of all callers, and the entry is in the zone of one. An engine with
/// a hundred slots never looks full, so all 24 streams went to the near instance while the share of
/// streams at one endpoint had no cost. When that instance stalled, every caller hung, and runs of
/// callers that left could not be cancelled (12 of 24 streams at one endpoint of nine, and 5 of 17
/// runs that continued).
#[test]
fn no_holder_gets_nearly_all_streams() {
    let near = sent_to_first(&mut wide_holders(&["a", "b"]), 24);
    assert!((12..=15).contains(&near), "slightly more at the near one: {near} of 24");
}

/// With little load, the first of three streams is the only one running. This says nothing about
/// the distribution of streams, and the others must not be sent to another zone because of it.
#[test]
fn few_streams_stay_in_their_zone() {
    assert_eq!(sent_to_first(&mut wide_holders(&["a", "b"]), 3), 3);
}
