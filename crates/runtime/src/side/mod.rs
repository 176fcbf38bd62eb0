//! A side process: the endpoint's ledger, the orders to its engine and the calls that it runs.

mod calls;
mod control;
mod frames;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use citronrill_config::{SideKind, SideSettings};
use citronrill_decide::{Side, SideEvent, SideProfile};
use citronrill_platform::{HttpEngine, InstanceList, Table};
use citronrill_wire::{Identity, PeerRole};
use crossbeam::channel::{Sender, bounded};

use self::{
    calls::Exchanges,
    control::{Backends, Control},
    frames::CallSink,
};
use crate::{
    clock::Clock,
    connect::{Links, PeerListener, listen},
    entry::bind,
    error::StartError,
    link::{Link, LinkContext},
    meter::Meter,
    pool::{Pool, spawn, stop_later},
};

/// Maximum number of unacknowledged parts of a response or of a request body.
pub(crate) const WINDOW: u64 = 32;
/// Number of threads that call the platform and the engine.
const PLATFORM_THREADS: usize = 6;
const INPUT_QUEUE: usize = 16_384;
/// Interval at which this process's instance is looked up in the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// What a side process needs besides its settings.
pub struct SideOptions {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's list of instances.
    pub instances: Arc<dyn InstanceList>,
}

/// An input of the control thread.
pub(crate) enum Input {
    /// An event for the reducer.
    Event(SideEvent),
    /// A peer requests the state dump.
    Dump(Arc<Link>),
    /// The timeout of a planned stop has passed.
    Stop,
}

/// A running side process.
pub struct SideProcess {
    listen: SocketAddr,
    input: Sender<Input>,
    control: Option<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    stop_after: Duration,
    _peers: PeerListener,
}

impl SideProcess {
    /// Starts a side process. It accepts calls once it owns its endpoint's row.
    ///
    /// # Errors
    /// The process cannot listen on the address, or cannot start a thread. A successor has the
    /// same address as its predecessor, so it cannot start while the predecessor still listens.
    pub fn start(settings: &SideSettings, options: SideOptions) -> Result<SideProcess, StartError> {
        let common = &settings.common;
        let listener = bind(common.listen)?;
        let listen_address = listener.local_addr()?;
        let session = rand::random::<u64>() | 1;
        let clock = Clock::start();
        let meter = Arc::new(Meter::default());
        let identity = Identity { name: common.instance.clone(), session, role: PeerRole::Side };
        let secret = common.secret.as_str().into();
        let context = LinkContext { secret, identity, clock, meter: meter.clone() };
        let profile = SideProfile {
            endpoint: settings.endpoint.clone(),
            instance: common.instance.clone(),
            address: listen_address.to_string(),
            zone: common.zone.clone(),
            memory_mb: match settings.kind {
                SideKind::Engine => settings.memory_mb,
                SideKind::Plain => 0,
            },
            slots: settings.slots,
            fencing: settings.fencing,
            session,
        };
        let (input, inputs) = bounded(INPUT_QUEUE);
        let exchanges = Arc::new(Exchanges::new(settings.target, clock, meter.clone()));
        let sink = Arc::new(CallSink::new(input.clone(), exchanges.clone()));
        let links = Arc::new(Links::new(context.clone(), sink.clone()));
        let control = Control::new(
            Side::new(profile, clock.now()),
            input.clone(),
            Backends {
                exchanges,
                engine: HttpEngine::new(settings.target),
                table: options.table,
                pool: Pool::new("platform", PLATFORM_THREADS)?,
                links,
            },
        );
        let control = spawn("control", move || control.run(&inputs, clock))?;
        let stop = Arc::new(AtomicBool::new(false));
        let peers = listen(listener, context, sink)?;
        watch_leaving(options.instances, &common.instance, input.clone(), stop.clone())?;
        let stop_after = Duration::from_secs(common.stop_s);
        let control = Some(control);
        Ok(SideProcess { listen: listen_address, input, control, stop, stop_after, _peers: peers })
    }

    /// Returns the address for entries.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
    }

    /// Begins a planned stop. With `give_back`, the endpoint is removed too: its models are
    /// unloaded and its row is deleted. Otherwise a successor takes over the endpoint as it is.
    pub fn drain(&self, give_back: bool) {
        self.drainer()(give_back);
    }

    /// Returns a function that calls [`SideProcess::drain`] from another thread.
    pub fn drainer(&self) -> impl Fn(bool) + Send + 'static {
        let (input, after) = (self.input.clone(), self.stop_after);
        move |give_back| {
            let _ = input.send(Input::Event(SideEvent::Drain { give_back }));
            stop_later(&input, after, Input::Stop);
        }
    }

    /// Waits until the process has stopped.
    pub fn wait(mut self) {
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
    }
}

impl Drop for SideProcess {
    fn drop(&mut self) {
        let _ = self.input.send(Input::Stop);
        self.stop.store(true, Ordering::Release);
    }
}

/// Looks up this process's instance in the platform's list periodically, and drains the process
/// when the instance is leaving.
fn watch_leaving(
    instances: Arc<dyn InstanceList>,
    own: &str,
    input: Sender<Input>,
    stop: Arc<AtomicBool>,
) -> Result<(), StartError> {
    let own = own.to_owned();
    spawn("instances", move || {
        while !stop.load(Ordering::Acquire) {
            let list = instances.list().unwrap_or_default();
            if list.iter().any(|instance| instance.name == own && instance.leaving) {
                let drain = SideEvent::Drain { give_back: true };
                let _ = input.send(Input::Event(drain));
                break;
            }
            std::thread::park_timeout(LIST_INTERVAL);
        }
    })?;
    Ok(())
}
