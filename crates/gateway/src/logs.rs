//! Log lines without blocking: a bounded queue and a thread that writes.

use std::{
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
