//! A small pool for tests: one engine service and one plain service.

use std::{net::SocketAddr, sync::Arc};

use citronrill_base::Millis;
use citronrill_pool::{
    AnswerHead, Arrival, CallerLimits, EngineReport, EngineSpec, EntryEffect, EntryEvent,
    EntryProfile, HeldModel, Member, MemberChange, ModelSpec, PoolEntry, Reason, Repeat, RequestId,
    Route, Sending, Service, ServingText, TokenCount,
};
use citronrill_wire::{ModelState, SideState, Want};

pub(crate) const ENGINE: &str = "engine";
pub(crate) const PLAIN: &str = "plain";
pub(crate) const HOST: &str = "pool.example";

pub(crate) fn model(name: &str, weights_mb: f64) -> ModelSpec {
    ModelSpec {
        name: name.to_owned(),
        weights_mb,
        adapter_mb: 10.0,
        store_ms: 6_000,
        disk_ms: 800,
        memory_ms: 500,
    }
}

pub(crate) fn route(prefix: &str, service: &str, repeat: Repeat, attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        repeat,
        timeout_ms: 5_000,
        target_ms: 500,
        gap_ms: None,
        rank: 0,
        shares: vec![(service.to_owned(), 1)],
        attempts,
    }
}

/// A text with models `m0` to `m9` of 70,000 MB each, and a route for each kind of request.
pub(crate) fn text(version: u64) -> Arc<ServingText> {
    let models = (0..10).map(|index| model(&format!("m{index}"), 70_000.0)).collect();
    Arc::new(ServingText {
        version,
        routes: vec![
            route("/chat/", ENGINE, Repeat::ResumableStream, 2),
            route("/draft/", ENGINE, Repeat::Stream, 1),
            route("/status/", PLAIN, Repeat::Idempotent, 2),
            route("/book/", PLAIN, Repeat::Once, 1),
        ],
        services: vec![
            Service {
                name: ENGINE.to_owned(),
                health: "/health".to_owned(),
                connections: 200,
                engine: Some(EngineSpec {
                    slots: 24,
                    weights_mb: 200_000.0,
                    adapter_limit: 2,
                    loads_per_s: 7.0,
                    backups: true,
                    token_bytes: 131_072,
                    models,
                }),
            },
            Service {
                name: PLAIN.to_owned(),
                health: "/health".to_owned(),
                connections: 100,
                engine: None,
            },
        ],
        limits: CallerLimits::default(),
    })
}

pub(crate) fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8000))
}

pub(crate) fn held(names: &[&str]) -> Vec<HeldModel> {
    let one = |name: &&str| HeldModel { name: (*name).to_owned(), adapters: Vec::new() };
    names.iter().map(one).collect()
}

/// Endpoint `index` of `service`, which holds `models` and has copies of all on disk.
pub(crate) fn member(index: u8, service: &str, models: &[&str]) -> Member {
    Member {
        instance: format!("i{index}"),
        started: None,
        service: service.to_owned(),
        address: address(index),
        zone: "a".to_owned(),
        slots: if service == ENGINE { 24 } else { 6 },
        leaving: false,
        models: held(models),
        in_memory: Vec::new(),
        on_disk: (0..10).map(|index| format!("m{index}")).collect(),
    }
}

/// What the side beside an endpoint says that holds `models`.
pub(crate) fn state(sequence: u64, models: &[&str]) -> SideState {
    let one = |name: &&str| ModelState { name: (*name).to_owned(), ..ModelState::default() };
    SideState {
        sequence,
        models: models.iter().map(one).collect(),
        on_disk: (0..10).map(|index| format!("m{index}")).collect(),
        entries: 1,
        sound: true,
        service: ENGINE.to_owned(),
        ..SideState::default()
    }
}

/// An endpoint with copies of what it holds and of nothing else.
pub(crate) fn bare(index: u8, models: &[&str]) -> Member {
    let kept = models.iter().map(|name| (*name).to_owned()).collect();
    Member { on_disk: kept, ..member(index, ENGINE, models) }
}

/// What its side says, with requests a second by model.
pub(crate) fn told(models: &[(&str, u32)]) -> SideState {
    let one = |(name, rate): &(&str, u32)| ModelState {
        name: (*name).to_owned(),
        rate_milli: rate * 1_000,
        ..ModelState::default()
    };
    SideState {
        models: models.iter().map(one).collect(),
        on_disk: models.iter().map(|(name, _)| (*name).to_owned()).collect(),
        ..state(1, &[])
    }
}

pub(crate) fn report(sequence: u64, models: &[&str]) -> EngineReport {
    EngineReport {
        models: held(models),
        sequence,
        on_disk: (0..10).map(|index| format!("m{index}")).collect(),
        ..EngineReport::default()
    }
}

pub(crate) fn want(model: &str, victims: &[&str]) -> Want {
    Want {
        instance: "i1".to_owned(),
        model: model.to_owned(),
        victims: victims.iter().map(|name| (*name).to_owned()).collect(),
        fleet: 2,
        ttl_ms: 5_000,
        waiting: 1,
        ..Want::default()
    }
}

/// An entry with a clock.
pub(crate) struct Bench {
    pub(crate) entry: PoolEntry,
    pub(crate) now: u64,
    next: u64,
}

impl Bench {
    /// An entry that knows the text and these endpoints.
    pub(crate) fn new(members: Vec<Member>) -> Bench {
        let mut bench = Bench::blank();
        bench.step(EntryEvent::Text(text(1)));
        bench.step(EntryEvent::TextCurrent(true));
        bench.list(1, members);
        bench
    }

    /// An entry that knows nothing.
    pub(crate) fn blank() -> Bench {
        let profile = EntryProfile {
            zone: "a".to_owned(),
            seed: 0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
        };
        Bench { entry: PoolEntry::new(profile), now: 1_000, next: 1 }
    }

    pub(crate) fn step(&mut self, event: EntryEvent) -> Vec<EntryEffect> {
        self.entry.step(Millis(self.now), event)
    }

    pub(crate) fn list(&mut self, version: u64, members: Vec<Member>) -> Vec<EntryEffect> {
        let rows = members.into_iter().map(|one| (one.instance.clone(), Some(one))).collect();
        self.step(EntryEvent::Members(MemberChange { whole: true, version, rows }))
    }

    /// Ticks every 20 ms for `ms`.
    pub(crate) fn wait(&mut self, ms: u64) -> Vec<EntryEffect> {
        let end = self.now + ms;
        let mut effects = Vec::new();
        while self.now < end {
            self.now += 20;
            effects.extend(self.step(EntryEvent::Tick));
        }
        effects
    }

    /// A request under `path` for `model`.
    pub(crate) fn ask(&mut self, path: &str, model: &str) -> (RequestId, Vec<EntryEffect>) {
        self.ask_for(path, model, 5_000)
    }

    /// The same of a caller that waits for so many milliseconds.
    pub(crate) fn ask_for(
        &mut self,
        path: &str,
        model: &str,
        deadline_ms: u64,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, model);
        self.arrive(Arrival { deadline_ms: Some(deadline_ms), ..arrival })
    }

    /// The same of a length that its caller tells.
    pub(crate) fn ask_with(
        &mut self,
        path: &str,
        model: &str,
        tokens: TokenCount,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, model);
        self.arrive(Arrival { tokens, ..arrival })
    }

    fn arrival(&mut self, path: &str, model: &str) -> Arrival {
        let id = RequestId(self.next);
        self.next += 1;
        Arrival {
            id,
            caller: format!("c{}", id.0),
            host: HOST.to_owned(),
            path: path.to_owned(),
            deadline_ms: Some(5_000),
            model: model.to_owned(),
            prefix: 0,
            tokens: TokenCount::default(),
        }
    }

    fn arrive(&mut self, arrival: Arrival) -> (RequestId, Vec<EntryEffect>) {
        let id = arrival.id;
        (id, self.step(EntryEvent::Arrive(arrival)))
    }

    pub(crate) fn answer(&mut self, id: RequestId, head: AnswerHead) -> Vec<EntryEffect> {
        self.step(EntryEvent::Answer(id, 1, head))
    }
}

pub(crate) fn ok() -> AnswerHead {
    AnswerHead { status: 200, signed: true, ..AnswerHead::default() }
}

pub(crate) fn not_run(status: u16) -> AnswerHead {
    AnswerHead { status, not_run: true, ..AnswerHead::default() }
}

/// The sending among the effects.
pub(crate) fn sending(effects: &[EntryEffect]) -> Option<&Sending> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Send(_, sending) => Some(sending),
        _ => None,
    })
}

/// The reason of the refusal among the effects.
pub(crate) fn refusal(effects: &[EntryEffect]) -> Option<(Reason, Option<u64>)> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Refuse(_, refusal) => Some((refusal.reason, refusal.retry_ms)),
        _ => None,
    })
}

/// The want among the effects.
pub(crate) fn wanted(effects: &[EntryEffect]) -> Option<(SocketAddr, &Want)> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Want(address, want) => Some((*address, want)),
        _ => None,
    })
}

pub(crate) fn passes(effects: &[EntryEffect]) -> bool {
    effects.iter().any(|effect| matches!(effect, EntryEffect::Pass(_)))
}
