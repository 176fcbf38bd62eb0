//! One request's exchange with a side, in a thread of its own.

use std::{
    io::Read,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use citronrill_decide::{
    ANSWER_LIMIT, Answer as KeptAnswer, CancelAnswer, Decline, Effect, Event, Ran, Refusal,
    RefusalKind, RequestId,
};
use citronrill_http::{Answer, Header, respond};
use citronrill_wire::{self as wire, Kind};
use crossbeam::channel::{Receiver, Sender, bounded};

use super::{
    Shared,
    intake::{Held, HeldBody},
    peers::class_number,
};
use crate::{
    front,
    link::{CallMessage, Link},
    pool::spawn,
    side::WINDOW,
};

/// Messages that wait for an exchange: the window, and the few that come beside it.
const QUEUE: usize = WINDOW as usize + 16;
/// How often an exchange looks whether its connection lives.
const TURN: Duration = Duration::from_millis(300);
/// An answer that is not a stream is held back up to this size, so that one that breaks off can
/// still be refused as a whole.
const HOLD_LIMIT: usize = 1 << 20;
/// Bodies up to this size travel with their call.
const INLINE_BODY: usize = 64 << 10;
/// Bytes of a body in one frame.
const BODY_PART: usize = 16 << 10;
/// Fresh connections on which an exchange asks what became of its call.
const RESUMES: usize = 3;
const RESUME_PAUSE: Duration = Duration::from_millis(250);
/// How long to wait for the peer's clock on a new connection.
const CLOCK_PATIENCE: Duration = Duration::from_millis(500);
/// An answer's time over its deadline after which an exchange ends whatever happens.
const OVERTIME: Duration = Duration::from_secs(5);

/// A sending, as the reducer ordered it.
pub(super) struct SendJob {
    id: RequestId,
    call: u64,
    address: String,
    model: String,
    org: String,
    class: u32,
    slack_ms: u64,
    claimed: bool,
}

impl SendJob {
    pub(super) fn from_effect(effect: Effect) -> Option<(RequestId, SendJob)> {
        let Effect::Send { id, call, address, model, org, class, slack_ms, claimed, .. } = effect
        else {
            return None;
        };
        let class = class_number(class);
        let job = SendJob { id, call, address, model, org, class, slack_ms, claimed };
        Some((id, job))
    }
}

/// What other threads need of an exchange.
#[derive(Clone)]
pub(crate) struct Active {
    sender: Sender<CallMessage>,
    link: Arc<Mutex<Option<Arc<Link>>>>,
    number: u64,
    expires: u64,
}

impl Active {
    /// Asks the side to cancel the call.
    pub(super) fn cancel(&self) {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(link) = link {
            let (number, expires, session) = (self.number, self.expires, link.peer.session);
            link.send(wire::Cancel { number, expires, session }.into());
        }
    }

    pub(super) fn tell(&self, message: CallMessage) {
        let _ = self.sender.try_send(message);
    }
}

/// How an exchange ended.
enum Outcome {
    /// The whole answer was passed on.
    Whole { load: u32 },
    /// The side will not run the call.
    Declined(Decline, u32),
    /// It cannot be found out whether the call ran.
    Lost,
    /// The caller went away.
    CallerGone,
    /// The control thread refused the request.
    Refused(Refusal),
}

struct Exchange {
    shared: Arc<Shared>,
    job: SendJob,
    link: Arc<Link>,
    session: u64,
    receiver: Receiver<CallMessage>,
    sender: Sender<CallMessage>,
    shared_link: Arc<Mutex<Option<Arc<Link>>>>,
    expires: u64,
    until: Instant,
    held: Option<Held>,
    next: u64,
    acked: u64,
    status: u16,
    headers: Vec<Header>,
    buffer: Vec<u8>,
    kept: Option<Vec<u8>>,
    answer: Option<Answer>,
    resumes: usize,
    body_sent: bool,
    body_taken: u64,
    body_parts: u64,
}

/// Starts the exchange's thread.
pub(super) fn start(shared: &Arc<Shared>, entry: u64, held: Held, job: SendJob) {
    let shared = shared.clone();
    let (id, call) = (job.id, job.call);
    let keeper = shared.clone();
    let held = Arc::new(Mutex::new(Some(held)));
    let moved = held.clone();
    let started = spawn("exchange", move || {
        let held = moved.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(held) = held {
            run(&shared, entry, held, job);
        }
    });
    if started.is_err() {
        // No thread can be had: the call was not sent.
        let held = held.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(held) = held {
            keeper.held().insert(id, held);
        }
        keeper.event(Event::Unsent(id, call));
    }
}

fn run(shared: &Arc<Shared>, entry: u64, held: Held, job: SendJob) {
    log::debug!("event=send request={} call={} entry={entry}", job.id.0, job.call);
    let (id, call) = (job.id, job.call);
    let begun = Instant::now();
    let link = shared.links.get(&job.address);
    let ready = link.ok().and_then(|link| Some((remote_now(&link)?, link)));
    let Some((clock, link)) = ready else {
        shared.held().insert(id, held);
        return shared.event(Event::Unsent(id, call));
    };
    // Time spent on connecting is time of the request.
    let slack = job.slack_ms.saturating_sub(begun.elapsed().as_millis() as u64);
    let (sender, receiver) = bounded(QUEUE);
    let shared_link = Arc::new(Mutex::new(Some(link.clone())));
    let active = Active {
        sender: sender.clone(),
        link: shared_link.clone(),
        number: job.call,
        expires: clock + slack,
    };
    shared.active().insert(id, active);
    let until = begun + Duration::from_millis(job.slack_ms) + OVERTIME;
    let kept = job.claimed.then(Vec::new);
    let exchange = Exchange {
        shared: shared.clone(),
        session: link.peer.session,
        link,
        receiver,
        sender,
        shared_link,
        expires: clock + slack,
        until,
        held: Some(held),
        next: 0,
        acked: 0,
        status: 502,
        headers: Vec::new(),
        buffer: Vec::new(),
        kept,
        answer: None,
        resumes: 0,
        body_sent: false,
        body_taken: 0,
        body_parts: 0,
        job,
    };
    exchange.work();
}

/// The side's clock; on a new connection its first reading may still be on its way.
fn remote_now(link: &Link) -> Option<u64> {
    let begun = Instant::now();
    loop {
        if let Some(clock) = link.remote_now() {
            return Some(clock);
        }
        if link.is_dead() || begun.elapsed() >= CLOCK_PATIENCE {
            return None;
        }
        std::thread::park_timeout(Duration::from_millis(1));
    }
}

impl Exchange {
    fn work(mut self) {
        self.link.attach(self.job.call, self.sender.clone());
        let outcome = if self.offer() { self.exchange() } else { self.recover() };
        let (id, call) = (self.job.id, self.job.call);
        self.link.detach(self.job.call);
        match outcome {
            Outcome::Whole { load } => self.finish(load),
            Outcome::Declined(why, load) => {
                self.shared.meter.add("declines", why.word(), 1);
                if self.spent() {
                    self.give_back();
                    return self.shared.event(Event::Spent(id, call, Ran::No));
                }
                self.give_back();
                self.shared.event(Event::Declined { id, call, why, load });
            }
            Outcome::Lost => {
                self.shared.meter.add("lost", "", 1);
                self.lose();
            }
            Outcome::CallerGone => {
                self.shared.meter.add("callers_gone", "", 1);
                self.cancel();
                self.forget();
                self.shared.event(Event::CallerGone(id));
            }
            Outcome::Refused(refusal) => {
                self.cancel();
                self.forget();
                self.refuse(&refusal);
            }
        }
    }

    /// Sends the call; `false` if the connection is dead, and then it may have been sent.
    fn offer(&mut self) -> bool {
        let Some(held) = &self.held else { return false };
        let (body, length) = match &held.body {
            HeldBody::Whole(body) if body.len() <= INLINE_BODY => (Some(body.to_vec()), None),
            HeldBody::Whole(body) => (None, Some(body.len() as u64)),
            HeldBody::Unread(length) => (None, *length),
        };
        self.body_sent = body.is_some();
        let call = wire::Call {
            number: self.job.call,
            session: self.session,
            expires: self.expires,
            model: self.job.model.clone(),
            org: self.job.org.clone(),
            class: self.job.class,
            verb: held.verb.clone(),
            path: held.path.clone(),
            headers: front::to_wire(held.headers.clone()),
            body,
            length,
        };
        self.link.send(call.into())
    }

    fn exchange(&mut self) -> Outcome {
        loop {
            if Instant::now() > self.until {
                return Outcome::Lost;
            }
            let message = self.receiver.recv_timeout(TURN);
            let ended = match message {
                Ok(CallMessage::Frame(kind)) => self.take(kind),
                Ok(CallMessage::Refuse(refusal)) => Some(Outcome::Refused(refusal)),
                Ok(CallMessage::Broken) => Some(self.recover()),
                Err(_) if self.link.is_dead() => Some(self.recover()),
                Err(_) => None,
            };
            if let Some(outcome) = ended {
                return outcome;
            }
        }
    }

    /// Goes on over a fresh connection: asks what became of the call, and for what is missing.
    ///
    /// Only the same side process can know. One that has not seen the call records that it must not
    /// run, and declines; one that has sends the parts from the first that is missing.
    fn recover(&mut self) -> Outcome {
        self.link.detach(self.job.call);
        while self.resumes < RESUMES && Instant::now() < self.until {
            self.resumes += 1;
            self.shared.meter.add("resumes", "", 1);
            let link = self.shared.links.get(&self.job.address);
            if let Ok(link) = link {
                if link.peer.session != self.session {
                    self.link.attach(self.job.call, self.sender.clone());
                    return Outcome::Lost;
                }
                self.link = link.clone();
                *self.shared_link.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(link.clone());
                link.attach(self.job.call, self.sender.clone());
                let (number, next) = (self.job.call, self.next);
                let (expires, session) = (self.expires, self.session);
                if link.send(wire::Resume { number, next, expires, session }.into()) {
                    return self.exchange();
                }
                link.detach(self.job.call);
            }
            std::thread::park_timeout(RESUME_PAUSE);
        }
        self.link.attach(self.job.call, self.sender.clone());
        Outcome::Lost
    }

    /// Takes one frame; gives the outcome if it is the last.
    fn take(&mut self, kind: Kind) -> Option<Outcome> {
        match kind {
            Kind::Accepted(_) => self.send_body(),
            Kind::BodyAck(ack) => {
                self.body_taken = self.body_taken.max(ack.taken);
                None
            }
            Kind::Declined(declined) => {
                let why = Decline::from_number(declined.why).unwrap_or(Decline::Busy);
                Some(Outcome::Declined(why, declined.load))
            }
            Kind::Head(head) if self.next == 0 => {
                self.next = 1;
                self.status = head.status as u16;
                self.headers = front::from_wire(head.headers);
                None
            }
            Kind::Part(part) if part.sequence == self.next => {
                self.next += 1;
                self.pass_on(&part.data)
            }
            // Twice: it was sent again after a resume.
            Kind::Head(_) => None,
            Kind::Part(part) if part.sequence < self.next => None,
            Kind::Part(_) => Some(self.recover()),
            Kind::End(end) if !end.whole => Some(Outcome::Lost),
            Kind::End(end) if end.sequence == self.next && self.next > 0 => {
                Some(Outcome::Whole { load: end.load })
            }
            Kind::End(_) => Some(self.recover()),
            Kind::Cancelled(cancelled) => self.cancelled(cancelled.answer),
            _ => None,
        }
    }

    /// What the side says to a cancellation, or to a question about a call that it has finished.
    fn cancelled(&mut self, answer: u32) -> Option<Outcome> {
        let answer = match answer {
            0 => CancelAnswer::NotRun,
            1 => CancelAnswer::Ran,
            _ => CancelAnswer::Unknown,
        };
        if self.resumes > 0 && answer != CancelAnswer::NotRun {
            return Some(Outcome::Lost);
        }
        self.shared.event(Event::Cancelled(self.job.id, self.job.call, answer));
        None
    }

    fn send_body(&mut self) -> Option<Outcome> {
        if self.body_sent {
            return None;
        }
        self.body_sent = true;
        let mut held = self.held.take()?;
        let outcome = match &mut held.body {
            HeldBody::Whole(body) => {
                let body = body.clone();
                self.send_parts(&mut body.as_slice())
            }
            HeldBody::Unread(_) => self.send_parts(&mut held.request.as_reader()),
        };
        self.held = Some(held);
        outcome
    }

    /// Sends the body in parts, no more than a window ahead of what the endpoint has taken.
    fn send_parts(&mut self, reader: &mut dyn Read) -> Option<Outcome> {
        let mut buffer = vec![0; BODY_PART];
        loop {
            let Ok(count) = reader.read(&mut buffer) else { return Some(Outcome::CallerGone) };
            let data = Bytes::copy_from_slice(&buffer[..count]);
            let (number, sequence, last) = (self.job.call, self.body_parts, count == 0);
            self.body_parts += 1;
            if !self.link.send(wire::Body { number, sequence, data, last }.into()) {
                // A body cannot be read twice from its caller: what became of the call is open.
                return Some(Outcome::Lost);
            }
            if last {
                return None;
            }
            while self.body_parts - self.body_taken >= WINDOW {
                match self.receiver.recv_timeout(TURN) {
                    Ok(CallMessage::Frame(Kind::BodyAck(ack))) => {
                        self.body_taken = self.body_taken.max(ack.taken);
                    }
                    // An answer that comes before the body's end: the endpoint has heard enough.
                    Ok(CallMessage::Frame(kind)) => {
                        if let Some(outcome) = self.take(kind) {
                            return Some(outcome);
                        }
                        if self.next > 0 {
                            return None;
                        }
                    }
                    Ok(CallMessage::Refuse(refusal)) => return Some(Outcome::Refused(refusal)),
                    Ok(CallMessage::Broken) => return Some(Outcome::Lost),
                    Err(_) if self.link.is_dead() => return Some(Outcome::Lost),
                    Err(_) if Instant::now() > self.until => return Some(Outcome::Lost),
                    Err(_) => {}
                }
            }
        }
    }

    /// Passes a part of the answer on to the caller, or holds it back if it is not a stream.
    fn pass_on(&mut self, data: &[u8]) -> Option<Outcome> {
        if let Some(kept) = self.kept.as_mut().filter(|kept| kept.len() <= ANSWER_LIMIT) {
            kept.extend_from_slice(data);
        }
        if self.next - self.acked > WINDOW / 4 {
            self.acked = self.next;
            let (number, taken) = (self.job.call, self.next);
            self.link.send(wire::PartAck { number, taken }.into());
        }
        let events = self.held.as_ref().is_some_and(|held| held.events);
        let hold = !events && self.buffer.len() + data.len() <= HOLD_LIMIT;
        if self.answer.is_none() && hold {
            self.buffer.extend_from_slice(data);
            return None;
        }
        if self.answer.is_none() && self.begin().is_err() {
            return Some(Outcome::CallerGone);
        }
        let written = self.answer.as_mut().map(|answer| answer.part(data));
        matches!(written, Some(Err(_))).then_some(Outcome::CallerGone)
    }

    /// Begins the answer to the caller: from now on it cannot be refused any more.
    fn begin(&mut self) -> std::io::Result<()> {
        let Some(held) = self.held.take() else { return Ok(()) };
        self.shared.meter.time("first_part", held.arrived.elapsed().as_micros() as u64);
        self.shared.event(Event::Began(self.job.id, self.job.call));
        let mut answer = Answer::begin(held.request, self.status, &self.headers)?;
        if !self.buffer.is_empty() {
            answer.part(&std::mem::take(&mut self.buffer))?;
        }
        self.answer = Some(answer);
        Ok(())
    }

    fn finish(mut self, load: u32) {
        let (id, call) = (self.job.id, self.job.call);
        let (number, taken) = (self.job.call, self.next + 1);
        self.link.send(wire::PartAck { number, taken }.into());
        let content_type =
            self.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-type"));
        let content_type = content_type.map_or(String::new(), |header| header.value.clone());
        let written = match (self.answer.take(), self.held.take()) {
            (Some(answer), _) => answer.end(),
            (None, Some(held)) => {
                self.shared.meter.time("first_part", held.arrived.elapsed().as_micros() as u64);
                respond(held.request, self.status, &self.headers, &self.buffer)
            }
            (None, None) => Ok(()),
        };
        self.forget();
        self.shared.meter.add("answers", if written.is_ok() { "whole" } else { "unread" }, 1);
        let answer = self.kept.take().map(|body| KeptAnswer {
            status: self.status,
            content_type,
            body: (body.len() <= ANSWER_LIMIT).then_some(body),
        });
        self.shared.event(Event::Ended { id, call, load, answer });
    }

    /// Tells the control thread that the call's fate is unknown. A caller that has seen a part of
    /// the answer sees it cut; one that has seen nothing may be served elsewhere or is refused.
    fn lose(mut self) {
        let (id, call) = (self.job.id, self.job.call);
        if let Some(answer) = self.answer.take() {
            self.forget();
            let kind = RefusalKind::Lost;
            front::cut(answer, &Refusal { kind, ran: Ran::Yes, retry_ms: None });
        } else if self.spent() {
            self.give_back();
            return self.shared.event(Event::Spent(id, call, Ran::Unknown));
        } else {
            self.give_back();
        }
        self.shared.event(Event::Lost(id, call));
    }

    /// Whether a part of a body that can be read only once was read.
    fn spent(&self) -> bool {
        let unread = |held: &Held| matches!(held.body, HeldBody::Unread(_));
        self.body_parts > 0 && self.held.as_ref().is_some_and(unread)
    }

    fn refuse(mut self, refusal: &Refusal) {
        match (self.answer.take(), self.held.take()) {
            (Some(answer), _) => front::cut(answer, refusal),
            (None, Some(held)) => drop(front::refuse(held.request, refusal)),
            (None, None) => {}
        }
    }

    fn cancel(&self) {
        let (number, expires, session) = (self.job.call, self.expires, self.session);
        self.link.send(wire::Cancel { number, expires, session }.into());
    }

    fn forget(&self) {
        self.shared.active().remove(&self.job.id);
    }

    /// Puts the request back where the control thread finds it.
    fn give_back(&mut self) {
        if let Some(held) = self.held.take() {
            self.shared.held().insert(self.job.id, held);
        }
        self.forget();
    }
}
