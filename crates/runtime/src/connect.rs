//! Outgoing connections to peers, opened on demand, and the listener for incoming ones.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use citronrill_wire::{Dump, Frame, Identity, Kind, PeerRole, WireError};
use crossbeam::channel::{Sender, bounded};

use crate::{
    clock::Clock,
    link::{FrameSink, Link, LinkContext},
    meter::Meter,
    pool::spawn,
};

/// Maximum number of accepted connections that are open at a time, including handshakes.
const ACCEPT_LIMIT: usize = 1_024;
/// How long the listener pauses after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long an operator's client waits for a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

type Slot = Arc<Mutex<Option<Arc<Link>>>>;

/// The outgoing connections, by address.
pub(crate) struct Links {
    context: LinkContext,
    sink: Arc<dyn FrameSink>,
    slots: Mutex<HashMap<String, Slot>>,
}

impl Links {
    pub(crate) fn new(context: LinkContext, sink: Arc<dyn FrameSink>) -> Links {
        Links { context, sink, slots: Mutex::new(HashMap::new()) }
    }

    /// Returns the connection to `address`; opens one if none is alive.
    pub(crate) fn get(&self, address: &str) -> Result<Arc<Link>, WireError> {
        let slot = {
            let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            slots.retain(|_, slot| in_use(slot));
            slots.entry(address.to_owned()).or_default().clone()
        };
        // The lock serialises opening per address, so that a burst of frames opens one connection
        // instead of hundreds.
        let mut current = slot.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = current.as_ref().filter(|link| !link.is_dead()) {
            return Ok(link.clone());
        }
        let parsed = address.parse::<SocketAddr>();
        let parsed = parsed.map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let link = Link::open(parsed, &self.context, self.sink.clone())?;
        *current = Some(link.clone());
        Ok(link)
    }

    /// Sends a frame to `address`. A frame that cannot be sent is dropped: the senders that use
    /// this method repeat a frame if it is still needed.
    pub(crate) fn send(&self, address: &str, frame: Frame) -> bool {
        self.get(address).is_ok_and(|link| link.send(frame))
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        for slot in slots.values() {
            if let Some(link) = &*slot.lock().unwrap_or_else(PoisonError::into_inner) {
                link.close();
            }
        }
    }
}

/// Returns whether a slot holds a live connection or is being filled.
fn in_use(slot: &Slot) -> bool {
    match slot.try_lock() {
        Ok(link) => {
            link.as_ref().is_some_and(|link| !link.is_dead()) || Arc::strong_count(slot) > 1
        }
        Err(_) => true,
    }
}

/// A listener for peers. Dropping it closes the listener and every connection that it accepted.
///
/// If the connections of a stopped side stayed open, their threads would still answer pings.
/// Entries would consider the side alive but slow, and callers would wait until the deadline.
pub(crate) struct PeerListener {
    address: SocketAddr,
    accepted: Arc<AcceptedLinks>,
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.accepted.close();
        unblock_accept(self.address);
    }
}

/// The accepted connections of a listener.
#[derive(Default)]
struct AcceptedLinks {
    /// Number of open connections and of handshakes in progress.
    open: AtomicUsize,
    stopped: AtomicBool,
    links: Mutex<Vec<Weak<Link>>>,
}

impl AcceptedLinks {
    fn close(&self) {
        self.stopped.store(true, Ordering::Release);
        let links = std::mem::take(&mut *self.links());
        links.iter().filter_map(Weak::upgrade).for_each(|link| link.close());
    }

    /// Registers a connection, or closes it if the listener has stopped in the meantime.
    fn register(&self, link: &Arc<Link>) {
        let mut links = self.links();
        links.retain(|link| link.strong_count() > 0);
        links.push(Arc::downgrade(link));
        drop(links);
        if self.stopped.load(Ordering::Acquire) {
            self.close();
        }
    }

    fn links(&self) -> MutexGuard<'_, Vec<Weak<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts connections from peers until the returned listener is dropped.
pub(crate) fn listen(
    listener: TcpListener,
    context: LinkContext,
    sink: Arc<dyn FrameSink>,
) -> io::Result<PeerListener> {
    let address = listener.local_addr()?;
    let accepted = Arc::new(AcceptedLinks::default());
    let peers = PeerListener { address, accepted: accepted.clone() };
    spawn("accept", move || {
        for stream in listener.incoming() {
            if accepted.stopped.load(Ordering::Acquire) {
                break;
            }
            let Ok(stream) = stream else {
                std::thread::park_timeout(ACCEPT_PAUSE);
                continue;
            };
            accept_peer(stream, context.clone(), sink.clone(), &accepted);
        }
    })?;
    Ok(peers)
}

/// Performs the handshake with a peer in a separate thread.
fn accept_peer(
    stream: TcpStream,
    context: LinkContext,
    sink: Arc<dyn FrameSink>,
    accepted: &Arc<AcceptedLinks>,
) {
    // Without the limit, unauthenticated clients could exhaust the threads.
    if accepted.open.fetch_add(1, Ordering::AcqRel) >= ACCEPT_LIMIT {
        accepted.open.fetch_sub(1, Ordering::AcqRel);
        return;
    }
    let counting_sink = Arc::new(CountingSink { accepted: accepted.clone(), sink });
    let open_links = accepted.clone();
    let started = spawn("handshake", move || match Link::accept(stream, &context, counting_sink) {
        Ok(link) => open_links.register(&link),
        Err(_) => {
            open_links.open.fetch_sub(1, Ordering::AcqRel);
            context.meter.add("handshakes_failed", "", 1);
        }
    });
    if started.is_err() {
        accepted.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A sink that decrements the count of accepted connections when a connection closes.
struct CountingSink {
    accepted: Arc<AcceptedLinks>,
    sink: Arc<dyn FrameSink>,
}

impl FrameSink for CountingSink {
    fn frame(&self, link: &Arc<Link>, kind: Kind) {
        self.sink.frame(link, kind);
    }

    fn closed(&self, link: &Arc<Link>) {
        self.accepted.open.fetch_sub(1, Ordering::AcqRel);
        self.sink.closed(link);
    }
}

/// Connects to a listener that is blocked in `accept`, so that it notices that it has been stopped.
fn unblock_accept(address: SocketAddr) {
    let _ = TcpStream::connect_timeout(&address, Duration::from_millis(200));
}

struct DumpSink(Sender<String>);

impl FrameSink for DumpSink {
    fn frame(&self, _: &Arc<Link>, kind: Kind) {
        if let Kind::DumpReply(reply) = kind {
            let _ = self.0.try_send(reply.json);
        }
    }

    fn closed(&self, _: &Arc<Link>) {}
}

/// Requests a process's state dump, as JSON text.
///
/// # Errors
/// The process does not answer or has another secret.
pub fn fetch_dump(address: SocketAddr, secret: &str) -> Result<String, WireError> {
    let identity = Identity { name: "operator".to_owned(), session: 0, role: PeerRole::Operator };
    let context = LinkContext {
        secret: secret.into(),
        identity,
        clock: Clock::start(),
        meter: Arc::new(Meter::default()),
    };
    let (sender, receiver) = bounded(1);
    let link = Link::open(address, &context, Arc::new(DumpSink(sender)))?;
    link.send(Dump {}.into());
    let reply = receiver.recv_timeout(DUMP_TIMEOUT);
    link.close();
    reply.map_err(|_| WireError::Closed)
}

/// Requests a process's state dump, as a parsed JSON value.
///
/// # Errors
/// As [`fetch_dump`]. Text that is not valid JSON is reported as an unexpected frame.
pub fn fetch_dump_json(address: SocketAddr, secret: &str) -> Result<serde_json::Value, WireError> {
    let text = fetch_dump(address, secret)?;
    serde_json::from_str(&text).map_err(|_| WireError::UnexpectedFrame)
}
