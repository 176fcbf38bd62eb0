//! An entry process: caller connections, the control thread and connections to peers.

mod control;
mod dump;
mod exchange;
mod peers;
mod requests;

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use citronrill_config::EntrySettings;
use citronrill_decide::{Entry, EntryProfile, Event, Policies, RequestId};
use citronrill_platform::{InstanceList, ObjectStore, Table};
use citronrill_wire::{Identity, PeerRole};
use crossbeam::channel::{Sender, bounded};
use tiny_http::Server;

pub(crate) use self::peers::{UNSOLICITED, class_from_number, rows_frame};
use self::{control::Control, exchange::ExchangeHandle, peers::PeerSink, requests::PendingRequest};
use crate::{
    clock::Clock,
    connect::{Links, PeerListener, listen},
    error::StartError,
    link::{Link, LinkContext},
    meter::Meter,
    pool::{Pool, spawn, stop_later},
};

/// Number of threads that receive callers' requests.
const INTAKE_THREADS: usize = 8;
/// Number of threads that call the platform.
const PLATFORM_THREADS: usize = 4;
/// Number of threads that write short responses and frames.
const SENDER_THREADS: usize = 6;
/// Maximum number of inputs queued for the control thread.
const INPUT_QUEUE: usize = 65_536;
/// Interval at which the platform's list of instances is read.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// What an entry process needs besides its settings.
pub struct EntryOptions {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's list of instances.
    pub instances: Arc<dyn InstanceList>,
    /// The policies of the reducer.
    pub policies: Policies,
}

/// An input of the control thread.
pub(crate) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A peer requests the state dump.
    Dump(Arc<Link>),
    /// A peer requests the configuration of a version.
    ConfigRequest(Arc<Link>, u64),
    /// A child in the feed tree requests the rows after a sequence number: the request's id, and
    /// that number.
    FeedPull(Arc<Link>, u64, u64),
    /// The timeout of a planned stop has passed.
    Stop,
}

/// The state that the threads of an entry share.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) input: Sender<Input>,
    pub(crate) pending: Mutex<HashMap<RequestId, PendingRequest>>,
    pub(crate) exchanges: Mutex<HashMap<RequestId, ExchangeHandle>>,
    pub(crate) links: Links,
    pub(crate) meter: Arc<Meter>,
    pub(crate) senders: Pool,
    pub(crate) platform: Pool,
    pub(crate) ready: AtomicBool,
    pub(crate) next_request: AtomicU64,
    pub(crate) body_limit: u64,
    pub(crate) gauges: Mutex<Vec<(&'static str, u64)>>,
}

impl Shared {
    pub(crate) fn event(&self, event: Event) {
        let _ = self.input.send(Input::Event(event));
    }

    pub(crate) fn pending(&self) -> MutexGuard<'_, HashMap<RequestId, PendingRequest>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn exchanges(&self) -> MutexGuard<'_, HashMap<RequestId, ExchangeHandle>> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running entry process.
pub struct EntryProcess {
    http: SocketAddr,
    listen: SocketAddr,
    input: Sender<Input>,
    control: Option<JoinHandle<()>>,
    server: Arc<Server>,
    stop: Arc<AtomicBool>,
    stop_after: Duration,
    _peers: PeerListener,
}

impl EntryProcess {
    /// Starts an entry. It serves requests once it has a configuration.
    ///
    /// # Errors
    /// The process cannot listen on an address, or cannot start a thread.
    pub fn start(settings: &EntrySettings, options: EntryOptions) -> Result<Self, StartError> {
        let common = &settings.common;
        let listener = bind(common.listen)?;
        let listen_address = listener.local_addr()?;
        let callers = citronrill_http::listen(settings.http);
        let callers =
            callers.map_err(|source| StartError::Listen { address: settings.http, source })?;
        let http = callers.local_addr()?;
        let server = Server::from_listener(callers, None)
            .map_err(|error| StartError::Http { address: http, reason: error.to_string() })?;
        let server = Arc::new(server);
        let session = rand::random::<u64>() | 1;
        let clock = Clock::start();
        let meter = Arc::new(Meter::default());
        let identity = Identity { name: common.instance.clone(), session, role: PeerRole::Entry };
        let secret = common.secret.as_str().into();
        let context = LinkContext { secret, identity, clock, meter: meter.clone() };
        let (input, inputs) = bounded(INPUT_QUEUE);
        let sink = Arc::new(PeerSink::new(input.clone()));
        let shared = Arc::new(Shared {
            clock,
            input: input.clone(),
            pending: Mutex::default(),
            exchanges: Mutex::default(),
            links: Links::new(context.clone(), sink.clone()),
            meter,
            senders: Pool::new("sender", SENDER_THREADS)?,
            platform: Pool::new("platform", PLATFORM_THREADS)?,
            ready: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            body_limit: settings.body_limit,
            gauges: Mutex::default(),
        });
        let profile = EntryProfile {
            instance: common.instance.clone(),
            address: listen_address.to_string(),
            zone: common.zone.clone(),
            session,
            request_limit: settings.request_limit as usize,
            share_parts: SHARE_PARTS,
            seed: rand::random(),
        };
        let EntryOptions { table, objects, instances, policies } = options;
        let entry = Entry::new(profile, policies, clock.now());
        let control = Control::new(shared.clone(), entry, session, table, objects);
        let control = spawn("control", move || control.run(&inputs))?;
        let stop = Arc::new(AtomicBool::new(false));
        let peers = listen(listener, context, sink)?;
        watch_instances(instances, input.clone(), stop.clone())?;
        for index in 0..INTAKE_THREADS {
            let (server, shared) = (server.clone(), shared.clone());
            spawn(&format!("intake-{index}"), move || requests::run(&server, &shared))?;
        }
        let stop_after = Duration::from_secs(common.stop_s);
        let control = Some(control);
        Ok(EntryProcess {
            http,
            listen: listen_address,
            input,
            control,
            server,
            stop,
            stop_after,
            _peers: peers,
        })
    }

    /// Returns the address for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address for peers.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
    }

    /// Begins a planned stop: new requests are refused, and open ones are finished or refused
    /// before the timeout.
    pub fn drain(&self) {
        let _ = self.input.send(Input::Event(Event::Drain));
        stop_later(&self.input, self.stop_after, Input::Stop);
    }

    /// Waits until the process has stopped.
    pub fn wait(mut self) {
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.input.send(Input::Stop);
        self.stop.store(true, Ordering::Release);
        for _ in 0..INTAKE_THREADS {
            self.server.unblock();
        }
    }
}

/// Number of parts that an organisation's share is divided into; for the measurement see
/// docs/decisions/0003-shares.md.
const SHARE_PARTS: u32 = 4;

pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })
}

/// Reads the platform's list of instances periodically and passes it to the control thread.
fn watch_instances(
    instances: Arc<dyn InstanceList>,
    input: Sender<Input>,
    stop: Arc<AtomicBool>,
) -> Result<(), StartError> {
    spawn("instances", move || {
        while !stop.load(Ordering::Acquire) {
            if let Ok(list) = instances.list() {
                let list = list.into_iter().map(peers::to_listed).collect();
                if input.send(Input::Event(Event::Instances(list))).is_err() {
                    break;
                }
            }
            std::thread::park_timeout(LIST_INTERVAL);
        }
    })?;
    Ok(())
}
