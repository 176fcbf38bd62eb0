//! Conversion of frames from other processes into inputs of the control thread.

use std::sync::Arc;

use citronrill_base::Row;
use citronrill_config::Class;
use citronrill_decide::{Demand, Event, ListedInstance, Page, Peer, RefusalKind};
use citronrill_platform::{Instance, Role};
use citronrill_wire::{self as wire, Kind, PeerRole};
use crossbeam::channel::Sender;

use super::Input;
use crate::link::{FrameSink, Link};

/// Converts peers' frames into inputs of the control thread.
pub(super) struct PeerSink {
    input: Sender<Input>,
}

impl PeerSink {
    pub(super) fn new(input: Sender<Input>) -> PeerSink {
        PeerSink { input }
    }

    /// Returns the input for a frame, if the peer's role allows that frame.
    fn to_input(link: &Arc<Link>, kind: Kind) -> Option<Input> {
        let from_entry = link.peer.role == PeerRole::Entry;
        let input = match kind {
            Kind::Demand(demand) if from_entry => Input::Event(Event::Demand(Demand {
                from: demand.from,
                model: demand.model,
                waiting: demand.waiting,
                slack_ms: demand.slack_ms,
                class: class_from_number(demand.class),
            })),
            Kind::DemandReply(reply) if from_entry && reply.kind == DEMAND_ACKED => {
                Input::Event(Event::DemandAcked(reply.model))
            }
            Kind::DemandReply(reply) if from_entry => {
                let kind = refusal_kind(reply.kind)?;
                Input::Event(Event::LoadRefused { model: reply.model, kind })
            }
            Kind::FeedPull(pull) if from_entry => {
                Input::FeedPull(link.clone(), pull.id, pull.since)
            }
            Kind::FeedRows(rows)
                if rows.id == UNSOLICITED && link.peer.role != PeerRole::Operator =>
            {
                Input::Event(Event::Announced(to_page(rows).rows))
            }
            Kind::FeedRows(rows) if from_entry => {
                let id = rows.id;
                Input::Event(Event::FeedAnswer(id, Some(to_page(rows))))
            }
            Kind::ConfigRequest(pull) if from_entry => {
                Input::ConfigRequest(link.clone(), pull.version)
            }
            Kind::ConfigReply(reply) if from_entry => {
                Input::Event(Event::Config { version: reply.version, source: reply.config? })
            }
            Kind::Dump(_) => Input::Dump(link.clone()),
            _ => return None,
        };
        Some(input)
    }
}

impl FrameSink for PeerSink {
    fn frame(&self, link: &Arc<Link>, kind: Kind) {
        if let Some(number) = call_number(&kind) {
            return link.route(number, kind);
        }
        if let Some(input) = PeerSink::to_input(link, kind) {
            let _ = self.input.send(input);
        }
    }

    fn closed(&self, _: &Arc<Link>) {}
}

/// Returns the number of the call that a side's frame belongs to.
fn call_number(kind: &Kind) -> Option<u64> {
    match kind {
        Kind::Accepted(frame) => Some(frame.number),
        Kind::Declined(frame) => Some(frame.number),
        Kind::BodyAck(frame) => Some(frame.number),
        Kind::ResponseHead(frame) => Some(frame.number),
        Kind::ResponsePart(frame) => Some(frame.number),
        Kind::ResponseEnd(frame) => Some(frame.number),
        Kind::Cancelled(frame) => Some(frame.number),
        _ => None,
    }
}

pub(crate) fn class_number(class: Class) -> u32 {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::Batch => 2,
    }
}

pub(crate) fn class_from_number(number: u32) -> Class {
    match number {
        0 => Class::Urgent,
        1 => Class::Normal,
        _ => Class::Batch,
    }
}

pub(super) fn refusal_number(kind: RefusalKind) -> u32 {
    match kind {
        RefusalKind::ShareUsed => 0,
        RefusalKind::PoolFull => 1,
        _ => 2,
    }
}

/// Number of a reply that acknowledges a demand: the decision is pending.
pub(super) const DEMAND_ACKED: u32 = 3;

fn refusal_kind(number: u32) -> Option<RefusalKind> {
    match number {
        0 => Some(RefusalKind::ShareUsed),
        1 => Some(RefusalKind::PoolFull),
        2 => Some(RefusalKind::NoLongerConfigured),
        _ => None,
    }
}

/// Id of rows that were not requested. A process sends them directly, before the feed carries them.
pub(crate) const UNSOLICITED: u64 = 0;

fn to_page(rows: wire::FeedRows) -> Page {
    let row = |row: wire::FeedRow| Row { key: row.key, version: row.version, body: row.body };
    Page {
        rows: rows.rows.into_iter().map(row).collect(),
        sequence: rows.sequence,
        age_ms: rows.age_ms,
    }
}

pub(crate) fn rows_frame(id: u64, page: Page) -> wire::FeedRows {
    let row = |row: Row| wire::FeedRow { key: row.key, version: row.version, body: row.body };
    wire::FeedRows {
        id,
        rows: page.rows.into_iter().map(row).collect(),
        sequence: page.sequence,
        age_ms: page.age_ms,
    }
}

pub(super) fn to_listed(instance: Instance) -> ListedInstance {
    ListedInstance {
        peer: Peer { name: instance.name, address: instance.address, zone: instance.zone },
        entry: instance.role == Role::Entry,
        leaving: instance.leaving,
    }
}
