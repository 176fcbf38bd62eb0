//! Streams go on only at the software version that began them.
//!
//! A stream to which its caller reconnects may have begun at another entry, which has ended since. While
//! endpoints of several versions serve in a service, entries tell some sides where their streams begin,
//! and ask them. They tell all sides that several versions serve: the sides that know a stream may leave with
//! the endpoints of its version, and an entry that starts then sees one version. A stream that no side knows began
//! while one version served alone, if the sides have kept everything for long enough and have heard of no other
//! version, or if this entry has seen no other version for as long; otherwise its version cannot be known, and it is
//! refused.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis, Set, hash_bytes, rendezvous_score};
use citronrill_decide::LogEvent;
use citronrill_wire::{
    StreamKind, StreamMessage, StreamOrigin, StreamQuery, StreamReply, StreamsBegun, VersionsMixed,
};

use super::{EntryEffect, PoolEntry, Reason, Request, RequestId, Stage};
use crate::{
    config::RetryPolicy,
    endpoint::Endpoint,
    software::{MIXED_NOTICE_MS, ServingVersion, SoftwareHistory, SoftwareKey, StreamKey},
};

/// Sides that are told of a stream: the second one knows it when the first one is lost.
const TOLD_SIDES: usize = 2;
/// Sides that are asked about a stream: one more, as the entry that told them may have known other
/// sides.
const ASKED_SIDES: usize = 3;
/// Maximum milliseconds for which a request waits for their replies; a round trip takes a few.
const REPLY_MS: u64 = 150;
/// Horizon in milliseconds while no configuration is known.
const DEFAULT_HORIZON_MS: u64 = 30_000;

/// What is known of the software version that began a request's stream.
#[derive(Debug, Clone)]
pub(super) enum Origin {
    /// The stream has no event yet: it may begin at any version.
    Free,
    /// Sides were asked.
    Asked(Inquiry),
    /// It goes on only at this version.
    Bound(SoftwareKey),
}

/// Queries of several sides about one stream.
#[derive(Debug, Clone)]
pub(super) struct Inquiry {
    /// Until when replies are awaited.
    until: Millis,
    /// Sides that have not replied.
    open: Vec<SocketAddr>,
    /// What the sides that have replied remember; `None` if none has.
    memory: Option<SideMemory>,
}

/// What all of several sides remember.
#[derive(Debug, Clone, Copy)]
struct SideMemory {
    /// Milliseconds for which each has kept all that it was told of streams.
    streams_ms: u64,
    /// Milliseconds for which none has heard of several versions.
    alone_ms: u64,
}

impl SideMemory {
    /// Returns what is remembered by this side as well.
    fn with(self, reply: &StreamReply) -> SideMemory {
        SideMemory {
            streams_ms: self.streams_ms.min(reply.memory_ms),
            alone_ms: self.alone_ms.min(reply.alone_ms),
        }
    }
}

/// What an entry knows of software versions, over all streams.
#[derive(Debug, Default)]
pub(super) struct StreamTracker {
    history: SoftwareHistory,
    /// Services in which several versions have served of late.
    mixed: Map<String, Mixture>,
    /// Streams of other attempts that go on here.
    reconnects: u64,
    /// When the sides are told next that several versions serve.
    notice_at: Millis,
    /// The sides that keep streams.
    keepers: Set<SocketAddr>,
    /// When one of them was last lost.
    keeper_lost: Option<Millis>,
}

/// Since when several versions have served in a service.
#[derive(Debug, Clone, Copy)]
struct Mixture {
    since: Millis,
    /// The version that served alone before, if known.
    before: Option<SoftwareKey>,
}

impl Request {
    /// Returns the only version at which its response goes on; `None` if it may begin at any.
    pub(super) fn bound_software(&self) -> Option<SoftwareKey> {
        match self.origin {
            Origin::Bound(software) => Some(software),
            Origin::Free | Origin::Asked(_) => {
                let begun = self.stage == Stage::Responding && self.has_progress;
                self.sent_software.filter(|_| begun && self.retry_policy.is_stream())
            }
        }
    }

    /// Returns whether its response can go on at the software version of an endpoint.
    pub(super) fn fits_software(&self, endpoint: &Endpoint) -> bool {
        self.bound_software().is_none_or(|software| endpoint.software == software)
    }

    /// Returns whether it waits until sides tell where its stream began.
    pub(super) fn awaits_origin(&self) -> bool {
        matches!(self.origin, Origin::Asked(_))
    }

    /// Binds a stream that broke off to the version of its endpoint, unless its caller has no event.
    pub(super) fn bind(&mut self) {
        let begun = self.last_event.is_some() || self.has_progress;
        if let (Origin::Free, true, Some(software)) = (&self.origin, begun, self.sent_software) {
            self.origin = Origin::Bound(software);
        }
    }
}

impl PoolEntry {
    /// Returns how many streams of other attempts have gone on here.
    pub fn streams_reconnected(&self) -> u64 {
        self.streams.reconnects
    }

    /// Records the software versions that serve, and tells where streams began that are under way when
    /// a second version comes.
    pub(super) fn track_software(&mut self) {
        let (now, horizon_ms) = (self.now, self.horizon_ms());
        if !self.pool.list_version.is_known() {
            return;
        }
        self.resolve_listed();
        let endpoints = self.pool.endpoints.values();
        let services = endpoints.clone().map(|endpoint| &*endpoint.member.service);
        let services = services.collect::<Set<_>>().into_iter().map(str::to_owned);
        let services = services.collect::<Vec<_>>();
        let before = services.iter().map(|service| self.only_version(service)).collect::<Vec<_>>();
        let serving = endpoints.map(|endpoint| ServingVersion {
            key: endpoint.software,
            service: &endpoint.member.service,
            unlisted: endpoint.unlisted,
        });
        self.streams.history.record(serving, horizon_ms, now);
        for (service, before) in services.into_iter().zip(before) {
            if self.streams.history.recent(&service, horizon_ms, now).nth(1).is_none() {
                self.streams.mixed.remove(&service);
            } else if !self.streams.mixed.contains_key(&service) {
                self.log(LogEvent::new("versions_mixed").with("service", &service));
                self.streams.mixed.insert(service.clone(), Mixture { since: now, before });
                self.record_begun(|request| request.service == service);
                self.streams.notice_at = now;
            }
        }
        self.check_streams();
    }

    /// Follows which sides keep streams, and tells them at intervals in which services several versions serve.
    pub(super) fn check_streams(&mut self) {
        let keepers = self.keepers().collect::<Set<_>>();
        if !self.streams.keepers.is_subset(&keepers) {
            self.streams.keeper_lost = Some(self.now);
        }
        if !keepers.is_subset(&self.streams.keepers) {
            self.streams.notice_at = self.now;
        }
        self.streams.keepers = keepers;
        self.notify_mixed();
    }

    fn notify_mixed(&mut self) {
        if self.now < self.streams.notice_at || self.streams.mixed.is_empty() {
            return;
        }
        let (now, horizon_ms) = (self.now, self.horizon_ms());
        let mixed = self.streams.mixed.keys();
        let mixed = mixed.filter(|service| self.streams.history.is_mixed(service, horizon_ms, now));
        let services = mixed.map(|service| hash_bytes(service.as_bytes())).collect::<Vec<_>>();
        if services.is_empty() {
            return;
        }
        self.streams.notice_at = now + MIXED_NOTICE_MS;
        for side in self.keepers().collect::<Vec<_>>() {
            let notice = VersionsMixed { services: services.clone() };
            self.send_stream_message(side, StreamKind::Mixed(notice));
        }
    }

    /// Returns the sides that keep streams.
    fn keepers(&self) -> impl Iterator<Item = SocketAddr> {
        let keeps = |endpoint: &&Endpoint| {
            let tracks = endpoint.fresh_side(self.now).is_some_and(|side| side.tracks_streams);
            tracks && endpoint.liveness.is_connected() && !endpoint.liveness.is_stalled(self.now)
        };
        let endpoints = self.pool.endpoints.values().filter(keeps);
        endpoints.map(|endpoint| endpoint.member.address)
    }

    /// Replaces the versions of incarnations that only their sides had reported by those in the list.
    fn resolve_listed(&mut self) {
        if !self.streams.history.has_unlisted() {
            return;
        }
        let listed = self.pool.endpoints.values().filter(|endpoint| !endpoint.unlisted);
        let listed = listed
            .map(|endpoint| (SoftwareKey::unlisted(&endpoint.member.instance), endpoint.software));
        for (unlisted, software) in listed.collect::<Vec<_>>() {
            if !self.streams.history.remove(unlisted) {
                continue;
            }
            for request in self.requests.values_mut() {
                if matches!(request.origin, Origin::Bound(bound) if bound == unlisted) {
                    request.origin = Origin::Bound(software);
                }
                if request.sent_software == Some(unlisted) {
                    request.sent_software = Some(software);
                }
            }
        }
    }

    /// Returns the version that a side was told of, by its listed name.
    fn resolve(&self, software: SoftwareKey) -> SoftwareKey {
        let mut endpoints = self.pool.endpoints.values().filter(|endpoint| !endpoint.unlisted);
        let listed =
            endpoints.find(|endpoint| SoftwareKey::unlisted(&endpoint.member.instance) == software);
        listed.map_or(software, |endpoint| endpoint.software)
    }

    /// Returns the only version of a service that has served within the horizon, if that is known.
    fn only_version(&self, service: &str) -> Option<SoftwareKey> {
        let (now, horizon_ms) = (self.now, self.horizon_ms());
        let known = self.profile.first_start || self.streams.history.covers(horizon_ms, now);
        let mut recent = self.streams.history.recent(service, horizon_ms, now);
        recent.next().filter(|_| known && recent.next().is_none())
    }

    /// Returns the milliseconds after its beginning within which a caller may reconnect to a stream.
    fn horizon_ms(&self) -> u64 {
        self.config.as_ref().map_or(DEFAULT_HORIZON_MS, |config| config.stream_horizon_ms())
    }

    /// Tells where the streams under way have begun.
    pub(super) fn record_begun(&mut self, concerned: impl Fn(&Request) -> bool) {
        let begun = self
            .requests
            .iter()
            .filter(|(_, request)| request.stage == Stage::Responding && concerned(request));
        for id in begun.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.record_origin(id);
        }
    }

    /// Tells some sides where a stream begins, if several versions serve and its caller may reconnect.
    pub(super) fn record_origin(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let resumable = request.retry_policy == RetryPolicy::ResumableStream;
        if !resumable || !self.streams.mixed.contains_key(&request.service) {
            return;
        }
        let software = match request.origin {
            Origin::Bound(software) => Some(software),
            Origin::Free | Origin::Asked(_) => request.sent_software,
        };
        let Some(software) = software else { return };
        let stream = request.stream;
        let origin = StreamOrigin { stream: stream.0, software: software.0 };
        for side in self.stream_sides(stream, TOLD_SIDES) {
            let begun = StreamsBegun { streams: vec![origin] };
            self.send_stream_message(side, StreamKind::Begun(begun));
        }
    }

    /// Returns the sides that keep a stream, in an order that is the same at all entries.
    fn stream_sides(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let item = stream.0.to_string();
        let mut ranked = self
            .keepers()
            .map(|address| (rendezvous_score(&item, &address.to_string()), address))
            .collect::<Vec<_>>();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.dedup();
        ranked.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Asks where the stream began to which the caller of a request reconnects.
    pub(super) fn inquire_origin(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.reconnects || !request.retry_policy.is_stream() {
            return;
        }
        let (stream, unnamed) = (request.stream, request.first_attempt.is_none());
        self.check_streams();
        let Some(request) = self.requests.get(&id) else { return };
        let sides = self.stream_sides(stream, ASKED_SIDES);
        if sides.is_empty() {
            self.origin_unknown(id, None);
            return;
        }
        let until = self.now + REPLY_MS;
        let service = hash_bytes(request.service.as_bytes());
        let inquiry = Inquiry { until, open: sides.clone(), memory: None };
        self.set_origin(id, Origin::Asked(inquiry));
        for side in sides {
            let query = StreamQuery { stream: stream.0, unnamed, service };
            self.send_stream_message(side, StreamKind::Query(query));
        }
    }

    /// Handles a message about streams from a side.
    pub(super) fn handle_streams(&mut self, side: SocketAddr, message: &StreamMessage) {
        match &message.kind {
            Some(StreamKind::Reply(reply)) => self.origin_replied(side, reply),
            Some(StreamKind::Begun(_) | StreamKind::Query(_) | StreamKind::Mixed(_)) | None => {
                self.log(LogEvent::new("stream_unreadable").with("from", side));
            }
        }
    }

    fn origin_replied(&mut self, side: SocketAddr, reply: &StreamReply) {
        let asked = self
            .requests
            .iter()
            .filter(|(_, request)| request.stream.0 == reply.stream && request.awaits_origin());
        for id in asked.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(software) = reply.software {
                self.origin_known(id, self.resolve(SoftwareKey(software)), "side");
                continue;
            }
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let Origin::Asked(inquiry) = &mut request.origin else { continue };
            inquiry.open.retain(|open| *open != side);
            let all = SideMemory { streams_ms: u64::MAX, alone_ms: u64::MAX };
            let memory = inquiry.memory.unwrap_or(all).with(reply);
            inquiry.memory = Some(memory);
            if inquiry.open.is_empty() {
                self.origin_unknown(id, Some(memory));
            }
        }
    }

    /// Decides about requests whose sides have not replied in time.
    pub(super) fn end_inquiries(&mut self) {
        let due = self.requests.iter().filter_map(|(id, request)| match &request.origin {
            Origin::Asked(inquiry) if self.now >= inquiry.until => Some((*id, inquiry.memory)),
            _ => None,
        });
        for (id, memory) in due.collect::<Vec<_>>() {
            self.origin_unknown(id, memory);
        }
    }

    /// Decides about a stream that no side knows. The sides would know of one that began while several
    /// versions served, as far back as their memory goes; `None` if none has replied.
    ///
    /// Its entry saw one version alone when it began: that which serves alone now, or did so until the
    /// second one came. An entry that reaches neither a side nor the platform store may not know of the
    /// second one. The sides that know of a stream may be lost: what is left says nothing then.
    fn origin_unknown(&mut self, id: RequestId, memory: Option<SideMemory>) {
        let (now, horizon_ms) = (self.now, self.horizon_ms());
        let Some(request) = self.requests.get(&id) else { return };
        let covered = memory.is_some_and(|memory| memory.streams_ms >= horizon_ms);
        let alone = memory.is_some_and(|memory| memory.alone_ms >= horizon_ms + MIXED_NOTICE_MS);
        let keepers_lost =
            self.streams.keeper_lost.is_some_and(|lost| now.since(lost) < horizon_ms);
        let reachable = memory.is_some() || self.config_current;
        let mut recent = self.streams.history.recent(&request.service, horizon_ms, now);
        let version = match (recent.next(), recent.next()) {
            (only, None) if covered && alone => only,
            (Some(_), None) if reachable => self.only_version(&request.service),
            _ if covered && !keepers_lost => self.version_before(&request.service),
            _ => None,
        };
        drop(recent);
        match version {
            Some(version) => self.origin_known(id, version, "only_version"),
            None => self.refuse(id, Reason::VersionUnknown),
        }
    }

    /// Returns the version that served alone until a second one came within the horizon.
    fn version_before(&self, service: &str) -> Option<SoftwareKey> {
        let mixture = self.streams.mixed.get(service)?;
        let recent = self.now.since(mixture.since) < self.horizon_ms();
        mixture.before.filter(|_| recent)
    }

    fn origin_known(&mut self, id: RequestId, software: SoftwareKey, source: &'static str) {
        self.set_origin(id, Origin::Bound(software));
        let name = self.pool.endpoints.values().find(|endpoint| endpoint.software == software);
        let name = name.map(|endpoint| endpoint.member.software.clone());
        let Some(request) = self.requests.get(&id) else { return };
        let event = LogEvent::new("stream_reconnected")
            .with("id", &request.caller_id)
            .with("first_attempt", request.first_attempt.as_deref().unwrap_or(""))
            .with("software", name.unwrap_or_else(|| software.to_string()))
            .with("source", source);
        self.log(event);
        self.streams.reconnects += 1;
        self.schedule(id);
    }

    /// Returns whether an endpoint serves with the software version that a request needs, if any.
    pub(super) fn serves_version(&self, request: &Request) -> bool {
        let Some(software) = request.bound_software() else { return true };
        let mut endpoints = self.pool.endpoints.values();
        endpoints.any(|endpoint| endpoint.accepts_requests() && endpoint.software == software)
    }

    fn set_origin(&mut self, id: RequestId, origin: Origin) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.origin = origin;
        }
    }

    fn send_stream_message(&mut self, side: SocketAddr, kind: StreamKind) {
        self.effects.push(EntryEffect::Streams(side, kind.into()));
    }
}
