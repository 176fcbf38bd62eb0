//! The software versions at which streams began, kept for the entries.
//!
//! A caller that reconnects may come to another entry than before, as its entry has ended. The
//! entries tell the sides where their streams began, and ask them.

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;
use citronrill_wire::{StreamKind, StreamMessage, StreamReply};

use super::{EntryLink, PoolSide, SideEffect};
use crate::software::{MIXED_NOTICE_MS, SoftwareKey, StreamKey};

/// Milliseconds for which streams are kept while no configuration is known.
const DEFAULT_KEEP_MS: u64 = 30_000;
/// Maximum number of streams in each of the two generations: 24 bytes each.
const MAX_STREAMS: usize = 32_768;
/// Maximum number of services with several versions that are remembered.
const MAX_SERVICES: usize = 4_096;

/// The streams in two generations: the older one is dropped when the newer one is old enough.
#[derive(Debug, Default)]
pub(super) struct StreamRegistry {
    newer: Map<StreamKey, SoftwareKey>,
    older: Map<StreamKey, SoftwareKey>,
    /// When it was last told of a stream.
    told_at: Option<Millis>,
    newer_since: Millis,
    older_since: Millis,
    /// Whether nothing was ever lost, since the whole system started.
    complete: bool,
    /// Whether it has run since the whole system started.
    first_start: bool,
    /// When an entry last told that several versions serve in a service, by the hash of its name.
    mixed_at: Map<u64, Millis>,
}

impl StreamRegistry {
    /// Sets whether no stream has begun before.
    pub(super) fn set_complete(&mut self, complete: bool) {
        self.complete = complete;
        self.first_start = complete;
    }

    /// Records that several versions serve in these services.
    fn record_mixed(&mut self, services: &[u64], keep_ms: u64, now: Millis) {
        self.mixed_at.retain(|_, at| now.since(*at) < keep_ms + MIXED_NOTICE_MS);
        for service in services {
            if self.mixed_at.len() < MAX_SERVICES || self.mixed_at.contains_key(service) {
                self.mixed_at.insert(*service, now);
            }
        }
    }

    /// Returns the milliseconds for which nobody has told of several versions in a service.
    fn alone_ms(&self, service: u64, now: Millis) -> u64 {
        let since_start = if self.first_start { u64::MAX } else { now.0 };
        self.mixed_at.get(&service).map_or(since_start, |at| now.since(*at))
    }

    /// Adds a stream, and drops those that are older than `keep_ms`.
    fn insert(&mut self, stream: StreamKey, software: SoftwareKey, keep_ms: u64, now: Millis) {
        if now.since(self.newer_since) >= keep_ms || self.newer.len() >= MAX_STREAMS {
            let dropped = std::mem::replace(&mut self.older, std::mem::take(&mut self.newer));
            self.complete &= dropped.is_empty();
            self.older_since = self.newer_since;
            self.newer_since = now;
        }
        self.told_at = Some(now);
        self.newer.insert(stream, software);
    }

    fn get(&self, stream: StreamKey) -> Option<SoftwareKey> {
        self.newer.get(&stream).or_else(|| self.older.get(&stream)).copied()
    }

    /// Returns the milliseconds for which everything was kept.
    fn memory_ms(&self, now: Millis) -> u64 {
        if self.complete { u64::MAX } else { now.since(self.older_since) }
    }

    /// Returns the milliseconds for which it was told of no stream.
    fn quiet_ms(&self, now: Millis) -> u64 {
        self.told_at.map_or(self.memory_ms(now), |at| now.since(at))
    }
}

impl PoolSide {
    /// Handles a message about streams from an entry.
    pub(super) fn handle_streams(&mut self, link: EntryLink, message: StreamMessage) {
        let config = self.config.as_ref();
        let keep_ms = config.map_or(DEFAULT_KEEP_MS, |config| config.stream_horizon_ms());
        match message.kind {
            Some(StreamKind::Mixed(mixed)) => {
                self.streams.record_mixed(&mixed.services, keep_ms, self.now);
            }
            Some(StreamKind::Begun(begun)) => {
                for origin in begun.streams {
                    let (stream, software) =
                        (StreamKey(origin.stream), SoftwareKey(origin.software));
                    self.streams.insert(stream, software, keep_ms, self.now);
                }
            }
            Some(StreamKind::Query(query)) => {
                let software = self.streams.get(StreamKey(query.stream));
                let streams = &self.streams;
                let memory_ms = match query.unnamed {
                    true => streams.quiet_ms(self.now),
                    false => streams.memory_ms(self.now),
                };
                let reply = StreamReply {
                    stream: query.stream,
                    software: software.map(|key| key.0),
                    memory_ms,
                    alone_ms: streams.alone_ms(query.service, self.now),
                };
                self.effects.push(SideEffect::Streams(link, StreamKind::Reply(reply).into()));
            }
            Some(StreamKind::Reply(_)) | None => {
                self.log(LogEvent::new("stream_unreadable").with("from", link));
            }
        }
    }
}
