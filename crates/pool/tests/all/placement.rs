//! Where models are fetched to, and what makes way for them.

use citronrill_pool::{EntryEffect, EntryEvent, Member, Reason};
use citronrill_wire::{ModelName, SideState};

use crate::support::{Bench, ENGINE, address, bare, member, refusal, sending, state, told, wanted};

/// What a side says whose models are asked for so often a second.
fn busy(rates: &[(&str, u32)]) -> SideState {
    let names = rates.iter().map(|(name, _)| *name).collect::<Vec<_>>();
    let mut state = state(1, &names);
    for (model, (_, rate)) in state.models.iter_mut().zip(rates) {
        model.rate_milli = rate * 1_000;
    }
    state
}

/// A request comes for a model that no endpoint holds. It waits, its model is fetched to the
/// endpoint where least is lost, and it goes there as soon as the side tells that it has come.
#[test]
fn a_request_waits_for_its_model() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1", "m2"])]);
    bench.step(EntryEvent::Side(address(1), state(1, &["m0"])));
    bench.step(EntryEvent::Side(address(2), state(1, &["m1", "m2"])));
    let (_, effects) = bench.ask("/draft/x", "m5");
    let (at, want) = wanted(&effects).unwrap();
    assert_eq!((at, want.model.as_str()), (address(1), "m5"));
    assert!(want.victims.is_empty(), "there is room beside m0");
    let effects = bench.step(EntryEvent::Side(address(1), state(2, &["m0", "m5"])));
    assert_eq!(sending(&effects).unwrap().instance, "i1");
}

/// The list lags by seconds and still names a model whose side said that it makes way. Requests
/// sent there were refused, one in eighteen on a calm day; they must go by the side's word.
#[test]
fn the_sides_word_stands_over_the_list() {
    let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
    let mut bench = Bench::new(members.clone());
    bench.step(EntryEvent::Side(address(2), state(3, &["m0"])));
    let mut leaving = state(3, &["m0"]);
    leaving.leaving = vec!["m0".to_owned()];
    bench.step(EntryEvent::Side(address(1), leaving));
    bench.list(9, members);
    for _ in 0..8 {
        let (_, effects) = bench.ask("/chat/x", "m0");
        assert_eq!(sending(&effects).unwrap().instance, "i2");
    }
}

/// A busy model has two replicas, and the instance of one loses power. The list names it for three
/// heartbeats more. A rare model must not push out the replica that is left.
#[test]
fn a_dark_endpoints_replica_does_not_count() {
    let members = vec![member(1, ENGINE, &["m0", "m1"]), member(2, ENGINE, &["m0", "m2"])];
    let mut bench = Bench::new(members);
    bench.step(EntryEvent::Side(address(1), busy(&[("m0", 10), ("m1", 1)])));
    bench.now += 2_500;
    bench.step(EntryEvent::Side(address(2), busy(&[("m0", 10), ("m2", 1)])));
    let (_, effects) = bench.ask("/draft/x", "m7");
    let (at, want) = wanted(&effects).unwrap();
    assert_eq!(at, address(2));
    assert_eq!(want.victims, vec!["m2".to_owned()]);
}

/// In a burst of rare models, a replica of a busy model is the cheapest to unload for each of them
/// alone; unloaded and fetched back by turns, it is away most of the time. It stays while the
/// remaining replicas would have to carry more than they should.
#[test]
fn a_burst_of_rare_models_leaves_busy_ones_alone() {
    let members = vec![member(1, ENGINE, &["m0", "m1"]), member(2, ENGINE, &["m0", "m2"])];
    let mut bench = Bench::new(members);
    bench.step(EntryEvent::Side(address(1), busy(&[("m0", 20), ("m1", 2)])));
    bench.step(EntryEvent::Side(address(2), busy(&[("m0", 20), ("m2", 2)])));
    for rare in ["m5", "m6", "m7"] {
        let (_, effects) = bench.ask("/draft/x", rare);
        if let Some((_, want)) = wanted(&effects) {
            assert!(!want.victims.contains(&"m0".to_owned()), "{rare} pushes out m0");
        }
    }
}

/// After a loss of power no endpoint has copies, and every model is asked for. The weight store
/// carries a few loads at full speed; twelve at once were measured to take three times as long and
/// to hold up as many endpoints. Further loads wait for their turn.
#[test]
fn loads_from_the_weight_store_are_bounded() {
    let mut members = (1..=9).map(|index| member(index, ENGINE, &[])).collect::<Vec<_>>();
    members.iter_mut().for_each(|member| member.on_disk.clear());
    let mut bench = Bench::new(members);
    let empty = || SideState { on_disk: Vec::new(), ..state(0, &[]) };
    for index in 1..=9 {
        bench.step(EntryEvent::Side(address(index), empty()));
    }
    let mut loading = 0;
    for index in 0..9 {
        let name = format!("m{index}");
        let (_, effects) = bench.ask("/draft/x", &name);
        if let Some((at, want)) = wanted(&effects) {
            let told = SideState {
                loading: vec![want.model.clone()],
                store_loads: 1,
                busy_ms: 6_000,
                ..empty()
            };
            loading += 1;
            bench.step(EntryEvent::Side(at, told));
        }
    }
    assert_eq!(loading, 1, "one at once for rare models on nine engines");
    let asked = (0..12).filter_map(|_| {
        let (_, effects) = bench.ask("/draft/x", "m9");
        wanted(&effects).map(|(_, want)| want.model.clone())
    });
    let asked = asked.collect::<Vec<_>>();
    assert_eq!(asked, vec!["m9".to_owned()], "a model that many wait for has its place");
}

/// A request has less time left than its model needs to come. It is refused at once and not held;
/// the model is still fetched, for those who come after.
#[test]
fn what_cannot_come_in_time_is_refused_at_once() {
    let mut far = member(1, ENGINE, &["m0"]);
    far.on_disk.clear();
    let mut bench = Bench::new(vec![far]);
    let told = SideState { on_disk: Vec::new(), ..state(1, &["m0"]) };
    bench.step(EntryEvent::Side(address(1), told));
    let (_, effects) = bench.ask("/chat/x", "m5");
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!(reason, Reason::TooFar);
    assert!(retry_ms.is_some());
    assert_eq!(wanted(&effects).unwrap().1.model, "m5");
}

/// A side's plan is full and it declines an adapter. Asked again with every event, it got 8,266
/// messages in three seconds; the entry pauses instead.
#[test]
fn a_declined_adapter_is_not_asked_for_at_once() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.step(EntryEvent::Side(address(1), state(1, &["m0"])));
    let (_, effects) = bench.ask("/draft/x", "m0/a1");
    assert_eq!(wanted(&effects).unwrap().1.adapter, "a1");
    let declined = ModelName { model: "m0".to_owned(), adapter: "a1".to_owned() };
    bench.step(EntryEvent::Declined(address(1), declined));
    for _ in 0..4 {
        assert!(wanted(&bench.wait(20)).is_none());
        let effects = bench.step(EntryEvent::Side(address(1), state(1, &["m0"])));
        assert!(wanted(&effects).is_none());
    }
    assert!(wanted(&bench.wait(300)).is_some(), "after the pause it is asked again");
}

/// Demand moves to a model with one replica. While that one is slow to answer, another is fetched.
#[test]
fn a_strained_model_gets_another_replica() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])]);
    bench.step(EntryEvent::Side(address(1), busy(&[("m0", 30)])));
    bench.step(EntryEvent::Side(address(2), state(1, &["m1"])));
    for _ in 0..26 {
        bench.ask("/chat/x", "m0");
    }
    let effects = bench.wait(20);
    let (at, want) = wanted(&effects).unwrap();
    assert_eq!((at, want.model.as_str()), (address(2), "m0"));
}

/// Demand moves to a model that no endpoint holds. Ten requests a second wait for it; when it has
/// come, its side has counted none of them yet, and a single request for a rare model would push it
/// out again. What callers asked for counts as demand, whether it was served or not.
#[test]
fn a_model_that_was_away_counts_as_asked_for() {
    let members = vec![member(1, ENGINE, &["m2", "m3"]), member(2, ENGINE, &["m1", "m4"])];
    let mut bench = Bench::new(members);
    bench.step(EntryEvent::Side(address(1), busy(&[("m2", 1), ("m3", 1)])));
    bench.step(EntryEvent::Side(address(2), busy(&[("m1", 1), ("m4", 1)])));
    for _ in 0..10 {
        bench.ask("/chat/x", "m0");
    }
    bench.step(EntryEvent::Side(address(1), busy(&[("m0", 0), ("m3", 1)])));
    let (_, effects) = bench.ask("/draft/x", "m7");
    let (_, want) = wanted(&effects).unwrap();
    assert!(!want.victims.contains(&"m0".to_owned()), "{:?}", want.victims);
}

/// An endpoint crashed and is up again under another name, which the list does not have yet. Its
/// side has: models are fetched to the new start at once, and the old name, which the list repeats
/// for a while, does not come back.
#[test]
fn a_restarted_endpoint_is_used_before_the_list_names_it() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.step(EntryEvent::Side(address(1), state(3, &["m0"])));
    let again = SideState { instance: "i1-b".to_owned(), ..state(0, &[]) };
    bench.step(EntryEvent::Side(address(1), again.clone()));
    bench.list(2, vec![member(1, ENGINE, &["m0"])]);
    let (_, effects) = bench.ask("/draft/x", "m5");
    assert_eq!(wanted(&effects).unwrap().1.instance, "i1-b");
    let there = SideState { instance: "i1-b".to_owned(), ..state(1, &["m5"]) };
    let effects = bench.step(EntryEvent::Side(address(1), there));
    assert_eq!(sending(&effects).unwrap().instance, "i1-b");
    // Once listed, the new start leaves like any other.
    let leaving = Member { instance: "i1-b".to_owned(), leaving: true, ..member(1, ENGINE, &[]) };
    bench.list(3, vec![leaving]);
    let (_, effects) = bench.ask("/draft/x", "m5");
    assert!(sending(&effects).is_none());
}

/// An address is used again by an endpoint of another service. What its side says must not make it
/// an endpoint of the first: requests would be run by a service that they were not meant for.
#[test]
fn a_side_of_another_service_names_no_endpoint() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    let other =
        SideState { instance: "x1".to_owned(), service: "other".to_owned(), ..state(0, &["m0"]) };
    bench.step(EntryEvent::Side(address(1), other));
    let (_, effects) = bench.ask("/chat/x", "m0");
    assert_eq!(sending(&effects).unwrap().instance, "i1");
}

/// Fifty requests a second come for a model with two replicas of 24 slots. Their slots are all but
/// taken, and a small swell would make everybody late: a third replica is fetched before that, though
/// another model in demand makes way for it. Not so while two carry them.
#[test]
fn a_replica_is_added_before_the_slots_are_taken() {
    let full = member(3, ENGINE, &["m1", "m2"]);
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"]), full]);
    bench.step(EntryEvent::Side(address(3), busy(&[("m1", 2), ("m2", 2)])));
    bench.step(EntryEvent::Side(address(2), busy(&[("m0", 18)])));
    bench.step(EntryEvent::Side(address(1), busy(&[("m0", 18)])));
    assert!(wanted(&bench.wait(20)).is_none(), "two carry 36");
    bench.step(EntryEvent::Side(address(1), busy(&[("m0", 32)])));
    let effects = bench.wait(20);
    let (at, want) = wanted(&effects).unwrap();
    assert_eq!((at, want.model.as_str()), (address(3), "m0"));
}

/// The instance with the only replica of a model with eight requests a second loses power, and with it
/// the only copy on a disk nearby. Callers were refused for six seconds, the time of a load from the
/// weight store; such a model has a second replica before that.
#[test]
fn a_model_in_demand_has_a_spare_replica() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])]);
    bench.step(EntryEvent::Side(address(2), busy(&[("m1", 1)])));
    bench.step(EntryEvent::Side(address(1), busy(&[("m0", 8)])));
    let effects = bench.wait(20);
    let (at, want) = wanted(&effects).unwrap();
    assert_eq!((at, want.model.as_str()), (address(2), "m0"));
    assert!(want.victims.is_empty());
    bench.step(EntryEvent::Side(address(2), busy(&[("m1", 1), ("m0", 0)])));
    assert!(wanted(&bench.wait(1_000)).is_none(), "one spare is enough");
}

/// All instances have lost power and no endpoint holds anything. Ten requests a second come for one
/// model: it needs two replicas, and both are fetched at once instead of one after the other.
#[test]
fn replicas_of_a_model_that_is_away_come_together() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &[]), member(2, ENGINE, &[])]);
    bench.step(EntryEvent::Side(address(1), state(0, &[])));
    bench.step(EntryEvent::Side(address(2), state(0, &[])));
    let (_, effects) = bench.ask("/chat/x", "m0");
    let (first, _) = wanted(&effects).unwrap();
    for _ in 0..9 {
        bench.ask("/chat/x", "m0");
        bench.wait(20);
    }
    let coming = SideState { loading: vec!["m0".to_owned()], ..state(0, &[]) };
    bench.step(EntryEvent::Side(first, coming));
    bench.wait(100);
    let there = SideState { ..state(1, &["m0"]) };
    let effects = [bench.step(EntryEvent::Side(first, there)), bench.wait(40)].concat();
    let (second, want) = wanted(&effects).unwrap();
    assert_eq!(want.model, "m0");
    assert_ne!(second, first);
}

/// All instances have power again and an entry hears of one side first. The model that callers wait
/// for lies on the disk of another instance, whose side is heard a moment later: it is fetched there
/// within a second, and not from the weight store in six.
#[test]
fn a_copy_that_is_about_to_be_heard_is_waited_for() {
    let bare = |index| Member { on_disk: Vec::new(), ..member(index, ENGINE, &[]) };
    let mut bench = Bench::new(vec![bare(1), member(2, ENGINE, &[])]);
    bench.step(EntryEvent::Side(address(1), SideState { on_disk: Vec::new(), ..state(0, &[]) }));
    let (_, effects) = bench.ask("/draft/x", "m5");
    assert!(wanted(&effects).is_none() && refusal(&effects).is_none(), "{effects:?}");
    let effects = bench.step(EntryEvent::Side(address(2), state(0, &[])));
    assert_eq!(wanted(&effects).unwrap().0, address(2));
}

/// The side of the instance with the copy does not come. The request is not held for it: after a
/// moment the model is loaded from the weight store.
#[test]
fn a_copy_that_is_not_heard_holds_nothing_up() {
    let bare = |index| Member { on_disk: Vec::new(), ..member(index, ENGINE, &[]) };
    let mut bench = Bench::new(vec![bare(1), member(2, ENGINE, &[])]);
    bench.step(EntryEvent::Side(address(1), SideState { on_disk: Vec::new(), ..state(0, &[]) }));
    bench.ask("/draft/x", "m5");
    bench.wait(1_000);
    bench.step(EntryEvent::Side(address(1), SideState { on_disk: Vec::new(), ..state(0, &[]) }));
    let effects = bench.wait(400);
    assert_eq!(wanted(&effects).unwrap().0, address(1));
}

/// Two entries get requests for the same model within milliseconds, and the side that the other one
/// asked is loading it already. It is waited for: a second load would take another engine's time, or
/// the weight store's, for the same callers.
#[test]
fn a_model_on_its_way_for_others_is_waited_for() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])]);
    let coming = |busy_ms| {
        let loading = vec!["m5".to_owned()];
        EntryEvent::Side(address(1), SideState { loading, busy_ms, ..state(1, &["m0"]) })
    };
    bench.step(coming(700));
    bench.step(EntryEvent::Side(address(2), state(1, &["m1"])));
    let (_, effects) = bench.ask("/draft/x", "m5");
    assert!(wanted(&effects).is_none() && refusal(&effects).is_none(), "{effects:?}");
    let effects = bench.step(EntryEvent::Side(address(1), state(2, &["m0", "m5"])));
    assert_eq!(sending(&effects).unwrap().instance, "i1");
    // From the weight store it would take six seconds, and the other endpoint has a copy.
    bench.step(EntryEvent::Side(address(1), state(3, &["m0"])));
    bench.step(coming(6_000));
    let (_, effects) = bench.ask("/draft/x", "m5");
    assert_eq!(wanted(&effects).unwrap().0, address(2));
}

/// A rare model can go to an endpoint that answers twenty requests a second with adapters, or to one
/// that answers one. While it is loaded no adapter is, so it goes where fewer wait for that.
#[test]
fn models_are_loaded_where_least_is_asked_for() {
    for (first, second, at) in [(20, 1, 2), (1, 20, 1)] {
        let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])];
        let mut bench = Bench::new(members);
        bench.step(EntryEvent::Side(address(1), busy(&[("m0", first)])));
        bench.step(EntryEvent::Side(address(2), busy(&[("m1", second)])));
        let (_, effects) = bench.ask("/draft/x", "m7");
        assert_eq!(wanted(&effects).unwrap().0, address(at));
    }
}

/// Two endpoints hold a model, and one of them has just begun to load another for a second. An adapter
/// goes to the one that is free, from every entry and whichever of them it leans to.
#[test]
fn an_adapter_goes_to_a_holder_that_is_free() {
    for (busy, free) in [(1, 2), (2, 1)] {
        let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
        let mut bench = Bench::new(members);
        let loading = SideState { order_ms: 900, ..state(1, &["m0"]) };
        bench.step(EntryEvent::Side(address(busy), loading));
        bench.step(EntryEvent::Side(address(free), state(1, &["m0"])));
        let (_, effects) = bench.ask("/chat/x", "m0/a3");
        assert_eq!(wanted(&effects).unwrap().0, address(free));
    }
}

/// Twenty requests a second go to a model of which one instance has the only copy. When that one is
/// taken away, a load from the weight store takes six seconds, in which all of them are refused. So a
/// second copy is fetched from the store at once, dear as that is.
#[test]
fn a_sole_copy_of_a_busy_model_gets_a_second() {
    let bare =
        |index, models: &[&str]| Member { on_disk: Vec::new(), ..member(index, ENGINE, models) };
    let told = |rates: &[(&str, u32)]| SideState { on_disk: Vec::new(), ..busy(rates) };
    let mut bench = Bench::new(vec![bare(1, &["m0"]), bare(2, &["m1", "m2"])]);
    bench.step(EntryEvent::Side(address(2), told(&[("m1", 1), ("m2", 1)])));
    bench.step(EntryEvent::Side(address(1), told(&[("m0", 20)])));
    let effects = bench.wait(20);
    let (at, want) = wanted(&effects).unwrap();
    assert_eq!((at, want.model.as_str()), (address(2), "m0"));
}

/// An endpoint that has copies only of what it holds, and what its side says.
fn alone(index: u8, rates: &[(&str, u32)]) -> (Member, SideState) {
    let names = rates.iter().map(|(name, _)| *name).collect::<Vec<_>>();
    (bare(index, &names), told(rates))
}

/// An entry that hears of these endpoints, and what it does in the tenth of a second after that.
fn first_moves(pool: Vec<(Member, SideState)>) -> Vec<EntryEffect> {
    let (members, told): (Vec<_>, Vec<_>) = pool.into_iter().unzip();
    let addresses = members.iter().map(|one| one.address).collect::<Vec<_>>();
    let mut bench = Bench::new(members);
    for (address, state) in addresses.into_iter().zip(told) {
        bench.step(EntryEvent::Side(address, state));
    }
    bench.wait(100)
}

/// Seven requests a second want a model that one instance holds, and no other has a copy. The weight
/// store stands idle, yet no second replica comes, and when that instance stands still all callers of
/// the model hang (22 of 27 streams, each `event=sent ... able=1`). Cause: the six seconds of the load
/// counted as time that callers wait, though the first replica serves them meanwhile.
#[test]
fn a_busy_model_gets_a_second_replica_from_an_idle_store() {
    let others = [alone(2, &[("m1", 4)]), alone(3, &[("m2", 4)])];
    let effects = first_moves([vec![alone(1, &[("m0", 7)])], others.to_vec()].concat());
    let (at, want) = wanted(&effects).expect("a second replica is asked for");
    assert_eq!(want.model, "m0");
    assert_ne!(at, address(1));
}

/// Most streams of a service want one model, which two instances hold and carry well. One of them stands
/// still: half of all callers hang until they leave, and their runs go on there unheard. A third instance
/// has room and a copy, so that a third replica costs nobody anything. Cause: replicas were counted by
/// what they can carry, never by how many callers are lost with one of them.
#[test]
fn a_replica_comes_where_many_would_hang_with_one() {
    let busy_model = [("m0", 10)];
    let spare = member(3, ENGINE, &[]);
    let pool = vec![alone(1, &busy_model), alone(2, &busy_model), (spare, state(1, &[]))];
    let effects = first_moves(pool);
    let (at, want) = wanted(&effects).expect("a third replica is asked for");
    assert_eq!((at, want.model.as_str()), (address(3), "m0"));
    assert!(want.victims.is_empty());
}

/// The same, but the third instance is full of models that callers ask for: to push one of them out
/// would cost more callers than a standstill does by chance.
#[test]
fn a_replica_against_standstills_pushes_out_nothing_in_demand() {
    let busy_model = [("m0", 10)];
    let full = [("m1", 2), ("m2", 2)];
    let (full, mut told) = alone(3, &full);
    told.on_disk.push("m0".to_owned());
    let pool = vec![alone(1, &busy_model), alone(2, &busy_model), (full, told)];
    let effects = first_moves(pool);
    let asked = effects.iter().filter_map(|effect| wanted(std::slice::from_ref(effect)));
    assert!(asked.into_iter().all(|(_, want)| want.model != "m0"));
}

/// Instances with 96 slots in these zones that all hold `m0`, as an entry in zone `a` hears them.
fn wide_holders(zones: &[&str]) -> Bench {
    let wide = |(index, zone): (u8, &&str)| Member {
        slots: 96,
        zone: (*zone).to_owned(),
        ..member(index, ENGINE, &["m0"])
    };
    let members = (1..).zip(zones).map(wide).collect::<Vec<_>>();
    let addresses = members.iter().map(|one| one.address).collect::<Vec<_>>();
    let mut bench = Bench::new(members);
    for address in addresses {
        bench.step(EntryEvent::Side(address, state(1, &["m0"])));
    }
    bench
}

/// How many of so many streams for `m0` go to the first instance; none of them ends.
fn sent_to_first(bench: &mut Bench, streams: u32) -> usize {
    let instances = (0..streams).map(|_| {
        let (_, effects) = bench.ask("/draft/x", "m0");
        sending(&effects).unwrap().instance.clone()
    });
    instances.filter(|instance| instance == "i1").count()
}

/// Two instances hold the model of all callers, and the entry is in the zone of one. Engines take a hundred
/// requests at once, so that none looks full, and all 24 streams go to the one in the zone. It stands still:
/// every caller hangs, and those who leave cannot be told there (12 of 24 streams at one endpoint of nine in
/// the run that showed it, and 5 of 17 runs that went on). Cause: what one endpoint has of all was no cost.
#[test]
fn no_holder_gets_nearly_all_streams() {
    let near = sent_to_first(&mut wide_holders(&["a", "b"]), 24);
    assert!((12..=15).contains(&near), "the near one has a little more: {near} of 24");
}

/// A pool with little to do: the first of three streams is all that runs. It says nothing of how streams are
/// spread, and the others are not sent to another zone for it.
#[test]
fn a_few_streams_stay_in_their_zone() {
    assert_eq!(sent_to_first(&mut wide_holders(&["a", "b"]), 3), 3);
}
