//! API keys and priorities of organisations.

use std::sync::Arc;

use citronrill_pool::{
    EntryEvent, KeyDigest, Organisation, Organisations, Reason, Route, ServingConfig,
};
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, PLAIN, config, dispatch, member, organisation, refusal, with_organisations,
};

fn bench(organisations: Vec<Organisation>) -> Bench {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, PLAIN, &[])]);
    bench.step(EntryEvent::Config(with_organisations(2, organisations)));
    bench
}

fn two() -> Vec<Organisation> {
    vec![organisation("north", &[1, 2]), organisation("south", &[3])]
}

/// Guards against requests that run in the name of another organisation than the one that holds the
/// caller's key.
#[rstest]
#[case(1, "north")]
#[case(2, "north")]
#[case(3, "south")]
fn a_key_determines_the_organisation(#[case] key: u128, #[case] name: &str) {
    let mut bench = bench(two());
    let (_, effects) = bench.request_with_key("/book/x", Some(key));
    assert_eq!(dispatch(&effects).unwrap().organisation.as_deref(), Some(name));
}

/// Guards against requests that run without a key, or with one that no organisation holds.
#[rstest]
#[case(None)]
#[case(Some(4))]
fn a_request_without_a_known_key_is_refused(#[case] key: Option<u128>) {
    let mut bench = bench(two());
    let (_, effects) = bench.request_with_key("/book/x", key);
    assert_eq!(refusal(&effects), Some((Reason::UnknownKey, None)));
    assert_eq!(Reason::UnknownKey.status(), 401);
}

/// Guards against a final refusal of a key that was given while the entry could not read the
/// configuration.
#[test]
fn an_unknown_key_may_be_retried_while_the_configuration_may_be_out_of_date() {
    let mut bench = bench(two());
    bench.step(EntryEvent::ConfigCurrent(false));
    let (_, effects) = bench.request_with_key("/book/x", Some(4));
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::StaleConfig, 503));
    assert!(retry_ms.is_some());
}

/// Guards against keys that go on working after they were taken away, or not yet after they were
/// given.
#[test]
fn a_new_configuration_replaces_the_keys() {
    let mut bench = bench(two());
    bench.step(EntryEvent::Config(with_organisations(3, vec![organisation("north", &[2, 4])])));
    for (key, served) in [(1, false), (2, true), (3, false), (4, true)] {
        let (_, effects) = bench.request_with_key("/book/x", Some(key));
        assert_eq!(dispatch(&effects).is_some(), served, "key {key}");
    }
}

/// Guards against refusals on routes that need no key, and against a key that gives a request there
/// an organisation.
#[test]
fn a_public_route_needs_no_key() {
    let mut bench = Bench::new(vec![member(2, PLAIN, &[])]);
    let public = |route: &Route| Route { public: true, ..route.clone() };
    let routes = config(1).routes.iter().map(public).collect();
    let base = with_organisations(2, two());
    bench.step(EntryEvent::Config(Arc::new(ServingConfig { routes, ..(*base).clone() })));
    for key in [None, Some(1), Some(4)] {
        let (_, effects) = bench.request_with_key("/book/x", key);
        assert_eq!(dispatch(&effects).unwrap().organisation, None);
    }
}

/// Guards against an outcome that depends on the order in which entries read a configuration in which
/// two organisations list the same key, and against an organisation without keys that takes any.
#[test]
fn a_shared_key_belongs_to_the_first_organisation() {
    let list = vec![
        organisation("empty", &[]),
        organisation("north", &[1]),
        organisation("south", &[1, 3]),
    ];
    let organisations = Organisations::new(list);
    let holder = |key| organisations.holder(KeyDigest(key)).map(|found| &*found.name);
    assert_eq!((holder(1), holder(3), holder(0)), (Some("north"), Some("south"), None));
    assert_eq!(organisations.shared_keys(), 1);
}

/// Guards against an organisation's requests that are overtaken, in the endpoint's queue, by those of a
/// less urgent one because their route is less urgent.
#[test]
fn an_organisations_priority_goes_before_the_routes() {
    let urgent = Organisation { priority: Some(0), ..organisation("urgent", &[1]) };
    let other = Organisation { priority: Some(1), ..organisation("other", &[2]) };
    let mut bench = Bench::new(vec![member(2, PLAIN, &[])]);
    let base = with_organisations(2, vec![urgent, other]);
    let mut routes = config(1).routes.clone();
    let ranks = [0, 0, 0, 2];
    routes.iter_mut().zip(ranks).for_each(|(route, rank)| route.rank = rank);
    bench.step(EntryEvent::Config(Arc::new(ServingConfig { routes, ..(*base).clone() })));
    let mut urgency = |path: &str, key| {
        let (_, effects) = bench.request_with_key(path, Some(key));
        dispatch(&effects).unwrap().urgency
    };
    let order = [
        urgency("/status/x", 1),
        urgency("/book/x", 1),
        urgency("/status/x", 2),
        urgency("/book/x", 2),
    ];
    assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
    assert!(order[3] <= 9);
}
