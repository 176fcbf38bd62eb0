//! Loads from the weight store have one owner over all entries.

mod failures;
mod fleet;
mod queue;
mod residency;

use rstest::rstest;

use self::fleet::Fleet;

/// A model that nobody has was refused for 53 s before it was ready: refused callers did not count, and
/// three entries began it in the same millisecond, each at a third of the store's speed.
#[rstest]
fn one_missing_model_is_loaded_once_and_at_once(#[values(22, 68)] entries: usize) {
    let mut fleet = Fleet::new(entries, 8, true);
    fleet.load = vec![("m1".to_owned(), 20.0)];
    fleet.run(9_000);
    let loads = fleet.loads_of("m1");
    assert_eq!(loads.len(), 1, "{loads:?}");
    let delay_ms = loads[0].at - fleet.first_refusal["m1"];
    let ready_ms = fleet.ready["m1"] - fleet.first_refusal["m1"];
    println!(
        "{entries} entries: begun {delay_ms} ms and ready {ready_ms} ms after the first refusal"
    );
    assert!(delay_ms < 1_000, "begun {delay_ms} ms after the first refusal");
    assert!(fleet.served["m1"] > 0);
}

/// The store carries one load at full speed. Every model is loaded once, and as soon as the loads show it,
/// one at a time: several at once make all of them late.
#[rstest]
fn several_missing_models_take_turns(#[values(22, 68)] entries: usize) {
    let mut fleet = Fleet::new(entries, 8, true);
    let models = ["m1", "m2", "m3", "m4", "m5"];
    let rates = [4.0, 12.0, 8.0, 6.0, 2.0];
    fleet.load =
        models.iter().zip(rates).map(|(model, rate)| ((*model).to_owned(), rate)).collect();
    fleet.run(45_000);
    let begun = fleet.begun.iter().map(|begun| (begun.at, begun.model.as_str(), begun.concurrent));
    println!("{entries} entries: {:?}", begun.collect::<Vec<_>>());
    for model in models {
        assert_eq!(fleet.loads_of(model).len(), 1, "{model}: {:?}", fleet.begun);
        assert!(fleet.is_held(model), "{model}");
    }
    assert!(fleet.begun.iter().all(|begun| begun.concurrent <= 2), "{:?}", fleet.begun);
    assert!(fleet.begun[2..].iter().all(|begun| begun.concurrent == 1), "{:?}", fleet.begun);
}

/// Deployments whose settings and endpoints do not call for it keep their turns: no reports are sent.
#[rstest]
fn without_scheduling_by_wait_nothing_is_reported(#[values(4, 22, 68)] entries: usize) {
    let mut fleet = Fleet::new(entries, 8, false);
    fleet.load = vec![("m1".to_owned(), 20.0)];
    fleet.run(15_000);
    let loads = fleet.loads_of("m1");
    let first_refusal = fleet.first_refusal["m1"];
    let begun = loads.iter().map(|load| (load.at - first_refusal, load.concurrent));
    println!(
        "{entries} entries in turns: {:?}, ready {:?}",
        begun.collect::<Vec<_>>(),
        fleet.ready.get("m1").map(|at| at - first_refusal)
    );
    assert!(fleet.queues.is_empty());
    assert!(!loads.is_empty());
}
