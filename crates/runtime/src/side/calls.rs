//! The calls of a side: offered, running and finished ones, with the response parts that an entry
//! can request again.

use std::{
    collections::{HashMap, VecDeque},
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use citronrill_base::EventTracker;
use citronrill_decide::{CallId, Decline};
use citronrill_http::{
    client::{self, ClientError, RequestBody, Response, is_token},
    is_forwarded,
    response::Framing,
};
use citronrill_wire::{self as wire, Call, Frame};
use crossbeam::channel::{Receiver, Sender, bounded};

use super::WINDOW;
use crate::{clock::Clock, link::Link, meter::Meter, pool::spawn, response};

/// Bytes of a response per part.
const PART_BYTES: usize = 16 << 10;
/// How long unacknowledged parts of a finished response are kept for an entry that resumes.
const RETENTION: Duration = Duration::from_secs(20);
/// The entry is considered gone if the window stays full, or the next part of a request body is
/// missing, for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// An endpoint that sends nothing for the call's remaining time plus this time is given up.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Media type of a server-sent event stream.
const EVENT_STREAM: &str = "text/event-stream";
/// Maximum number of cancellations that have not been answered yet.
const CANCEL_LIMIT: usize = 4_096;

/// The calls of a side, by id.
pub(super) struct Exchanges {
    target: SocketAddr,
    clock: Clock,
    meter: Arc<Meter>,
    by_id: Mutex<HashMap<CallId, Arc<Exchange>>>,
    cancels: Mutex<HashMap<CallId, Arc<Link>>>,
}

struct Exchange {
    number: u64,
    state: Mutex<ExchangeState>,
    window_open: Condvar,
    body: Sender<wire::Body>,
}

struct ExchangeState {
    call: Option<Call>,
    body_parts: Option<Receiver<wire::Body>>,
    link: Arc<Link>,
    parts: VecDeque<Frame>,
    first_unacked: u64,
    next_part: u64,
    running: bool,
    ended: Option<Instant>,
    stopped: bool,
}

impl Exchange {
    fn new(link: &Arc<Link>, call: Call) -> Exchange {
        let (body, body_parts) = bounded(WINDOW as usize + 2);
        let number = call.number;
        let state = ExchangeState {
            call: Some(call),
            body_parts: Some(body_parts),
            link: link.clone(),
            parts: VecDeque::new(),
            first_unacked: 0,
            next_part: 0,
            running: false,
            ended: None,
            stopped: false,
        };
        Exchange { number, state: Mutex::new(state), window_open: Condvar::new(), body }
    }

    fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores and sends the next part. Blocks while the window is full. Returns `false` if the call
    /// is to be stopped.
    fn push(&self, part: impl FnOnce(u64) -> Frame) -> bool {
        let begun = Instant::now();
        let mut state = self.lock();
        while state.next_part - state.first_unacked >= WINDOW && !state.stopped {
            if begun.elapsed() >= STALL_TIMEOUT {
                state.stopped = true;
            }
            let waited = self.window_open.wait_timeout(state, Duration::from_millis(500));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if state.stopped {
            return false;
        }
        let frame = part(state.next_part);
        state.next_part += 1;
        state.parts.push_back(frame.clone());
        state.link.send(frame);
        true
    }

    fn acknowledge(&self, taken: u64) {
        let mut state = self.lock();
        while state.first_unacked < taken.min(state.next_part) {
            state.parts.pop_front();
            state.first_unacked += 1;
        }
        self.window_open.notify_all();
    }

    /// Resumes over another connection, from part `next_part`. Returns `false` if that part is no
    /// longer stored.
    fn resume(&self, link: &Arc<Link>, next_part: u64) -> bool {
        self.acknowledge(next_part);
        let mut state = self.lock();
        if next_part < state.first_unacked {
            return false;
        }
        state.link = link.clone();
        for frame in state.parts.iter().skip((next_part - state.first_unacked) as usize) {
            link.send(frame.clone());
        }
        true
    }

    fn stopped(&self) -> bool {
        self.lock().stopped
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.window_open.notify_all();
    }
}

impl Exchanges {
    pub(super) fn new(target: SocketAddr, clock: Clock, meter: Arc<Meter>) -> Exchanges {
        Exchanges { target, clock, meter, by_id: Mutex::default(), cancels: Mutex::default() }
    }

    pub(super) fn meter(&self) -> &Meter {
        &self.meter
    }

    fn by_id(&self) -> MutexGuard<'_, HashMap<CallId, Arc<Exchange>>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, id: CallId) -> Option<Arc<Exchange>> {
        self.by_id().get(&id).cloned()
    }

    /// Stores an offered call until the control thread has decided on it. A duplicate of an earlier
    /// frame changes nothing.
    pub(super) fn add_offer(&self, link: &Arc<Link>, id: CallId, call: Call) {
        let mut by_id = self.by_id();
        by_id.entry(id).or_insert_with(|| Arc::new(Exchange::new(link, call)));
    }

    pub(super) fn push_body(&self, id: CallId, body: wire::Body) {
        if let Some(exchange) = self.get(id) {
            // An entry that respects the window cannot fill the queue. Excess parts are dropped,
            // and the gap in the sequence is detected.
            let _ = exchange.body.try_send(body);
        }
    }

    pub(super) fn acknowledge(&self, id: CallId, taken: u64) {
        if let Some(exchange) = self.get(id) {
            exchange.acknowledge(taken);
        }
    }

    /// Records the connection to which the reply to a cancellation is sent.
    pub(super) fn add_cancel(&self, id: CallId, link: &Arc<Link>) {
        let mut cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        if cancels.len() < CANCEL_LIMIT {
            cancels.insert(id, link.clone());
        }
    }

    pub(super) fn answer_cancel(&self, id: CallId, outcome: u32) {
        let link = self.cancels.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        if let Some(link) = link {
            link.send(wire::Cancelled { number: id.number, outcome }.into());
        }
    }

    /// Resumes a call over another connection of its entry. Returns `false` if the call is unknown
    /// or its parts are no longer stored.
    pub(super) fn resume(&self, id: CallId, link: &Arc<Link>, next_part: u64) -> bool {
        let exchange = self.get(id).filter(|exchange| {
            let state = exchange.lock();
            state.running || state.ended.is_some()
        });
        exchange.is_some_and(|exchange| exchange.resume(link, next_part))
    }

    /// Confirms a call that was offered again while it runs or after it has run. Its parts still go
    /// to the connection of the first offer or of the last resume.
    pub(super) fn attach(&self, id: CallId) {
        if let Some(exchange) = self.get(id) {
            let state = exchange.lock();
            state.link.send(wire::Accepted { number: id.number }.into());
        }
    }

    pub(super) fn decline(&self, id: CallId, reason: Decline, active_calls: u32) {
        if let Some(exchange) = self.by_id().remove(&id) {
            let reason = reason.code();
            exchange
                .lock()
                .link
                .send(wire::Declined { number: id.number, reason, active_calls }.into());
        }
    }

    pub(super) fn stop(&self, id: CallId) {
        if let Some(exchange) = self.get(id) {
            exchange.stop();
        }
    }

    /// Stops all calls when the process ends.
    pub(super) fn close(&self) {
        let by_id = std::mem::take(&mut *self.by_id());
        for exchange in by_id.into_values() {
            exchange.stop();
        }
    }

    /// Removes finished calls whose parts are all acknowledged or older than the retention time.
    pub(super) fn remove_expired(&self) {
        self.by_id().retain(|_, exchange| {
            let state = exchange.lock();
            let expired = state.ended.is_some_and(|at| {
                state.first_unacked == state.next_part || at.elapsed() >= RETENTION
            });
            !expired
        });
    }

    /// Runs a call in a separate thread.
    pub(super) fn run(&self, id: CallId, active_calls: u32, ended: impl FnOnce() + Send + 'static) {
        let Some(exchange) = self.get(id) else { return ended() };
        let content = {
            let mut state = exchange.lock();
            state.running = true;
            state.link.send(wire::Accepted { number: id.number }.into());
            state.call.take().zip(state.body_parts.take())
        };
        let Some((call, body_parts)) = content else { return ended() };
        let slack = Duration::from_millis(call.expires.saturating_sub(self.clock.now().0));
        let runner =
            CallRunner { exchange: exchange.clone(), target: self.target, slack, active_calls };
        let started = spawn("call", move || {
            runner.run(call, body_parts);
            ended();
        });
        if started.is_err() {
            exchange.lock().running = false;
            self.decline(id, Decline::Busy, active_calls);
        }
    }
}

/// Runs a call at the endpoint.
struct CallRunner {
    exchange: Arc<Exchange>,
    target: SocketAddr,
    slack: Duration,
    active_calls: u32,
}

impl CallRunner {
    fn run(&self, call: Call, body_parts: Receiver<wire::Body>) {
        let number = self.exchange.number;
        let complete = match self.call_endpoint(call, body_parts) {
            Ok(response) => self.forward(response),
            Err(error) if error.is_refused() => return self.decline(),
            Err(error) => {
                log::warn!("event=call_failed number={number} error=\"{error}\"");
                false
            }
        };
        let active_calls = self.active_calls;
        let mut state = self.exchange.lock();
        // The end frame is stored and sent even if the window is full.
        let sequence = state.next_part;
        let frame: Frame = wire::ResponseEnd { number, sequence, complete, active_calls }.into();
        state.next_part += 1;
        state.parts.push_back(frame.clone());
        state.link.send(frame);
        state.running = false;
        state.ended = Some(Instant::now());
    }

    /// Declines the call. The endpoint has refused the connection, so it has not received the call.
    fn decline(&self) {
        let mut state = self.exchange.lock();
        let reason = Decline::EndpointDown.code();
        let (number, active_calls) = (self.exchange.number, self.active_calls);
        let frame: Frame = wire::Declined { number, reason, active_calls }.into();
        state.next_part += 1;
        state.parts.push_back(frame.clone());
        state.link.send(frame);
        state.running = false;
        state.ended = Some(Instant::now());
    }

    fn call_endpoint(
        &self,
        call: Call,
        body_parts: Receiver<wire::Body>,
    ) -> Result<Response, ClientError> {
        let request = client::Call::new(&call.verb, self.target, &call.path);
        let request =
            request.connect_timeout(CONNECT_TIMEOUT).read_timeout(self.slack + DEADLINE_GRACE);
        let mut request = request.header("x-priority", &call.class.to_string());
        let forwarded = |name: &str| is_forwarded(name) && is_token(name);
        for header in call.headers.iter().filter(|header| forwarded(&header.name)) {
            request = request.header(&header.name, &header.value);
        }
        match (call.body, call.length) {
            (Some(body), _) => request.send(&mut &body[..]),
            (None, length) => {
                let exchange = self.exchange.clone();
                request.send(&mut StreamedBody { exchange, body_parts, length, next_part: 0 })
            }
        }
    }

    /// Forwards the endpoint's response as it arrives. Returns whether it was complete.
    fn forward(&self, mut response: Response) -> bool {
        let number = self.exchange.number;
        let mut body = BodyCheck::new(&response);
        let headers = response.headers().iter().filter(|header| is_forwarded(&header.name));
        let headers = response::to_wire(headers.cloned());
        let status = u32::from(response.status());
        if !self.exchange.push(|_| wire::ResponseHead { number, status, headers }.into()) {
            return false;
        }
        let mut buffer = vec![0; PART_BYTES];
        loop {
            match response.read(&mut buffer) {
                Ok(0) => return body.is_complete(self.target),
                Ok(count) => {
                    body.push(&buffer[..count]);
                    let data = Bytes::copy_from_slice(&buffer[..count]);
                    let part = |sequence| wire::ResponsePart { number, sequence, data }.into();
                    if !self.exchange.push(part) || self.exchange.stopped() {
                        return false;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!("event=response_broken number={number} error=\"{error}\"");
                    return false;
                }
            }
        }
    }
}

/// Decides whether the body of an endpoint's response is complete when its connection has ended.
struct BodyCheck {
    /// Whether nothing but the end of the connection marks its end.
    until_close: bool,
    /// Set for an event stream.
    events: Option<EventTracker>,
}

impl BodyCheck {
    fn new(response: &Response) -> BodyCheck {
        let media_type = response.header("content-type");
        let stream = media_type.is_some_and(|name| name.starts_with(EVENT_STREAM));
        BodyCheck {
            until_close: response.framing() == Framing::UntilClose,
            events: stream.then(EventTracker::default),
        }
    }

    fn push(&mut self, bytes: &[u8]) {
        if let Some(events) = &mut self.events {
            events.push(bytes);
        }
    }

    /// Returns whether the body is complete.
    ///
    /// The connections of a process that crashes are closed like that of one that has sent everything.
    /// A stream that ends inside an event, or without any, was broken off; of anything else only the address
    /// shows whether the endpoint still runs.
    fn is_complete(&self, target: SocketAddr) -> bool {
        let cut = self.events.is_some_and(|events| {
            events.is_inside_event() || self.until_close && !events.has_events()
        });
        !cut && (!self.until_close || runs(target))
    }
}

/// Returns whether something listens at an address.
fn runs(address: SocketAddr) -> bool {
    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_ok()
}

/// A request body that arrives in frames.
struct StreamedBody {
    exchange: Arc<Exchange>,
    body_parts: Receiver<wire::Body>,
    length: Option<u64>,
    next_part: u64,
}

impl RequestBody for StreamedBody {
    fn length(&self) -> Option<u64> {
        self.length
    }

    fn write(&mut self, writer: &mut dyn Write) -> io::Result<()> {
        loop {
            let body = self.body_parts.recv_timeout(STALL_TIMEOUT);
            let body = body.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
            if body.sequence != self.next_part || self.exchange.stopped() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            self.next_part += 1;
            writer.write_all(&body.data)?;
            writer.flush()?;
            let (number, taken) = (self.exchange.number, self.next_part);
            self.exchange.lock().link.send(wire::BodyAck { number, taken }.into());
            if body.last {
                return Ok(());
            }
        }
    }
}
