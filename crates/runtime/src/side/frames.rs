//! Conversion of frames from entries into events and operations on exchanges.

use std::sync::Arc;

use citronrill_decide::{CallId, Offer, SideEvent};
use citronrill_wire::{Call, Kind, PeerRole};
use crossbeam::channel::Sender;

use super::{Input, calls::Exchanges};
use crate::{
    entry::class_from_number,
    link::{FrameSink, Link},
};

/// Converts entries' frames into inputs of the control thread.
pub(super) struct CallSink {
    input: Sender<Input>,
    exchanges: Arc<Exchanges>,
}

impl CallSink {
    pub(super) fn new(input: Sender<Input>, exchanges: Arc<Exchanges>) -> CallSink {
        CallSink { input, exchanges }
    }

    fn event(&self, event: SideEvent) {
        let _ = self.input.send(Input::Event(event));
    }

    fn call(&self, link: &Arc<Link>, call: Call) {
        let offer = Offer {
            id: CallId { session: link.peer.session, number: call.number },
            model: call.model.clone(),
            org: call.org.clone(),
            class: class_from_number(call.class),
            session: call.session,
            expires: call.expires,
        };
        self.exchanges.add_offer(link, offer.id, call);
        self.event(SideEvent::Offer(offer));
    }
}

impl FrameSink for CallSink {
    fn frame(&self, link: &Arc<Link>, kind: Kind) {
        let id = |number| CallId { session: link.peer.session, number };
        match kind {
            Kind::RowChanged(change) if link.peer.role == PeerRole::Entry => {
                self.event(SideEvent::RowChanged(change.reply_to));
            }
            Kind::Dump(_) => drop(self.input.send(Input::Dump(link.clone()))),
            _ if link.peer.role != PeerRole::Entry => {}
            Kind::Call(call) => self.call(link, call),
            Kind::Body(body) => self.exchanges.push_body(id(body.number), body),
            Kind::ResponseAck(ack) => self.exchanges.acknowledge(id(ack.number), ack.taken),
            Kind::Cancel(cancel) => {
                let id = id(cancel.number);
                self.exchanges.add_cancel(id, link);
                let (session, expires) = (cancel.session, cancel.expires);
                self.event(SideEvent::Cancel { id, session, expires });
            }
            Kind::Resume(resume) => {
                let id = id(resume.number);
                if !self.exchanges.resume(id, link, resume.next) {
                    self.exchanges.add_cancel(id, link);
                    let (session, expires) = (resume.session, resume.expires);
                    self.event(SideEvent::Cancel { id, session, expires });
                }
            }
            _ => {}
        }
    }

    fn closed(&self, _: &Arc<Link>) {}
}
