//! Connections to peers, opened when they are needed, and the listener for theirs.

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

/// Connections that a process accepts at once.
const ACCEPT_LIMIT: usize = 1_024;
/// How long a failed accept pauses the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long an operator's client waits for a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

type Slot = Arc<Mutex<Option<Arc<Link>>>>;

/// Opened connections by address.
pub(crate) struct Links {
    context: LinkContext,
    sink: Arc<dyn FrameSink>,
    slots: Mutex<HashMap<String, Slot>>,
}

impl Links {
    pub(crate) fn new(context: LinkContext, sink: Arc<dyn FrameSink>) -> Links {
        Links { context, sink, slots: Mutex::new(HashMap::new()) }
    }

    /// The connection to `address`, opened if there is none that lives.
    pub(crate) fn get(&self, address: &str) -> Result<Arc<Link>, WireError> {
        let slot = {
            let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            slots.retain(|_, slot| keep(slot));
            slots.entry(address.to_owned()).or_default().clone()
        };
        // One at a time per address: a burst opens one connection and not hundreds.
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

    /// Sends a frame to `address`; what cannot be sent is dropped, as all that goes this way is
    /// sent again by its sender if it is still needed.
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

/// Whether a slot holds a living connection or is being filled.
fn keep(slot: &Slot) -> bool {
    match slot.try_lock() {
        Ok(link) => {
            link.as_ref().is_some_and(|link| !link.is_dead()) || Arc::strong_count(slot) > 1
        }
        Err(_) => true,
    }
}

/// A listener for peers; dropping it ends it and every connection that it accepted.
///
/// The failure it prevents: a side stops and its connections live on, answering pings from threads of
/// their own. Entries then take it for slow, and callers wait for their calls until their time is up.
pub(crate) struct PeerListener {
    address: SocketAddr,
    accepted: Arc<Accepted>,
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.accepted.close();
        wake(self.address);
    }
}

/// The accepted connections.
#[derive(Default)]
struct Accepted {
    /// Connections and handshakes.
    open: AtomicUsize,
    stopped: AtomicBool,
    links: Mutex<Vec<Weak<Link>>>,
}

impl Accepted {
    fn close(&self) {
        self.stopped.store(true, Ordering::Release);
        let links = std::mem::take(&mut *self.links());
        links.iter().filter_map(Weak::upgrade).for_each(|link| link.close());
    }

    /// Keeps a connection, unless the listener has stopped meanwhile.
    fn keep(&self, link: &Arc<Link>) {
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

/// Accepts connections of peers until what it gives is dropped.
pub(crate) fn listen(
    listener: TcpListener,
    context: LinkContext,
    sink: Arc<dyn FrameSink>,
) -> io::Result<PeerListener> {
    let address = listener.local_addr()?;
    let accepted = Arc::new(Accepted::default());
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
            greet(stream, context.clone(), sink.clone(), &accepted);
        }
    })?;
    Ok(peers)
}

/// Shakes hands with a peer, in a thread of its own.
fn greet(
    stream: TcpStream,
    context: LinkContext,
    sink: Arc<dyn FrameSink>,
    accepted: &Arc<Accepted>,
) {
    // Strangers could else use up the threads before they prove anything.
    if accepted.open.fetch_add(1, Ordering::AcqRel) >= ACCEPT_LIMIT {
        accepted.open.fetch_sub(1, Ordering::AcqRel);
        return;
    }
    let counted = Arc::new(Counted { accepted: accepted.clone(), sink });
    let count = accepted.clone();
    let started = spawn("greet", move || match Link::accept(stream, &context, counted) {
        Ok(link) => count.keep(&link),
        Err(_) => {
            count.open.fetch_sub(1, Ordering::AcqRel);
            context.meter.add("handshakes_failed", "", 1);
        }
    });
    if started.is_err() {
        accepted.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts accepted connections while they live.
struct Counted {
    accepted: Arc<Accepted>,
    sink: Arc<dyn FrameSink>,
}

impl FrameSink for Counted {
    fn frame(&self, link: &Arc<Link>, kind: Kind) {
        self.sink.frame(link, kind);
    }

    fn closed(&self, link: &Arc<Link>) {
        self.accepted.open.fetch_sub(1, Ordering::AcqRel);
        self.sink.closed(link);
    }
}

/// Wakes a listener that waits in `accept`, so that it sees that it has stopped.
fn wake(address: SocketAddr) {
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

/// Asks a process for its state as JSON text.
///
/// # Errors
/// The process does not answer or does not share the secret.
pub fn ask_dump(address: SocketAddr, secret: &str) -> Result<String, WireError> {
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

/// [`ask_dump`], parsed.
///
/// # Errors
/// As [`ask_dump`]; text that is no JSON counts as a frame out of turn.
pub fn dump_json(address: SocketAddr, secret: &str) -> Result<serde_json::Value, WireError> {
    let text = ask_dump(address, secret)?;
    serde_json::from_str(&text).map_err(|_| WireError::OutOfTurn)
}
