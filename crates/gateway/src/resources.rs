//! What an entry holds for callers, bounded by the limits of its instance.
//!
//! Callers and endpoints may read slowly, and many callers may come to one entry at once. Without bounds,
//! the process would exceed its memory or descriptors and be killed with all its streams.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Descriptors that are left for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors that are left for connections to sides, to the platform store and to other entries, and for
/// readiness checks and metrics.
const CONTROL_DESCRIPTORS: u64 = 300;
/// Descriptors that a caller needs: its connection, and one to an endpoint.
const DESCRIPTORS_PER_CALLER: u64 = 2;
/// Maximum bytes that are read ahead from an endpoint for a caller that does not read.
pub(crate) const READ_AHEAD_BYTES: usize = 64 << 10;
/// Divisor of the instance's memory that yields the limit on buffered bytes; the rest is for the
/// configuration, the state of all endpoints and the connections themselves.
const BUFFER_DIVISOR: u64 = 2;
/// Use of a limit, in per cent, from which the entry reports that it is not ready: the load balancer needs
/// two checks, a second apart, to take notice.
const BUSY_PERCENT: u64 = 80;
/// Use of each limit, in per cent, below which it reports that it is ready again.
const CALM_PERCENT: u64 = 60;

/// Limits of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct InstanceLimits {
    /// Memory of the process in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Descriptors of the process; `None` if they are not limited.
    pub descriptors: Option<u64>,
}

/// Usage of one resource.
#[derive(Debug)]
struct Usage {
    limit: u64,
    used: AtomicU64,
}

impl Usage {
    fn new(limit: Option<u64>) -> Usage {
        Usage { limit: limit.unwrap_or(u64::MAX), used: AtomicU64::new(0) }
    }

    /// Takes `count` units, if they are free.
    fn take(&self, count: u64) -> bool {
        let add = |used: u64| used.checked_add(count).filter(|used| *used <= self.limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    fn give_back(&self, count: u64) {
        self.used.fetch_sub(count, Ordering::Relaxed);
    }

    fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    fn is_full(&self) -> bool {
        self.used() >= self.limit
    }

    /// Returns whether at least `percent` per cent are in use.
    fn reaches(&self, percent: u64) -> bool {
        u128::from(self.used()) * 100 >= u128::from(self.limit) * u128::from(percent)
    }
}

/// Connections of callers and bytes buffered for them, with their limits.
#[derive(Debug)]
pub struct Resources {
    connections: Usage,
    bytes: Usage,
    busy: AtomicBool,
}

impl Resources {
    /// Creates the limits on what is held for callers from those of the instance.
    pub fn new(limits: InstanceLimits) -> Arc<Resources> {
        let reserved = FILE_DESCRIPTORS + CONTROL_DESCRIPTORS;
        let callers = limits.descriptors.map(|descriptors| {
            (descriptors.saturating_sub(reserved) / DESCRIPTORS_PER_CALLER).max(1)
        });
        let bytes = limits.memory_bytes.map(|bytes| bytes / BUFFER_DIVISOR);
        Arc::new(Resources {
            connections: Usage::new(callers),
            bytes: Usage::new(bytes),
            busy: AtomicBool::new(false),
        })
    }

    /// Takes a caller's connection into account until the guard is dropped; `None` if there are too many.
    pub fn connect(self: &Arc<Resources>) -> Option<ConnectionCount> {
        self.connections.take(1).then(|| ConnectionCount(self.clone()))
    }

    /// Returns whether no further connection is accepted.
    pub fn is_full(&self) -> bool {
        self.connections.is_full()
    }

    /// Returns an account of the bytes that are buffered for one request.
    pub fn buffer(self: &Arc<Resources>) -> BufferedBytes {
        BufferedBytes { resources: self.clone(), bytes: 0 }
    }

    /// Returns the number of callers' connections.
    pub fn connections(&self) -> u64 {
        self.connections.used()
    }

    /// Returns the bytes buffered for callers.
    pub fn buffered_bytes(&self) -> u64 {
        self.bytes.used()
    }

    /// Returns whether the entry is near a limit and wants no new callers.
    ///
    /// It recovers only well below the limits: an entry that changed its mind at each check would be given
    /// new callers and lose them in turn.
    pub fn is_busy(&self) -> bool {
        let usages = [&self.connections, &self.bytes];
        let bound = if self.busy.load(Ordering::Relaxed) { CALM_PERCENT } else { BUSY_PERCENT };
        let busy = usages.iter().any(|usage| usage.reaches(bound));
        if self.busy.swap(busy, Ordering::Relaxed) != busy {
            let (connections, bytes) = (self.connections(), self.buffered_bytes());
            log::info!("event=entry_busy busy={busy} connections={connections} bytes={bytes}");
        }
        busy
    }
}

/// Counts one caller's connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionCount(Arc<Resources>);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.give_back(1);
    }
}

/// Counts the bytes that are buffered for one request until it is dropped.
#[derive(Debug)]
pub struct BufferedBytes {
    resources: Arc<Resources>,
    bytes: u64,
}

impl BufferedBytes {
    /// Adds bytes; returns whether the limit permits them.
    #[must_use]
    pub fn add(&mut self, bytes: u64) -> bool {
        let added = self.resources.bytes.take(bytes);
        self.bytes += if added { bytes } else { 0 };
        added
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.resources.bytes.give_back(self.bytes);
    }
}
