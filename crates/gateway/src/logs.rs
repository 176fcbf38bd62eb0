//! Log lines without blocking: a bounded queue and a thread that writes.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    iter,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Sender, TrySendError, bounded};

/// Lines that wait at most: about a second of the busiest process at 200 bytes a line.
const QUEUE: usize = 4_096;

/// Milliseconds that the end of a process waits for its log.
const DRAIN_MS: u64 = 200;
/// Lines of one kind of event in a second at most: an entry at the load it is sized for writes some
/// 300 of the most frequent kind, and ten kinds at this bound stay within what the queue holds.
const KIND_LIMIT: u32 = 400;
/// Milliseconds of a budget's period.
const PERIOD_MS: u64 = 1_000;

/// Bounds the lines of each kind of event in a second.
///
/// The failure it prevents: a fault that touches every request makes one kind of line flood the log,
/// and what changes a belief, which explains the fault, drowns or is lost with it. Each kind has a
/// budget of its own; what goes over it is counted and said when its second is over.
#[derive(Debug, Default)]
pub struct LogBudget {
    began: u64,
    kinds: BTreeMap<&'static str, u32>,
}

impl LogBudget {
    /// A budget that is full.
    pub fn new() -> LogBudget {
        LogBudget::default()
    }

    /// Whether a line of this kind may be written at `now_ms`.
    pub fn take(&mut self, kind: &'static str, now_ms: u64) -> bool {
        if now_ms >= self.began + PERIOD_MS {
            self.began = now_ms;
            for (kind, lines) in std::mem::take(&mut self.kinds) {
                if lines > KIND_LIMIT {
                    log::warn!("event=log_left_out kind={kind} lines={}", lines - KIND_LIMIT);
                }
            }
        }
        let lines = self.kinds.entry(kind).or_default();
        *lines += 1;
        *lines <= KIND_LIMIT
    }
}

/// Counts of the log.
#[derive(Debug, Default)]
pub struct LogStats {
    written: AtomicU64,
    lost: AtomicU64,
}

impl LogStats {
    /// Lines handed to the writer.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Lines left out as the reader was too slow.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

/// Hands whole lines to a thread that writes them.
///
/// The failure it prevents: whoever reads standard output stops, the pipe fills, and every thread
/// that logs hangs with its requests. Here the queue fills instead, and further lines are counted
/// and left out; the next line that gets through says how many.
pub struct LogPipe {
    sender: Sender<Entry>,
    stats: Arc<LogStats>,
}

/// What goes through the queue.
enum Entry {
    /// A whole line.
    Line(Vec<u8>),
    /// All before it is to be written; then the sender is told.
    Drain(Sender<()>),
}

/// What a process needs of its log besides writing to it.
#[derive(Clone)]
pub struct LogHandle {
    sender: Sender<Entry>,
    /// The counts, for metrics.
    pub stats: Arc<LogStats>,
}

impl LogHandle {
    /// Waits until everything logged so far is written, [`DRAIN_MS`] at most.
    ///
    /// A process that ends right after its last line would else end before the line is written, and
    /// the end of a planned stop was missing from its log.
    pub fn drain(&self) {
        let (told, done) = bounded(1);
        let wait = Duration::from_millis(DRAIN_MS);
        if self.sender.send_timeout(Entry::Drain(told), wait).is_ok() {
            // Nobody is left to be told that the reader has stopped.
            let _ = done.recv_timeout(wait);
        }
    }
}

impl LogPipe {
    /// A pipe into `out`.
    pub fn new(mut out: impl Write + Send + 'static) -> LogPipe {
        let (sender, receiver) = bounded::<Entry>(QUEUE);
        let stats = Arc::new(LogStats::default());
        let counts = stats.clone();
        thread::spawn(move || {
            let mut told = 0;
            while let Ok(entry) = receiver.recv() {
                let mut batch = Vec::new();
                let mut drains = Vec::new();
                // No more than the queue holds: with writers that never pause, what is drained would
                // else grow without bound and never be written.
                for entry in iter::once(entry).chain(receiver.try_iter().take(QUEUE)) {
                    match entry {
                        Entry::Line(line) => batch.extend(line),
                        Entry::Drain(told) => drains.push(told),
                    }
                }
                let lost = counts.lost();
                if lost > told {
                    let line = format!("level=warn event=log_lost lines={}\n", lost - told);
                    batch.extend(line.into_bytes());
                    told = lost;
                }
                if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
                    // The reader is gone for good; there is nobody left to tell.
                    break;
                }
                for told in drains {
                    // Whoever waited may have given up.
                    let _ = told.send(());
                }
            }
        });
        LogPipe { sender, stats }
    }

    /// The handle for the process's own use.
    pub fn handle(&self) -> LogHandle {
        LogHandle { sender: self.sender.clone(), stats: self.stats.clone() }
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(Entry::Line(line.to_vec())) {
            Ok(()) => self.stats.written.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.stats.lost.fetch_add(1, Ordering::Relaxed)
            }
        };
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
