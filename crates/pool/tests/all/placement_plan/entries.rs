//! Use of the plan by entries, one failure at a time.

use citronrill_base::Millis;
use citronrill_pool::{EntryEffect, EntryEvent, EntryProfile, Member, MemberChange, PoolEntry};
use citronrill_wire::{LoadRequest, SideState};

use crate::support::{
    ENGINE, address, arrival, config, first_era, member, profile, requested_load, state,
};

type Places = Vec<(String, Vec<String>)>;

/// An entry that schedules by expected wait, and the reports that its endpoints repeat.
struct Fixture {
    entry: PoolEntry,
    now: u64,
    reports: Vec<(u8, SideState)>,
}

/// State of a side whose models are each requested once a second.
fn rare(models: &[&str]) -> SideState {
    let mut state = state(1, models);
    state.models.iter_mut().for_each(|model| model.rate_milli = 1_000);
    state
}

impl Fixture {
    fn new(contended: bool, reports: Vec<(u8, SideState)>) -> Fixture {
        let entry = PoolEntry::new(EntryProfile { contended, ..profile() });
        let mut fixture = Fixture { entry, now: 1_000, reports };
        fixture.step(EntryEvent::Config(config(1)));
        fixture.step(EntryEvent::ConfigCurrent(true));
        let members = fixture.reports.iter().map(|(index, _)| member(*index, ENGINE, &[]));
        let members = members.collect();
        fixture.set_members(1, members);
        fixture
    }

    fn set_members(&mut self, version: u64, members: Vec<Member>) {
        let rows = members.into_iter().map(|member| (member.instance.clone(), Some(member)));
        let version = first_era(version);
        self.step(EntryEvent::Members(MemberChange {
            complete: true,
            version,
            rows: rows.collect(),
        }));
    }

    fn step(&mut self, event: EntryEvent) -> Vec<EntryEffect> {
        self.entry.step(Millis(self.now), event)
    }

    /// Ticks for `ms`, with reports each 500 ms; returns the load requests.
    fn advance(&mut self, ms: u64) -> Vec<LoadRequest> {
        let mut effects = Vec::new();
        for tick in 0..ms / 20 {
            if tick % 25 == 0 {
                for (index, state) in self.reports.clone() {
                    effects.extend(self.step(EntryEvent::SideReport(address(index), state)));
                }
            }
            effects.extend(self.step(EntryEvent::Tick));
            self.now += 20;
        }
        let requests = effects.into_iter().filter_map(|effect| match effect {
            EntryEffect::LoadRequest(_, request) => Some(request),
            _ => None,
        });
        requests.collect()
    }

    fn places(&self) -> Places {
        self.entry.planned_places(ENGINE)
    }

    fn planned_at(&self, instance: &str) -> Vec<String> {
        let places = self.places();
        let place = places.into_iter().find(|(at, _)| at == instance);
        place.map(|(_, models)| models).unwrap_or_default()
    }
}

/// Guards against new behaviour where scheduling by expected wait is off.
#[test]
fn no_plan_without_scheduling_by_wait() {
    let mut fixture = Fixture::new(false, vec![(1, rare(&["m0"])), (2, rare(&["m1"]))]);
    assert_eq!(fixture.advance(3_000), Vec::new());
    assert_eq!(fixture.places(), Places::new());
}

/// Guards against plans that differ because reports arrived in another order.
#[test]
fn entries_agree_whatever_the_order_of_reports() {
    let mut reports = vec![
        (1, rare(&["m3", "m1"])),
        (2, rare(&["m2"])),
        (3, rare(&["m7", "m4"])),
        (4, rare(&["m9"])),
    ];
    let mut first = Fixture::new(true, reports.clone());
    reports.reverse();
    reports.swap(0, 2);
    let mut second = Fixture::new(true, reports);
    first.advance(1_000);
    second.advance(1_000);
    assert_eq!(first.places().len(), 4);
    assert_eq!(first.places(), second.places());
}

/// A side is silent for less than the time after which its endpoint counts as gone. Guards against moves
/// for a lost report, and against models that are planned at an endpoint that is gone.
#[test]
fn silent_endpoint_keeps_its_places_for_a_while() {
    let reports = vec![(1, rare(&["m0", "m1"])), (2, rare(&["m2"])), (3, rare(&[]))];
    let mut fixture = Fixture::new(true, reports);
    fixture.advance(1_000);
    assert_eq!(fixture.planned_at("i1"), ["m0", "m1"]);
    fixture.reports[0].1.healthy = false;
    fixture.advance(1_000);
    assert_eq!(fixture.planned_at("i1"), ["m0", "m1"], "its engine is late");
    fixture.reports.remove(0);
    fixture.advance(500);
    assert_eq!(fixture.planned_at("i1"), ["m0", "m1"], "a report is late");
    fixture.advance(2_500);
    assert_eq!(fixture.planned_at("i1"), Vec::<String>::new(), "the endpoint is gone");
}

/// An endpoint says that it leaves. Guards against new places for what the others hold.
#[test]
fn only_what_a_leaving_endpoint_held_is_planned_anew() {
    let reports = vec![(1, rare(&["m0", "m1"])), (2, rare(&["m2"])), (3, rare(&["m3"]))];
    let mut fixture = Fixture::new(true, reports);
    fixture.advance(1_000);
    let mut members = [1, 2, 3].map(|index| member(index, ENGINE, &[]));
    members[0].leaving = true;
    fixture.set_members(2, members.into());
    fixture.advance(1_000);
    assert_eq!(fixture.planned_at("i1"), Vec::<String>::new());
    assert!(fixture.planned_at("i2").contains(&"m2".to_owned()));
    assert!(fixture.planned_at("i3").contains(&"m3".to_owned()));
}

/// Guards against a load at the place of another planned model: without the plan, the endpoint with fewer
/// requests is cheaper.
#[test]
fn missing_model_is_loaded_at_its_planned_place() {
    let mut reports = vec![(1, rare(&["m0", "m1"])), (2, rare(&["m2"])), (3, rare(&["m3"]))];
    reports[1].1.models[0].rate_milli = 3_000;
    let mut fixture = Fixture::new(true, reports);
    fixture.advance(40);
    let planned = fixture.planned_at("i2");
    let missing = planned.iter().find(|model| *model != "m2").unwrap();
    let effects = fixture.step(EntryEvent::RequestArrived(arrival(1, "/draft/x", missing)));
    let (at, request) = requested_load(&effects).unwrap();
    assert_eq!((at, request.eviction_candidates.len()), (address(2), 0));
}

/// Guards against idle moves from the weight store, and against several at once.
#[test]
fn idle_moves_load_from_disk_one_at_a_time() {
    let mut fixture = Fixture::new(true, vec![(1, rare(&["m0"])), (2, rare(&["m1"]))]);
    let requests = fixture.advance(2_400);
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert_eq!((requests[0].waiting, requests[0].eviction_candidates.len()), (0, 0));

    let bare = |model: &str| SideState { on_disk: vec![model.to_owned()], ..rare(&[model]) };
    let mut fixture = Fixture::new(true, vec![(1, bare("m0")), (2, bare("m1"))]);
    assert_eq!(fixture.advance(4_500), Vec::new(), "nothing else is on a disk");
}

/// Guards against idle moves at an endpoint that loads for callers.
#[test]
fn no_idle_move_where_a_load_is_in_progress() {
    let loading = SideState { loading: vec!["m5".to_owned()], ..rare(&[]) };
    let mut fixture = Fixture::new(true, vec![(1, loading)]);
    assert_eq!(fixture.advance(4_500), Vec::new());
    assert_eq!(fixture.planned_at("i1").len(), 2, "a model could be loaded");
}
