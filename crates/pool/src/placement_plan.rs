//! Plan of which models stay loaded at which endpoint, so that as many as possible fit at once.
//!
//! The plan is a function of what the endpoints report alone, so that all entries compute the same one
//! without a message. What is loaded keeps its place. A model without a place goes where it fits and
//! loads from memory or disk; if it fits nowhere, others are moved for it by the moves of the lowest
//! price.

use std::cmp::{Ordering, Reverse};

/// Checks of one place or exchange after which a plan looks for no more exchanges: about three
/// milliseconds of a core.
const MAX_CHECKS: u32 = 100_000;
/// Exchanges that may be made in a row to free room for one model: each costs two loads.
const MAX_EXCHANGES: usize = 4;

/// What the plan depends on of one model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PlanModel {
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Memory for adapters that an endpoint must have free beside it, in MB.
    pub adapters_mb: f64,
    /// Number of endpoints at which its demand needs it.
    pub replicas: u32,
    /// Number of further endpoints at which it is to be loaded where room is left.
    pub spares: u32,
    /// Level of its demand; 0 if it is not in demand, 1 if it is rare.
    pub callers: u32,
    /// Milliseconds of a load from the instance's memory.
    pub memory_ms: u64,
    /// Milliseconds of a load from the instance's disk.
    pub disk_ms: u64,
    /// Milliseconds of a load from the weight store.
    pub store_ms: u64,
}

impl PlanModel {
    /// Returns whether it is busy (2), rare (1) or not in demand (0).
    fn level(&self) -> u32 {
        self.callers.min(2)
    }
}

/// What one endpoint holds; models are named by their index in [`PlanInput::models`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlanEndpoint {
    /// Name of the instance.
    pub instance: String,
    /// Models that are loaded or being loaded.
    pub loaded: Vec<u16>,
    /// Models with cached weights in memory.
    pub in_memory: Vec<u16>,
    /// Models with cached weights on disk.
    pub on_disk: Vec<u16>,
}

/// State of one service's endpoints, as reported.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlanInput {
    /// Memory for weights and adapters of one endpoint, in MB.
    pub weights_mb: f64,
    /// All models of the service.
    pub models: Vec<PlanModel>,
    /// The endpoints, in any order.
    pub endpoints: Vec<PlanEndpoint>,
}

/// Models that are to be loaded at each endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlacementPlan {
    /// The endpoints by instance name, each with the models planned there, by index.
    pub places: Vec<(String, Vec<u16>)>,
    /// Replicas that fit nowhere, by model index.
    pub unplaced: Vec<u16>,
    /// Loads that lead from the reported state to the plan.
    pub loads: u32,
    /// Checks that the plan took.
    pub checks: u32,
}

impl PlacementPlan {
    /// Computes the plan for a reported state.
    pub fn new(input: &PlanInput) -> PlacementPlan {
        let mut packer = Packer::new(input);
        let mut unplaced = Vec::new();
        for busy in [true, false] {
            for model in packer.missing(busy) {
                if !packer.place(model) && !packer.consolidate(model) {
                    unplaced.push(model);
                }
            }
        }
        packer.place_spares();
        packer.drop_surplus();
        packer.into_plan(unplaced)
    }
}

/// Where an endpoint loads a model from, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    Loaded,
    Memory,
    Disk,
    Store,
}

/// A model that leaves an endpoint, or comes to one.
#[derive(Debug, Clone, Copy)]
enum Step {
    Remove(u16, usize),
    Add(u16, usize),
}

/// A model that leaves an endpoint, the one that comes for it, and where that one is from.
type Exchange = (u16, u16, usize);

/// The best way to place a model that has been found so far.
#[derive(Debug)]
struct BestChange {
    /// Milliseconds that callers wait for the loads.
    price: f64,
    /// Memory that stays free at the model's endpoint, in MB.
    left_mb: f64,
    steps: Vec<Step>,
}

impl BestChange {
    fn offer(&mut self, price: f64, left_mb: f64, steps: &[Step]) {
        if (price, left_mb) < (self.price, self.left_mb) {
            *self = BestChange { price, left_mb, steps: steps.to_vec() };
        }
    }
}

/// A packing of models into endpoints that is being changed.
struct Packer<'a> {
    input: &'a PlanInput,
    /// The endpoints by instance name.
    endpoints: Vec<&'a PlanEndpoint>,
    /// For each endpoint, where it loads each model from.
    sources: Vec<Vec<Source>>,
    /// Models planned at each endpoint.
    items: Vec<Vec<u16>>,
    used_mb: Vec<f64>,
    adapters_mb: Vec<f64>,
    /// Planned replicas of each model.
    copies: Vec<u32>,
    checks: u32,
}

impl<'a> Packer<'a> {
    /// Starts with what is loaded.
    fn new(input: &'a PlanInput) -> Packer<'a> {
        let mut endpoints = input.endpoints.iter().collect::<Vec<_>>();
        endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        let sources = endpoints.iter().map(|endpoint| sources(endpoint, input.models.len()));
        let mut packer = Packer {
            sources: sources.collect(),
            items: vec![Vec::new(); endpoints.len()],
            used_mb: vec![0.0; endpoints.len()],
            adapters_mb: vec![0.0; endpoints.len()],
            copies: vec![0; input.models.len()],
            checks: 0,
            input,
            endpoints,
        };
        for at in 0..packer.endpoints.len() {
            for (model, source) in packer.sources[at].clone().into_iter().enumerate() {
                if source == Source::Loaded {
                    packer.apply(Step::Add(model as u16, at));
                }
            }
        }
        packer
    }

    /// Returns the replicas without a place, either of busy models or of the others: those in demand
    /// first, then by decreasing size.
    fn missing(&self, busy: bool) -> Vec<u16> {
        let replicas = self.input.models.iter().zip(&self.copies).enumerate();
        let replicas = replicas.filter(|(_, (model, _))| (model.callers > 1) == busy);
        let mut missing = replicas
            .flat_map(|(index, (model, copies))| {
                let wanted = model.replicas.min(self.endpoints.len() as u32);
                (*copies..wanted).map(move |_| index as u16)
            })
            .collect::<Vec<_>>();
        missing.sort_by(|a, b| {
            let (first, second) = (self.model(*a), self.model(*b));
            let level = Reverse(first.level()).cmp(&Reverse(second.level()));
            level.then(second.weights_mb.total_cmp(&first.weights_mb)).then(a.cmp(b))
        });
        missing
    }

    /// Places one replica of a model at the lowest price; returns whether there is a way.
    fn place(&mut self, model: u16) -> bool {
        let mut best = BestChange { price: f64::INFINITY, left_mb: 0.0, steps: Vec::new() };
        let mut order = (0..self.endpoints.len())
            .filter(|at| !self.items[*at].contains(&model))
            .map(|at| (self.price(model, at), at))
            .collect::<Vec<_>>();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (price, at) in order {
            if price > best.price {
                break;
            }
            self.checks += 1;
            if let Some(left_mb) = self.left_mb(at, &[], &[model]) {
                best.offer(price, left_mb, &[Step::Add(model, at)]);
            } else if self.model(model).callers > 0 {
                self.make_room(model, at, price, &mut best);
            }
        }
        let found = !best.steps.is_empty();
        best.steps.into_iter().for_each(|step| self.apply(step));
        found
    }

    /// Considers the ways to place a model at an endpoint that is too full for it.
    fn make_room(&mut self, model: u16, at: usize, price: f64, best: &mut BestChange) {
        let items = self.items[at].clone();
        for (index, out) in items.iter().copied().enumerate() {
            if let Some(left_mb) = self.left_mb(at, &[out], &[model]) {
                self.replace(model, out, at, (price, left_mb), best);
                continue;
            }
            for other in items[index + 1..].iter().copied() {
                self.replace_two(model, [out, other], at, price, best);
            }
            self.exchange(model, out, at, price, best);
        }
    }

    /// Considers to move `out` elsewhere so that `model` fits in its place.
    fn replace(
        &mut self,
        model: u16,
        out: u16,
        at: usize,
        (price, left_mb): (f64, f64),
        best: &mut BestChange,
    ) {
        let steps = [Step::Remove(out, at), Step::Add(model, at)];
        if let Some(drop_price) = self.drop_price(out, model) {
            best.offer(price + drop_price, left_mb, &steps);
        } else if let Some((move_price, to)) = self.cheapest_move(out, at, None) {
            let steps = [steps[0], steps[1], Step::Add(out, to)];
            best.offer(price + move_price, left_mb, &steps);
        } else {
            self.exchange(model, out, at, price, best);
        }
    }

    /// Considers to move two models elsewhere so that `model` fits in their place.
    fn replace_two(
        &mut self,
        model: u16,
        out: [u16; 2],
        at: usize,
        price: f64,
        best: &mut BestChange,
    ) {
        let Some(left_mb) = self.left_mb(at, &out, &[model]) else { return };
        let [first, second] = out;
        let mut steps = vec![Step::Remove(first, at), Step::Remove(second, at)];
        steps.push(Step::Add(model, at));
        let mut total = price;
        let mut moved = None;
        for item in [first, second] {
            if let Some(drop_price) = self.drop_price(item, model) {
                total += drop_price;
            } else if let Some((move_price, to)) = self.cheapest_move(item, at, moved) {
                total += move_price;
                moved = Some((item, to));
                steps.push(Step::Add(item, to));
            } else {
                return;
            }
        }
        best.offer(total, left_mb, &steps);
    }

    /// Considers to exchange `out` for a smaller model of another endpoint, so that `model` fits
    /// beside that one.
    fn exchange(&mut self, model: u16, out: u16, at: usize, price: f64, best: &mut BestChange) {
        for to in 0..self.endpoints.len() {
            if self.checks > MAX_CHECKS {
                return;
            }
            let Some(out_price) = self.move_price(out, at, to) else { continue };
            if price + out_price > best.price {
                continue;
            }
            for index in 0..self.items[to].len() {
                let back = self.items[to][index];
                self.checks += 1;
                if self.model(back).weights_mb >= self.model(out).weights_mb {
                    continue;
                }
                let Some(back_price) = self.move_price(back, to, at) else { continue };
                let left_mb = self.left_mb(at, &[out], &[back, model]);
                let Some(left_mb) = left_mb else { continue };
                if self.left_mb(to, &[back], &[out]).is_none() {
                    continue;
                }
                let steps = [
                    Step::Remove(out, at),
                    Step::Remove(back, to),
                    Step::Add(out, to),
                    Step::Add(back, at),
                    Step::Add(model, at),
                ];
                best.offer(price + out_price + back_price, left_mb, &steps);
            }
        }
    }

    /// Places a model where several exchanges in a row free the room that no single one does; returns
    /// whether there is a way.
    fn consolidate(&mut self, model: u16) -> bool {
        if self.model(model).callers == 0 {
            return false;
        }
        let mut targets = (0..self.endpoints.len())
            .filter(|at| !self.items[*at].contains(&model))
            .map(|at| (self.price(model, at), self.used_mb[at], at))
            .collect::<Vec<_>>();
        targets.sort_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).unwrap_or(Ordering::Equal));
        for (_, _, at) in targets {
            let mut done = Vec::new();
            while done.len() < MAX_EXCHANGES && self.left_mb(at, &[], &[model]).is_none() {
                let Some((out, back, to)) = self.roomiest_exchange(model, at) else { break };
                self.swap((out, at), (back, to));
                done.push((out, back, to));
            }
            if self.left_mb(at, &[], &[model]).is_some() {
                self.apply(Step::Add(model, at));
                return true;
            }
            while let Some((out, back, to)) = done.pop() {
                self.swap((back, at), (out, to));
            }
        }
        false
    }

    fn swap(&mut self, (first, at): (u16, usize), (second, to): (u16, usize)) {
        self.apply(Step::Remove(first, at));
        self.apply(Step::Remove(second, to));
        self.apply(Step::Add(first, to));
        self.apply(Step::Add(second, at));
    }

    /// Returns the exchange of a model at `at` for a smaller one elsewhere that frees just enough room
    /// for `model`, or otherwise the most.
    fn roomiest_exchange(&mut self, model: u16, at: usize) -> Option<Exchange> {
        let spec = self.model(model);
        let adapters = spec.adapters_mb.max(self.adapters_mb[at]);
        let needed = self.used_mb[at] + adapters + spec.weights_mb - self.input.weights_mb;
        let mut best: Option<((bool, f64), Exchange)> = None;
        for out in self.items[at].clone() {
            for to in 0..self.endpoints.len() {
                if self.checks > MAX_CHECKS {
                    return None;
                }
                if self.move_price(out, at, to).is_none() {
                    continue;
                }
                for back in self.items[to].clone() {
                    self.checks += 1;
                    let gain = self.model(out).weights_mb - self.model(back).weights_mb;
                    if gain <= 0.0
                        || self.move_price(back, to, at).is_none()
                        || self.left_mb(to, &[back], &[out]).is_none()
                    {
                        continue;
                    }
                    let enough = gain >= needed;
                    let rank = (enough, if enough { -gain } else { gain });
                    if best.is_none_or(|(known, _)| rank > known) {
                        best = Some((rank, (out, back, to)));
                    }
                }
            }
        }
        best.map(|(_, exchange)| exchange)
    }

    /// Returns the cheapest endpoint with room for a model that leaves `from`, with the price;
    /// `taken` is a model that moves as well, and where to.
    fn cheapest_move(
        &mut self,
        model: u16,
        from: usize,
        taken: Option<(u16, usize)>,
    ) -> Option<(f64, usize)> {
        let mut best: Option<(f64, f64, usize)> = None;
        if self.checks > MAX_CHECKS {
            return None;
        }
        for to in 0..self.endpoints.len() {
            self.checks += 1;
            let Some(price) = self.move_price(model, from, to) else { continue };
            let left_mb = match taken.filter(|(_, at)| *at == to) {
                Some((other, _)) => self.left_mb(to, &[], &[other, model]),
                None => self.left_mb(to, &[], &[model]),
            };
            let Some(left_mb) = left_mb else { continue };
            if best.is_none_or(|(known, left, _)| (price, left_mb) < (known, left)) {
                best = Some((price, left_mb, to));
            }
        }
        best.map(|(price, _, to)| (price, to))
    }

    /// Returns the price of planning a model at another endpoint; `None` if it is there already, or
    /// would have to be loaded from the weight store although its endpoint holds or caches it.
    fn move_price(&self, model: u16, from: usize, to: usize) -> Option<f64> {
        let store = |at: usize| self.sources[at][usize::from(model)] == Source::Store;
        if from == to || self.items[to].contains(&model) || store(to) && !store(from) {
            return None;
        }
        Some(self.price(model, to) - self.price(model, from))
    }

    /// Returns the price of planning one replica of a model less, for a replica of `other`; `None` if it
    /// is needed as much. A rare model that gives way to a busy one has no place then, which is worse
    /// than any move.
    fn drop_price(&self, model: u16, other: u16) -> Option<f64> {
        let spec = self.model(model);
        let copies = self.copies[usize::from(model)];
        if copies > spec.replicas + spec.spares {
            return Some(0.0);
        }
        if copies > spec.replicas || spec.callers == 0 {
            return Some(spec.disk_ms as f64);
        }
        let gives_way = spec.level() < self.model(other).level();
        gives_way.then_some(spec.store_ms as f64 * f64::from(1 + spec.callers))
    }

    /// Returns the milliseconds that the callers of a model wait for its load at an endpoint.
    fn price(&self, model: u16, at: usize) -> f64 {
        let spec = self.model(model);
        let load_ms = match self.sources[at][usize::from(model)] {
            Source::Loaded => 0,
            Source::Memory => spec.memory_ms,
            Source::Disk => spec.disk_ms,
            Source::Store => spec.store_ms,
        };
        load_ms as f64 * f64::from(1 + spec.callers)
    }

    /// Returns the memory that stays free at an endpoint when models leave it and others come, in MB;
    /// `None` if they do not fit.
    fn left_mb(&self, at: usize, out: &[u16], come: &[u16]) -> Option<f64> {
        let size =
            |models: &[u16]| models.iter().map(|key| self.model(*key).weights_mb).sum::<f64>();
        let adapters = come.iter().map(|key| self.model(*key).adapters_mb);
        let adapters = adapters.fold(self.adapters_mb[at], f64::max);
        let used = self.used_mb[at] - size(out) + size(come) + adapters;
        let left_mb = self.input.weights_mb - used;
        (left_mb >= 0.0).then_some(left_mb)
    }

    fn model(&self, model: u16) -> &'a PlanModel {
        &self.input.models[usize::from(model)]
    }

    fn apply(&mut self, step: Step) {
        let at = match step {
            Step::Remove(model, at) => {
                self.items[at].retain(|item| *item != model);
                self.copies[usize::from(model)] -= 1;
                at
            }
            Step::Add(model, at) => {
                self.items[at].push(model);
                self.items[at].sort_unstable();
                self.copies[usize::from(model)] += 1;
                at
            }
        };
        let specs = self.items[at].iter().map(|item| &self.input.models[usize::from(*item)]);
        self.used_mb[at] = specs.clone().map(|spec| spec.weights_mb).sum();
        self.adapters_mb[at] = specs.map(|spec| spec.adapters_mb).fold(0.0, f64::max);
    }

    /// Places spare replicas where room is left.
    fn place_spares(&mut self) {
        for index in 0..self.input.models.len() {
            let (model, spec) = (index as u16, &self.input.models[index]);
            while self.copies[index] < spec.replicas + spec.spares {
                let free = (0..self.endpoints.len()).filter_map(|at| {
                    let near = self.sources[at][index] != Source::Store;
                    let free = near && !self.items[at].contains(&model);
                    Some((self.left_mb(at, &[], &[model]).filter(|_| free)?, at))
                });
                let Some((_, at)) = free.min_by(|a, b| a.0.total_cmp(&b.0)) else { break };
                self.apply(Step::Add(model, at));
            }
        }
    }

    /// Removes replicas beyond the number wanted, from the fullest endpoints first.
    fn drop_surplus(&mut self) {
        for index in 0..self.input.models.len() {
            let model = index as u16;
            let spec = self.model(model);
            while self.copies[index] > spec.replicas + spec.spares {
                let holders = (0..self.items.len()).filter(|at| self.items[*at].contains(&model));
                let fullest = holders.max_by(|a, b| self.used_mb[*a].total_cmp(&self.used_mb[*b]));
                let Some(at) = fullest else { break };
                self.apply(Step::Remove(model, at));
            }
        }
    }

    fn into_plan(self, unplaced: Vec<u16>) -> PlacementPlan {
        let items = self.items.iter().zip(&self.sources);
        let loads = items.flat_map(|(items, sources)| {
            items.iter().filter(|item| sources[usize::from(**item)] != Source::Loaded)
        });
        let loads = loads.count() as u32;
        let names = self.endpoints.iter().map(|endpoint| endpoint.instance.clone());
        let places = names.zip(self.items).collect();
        PlacementPlan { places, unplaced, loads, checks: self.checks }
    }
}

/// Returns where an endpoint loads each model from.
fn sources(endpoint: &PlanEndpoint, models: usize) -> Vec<Source> {
    let mut sources = vec![Source::Store; models];
    let known = [
        (&endpoint.on_disk, Source::Disk),
        (&endpoint.in_memory, Source::Memory),
        (&endpoint.loaded, Source::Loaded),
    ];
    for (list, source) in known {
        for model in list {
            if let Some(slot) = sources.get_mut(usize::from(*model)) {
                *slot = source;
            }
        }
    }
    sources
}
