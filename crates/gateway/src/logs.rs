//! Non-blocking logging: a bounded queue and a writer thread.

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

/// Capacity of the queue in lines: about what the busiest process logs in a second, at 200 bytes a
/// line.
const QUEUE_LINES: usize = 4_096;

/// Milliseconds that a process waits for its log before it exits.
const DRAIN_MS: u64 = 200;
/// Maximum number of lines of one kind of event per second: an entry at its design load writes some
/// 300 of the most frequent kind, and ten kinds at this limit fit the queue.
const MAX_LINES_PER_KIND: u32 = 400;
/// Length of a rate limit window in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Limits the lines of each kind of event per second.
///
/// A fault that affects every request would otherwise flood the log with one kind of line, and the lines
/// that explain the fault would be hidden or dropped. Each kind has its own limit; the lines above it
/// are counted, and the count is logged with the first line after the window.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    window_start: u64,
    counts: BTreeMap<&'static str, u32>,
}

impl LogRateLimit {
    /// Creates a limit without any lines counted.
    pub fn new() -> LogRateLimit {
        LogRateLimit::default()
    }

    /// Counts a line of this kind at `now_ms` and returns whether it may be written.
    pub fn allow(&mut self, kind: &'static str, now_ms: u64) -> bool {
        if now_ms >= self.window_start + WINDOW_MS {
            self.window_start = now_ms;
            for (kind, lines) in std::mem::take(&mut self.counts) {
                if lines > MAX_LINES_PER_KIND {
                    log::warn!(
                        "event=log_left_out kind={kind} lines={}",
                        lines - MAX_LINES_PER_KIND
                    );
                }
            }
        }
        let lines = self.counts.entry(kind).or_default();
        *lines += 1;
        *lines <= MAX_LINES_PER_KIND
    }
}

/// Counts of log lines.
#[derive(Debug, Default)]
pub struct LogStats {
    written: AtomicU64,
    lost: AtomicU64,
}

impl LogStats {
    /// Returns the number of lines that were queued for writing.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the number of lines that were dropped because the reader was too slow.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

/// Passes whole lines to a writer thread.
///
/// If the reader of standard output stops and the pipe fills up, a direct write would block every thread
/// that logs, and its requests. Here the queue fills instead and further lines are dropped and counted;
/// the next batch that is written reports their number.
pub struct LogPipe {
    sender: Sender<QueueItem>,
    stats: Arc<LogStats>,
}

/// An item of the queue.
enum QueueItem {
    /// A whole line.
    Line(Vec<u8>),
    /// Request to write all lines before it and then notify the sender.
    Drain(Sender<()>),
}

/// Access of the process to its log, besides writing to it.
#[derive(Clone)]
pub struct LogHandle {
    sender: Sender<QueueItem>,
    /// The counts, for metrics.
    pub stats: Arc<LogStats>,
}

impl LogHandle {
    /// Waits until all lines logged so far are written, for at most [`DRAIN_MS`].
    ///
    /// Otherwise a process that exits right after its last line would lose it: the end of a planned
    /// stop was missing from the log.
    pub fn drain(&self) {
        let (sender, done) = bounded(1);
        let wait = Duration::from_millis(DRAIN_MS);
        if self.sender.send_timeout(QueueItem::Drain(sender), wait).is_ok() {
            // A timeout means that the reader has stopped; there is no place to report it.
            let _ = done.recv_timeout(wait);
        }
    }
}

impl LogPipe {
    /// Creates a pipe into `out`.
    pub fn new(mut out: impl Write + Send + 'static) -> LogPipe {
        let (sender, receiver) = bounded::<QueueItem>(QUEUE_LINES);
        let stats = Arc::new(LogStats::default());
        let counters = stats.clone();
        thread::spawn(move || {
            let mut reported = 0;
            while let Ok(item) = receiver.recv() {
                let mut batch = Vec::new();
                let mut drains = Vec::new();
                // At most the queue's capacity: with threads that log without pause the batch would
                // otherwise grow without bound and never be written.
                for item in iter::once(item).chain(receiver.try_iter().take(QUEUE_LINES)) {
                    match item {
                        QueueItem::Line(line) => batch.extend(line),
                        QueueItem::Drain(sender) => drains.push(sender),
                    }
                }
                let lost = counters.lost();
                if lost > reported {
                    let line = format!("level=warn event=log_lost lines={}\n", lost - reported);
                    batch.extend(line.into_bytes());
                    reported = lost;
                }
                if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
                    // The reader has closed the pipe, so the error cannot be logged.
                    break;
                }
                for sender in drains {
                    // The receiver may have timed out.
                    let _ = sender.send(());
                }
            }
        });
        LogPipe { sender, stats }
    }

    /// Returns the handle for the process itself.
    pub fn handle(&self) -> LogHandle {
        LogHandle { sender: self.sender.clone(), stats: self.stats.clone() }
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(QueueItem::Line(line.to_vec())) {
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
