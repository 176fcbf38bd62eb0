//! The endpoints that an entry knows, by the platform's list and by their sides.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis, ModelKey, Names, Set};
use citronrill_wire::SideState;

use crate::{
    endpoint::{Endpoint, Holding, SideBelief},
    member::{Member, MemberChange},
    start::{SETTLE_MS, StartNews, StartTime},
};

/// What an entry learned from a side's word.
#[derive(Debug)]
pub(crate) struct Heard {
    /// The start of the endpoint that is over, as the side named another.
    pub(crate) over: Option<String>,
    /// Whether the endpoint has started again under its name.
    pub(crate) anew: bool,
}

/// What a change of the list has brought.
#[derive(Debug, Default)]
pub(crate) struct Listed {
    /// Whether it has changed who may be used.
    pub(crate) moved: bool,
    /// Endpoints that have started again under their names.
    pub(crate) anew: Vec<String>,
    /// Endpoints whose entry was withheld, as it is of a start that seems over.
    pub(crate) older: Vec<String>,
    /// The services of endpoints that have begun to leave, or are gone without having said so.
    pub(crate) departed: Vec<String>,
    /// Entries of services that the text does not name, with the services.
    pub(crate) strangers: Vec<(String, String)>,
}

/// The endpoints by instance name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) endpoints: Map<String, Endpoint>,
    by_address: Map<SocketAddr, String>,
    /// Starts of endpoints that are known to be over though the list may still name them.
    over: Set<String>,
    /// The services that the text names; `None` while no text is known.
    services: Option<Set<String>>,
    /// Entries of services that the text does not name.
    strangers: Map<String, Member>,
    pub(crate) version: u64,
}

impl Pool {
    /// Takes a change of the list.
    pub(crate) fn apply(
        &mut self,
        change: MemberChange,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> Listed {
        let mut listed = Listed::default();
        // A list read earlier can arrive later; an older one must not bring back who has left.
        if change.version < self.version {
            return listed;
        }
        self.version = change.version;
        if change.whole {
            self.drop_unlisted(&change.rows, now, &mut listed);
        }
        for (id, member) in change.rows {
            match member {
                Some(member) if self.serves(&member.service) => {
                    self.strangers.remove(&id);
                    self.put(member, change.whole, names, now, &mut listed);
                }
                member => {
                    self.over.remove(&id);
                    self.depart(&id, &mut listed);
                    self.strangers.remove(&id);
                    if let Some(member) = member {
                        listed.strangers.push((id.clone(), member.service.clone()));
                        self.strangers.insert(id, member);
                    }
                }
            }
        }
        listed
    }

    /// Forgets whoever a whole list does not name.
    fn drop_unlisted(
        &mut self,
        rows: &[(String, Option<Member>)],
        now: Millis,
        changes: &mut Listed,
    ) {
        let listed = |id: &String| rows.iter().any(|(row, _)| row == id);
        self.over.retain(listed);
        self.strangers.retain(|id, _| listed(id));
        let named = |one: &Endpoint| one.unlisted && one.fresh_side(now).is_some();
        let gone = self.endpoints.iter().filter(|(id, one)| !listed(id) && !named(one));
        let gone = gone.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        gone.iter().for_each(|id| self.depart(id, changes));
    }

    /// Forgets an endpoint that is no longer listed.
    fn depart(&mut self, id: &str, listed: &mut Listed) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        if endpoint.open() {
            listed.departed.push(endpoint.member.service.clone());
        }
        listed.moved = true;
        self.remove(id);
    }

    /// Whether a service is one of the text's; any is while no text is known.
    fn serves(&self, service: &str) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(service))
    }

    /// Takes the services that the text names, and looks again at who belongs to one.
    ///
    /// The failure it prevents: another writer's entry names a service that is not served, and the
    /// address of an endpoint that is. Taken for the endpoint that has turned up there, it takes the
    /// place of the one that serves.
    pub(crate) fn serve(
        &mut self,
        services: Set<String>,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> Listed {
        let mut listed = Listed::default();
        let unserved =
            self.endpoints.iter().filter(|(_, one)| !services.contains(&one.member.service));
        let unserved = unserved.map(|(id, one)| (id.clone(), one.member.clone()));
        let unserved = unserved.collect::<Vec<_>>();
        let served = self.strangers.iter().filter(|(_, one)| services.contains(&one.service));
        let served = served.map(|(_, one)| one.clone()).collect::<Vec<_>>();
        self.services = Some(services);
        for (id, member) in unserved {
            self.remove(&id);
            listed.moved = true;
            listed.strangers.push((id.clone(), member.service.clone()));
            self.strangers.insert(id, member);
        }
        for member in served {
            self.strangers.remove(&member.instance);
            self.put(member, true, names, now, &mut listed);
        }
        listed
    }

    /// Forgets an endpoint; another that is listed at its address takes the address over.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.remove(id) {
            self.leave_address(endpoint.member.address, id);
        }
    }

    /// Gives the address that an endpoint had to another that is listed there.
    fn leave_address(&mut self, address: SocketAddr, id: &str) {
        if self.by_address.get(&address).is_none_or(|held| held != id) {
            return;
        }
        let mut others = self.endpoints.values().map(|one| &one.member);
        let next = others.find(|one| one.address == address && one.instance != id);
        match next.map(|one| one.instance.clone()) {
            Some(next) => self.by_address.insert(address, next),
            None => self.by_address.remove(&address),
        };
    }

    fn put(
        &mut self,
        member: Member,
        whole: bool,
        names: &mut Names<ModelKey>,
        now: Millis,
        listed: &mut Listed,
    ) {
        let id = member.instance.clone();
        if self.over.contains(&id) {
            return;
        }
        let known = self.endpoints.contains_key(&id);
        if known && !self.take_start(&member, now, listed) {
            return;
        }
        // An endpoint that crashed is listed for some heartbeats beside its next start. Only one can
        // be there, and it is the one that turned up last.
        let before = self.by_address.get(&member.address).filter(|held| **held != id).cloned();
        if let Some(before) = before.filter(|_| !known && !whole) {
            self.endpoints.remove(&before);
        }
        let last = self.endpoints.get(&id).map(|one| one.member.address);
        if let Some(last) = last.filter(|last| *last != member.address) {
            self.leave_address(last, &id);
        }
        self.by_address.insert(member.address, id.clone());
        let endpoint =
            self.endpoints.entry(id).or_insert_with(|| Endpoint::new(member.clone(), now));
        if !known {
            endpoint.start.hear(member.started, now);
        }
        // The list is seconds behind. While the side speaks, its word stands: a list that still
        // names a model that is making way would bring its requests back to be refused.
        if endpoint.fresh_side(now).is_none() {
            endpoint.holding = Holding::listed(&member, names);
        }
        listed.moved |= !known || endpoint.member.leaving != member.leaving;
        if known && endpoint.open() && member.leaving {
            listed.departed.push(member.service.clone());
        }
        endpoint.member = member;
        endpoint.unlisted = false;
    }

    /// Takes the start that an entry names for an endpoint that is known; false if the entry has to
    /// wait, as it is of a start that seems over.
    ///
    /// That an endpoint leaves is believed at once while no side says otherwise: to send it work after
    /// that would break a promise, and to spare it for a heartbeat costs little.
    fn take_start(&mut self, member: &Member, now: Millis, listed: &mut Listed) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&member.instance) else { return true };
        match endpoint.start.hear(member.started, now) {
            StartNews::Same => {}
            StartNews::New => {
                endpoint.begin_anew(now);
                listed.anew.push(member.instance.clone());
            }
            StartNews::Older => {
                let since = endpoint.withheld.as_ref().map_or(now, |(_, since)| *since);
                if member.leaving && endpoint.fresh_side(now).is_none() {
                    listed.moved |= !endpoint.member.leaving;
                    endpoint.member.leaving = true;
                }
                endpoint.withheld = Some((member.clone(), since));
                listed.older.push(member.instance.clone());
                return false;
            }
        }
        endpoint.withheld = None;
        true
    }

    /// Takes entries of older starts that nothing has contradicted for long enough.
    pub(crate) fn settle_starts(&mut self, names: &mut Names<ModelKey>, now: Millis) -> Listed {
        let mut listed = Listed::default();
        let settled = self
            .endpoints
            .values_mut()
            .filter_map(|one| one.withheld.take_if(|(_, since)| now.since(*since) >= SETTLE_MS));
        for (member, _) in settled.collect::<Vec<_>>() {
            self.put(member, true, names, now, &mut listed);
        }
        listed
    }

    /// The endpoint that was last listed at `address`.
    pub(crate) fn at(&mut self, address: SocketAddr) -> Option<&mut Endpoint> {
        let id = self.by_address.get(&address)?;
        self.endpoints.get_mut(id)
    }

    /// Takes a side's word for the endpoint at `address`.
    pub(crate) fn hear(
        &mut self,
        address: SocketAddr,
        state: &SideState,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> Option<Heard> {
        let over = self.supersede(address, state, now);
        let endpoint = self.at(address)?;
        let news = endpoint.start.hear(state.started.map(StartTime), now);
        if news == StartNews::Older {
            return None;
        }
        let anew = news == StartNews::New;
        if anew {
            endpoint.begin_anew(now);
        }
        // The side asks the endpoint itself: an entry of the list that names another start is late.
        endpoint.withheld = endpoint.withheld.take().filter(|_| state.started.is_none());
        if state.sound {
            endpoint.holding = Holding::told(state, names);
        }
        endpoint.life.link();
        endpoint.life.hear(now);
        endpoint.take_load(state.active + state.queued);
        let rates = state
            .models
            .iter()
            .map(|model| (names.intern(&model.name), f64::from(model.rate_milli) / 1_000.0));
        let rates = rates.collect();
        let missed = state.missed.iter();
        let missed = missed
            .map(|model| (names.intern(&model.name), f64::from(model.rate_milli) / 1_000.0))
            .collect();
        let fixed = state.models.iter().filter(|model| model.fixed);
        let fixed = fixed.map(|model| names.intern(&model.name)).collect();
        endpoint.side = Some(SideBelief {
            at: now,
            loading: state.loading.iter().map(|name| names.intern(name)).collect(),
            leaving: state.leaving.iter().map(|name| names.intern(name)).collect(),
            entries: state.entries,
            sound: state.sound,
            busy_ms: state.busy_ms,
            order_ms: state.order_ms,
            store_loads: state.store_loads,
            store_slow: state.store_slow,
            store_overdue: state.store_overdue,
            store_concurrent: state.store_concurrent,
            missed,
            fixed,
            rates,
        });
        Some(Heard { over, anew })
    }

    /// Makes the start that the side names the one at `address`; gives the one that is over.
    ///
    /// An endpoint that crashed is listed under its last name for seconds after it is up again, and
    /// whatever is sent to that name is refused. The new start has the place and the service of the
    /// last one; a side of another service at the same address says nothing of either.
    fn supersede(&mut self, address: SocketAddr, state: &SideState, now: Millis) -> Option<String> {
        let held = self.by_address.get(&address)?.clone();
        let service = &self.endpoints.get(&held)?.member.service;
        let told = state.sound && !state.instance.is_empty() && *service == state.service;
        if !told || held == state.instance {
            return None;
        }
        let mut member = self.endpoints.remove(&held)?.member;
        member.instance.clone_from(&state.instance);
        member.leaving = false;
        let endpoint = self
            .endpoints
            .entry(state.instance.clone())
            .or_insert_with(|| Endpoint::unlisted(member, now));
        endpoint.member.address = address;
        self.by_address.insert(address, state.instance.clone());
        self.over.remove(&state.instance);
        self.over.insert(held.clone());
        Some(held)
    }
}
