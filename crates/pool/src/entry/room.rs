//! Room at endpoints, by their expected wait and by this entry's share.

use super::{PoolEntry, Request, choose::PLAIN_FULL};
use crate::{admission::has_room, endpoint::Endpoint, expected_wait::WaitEstimate};

/// Requests that a plain endpoint runs and queues, in slots: it turns others away. Its queue holds four times its
/// slots.
const PLAIN_ROOM: f64 = 5.0;

/// An entry's part of the room at a plain service's endpoints.
#[derive(Debug, Clone, Copy)]
struct Shares {
    /// Its requests there.
    own: u32,
    /// The slots of all endpoints.
    slots: u32,
    /// So many requests are dispatched although the endpoints were last seen full.
    least: u32,
    /// No more requests are dispatched of those that have waited.
    most: u32,
    /// No more requests are dispatched at all: the endpoints turn away what goes beyond their queues.
    room: u32,
}

impl PoolEntry {
    /// Returns whether an endpoint has room for a request, by its expected wait: the response comes in time,
    /// and no more than `full` times its slots run and wait there.
    ///
    /// Requests over their organisation's share take free slots only. The room behind the slots is left to
    /// the others.
    pub(super) fn has_room(&self, endpoint: &Endpoint, request: &Request, full: f64) -> bool {
        let WaitEstimate { wait_ms, work_ms } = self.wait_estimate(endpoint);
        let needed_ms = if request.must_end() { work_ms } else { 0.0 };
        if wait_ms + needed_ms > request.wait_ms(self.now) as f64 {
            return false;
        }
        if self.over_share(request) {
            return has_room(wait_ms, work_ms, 0.0);
        }
        let room = has_room(wait_ms, work_ms, full - 1.0);
        if request.required.is_some() {
            return room;
        }
        let Shares { own, least, most, room: own_room, .. } = self.room_shares(request, full);
        let limit = if request.awaits_slot { most } else { own_room };
        own < least || room && own < limit
    }

    /// Returns what this entry may have at the endpoints of a plain service while requests wait for room.
    ///
    /// No side reports the load of a plain endpoint. Entries that wait for room have an old view of it, and all
    /// together they dispatched more than the endpoints' queues hold; those without a request there
    /// learned of no room. Each therefore keeps to its share of the room, whatever load it last saw.
    fn room_shares(&self, request: &Request, full: f64) -> Shares {
        let holders = self.holders(request);
        let (own, slots) = holders.fold((0, 0), |(own, slots), endpoint| {
            (own + endpoint.own_requests, slots + endpoint.member.slots)
        });
        let share = |full: f64| f64::from(slots) * full / f64::from(self.entries());
        let most = (share(full).ceil() as u32).max(1);
        let room = share(PLAIN_ROOM);
        let (least, room) = (most.min(room as u32), (room.ceil() as u32).max(1));
        Shares { own, slots, least, most, room }
    }

    /// Returns the least expected wait at the endpoints of a plain service while this entry's share of their
    /// room is in use: the other entries then use theirs as well, whatever load was last seen.
    pub(super) fn shared_wait_ms(&self, request: &Request, work_ms: f64) -> f64 {
        if request.required.is_some() {
            return 0.0;
        }
        let Shares { own, slots, most, .. } = self.room_shares(request, PLAIN_FULL);
        let rounds = f64::from(most * self.entries()) / f64::from(slots.max(1));
        if own >= most { (rounds - 1.0).max(0.0) * work_ms } else { 0.0 }
    }

    /// Returns the endpoints that hold what a request needs and want requests.
    pub(super) fn holders<'a>(
        &'a self,
        request: &'a Request,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.pool.endpoints.values().filter(|endpoint| {
            endpoint.accepts_requests()
                && !endpoint.backs_off(self.now)
                && endpoint.member.service == request.service
                && request.base.is_none_or(|base| endpoint.inventory.models.contains(&base))
        })
    }
}
