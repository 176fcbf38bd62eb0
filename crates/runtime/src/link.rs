//! A framed connection between two processes of the deployment.
//!
//! A connection can stop delivering data for good while new connections work: a middlebox has lost
//! its state, and nothing arrives, not even a reset. The opener therefore sends pings, and closes
//! the connection when no frame has arrived for [`SILENCE_TIMEOUT`] while one was due.

use std::{
    collections::HashMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::BytesMut;
use citronrill_wire::{
    Frame, FrameReader, Handshake, Identity, Kind, Peer, Ping, Pong, WireError, encode,
};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use crate::{clock::Clock, meter::Meter, pool::spawn};

/// An opened connection is dead if a frame has been due for this long. Also the timeout for queueing
/// and for writing a frame.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval of the opener's pings while calls are attached.
const BUSY_PING_INTERVAL: Duration = Duration::from_millis(800);
/// Interval of the opener's pings on an idle connection.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(10);
/// An accepted connection is dead if no frame has arrived for this long.
const ACCEPTED_TIMEOUT: Duration = Duration::from_secs(35);
/// An opened connection is closed when it has been unused for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often the threads of a connection check its state.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of frames queued for writing.
const QUEUE_FRAMES: usize = 1_024;
/// Frames are batched into one write up to this size, in bytes.
const BATCH_BYTES: usize = 64 << 10;

/// Receives the frames of a connection.
pub(crate) trait FrameSink: Send + Sync {
    /// Called for each frame that arrives.
    fn frame(&self, link: &Arc<Link>, kind: Kind);
    /// Called when the connection is dead.
    fn closed(&self, link: &Arc<Link>);
}

/// The data that all connections of a process share.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) secret: Arc<str>,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) meter: Arc<Meter>,
}

/// A message to the thread of a call.
#[derive(Debug)]
pub(crate) enum CallMessage {
    /// A frame of the call.
    Frame(Kind),
    /// The connection is dead.
    Disconnected,
    /// The control thread has refused the request.
    Refuse(citronrill_decide::Refusal),
}

/// A framed connection.
pub(crate) struct Link {
    pub(crate) peer: Peer,
    sender: Sender<Frame>,
    stream: TcpStream,
    dead: AtomicBool,
    opener: bool,
    opened: Instant,
    last_received: AtomicU64,
    unanswered_since: AtomicU64,
    last_used: AtomicU64,
    attached: AtomicUsize,
    remote_clock: Mutex<Option<(u64, Instant)>>,
    calls: Mutex<HashMap<u64, Sender<CallMessage>>>,
}

impl Link {
    /// Connects to `address`.
    pub(crate) fn open(
        address: SocketAddr,
        context: &LinkContext,
        sink: Arc<dyn FrameSink>,
    ) -> Result<Arc<Link>, WireError> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        Link::start(stream, context, sink, true)
    }

    /// Performs the handshake on an accepted connection.
    pub(crate) fn accept(
        stream: TcpStream,
        context: &LinkContext,
        sink: Arc<dyn FrameSink>,
    ) -> Result<Arc<Link>, WireError> {
        Link::start(stream, context, sink, false)
    }

    fn start(
        stream: TcpStream,
        context: &LinkContext,
        sink: Arc<dyn FrameSink>,
        opener: bool,
    ) -> Result<Arc<Link>, WireError> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
        stream.set_write_timeout(Some(SILENCE_TIMEOUT))?;
        let mut reader = FrameReader::new(stream.try_clone()?);
        let handshake = Handshake::new(&context.secret, &context.identity, opener);
        let peer = handshake.run(&mut reader, &mut stream.try_clone()?)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        let (sender, receiver) = bounded(QUEUE_FRAMES);
        let link = Arc::new(Link {
            peer,
            sender,
            stream,
            dead: AtomicBool::new(false),
            opener,
            opened: Instant::now(),
            last_received: AtomicU64::new(0),
            unanswered_since: AtomicU64::new(u64::MAX),
            last_used: AtomicU64::new(0),
            attached: AtomicUsize::new(0),
            remote_clock: Mutex::new(None),
            calls: Mutex::new(HashMap::new()),
        });
        if !opener {
            link.send(Pong { clock: context.clock.now().0 }.into());
        }
        let (writer, meter) = (link.clone(), context.meter.clone());
        spawn("link-write", move || writer.write_frames(&receiver, &meter))?;
        let (own, context) = (link.clone(), context.clone());
        spawn("link-read", move || own.read_frames(reader, &context, sink.as_ref()))?;
        Ok(link)
    }

    fn elapsed_ms(&self) -> u64 {
        self.opened.elapsed().as_millis() as u64
    }

    /// Queues a frame. Returns `false` if the connection is dead or the queue stays full.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        self.last_used.store(self.elapsed_ms(), Ordering::Relaxed);
        !self.is_dead() && self.sender.send_timeout(frame, SILENCE_TIMEOUT).is_ok()
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    /// Closes the connection, which ends its threads, and notifies the attached calls.
    pub(crate) fn close(&self) {
        if !self.dead.swap(true, Ordering::AcqRel) {
            let _ = self.stream.shutdown(Shutdown::Both);
            let calls = std::mem::take(&mut *self.calls());
            for sender in calls.into_values() {
                let _ = sender.try_send(CallMessage::Disconnected);
            }
        }
    }

    fn calls(&self) -> MutexGuard<'_, HashMap<u64, Sender<CallMessage>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers the frames of call `number` to `sender`. Returns `false` if the connection is dead.
    pub(crate) fn attach(&self, number: u64, sender: Sender<CallMessage>) -> bool {
        self.calls().insert(number, sender);
        self.attached.fetch_add(1, Ordering::AcqRel);
        !self.is_dead()
    }

    /// Ends the delivery that [`Link::attach`] has started.
    pub(crate) fn detach(&self, number: u64) {
        self.calls().remove(&number);
        self.attached.fetch_sub(1, Ordering::AcqRel);
    }

    /// Delivers a frame to its call's thread. A frame of a call that has ended is dropped. Call
    /// numbers are never reused, so a late frame cannot reach another call.
    pub(crate) fn route(&self, number: u64, kind: Kind) {
        let sender = self.calls().get(&number).cloned();
        if let Some(sender) = sender
            && sender.try_send(CallMessage::Frame(kind)).is_err()
        {
            // A peer that respects the window cannot fill the queue; one that overruns it is
            // disconnected.
            self.close();
        }
    }

    /// Returns a lower bound of the peer's clock, in milliseconds.
    ///
    /// The time that the reading took to arrive is not added. A deadline computed from it can
    /// therefore be early on the peer's clock, but never late.
    pub(crate) fn remote_now(&self) -> Option<u64> {
        let reading = *self.remote_clock.lock().unwrap_or_else(PoisonError::into_inner);
        reading.map(|(clock, at)| clock + at.elapsed().as_millis() as u64)
    }

    fn set_remote_clock(&self, clock: u64) {
        let mut reading = self.remote_clock.lock().unwrap_or_else(PoisonError::into_inner);
        *reading = Some((clock, Instant::now()));
    }

    fn write_frames(&self, receiver: &Receiver<Frame>, meter: &Meter) {
        let mut last_ping = Instant::now();
        let mut buffer = BytesMut::new();
        while !self.is_dead() {
            match receiver.recv_timeout(POLL_INTERVAL) {
                Ok(frame) => {
                    let _ = encode(&frame, &mut buffer);
                    while buffer.len() < BATCH_BYTES
                        && let Ok(frame) = receiver.try_recv()
                    {
                        let _ = encode(&frame, &mut buffer);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if self.opener {
                let busy = self.attached.load(Ordering::Acquire) > 0;
                let pause = if busy { BUSY_PING_INTERVAL } else { IDLE_PING_INTERVAL };
                if last_ping.elapsed() >= pause {
                    last_ping = Instant::now();
                    let _ = encode(&Ping {}.into(), &mut buffer);
                    let now = self.elapsed_ms();
                    let _ = self.unanswered_since.compare_exchange(
                        u64::MAX,
                        now,
                        Ordering::AcqRel,
                        Ordering::Acquire,
                    );
                }
            }
            if !buffer.is_empty() {
                meter.add_bytes(buffer.len() as u64, 0);
                if (&self.stream).write_all(&buffer).is_err() {
                    break;
                }
                buffer.clear();
            }
        }
        self.close();
    }

    fn read_frames(
        self: Arc<Link>,
        mut reader: FrameReader<TcpStream>,
        context: &LinkContext,
        sink: &dyn FrameSink,
    ) {
        let mut counted_bytes = 0;
        while !self.is_dead() {
            match reader.next_frame() {
                Ok(kind) => {
                    self.last_received.store(self.elapsed_ms(), Ordering::Release);
                    self.unanswered_since.store(u64::MAX, Ordering::Release);
                    context.meter.add_bytes(0, reader.bytes_read() - counted_bytes);
                    counted_bytes = reader.bytes_read();
                    self.handle_frame(kind, context, sink);
                }
                Err(WireError::Io(error)) if is_timeout(&error) => {
                    if self.is_expired() {
                        break;
                    }
                }
                Err(_) => break,
            }
        }
        self.close();
        sink.closed(&self);
    }

    fn handle_frame(self: &Arc<Link>, kind: Kind, context: &LinkContext, sink: &dyn FrameSink) {
        match kind {
            Kind::Ping(_) => {
                let _ = self.sender.try_send(Pong { clock: context.clock.now().0 }.into());
            }
            Kind::Pong(pong) => self.set_remote_clock(pong.clock),
            kind => sink.frame(self, kind),
        }
    }

    /// Returns whether the connection has been silent or unused for too long.
    fn is_expired(&self) -> bool {
        let now = Duration::from_millis(self.elapsed_ms());
        let elapsed_since =
            |at: &AtomicU64| now.saturating_sub(Duration::from_millis(at.load(Ordering::Acquire)));
        if !self.opener {
            return elapsed_since(&self.last_received) >= ACCEPTED_TIMEOUT;
        }
        let unanswered_since = self.unanswered_since.load(Ordering::Acquire);
        let silent = unanswered_since != u64::MAX
            && elapsed_since(&self.unanswered_since) >= SILENCE_TIMEOUT;
        let unused = self.attached.load(Ordering::Acquire) == 0
            && elapsed_since(&self.last_used) >= IDLE_TIMEOUT;
        silent || unused
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
