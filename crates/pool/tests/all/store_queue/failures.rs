//! One failure each, in a fleet with a model in demand that no endpoint has.

use citronrill_pool::SideLoss;
use rstest::rstest;

use super::fleet::Fleet;

const MODEL: &str = "m1";

fn fleet(per_s: f64) -> Fleet {
    let mut fleet = Fleet::new(8, 6, true);
    fleet.load = vec![(MODEL.to_owned(), per_s)];
    fleet
}

/// The owner is killed or cut off while a load is in progress: the next collector sees the load and grants it
/// no second time.
#[rstest]
fn a_new_owner_does_not_repeat_a_load(
    #[values(SideLoss::Closed, SideLoss::Silent)] loss: SideLoss,
) {
    let mut fleet = fleet(20.0);
    let owner = fleet.queue();
    fleet.run(1_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 1);
    assert_ne!(fleet.begun[0].engine, owner, "the test kills the side of another engine");
    fleet.lose_side(owner, loss);
    assert_ne!(fleet.queue(), owner);
    fleet.run(8_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 1, "{:?}", fleet.begun);
    assert!(fleet.is_held(MODEL));
}

/// The owner is killed before anything was refused: the next one grants within half a second of its first
/// reports, and a second after the refusals.
#[test]
fn a_new_owner_grants_after_it_has_heard_all_entries() {
    let mut fleet = fleet(0.0);
    let owner = fleet.queue();
    fleet.lose_side(owner, SideLoss::Closed);
    fleet.load = vec![(MODEL.to_owned(), 20.0)];
    fleet.run(8_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 1, "{:?}", fleet.begun);
    let delay_ms = fleet.begun[0].at - fleet.first_refusal[MODEL];
    println!("begun {delay_ms} ms after the first refusal");
    assert!((400..1_500).contains(&delay_ms), "{delay_ms} ms");
}

/// Nothing comes back from the owner, while its state still arrives: after 1.5 s the entries take turns on
/// their own, so that the model is loaded all the same.
#[test]
fn entries_take_turns_without_an_owner() {
    let mut fleet = fleet(0.0);
    fleet.queue();
    fleet.replies_lost = true;
    fleet.load = vec![(MODEL.to_owned(), 20.0)];
    fleet.run(1_000);
    assert_eq!(fleet.begun, vec![], "the owner was heard a second ago");
    fleet.run(3_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 1, "{:?}", fleet.begun);
}

/// The entry that gets the grant ends before it uses it: another entry loads the model once the lease has
/// expired.
#[test]
fn an_entry_that_ends_with_a_grant_delays_the_load_by_the_lease() {
    let mut fleet = fleet(20.0);
    fleet.kill_grantee = true;
    fleet.run(9_000);
    assert!(!fleet.kill_grantee, "an entry was killed");
    assert_eq!(fleet.loads_of(MODEL).len(), 1, "{:?}", fleet.begun);
    let delay_ms = fleet.begun[0].at - fleet.first_refusal[MODEL];
    println!("begun {delay_ms} ms after the first refusal");
    assert!((1_000..1_500).contains(&delay_ms), "{delay_ms} ms");
}

/// A fifth of the reports is lost: the others tell enough, and the load is not repeated.
#[test]
fn lost_reports_neither_stop_nor_repeat_a_load() {
    let mut fleet = fleet(20.0);
    fleet.report_loss = 0.2;
    fleet.run(9_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 1, "{:?}", fleet.begun);
    assert!(fleet.is_held(MODEL));
}

/// The engine that loads the model restarts: the load is no longer seen, and begins again.
#[test]
fn a_load_begins_again_when_its_engine_restarts() {
    let mut fleet = fleet(20.0);
    fleet.run(3_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 1, "{:?}", fleet.begun);
    fleet.restart_engine(fleet.begun[0].engine);
    fleet.run(2_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 2, "{:?}", fleet.begun);
    fleet.run(6_000);
    assert!(fleet.is_held(MODEL));
    assert_eq!(fleet.loads_of(MODEL).len(), 2, "{:?}", fleet.begun);
}

/// A load that never ends: it is late by half after 1.5 of its time and begins at another engine.
#[test]
fn a_load_that_does_not_end_begins_elsewhere() {
    let mut fleet = fleet(20.0);
    (0..6).for_each(|engine| fleet.hang_loads(engine));
    fleet.run(2_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 1, "{:?}", fleet.begun);
    let stuck = fleet.begun[0].engine;
    fleet.mend_loads();
    fleet.hang_loads(stuck);
    fleet.run(24_000);
    assert_eq!(fleet.loads_of(MODEL).len(), 2, "{:?}", fleet.begun);
    let took_ms = fleet.begun[1].at - fleet.begun[0].at;
    println!("begun elsewhere after {took_ms} ms");
    assert!((9_000..11_000).contains(&took_ms), "{took_ms} ms");
    assert_ne!(fleet.begun[1].engine, stuck);
    assert!(fleet.is_held(MODEL));
}

/// The configuration drops the model before it could be loaded.
#[test]
fn a_model_that_the_configuration_drops_is_not_loaded() {
    let mut fleet = Fleet::new(8, 6, true);
    fleet.load = vec![("m1".to_owned(), 20.0), ("m2".to_owned(), 20.0), ("m3".to_owned(), 5.0)];
    fleet.run(2_000);
    assert_eq!(fleet.begun.len(), 2, "two at once at first: {:?}", fleet.begun);
    fleet.drop_models(&["m3"]);
    fleet.load.clear();
    fleet.run(16_000);
    assert_eq!(fleet.loads_of("m3").len(), 0, "{:?}", fleet.begun);
}
