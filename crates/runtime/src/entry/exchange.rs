//! The exchange of a request with a side, in a separate thread.

use std::{
    io::Read,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use citronrill_decide::{
    ANSWER_LIMIT, Answer as StoredAnswer, CancelAnswer, Decline, Effect, Event, Ran, Refusal,
    RefusalKind, RequestId,
};
use citronrill_http::{Header, ResponseWriter, respond};
use citronrill_wire::{self as wire, Kind};
use crossbeam::channel::{Receiver, Sender, bounded};

use super::{
    Shared,
    peers::class_number,
    requests::{PendingRequest, RequestBody},
};
use crate::{
    link::{CallMessage, Link},
    pool::spawn,
    response,
    side::WINDOW,
};

/// Maximum number of messages queued for an exchange: the window and a reserve for other frames.
const QUEUE_MESSAGES: usize = WINDOW as usize + 16;
/// How often an exchange checks whether its connection is alive.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// A response that is not a stream is buffered up to this size, in bytes, so that a truncated one
/// can still be replaced by a refusal.
const BUFFER_LIMIT: usize = 1 << 20;
/// A request body up to this size, in bytes, is sent in the same frame as its call.
const INLINE_BODY_BYTES: usize = 64 << 10;
/// Bytes of a request body per frame.
const BODY_PART_BYTES: usize = 16 << 10;
/// Maximum number of attempts to resume a call over a new connection.
const MAX_RESUMES: usize = 3;
const RESUME_PAUSE: Duration = Duration::from_millis(250);
/// How long to wait for the first reading of the peer's clock on a new connection.
const CLOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// An exchange ends unconditionally when this time has passed since its deadline.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// An attempt to run a call at a side, as requested by the reducer.
pub(super) struct Attempt {
    id: RequestId,
    call: u64,
    address: String,
    model: String,
    org: String,
    class: u32,
    slack_ms: u64,
    claimed: bool,
}

impl Attempt {
    pub(super) fn from_effect(effect: Effect) -> Option<(RequestId, Attempt)> {
        let Effect::Send { id, call, address, model, org, class, slack_ms, claimed, .. } = effect
        else {
            return None;
        };
        let class = class_number(class);
        let attempt = Attempt { id, call, address, model, org, class, slack_ms, claimed };
        Some((id, attempt))
    }
}

/// A handle of an exchange for other threads.
#[derive(Clone)]
pub(crate) struct ExchangeHandle {
    sender: Sender<CallMessage>,
    link: Arc<Mutex<Option<Arc<Link>>>>,
    number: u64,
    expires: u64,
}

impl ExchangeHandle {
    /// Requests the cancellation of the call from the side.
    pub(super) fn cancel(&self) {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(link) = link {
            let (number, expires, session) = (self.number, self.expires, link.peer.session);
            link.send(wire::Cancel { number, expires, session }.into());
        }
    }

    pub(super) fn notify(&self, message: CallMessage) {
        let _ = self.sender.try_send(message);
    }
}

/// The outcome of an exchange.
enum Outcome {
    /// The complete response was forwarded.
    Complete { load: u32 },
    /// The side has declined the call and will not run it.
    Declined(Decline, u32),
    /// It cannot be determined whether the call ran.
    Lost,
    /// The caller has disconnected.
    CallerDisconnected,
    /// The control thread has refused the request.
    Refused(Refusal),
}

struct Exchange {
    shared: Arc<Shared>,
    attempt: Attempt,
    link: Arc<Link>,
    session: u64,
    receiver: Receiver<CallMessage>,
    sender: Sender<CallMessage>,
    shared_link: Arc<Mutex<Option<Arc<Link>>>>,
    expires: u64,
    give_up_at: Instant,
    pending: Option<PendingRequest>,
    next_part: u64,
    acked_parts: u64,
    status: u16,
    headers: Vec<Header>,
    buffer: Vec<u8>,
    replay_body: Option<Vec<u8>>,
    response: Option<ResponseWriter>,
    resumes: usize,
    body_sent: bool,
    body_acked: u64,
    body_parts: u64,
}

/// Starts the thread of an exchange.
pub(super) fn start(
    shared: &Arc<Shared>,
    entry_session: u64,
    pending: PendingRequest,
    attempt: Attempt,
) {
    let shared = shared.clone();
    let (id, call) = (attempt.id, attempt.call);
    let fallback = shared.clone();
    let pending = Arc::new(Mutex::new(Some(pending)));
    let thread_pending = pending.clone();
    let started = spawn("exchange", move || {
        let pending = thread_pending.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(pending) = pending {
            run(&shared, entry_session, pending, attempt);
        }
    });
    if started.is_err() {
        // The thread could not be started, so the call was not sent.
        let pending = pending.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(pending) = pending {
            fallback.pending().insert(id, pending);
        }
        fallback.event(Event::NotSent(id, call));
    }
}

fn run(shared: &Arc<Shared>, entry_session: u64, pending: PendingRequest, attempt: Attempt) {
    log::debug!("event=send request={} call={} entry={entry_session}", attempt.id.0, attempt.call);
    let (id, call) = (attempt.id, attempt.call);
    let started_at = Instant::now();
    let link = shared.links.get(&attempt.address);
    let ready = link.ok().and_then(|link| Some((remote_now(&link)?, link)));
    let Some((clock, link)) = ready else {
        shared.pending().insert(id, pending);
        return shared.event(Event::NotSent(id, call));
    };
    // The time for connecting counts against the request's deadline.
    let slack = attempt.slack_ms.saturating_sub(started_at.elapsed().as_millis() as u64);
    let (sender, receiver) = bounded(QUEUE_MESSAGES);
    let shared_link = Arc::new(Mutex::new(Some(link.clone())));
    let handle = ExchangeHandle {
        sender: sender.clone(),
        link: shared_link.clone(),
        number: attempt.call,
        expires: clock + slack,
    };
    shared.exchanges().insert(id, handle);
    let give_up_at = started_at + Duration::from_millis(attempt.slack_ms) + DEADLINE_GRACE;
    let replay_body = attempt.claimed.then(Vec::new);
    let exchange = Exchange {
        shared: shared.clone(),
        session: link.peer.session,
        link,
        receiver,
        sender,
        shared_link,
        expires: clock + slack,
        give_up_at,
        pending: Some(pending),
        next_part: 0,
        acked_parts: 0,
        status: 502,
        headers: Vec::new(),
        buffer: Vec::new(),
        replay_body,
        response: None,
        resumes: 0,
        body_sent: false,
        body_acked: 0,
        body_parts: 0,
        attempt,
    };
    exchange.run();
}

/// Returns the side's clock. On a new connection, waits for its first reading.
fn remote_now(link: &Link) -> Option<u64> {
    let started_at = Instant::now();
    loop {
        if let Some(clock) = link.remote_now() {
            return Some(clock);
        }
        if link.is_dead() || started_at.elapsed() >= CLOCK_TIMEOUT {
            return None;
        }
        std::thread::park_timeout(Duration::from_millis(1));
    }
}

impl Exchange {
    fn run(mut self) {
        self.link.attach(self.attempt.call, self.sender.clone());
        let outcome = if self.send_call() { self.receive() } else { self.resume() };
        let (id, call) = (self.attempt.id, self.attempt.call);
        self.link.detach(self.attempt.call);
        match outcome {
            Outcome::Complete { load } => self.finish(load),
            Outcome::Declined(reason, load) => {
                self.shared.meter.add("declines", reason.as_str(), 1);
                if self.body_consumed() {
                    self.return_request();
                    return self.shared.event(Event::BodyConsumed(id, call, Ran::No));
                }
                self.return_request();
                self.shared.event(Event::Declined { id, call, why: reason, load });
            }
            Outcome::Lost => {
                self.shared.meter.add("lost", "", 1);
                self.handle_lost();
            }
            Outcome::CallerDisconnected => {
                self.shared.meter.add("callers_gone", "", 1);
                self.cancel();
                self.unregister();
                self.shared.event(Event::CallerDisconnected(id));
            }
            Outcome::Refused(refusal) => {
                self.cancel();
                self.unregister();
                self.refuse(&refusal);
            }
        }
    }

    /// Sends the call. Returns `false` if the connection is dead; the call may have been sent even
    /// then.
    fn send_call(&mut self) -> bool {
        let Some(pending) = &self.pending else { return false };
        let (body, length) = match &pending.body {
            RequestBody::Complete(body) if body.len() <= INLINE_BODY_BYTES => {
                (Some(body.to_vec()), None)
            }
            RequestBody::Complete(body) => (None, Some(body.len() as u64)),
            RequestBody::Unread(length) => (None, *length),
        };
        self.body_sent = body.is_some();
        let call = wire::Call {
            number: self.attempt.call,
            session: self.session,
            expires: self.expires,
            model: self.attempt.model.clone(),
            org: self.attempt.org.clone(),
            class: self.attempt.class,
            verb: pending.verb.clone(),
            path: pending.path.clone(),
            headers: response::to_wire(pending.headers.clone()),
            body,
            length,
        };
        self.link.send(call.into())
    }

    fn receive(&mut self) -> Outcome {
        loop {
            if Instant::now() > self.give_up_at {
                return Outcome::Lost;
            }
            let message = self.receiver.recv_timeout(POLL_INTERVAL);
            let ended = match message {
                Ok(CallMessage::Frame(kind)) => self.handle_frame(kind),
                Ok(CallMessage::Refuse(refusal)) => Some(Outcome::Refused(refusal)),
                Ok(CallMessage::Disconnected) => Some(self.resume()),
                Err(_) if self.link.is_dead() => Some(self.resume()),
                Err(_) => None,
            };
            if let Some(outcome) = ended {
                return outcome;
            }
        }
    }

    /// Resumes the call over a new connection: requests its status and the missing response parts.
    ///
    /// Only the same side process knows the status. If it has not received the call, it records
    /// that the call must not run, and replies that it did not run. Otherwise it sends the parts from
    /// the first missing one; if it no longer has them, it replies that the call ran.
    fn resume(&mut self) -> Outcome {
        self.link.detach(self.attempt.call);
        while self.resumes < MAX_RESUMES && Instant::now() < self.give_up_at {
            self.resumes += 1;
            self.shared.meter.add("resumes", "", 1);
            let link = self.shared.links.get(&self.attempt.address);
            if let Ok(link) = link {
                if link.peer.session != self.session {
                    self.link.attach(self.attempt.call, self.sender.clone());
                    return Outcome::Lost;
                }
                self.link = link.clone();
                *self.shared_link.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(link.clone());
                link.attach(self.attempt.call, self.sender.clone());
                let (number, next) = (self.attempt.call, self.next_part);
                let (expires, session) = (self.expires, self.session);
                if link.send(wire::Resume { number, next, expires, session }.into()) {
                    return self.receive();
                }
                link.detach(self.attempt.call);
            }
            std::thread::park_timeout(RESUME_PAUSE);
        }
        self.link.attach(self.attempt.call, self.sender.clone());
        Outcome::Lost
    }

    /// Handles a frame. Returns the outcome if the exchange has ended.
    fn handle_frame(&mut self, kind: Kind) -> Option<Outcome> {
        match kind {
            Kind::Accepted(_) => self.send_body(),
            Kind::BodyAck(ack) => {
                self.body_acked = self.body_acked.max(ack.taken);
                None
            }
            Kind::Declined(declined) => {
                let reason = Decline::from_code(declined.reason).unwrap_or(Decline::Busy);
                Some(Outcome::Declined(reason, declined.active_calls))
            }
            Kind::ResponseHead(head) if self.next_part == 0 => {
                self.next_part = 1;
                self.status = head.status as u16;
                self.headers = response::from_wire(head.headers);
                None
            }
            Kind::ResponsePart(part) if part.sequence == self.next_part => {
                self.next_part += 1;
                self.forward(&part.data)
            }
            // A duplicate, sent again after a resume.
            Kind::ResponseHead(_) => None,
            Kind::ResponsePart(part) if part.sequence < self.next_part => None,
            Kind::ResponsePart(_) => Some(self.resume()),
            Kind::ResponseEnd(end) if !end.complete => Some(Outcome::Lost),
            Kind::ResponseEnd(end) if end.sequence == self.next_part && self.next_part > 0 => {
                Some(Outcome::Complete { load: end.active_calls })
            }
            Kind::ResponseEnd(_) => Some(self.resume()),
            Kind::Cancelled(cancelled) => self.handle_cancelled(cancelled.outcome),
            _ => None,
        }
    }

    /// Handles the side's reply to a cancellation, or to a resume of a call whose response it does
    /// not have.
    fn handle_cancelled(&mut self, outcome: u32) -> Option<Outcome> {
        let answer = match outcome {
            0 => CancelAnswer::NotRun,
            1 => CancelAnswer::Ran,
            _ => CancelAnswer::Unknown,
        };
        if self.resumes > 0 && answer != CancelAnswer::NotRun {
            return Some(Outcome::Lost);
        }
        self.shared.event(Event::CancelAnswered(self.attempt.id, self.attempt.call, answer));
        None
    }

    fn send_body(&mut self) -> Option<Outcome> {
        if self.body_sent {
            return None;
        }
        self.body_sent = true;
        let mut pending = self.pending.take()?;
        let outcome = match &mut pending.body {
            RequestBody::Complete(body) => {
                let body = body.clone();
                self.send_parts(&mut body.as_slice())
            }
            RequestBody::Unread(_) => self.send_parts(&mut pending.request.as_reader()),
        };
        self.pending = Some(pending);
        outcome
    }

    /// Sends the body in parts. At most a window of parts is unacknowledged.
    fn send_parts(&mut self, reader: &mut dyn Read) -> Option<Outcome> {
        let mut buffer = vec![0; BODY_PART_BYTES];
        loop {
            let Ok(count) = reader.read(&mut buffer) else {
                return Some(Outcome::CallerDisconnected);
            };
            let data = Bytes::copy_from_slice(&buffer[..count]);
            let (number, sequence, last) = (self.attempt.call, self.body_parts, count == 0);
            self.body_parts += 1;
            if !self.link.send(wire::Body { number, sequence, data, last }.into()) {
                // The body cannot be read again from the caller, and the call's outcome is unknown.
                return Some(Outcome::Lost);
            }
            if last {
                return None;
            }
            while self.body_parts - self.body_acked >= WINDOW {
                match self.receiver.recv_timeout(POLL_INTERVAL) {
                    Ok(CallMessage::Frame(Kind::BodyAck(ack))) => {
                        self.body_acked = self.body_acked.max(ack.taken);
                    }
                    // A response before the end of the body: the endpoint does not need the rest.
                    Ok(CallMessage::Frame(kind)) => {
                        if let Some(outcome) = self.handle_frame(kind) {
                            return Some(outcome);
                        }
                        if self.next_part > 0 {
                            return None;
                        }
                    }
                    Ok(CallMessage::Refuse(refusal)) => return Some(Outcome::Refused(refusal)),
                    Ok(CallMessage::Disconnected) => return Some(Outcome::Lost),
                    Err(_) if self.link.is_dead() => return Some(Outcome::Lost),
                    Err(_) if Instant::now() > self.give_up_at => return Some(Outcome::Lost),
                    Err(_) => {}
                }
            }
        }
    }

    /// Forwards a part of the response to the caller, or buffers it if the response is not a
    /// stream.
    fn forward(&mut self, data: &[u8]) -> Option<Outcome> {
        if let Some(replay_body) =
            self.replay_body.as_mut().filter(|replay_body| replay_body.len() <= ANSWER_LIMIT)
        {
            replay_body.extend_from_slice(data);
        }
        if self.next_part - self.acked_parts > WINDOW / 4 {
            self.acked_parts = self.next_part;
            let (number, taken) = (self.attempt.call, self.next_part);
            self.link.send(wire::ResponseAck { number, taken }.into());
        }
        let event_stream = self.pending.as_ref().is_some_and(|pending| pending.event_stream);
        let keep_buffering = !event_stream && self.buffer.len() + data.len() <= BUFFER_LIMIT;
        if self.response.is_none() && keep_buffering {
            self.buffer.extend_from_slice(data);
            return None;
        }
        if self.response.is_none() && self.begin_response().is_err() {
            return Some(Outcome::CallerDisconnected);
        }
        let written = self.response.as_mut().map(|response| response.write_part(data));
        matches!(written, Some(Err(_))).then_some(Outcome::CallerDisconnected)
    }

    /// Begins the response to the caller. The request cannot be refused after that.
    fn begin_response(&mut self) -> std::io::Result<()> {
        let Some(pending) = self.pending.take() else { return Ok(()) };
        self.shared.meter.record_time("first_part", pending.arrived.elapsed().as_micros() as u64);
        self.shared.event(Event::ResponseStarted(self.attempt.id, self.attempt.call));
        let mut response = ResponseWriter::begin(pending.request, self.status, &self.headers)?;
        if !self.buffer.is_empty() {
            response.write_part(&std::mem::take(&mut self.buffer))?;
        }
        self.response = Some(response);
        Ok(())
    }

    fn finish(mut self, load: u32) {
        let (id, call) = (self.attempt.id, self.attempt.call);
        let (number, taken) = (self.attempt.call, self.next_part + 1);
        self.link.send(wire::ResponseAck { number, taken }.into());
        let content_type =
            self.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-type"));
        let content_type = content_type.map_or(String::new(), |header| header.value.clone());
        let written = match (self.response.take(), self.pending.take()) {
            (Some(response), _) => response.finish(),
            (None, Some(pending)) => {
                self.shared
                    .meter
                    .record_time("first_part", pending.arrived.elapsed().as_micros() as u64);
                respond(pending.request, self.status, &self.headers, &self.buffer)
            }
            (None, None) => Ok(()),
        };
        self.unregister();
        self.shared.meter.add("answers", if written.is_ok() { "whole" } else { "unread" }, 1);
        let answer = self.replay_body.take().map(|body| StoredAnswer {
            status: self.status,
            content_type,
            body: (body.len() <= ANSWER_LIMIT).then_some(body),
        });
        self.shared.event(Event::ResponseFinished { id, call, load, answer });
    }

    /// Reports to the control thread that the call's outcome is unknown. If the caller has received
    /// a part of the response, the response is aborted; otherwise the control thread retries the
    /// request on another endpoint or refuses it.
    fn handle_lost(mut self) {
        let (id, call) = (self.attempt.id, self.attempt.call);
        if let Some(response) = self.response.take() {
            self.unregister();
            let kind = RefusalKind::ConnectionLost;
            response::abort(response, &Refusal { kind, ran: Ran::Yes, retry_ms: None });
        } else if self.body_consumed() {
            self.return_request();
            return self.shared.event(Event::BodyConsumed(id, call, Ran::Unknown));
        } else {
            self.return_request();
        }
        self.shared.event(Event::ConnectionLost(id, call));
    }

    /// Returns whether a part of a body that can be read only once has been read.
    fn body_consumed(&self) -> bool {
        let unread = |pending: &PendingRequest| matches!(pending.body, RequestBody::Unread(_));
        self.body_parts > 0 && self.pending.as_ref().is_some_and(unread)
    }

    fn refuse(mut self, refusal: &Refusal) {
        match (self.response.take(), self.pending.take()) {
            (Some(response), _) => response::abort(response, refusal),
            (None, Some(pending)) => drop(response::refuse(pending.request, refusal)),
            (None, None) => {}
        }
    }

    fn cancel(&self) {
        let (number, expires, session) = (self.attempt.call, self.expires, self.session);
        self.link.send(wire::Cancel { number, expires, session }.into());
    }

    fn unregister(&self) {
        self.shared.exchanges().remove(&self.attempt.id);
    }

    /// Returns the request to the map of pending requests, for the control thread.
    fn return_request(&mut self) {
        if let Some(pending) = self.pending.take() {
            self.shared.pending().insert(self.attempt.id, pending);
        }
        self.unregister();
    }
}
