//! Carrying copies of the operators' text over the connections between entries and sides.

use std::{
    fmt::Display,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use citronrill_base::Millis;
use citronrill_pool::{CopyEffect, CopyEvent, CopyFetch, CopyPatience, CopyServer, is_last};
use citronrill_wire::{TextAsk, TextCopy, TextPart};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::{Duration, sleep_until},
};

/// What names a peer.
pub(crate) trait Peer: Copy + Ord + Display + Send + 'static {}

impl<P: Copy + Ord + Display + Send + 'static> Peer for P {}

/// The way to the task that fetches copies, and the server of those that this process has.
pub(crate) struct Copies<P> {
    events: UnboundedSender<CopyEvent<P>>,
    server: Arc<Mutex<CopyServer<P>>>,
    start: Instant,
}

impl<P> Clone for Copies<P> {
    fn clone(&self) -> Copies<P> {
        Copies { events: self.events.clone(), server: self.server.clone(), start: self.start }
    }
}

impl<P: Peer> Copies<P> {
    /// Both ends of the way to the task.
    pub(crate) fn new() -> (Copies<P>, UnboundedReceiver<CopyEvent<P>>) {
        let (events, inputs) = unbounded_channel();
        (Copies { events, server: Arc::default(), start: Instant::now() }, inputs)
    }

    /// Tells the task.
    pub(crate) fn tell(&self, event: CopyEvent<P>) {
        if self.events.send(event).is_err() {
            log::debug!("event=copies_gone");
        }
    }

    /// A connection to a peer has ended.
    pub(crate) fn gone(&self, peer: P) {
        self.serving(|server, _| server.gone(peer));
        self.tell(CopyEvent::Gone(peer));
    }

    /// Answers a peer's question from the text that this process has.
    pub(crate) fn answer(&self, peer: P, ask: &TextAsk, copy: Option<&TextCopy>) -> TextPart {
        let part = self.serving(|server, now| server.answer(now, peer, ask, copy));
        if !part.bytes.is_empty() && is_last(&part) {
            log::info!("event=text_sent to={peer} version={} bytes={}", part.version, part.total);
        }
        part
    }

    fn serving<T>(&self, serve: impl FnOnce(&mut CopyServer<P>, Millis) -> T) -> T {
        let now = Millis(self.start.elapsed().as_millis() as u64);
        serve(&mut self.server.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

/// Fetches copies from peers until all ways to it are closed.
///
/// `ask` sends a question to a peer; `take` is given each whole text.
pub(crate) async fn fetch_copies<P: Peer>(
    patience: CopyPatience,
    seed: u64,
    mut inputs: UnboundedReceiver<CopyEvent<P>>,
    ask: impl Fn(P, TextAsk),
    take: impl Fn(TextCopy),
) {
    let mut fetch = CopyFetch::new(patience, seed);
    let start = tokio::time::Instant::now();
    let now = || Millis(start.elapsed().as_millis() as u64);
    loop {
        let wake = fetch.wake().map(|at| start + Duration::from_millis(at.0));
        let event = tokio::select! {
            event = inputs.recv() => match event {
                Some(event) => event,
                None => return,
            },
            () = until(wake) => CopyEvent::Tick,
        };
        for effect in fetch.step(now(), event) {
            match effect {
                CopyEffect::Ask(peer, question) => ask(peer, question),
                CopyEffect::Whole(peer, copy) => {
                    let (version, bytes) = (copy.version, copy.bytes.len());
                    log::info!("event=text_copied from={peer} version={version} bytes={bytes}");
                    take(copy);
                }
                CopyEffect::Silent(peer, question) => {
                    let TextAsk { version, offset } = question;
                    log::info!("event=copy_silent from={peer} version={version} offset={offset}");
                }
            }
        }
    }
}

/// Waits for a moment, or for ever if there is none.
async fn until(moment: Option<tokio::time::Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => std::future::pending().await,
    }
}
