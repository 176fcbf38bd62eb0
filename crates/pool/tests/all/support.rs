//! A small pool for tests: one engine service and one plain service.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, CallerLimits, Dispatch, EngineReport, EngineSpec, EntryEffect, EntryEvent,
    EntryProfile, HeldModel, KeyDigest, LimitBounds, Member, MemberChange, ModelSpec, Organisation,
    Organisations, PoolEntry, Reason, RequestDigest, RequestId, ResponseHead, RetryPolicy, Route,
    Service, ServingConfig, StoreVersion, TokenCount,
};
use citronrill_wire::{LoadRequest, ModelState, SideState};

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

pub(crate) fn route(
    prefix: &str,
    service: &str,
    retry_policy: RetryPolicy,
    max_attempts: u32,
) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy,
        timeout_ms: 5_000,
        target_ms: 500,
        gap_ms: None,
        rank: 0,
        public: false,
        shares: vec![(service.to_owned(), 1)],
        max_attempts,
    }
}

/// A configuration with models `m0` to `m9` of 70,000 MB each, and one route per retry policy.
pub(crate) fn config(version: u64) -> Arc<ServingConfig> {
    let models = (0..10).map(|index| model(&format!("m{index}"), 70_000.0)).collect();
    Arc::new(ServingConfig {
        version,
        routes: vec![
            route("/chat/", ENGINE, RetryPolicy::ResumableStream, 2),
            route("/draft/", ENGINE, RetryPolicy::Stream, 1),
            route("/status/", PLAIN, RetryPolicy::Idempotent, 2),
            route("/book/", PLAIN, RetryPolicy::Once, 1),
        ],
        services: vec![
            Service {
                name: ENGINE.to_owned(),
                health_path: "/health".to_owned(),
                max_connections: 200,
                engine: Some(EngineSpec {
                    slots: 24,
                    weights_mb: 200_000.0,
                    disk_mb: 0.0,
                    adapter_limit: 2,
                    loads_per_s: 7.0,
                    backups: true,
                    token_bytes: 131_072,
                    models,
                }),
            },
            Service {
                name: PLAIN.to_owned(),
                health_path: "/health".to_owned(),
                max_connections: 100,
                engine: None,
            },
        ],
        limits: CallerLimits::default(),
        organisations: None,
    })
}

/// The configuration of [`config`] with these organisations.
pub(crate) fn with_organisations(version: u64, list: Vec<Organisation>) -> Arc<ServingConfig> {
    let organisations = Some(Organisations::new(list));
    Arc::new(ServingConfig { organisations, ..(*config(version)).clone() })
}

/// An organisation with keys of these digests, without priority and limit.
pub(crate) fn organisation(name: &str, keys: &[u128]) -> Organisation {
    let keys = keys.iter().copied().map(KeyDigest).collect();
    Organisation { name: name.into(), keys, priority: None, limit: None }
}

pub(crate) fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8000))
}

pub(crate) fn held(names: &[&str]) -> Vec<HeldModel> {
    let model = |name: &&str| HeldModel { name: (*name).to_owned(), adapters: Vec::new() };
    names.iter().map(model).collect()
}

/// Endpoint `index` of `service` with `models` loaded and the weights of all models cached on disk.
pub(crate) fn member(index: u8, service: &str, models: &[&str]) -> Member {
    Member {
        instance: format!("i{index}"),
        started: None,
        service: service.to_owned(),
        address: address(index),
        zone: "a".to_owned(),
        software: "v1".to_owned(),
        slots: if service == ENGINE { 24 } else { 6 },
        leaving: false,
        models: held(models),
        in_memory: Vec::new(),
        on_disk: (0..10).map(|index| format!("m{index}")).collect(),
    }
}

/// State reported by the side of an endpoint that has `models` loaded.
pub(crate) fn state(sequence: u64, models: &[&str]) -> SideState {
    let model = |name: &&str| ModelState { name: (*name).to_owned(), ..ModelState::default() };
    SideState {
        sequence,
        models: models.iter().map(model).collect(),
        on_disk: (0..10).map(|index| format!("m{index}")).collect(),
        entries: 1,
        healthy: true,
        service: ENGINE.to_owned(),
        ..SideState::default()
    }
}

/// An engine endpoint that has only the weights of its loaded models cached on disk.
pub(crate) fn bare(index: u8, models: &[&str]) -> Member {
    let kept = models.iter().map(|name| (*name).to_owned()).collect();
    Member { on_disk: kept, ..member(index, ENGINE, models) }
}

/// State reported by the side of an endpoint created by [`bare`], with the request rate (per second)
/// of each model.
pub(crate) fn state_with_rates(models: &[(&str, u32)]) -> SideState {
    let model = |(name, rate): &(&str, u32)| ModelState {
        name: (*name).to_owned(),
        rate_milli: rate * 1_000,
        ..ModelState::default()
    };
    SideState {
        models: models.iter().map(model).collect(),
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

pub(crate) fn load_request(model: &str, candidates: &[&str]) -> LoadRequest {
    LoadRequest {
        instance: "i1".to_owned(),
        model: model.to_owned(),
        eviction_candidates: candidates.iter().map(|name| (*name).to_owned()).collect(),
        engine_count: 2,
        ttl_ms: 5_000,
        waiting: 1,
        ..LoadRequest::default()
    }
}

/// A version of a store that has never come back from a copy.
pub(crate) fn first_era(version: u64) -> StoreVersion {
    StoreVersion { era: 1, version }
}

/// Settings of an entry that starts with the whole system and waits for nobody.
pub(crate) fn profile() -> EntryProfile {
    EntryProfile {
        zone: "a".to_owned(),
        seed: 0,
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window_ms: 10_000,
        limits: LimitBounds::default(),
        learn_ms: 0,
        first_start: true,
        contended: false,
    }
}

/// A request for `model` on `path` with a deadline of 5 s, which no other resembles.
pub(crate) fn arrival(id: u64, path: &str, model: &str) -> Arrival {
    Arrival {
        id: RequestId(id),
        caller_id: format!("c{id}"),
        caller: None,
        digest: RequestDigest(u128::from(id)),
        host: HOST.to_owned(),
        path: path.to_owned(),
        deadline_ms: Some(5_000),
        model: model.to_owned(),
        prefix_hash: 0,
        shared_parts: Vec::new(),
        tokens: TokenCount::default(),
        reconnects: false,
        first_attempt: None,
        key: None,
    }
}

/// An entry and its virtual clock.
pub(crate) struct Bench {
    pub(crate) entry: PoolEntry,
    pub(crate) now: u64,
    next_id: u64,
}

impl Bench {
    /// An entry with a configuration and a member list.
    pub(crate) fn new(members: Vec<Member>) -> Bench {
        let mut bench = Bench::unconfigured();
        bench.step(EntryEvent::Config(config(1)));
        bench.step(EntryEvent::ConfigCurrent(true));
        bench.set_members(1, members);
        bench
    }

    /// An entry without a configuration and without a member list.
    pub(crate) fn unconfigured() -> Bench {
        Bench::learning(0)
    }

    /// An entry whose requests wait this long after its start for what the sides know.
    pub(crate) fn learning(learn_ms: u64) -> Bench {
        Bench::with_profile(Bench::profile(learn_ms))
    }

    fn profile(learn_ms: u64) -> EntryProfile {
        EntryProfile { learn_ms, ..profile() }
    }

    /// An entry that does not know when the system started: streams may have begun before.
    pub(crate) fn restarted(members: Vec<Member>) -> Bench {
        Bench::restarted_at(1_000, members)
    }

    /// Such an entry that starts at `now`.
    pub(crate) fn restarted_at(now: u64, members: Vec<Member>) -> Bench {
        let profile = EntryProfile { first_start: false, ..Bench::profile(0) };
        let mut bench = Bench { now, ..Bench::with_profile(profile) };
        bench.step(EntryEvent::Config(config(1)));
        bench.set_members(1, members);
        bench
    }

    fn with_profile(profile: EntryProfile) -> Bench {
        Bench { entry: PoolEntry::new(profile), now: 1_000, next_id: 1 }
    }

    pub(crate) fn step(&mut self, event: EntryEvent) -> Vec<EntryEffect> {
        self.entry.step(Millis(self.now), event)
    }

    pub(crate) fn set_members(&mut self, version: u64, members: Vec<Member>) -> Vec<EntryEffect> {
        let rows =
            members.into_iter().map(|member| (member.instance.clone(), Some(member))).collect();
        let version = first_era(version);
        self.step(EntryEvent::Members(MemberChange { complete: true, version, rows }))
    }

    /// Ticks every 20 ms for `ms`.
    pub(crate) fn advance(&mut self, ms: u64) -> Vec<EntryEffect> {
        let end = self.now + ms;
        let mut effects = Vec::new();
        while self.now < end {
            self.now += 20;
            effects.extend(self.step(EntryEvent::Tick));
        }
        effects
    }

    /// Sends a request for `model` on `path` with a deadline of 5 s.
    pub(crate) fn request(&mut self, path: &str, model: &str) -> (RequestId, Vec<EntryEffect>) {
        self.request_with_deadline(path, model, 5_000)
    }

    /// Sends a request with the given deadline.
    pub(crate) fn request_with_deadline(
        &mut self,
        path: &str,
        model: &str,
        deadline_ms: u64,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, model);
        self.arrive(Arrival { deadline_ms: Some(deadline_ms), ..arrival })
    }

    /// Sends a request with the given token counts.
    pub(crate) fn request_with_tokens(
        &mut self,
        path: &str,
        model: &str,
        tokens: TokenCount,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, model);
        self.arrive(Arrival { tokens, ..arrival })
    }

    /// Sends a request of a caller whose key has this digest.
    pub(crate) fn request_with_key(
        &mut self,
        path: &str,
        key: Option<u128>,
    ) -> (RequestId, Vec<EntryEffect>) {
        self.request_for_model(path, "m0", key)
    }

    /// Sends a request for `model` of a caller whose key has this digest.
    pub(crate) fn request_for_model(
        &mut self,
        path: &str,
        model: &str,
        key: Option<u128>,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, model);
        self.arrive(Arrival { key: key.map(KeyDigest), ..arrival })
    }

    /// Sends a request of a caller with this key and these token counts.
    pub(crate) fn request_with_key_and_tokens(
        &mut self,
        path: &str,
        key: KeyDigest,
        tokens: TokenCount,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, "m0");
        self.arrive(Arrival { key: Some(key), tokens, ..arrival })
    }

    /// Sends a request that its caller has sent before, or may send again, with another ID.
    pub(crate) fn attempt(
        &mut self,
        path: &str,
        digest: RequestDigest,
        caller: Option<IpAddr>,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, "m0");
        self.arrive(Arrival { digest, caller, ..arrival })
    }

    /// Applies a change of one row of the member list.
    pub(crate) fn update_row(
        &mut self,
        version: u64,
        name: &str,
        member: Option<Member>,
    ) -> Vec<EntryEffect> {
        let rows = vec![(name.to_owned(), member)];
        let version = first_era(version);
        self.step(EntryEvent::Members(MemberChange { complete: false, version, rows }))
    }

    /// Starts a stream for `m0` on `path`; its endpoint has sent the response head and an event.
    pub(crate) fn start_stream(&mut self, path: &str) -> (RequestId, Dispatch) {
        let (id, effects) = self.request(path, "m0");
        let sent = dispatch(&effects).unwrap().clone();
        self.step(EntryEvent::ResponseHead(id, sent.number, ok()));
        self.step(EntryEvent::Progress(vec![id]));
        (id, sent)
    }

    /// Sends a request whose prompt starts with the given prefix.
    pub(crate) fn request_with_prefix(
        &mut self,
        path: &str,
        model: &str,
        prefix_hash: u64,
    ) -> (RequestId, Vec<EntryEffect>) {
        let arrival = self.arrival(path, model);
        self.arrive(Arrival { prefix_hash, ..arrival })
    }

    pub(crate) fn arrival(&mut self, path: &str, model: &str) -> Arrival {
        let id = self.next_id;
        self.next_id += 1;
        arrival(id, path, model)
    }

    pub(crate) fn arrive(&mut self, arrival: Arrival) -> (RequestId, Vec<EntryEffect>) {
        let id = arrival.id;
        (id, self.step(EntryEvent::RequestArrived(arrival)))
    }

    pub(crate) fn respond(&mut self, id: RequestId, head: ResponseHead) -> Vec<EntryEffect> {
        self.step(EntryEvent::ResponseHead(id, 1, head))
    }
}

pub(crate) fn ok() -> ResponseHead {
    ResponseHead { status: 200, signed: true, ..ResponseHead::default() }
}

pub(crate) fn not_run(status: u16) -> ResponseHead {
    ResponseHead { status, not_run: true, ..ResponseHead::default() }
}

/// Returns the first dispatch among the effects.
pub(crate) fn dispatch(effects: &[EntryEffect]) -> Option<&Dispatch> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Dispatch(_, dispatch) => Some(dispatch),
        _ => None,
    })
}

/// Returns the reason and the retry time of the first refusal among the effects.
pub(crate) fn refusal(effects: &[EntryEffect]) -> Option<(Reason, Option<u64>)> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Refuse(_, refusal) => Some((refusal.reason, refusal.retry_ms)),
        _ => None,
    })
}

/// Returns the first load request among the effects and the endpoint it is addressed to.
pub(crate) fn requested_load(effects: &[EntryEffect]) -> Option<(SocketAddr, &LoadRequest)> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::LoadRequest(address, load_request) => Some((*address, load_request)),
        _ => None,
    })
}

pub(crate) fn forwards(effects: &[EntryEffect]) -> bool {
    effects.iter().any(|effect| matches!(effect, EntryEffect::Forward(_)))
}

/// Returns the first seed and the number of seeds that an environment variable names as `FIRST:COUNT`.
pub(crate) fn seeds_from(variable: &str, default: &str) -> (u64, u64) {
    let named = std::env::var(variable).unwrap_or(default.to_owned());
    let (first, count) = named.split_once(':').unwrap();
    (first.parse().unwrap(), count.parse().unwrap())
}
