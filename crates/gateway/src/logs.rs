//! Log lines without blocking: a bounded queue and a thread that writes.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use crossbeam::channel::{Sender, TrySendError, bounded};

/// Lines that wait at most: about a second of the busiest process at 200 bytes a line.
const QUEUE: usize = 4_096;

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
    sender: Sender<Vec<u8>>,
    stats: Arc<LogStats>,
}

impl LogPipe {
    /// A pipe into `out`.
    pub fn new(mut out: impl Write + Send + 'static) -> LogPipe {
        let (sender, receiver) = bounded::<Vec<u8>>(QUEUE);
        let stats = Arc::new(LogStats::default());
        let counts = stats.clone();
        thread::spawn(move || {
            let mut told = 0;
            while let Ok(line) = receiver.recv() {
                let mut batch = line;
                while let Ok(more) = receiver.try_recv() {
                    batch.extend(more);
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
            }
        });
        LogPipe { sender, stats }
    }

    /// The counts, for metrics.
    pub fn stats(&self) -> Arc<LogStats> {
        self.stats.clone()
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(line.to_vec()) {
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
