//! A pool of worker threads that take jobs from a channel and exit when the channel is closed.

use std::{io, thread, time::Duration};

use crossbeam::channel::{Receiver, Sender, bounded};

type Job = Box<dyn FnOnce() + Send>;

/// Maximum number of queued jobs; further jobs are rejected.
const QUEUE_LIMIT: usize = 16_384;
/// Stack size of a thread, in bytes. No thread recurses or keeps large values on its stack.
const STACK_BYTES: usize = 256 << 10;

/// A fixed number of threads that run jobs.
#[derive(Clone)]
pub(crate) struct Pool {
    sender: Sender<Job>,
}

impl Pool {
    /// Starts a pool of `size` threads.
    pub(crate) fn new(name: &str, size: usize) -> io::Result<Pool> {
        let (sender, receiver) = bounded::<Job>(QUEUE_LIMIT);
        for index in 0..size {
            let receiver: Receiver<Job> = receiver.clone();
            spawn(&format!("{name}-{index}"), move || {
                receiver.iter().for_each(|job| job());
            })?;
        }
        Ok(Pool { sender })
    }

    /// Queues a job. Returns `false` if the queue is full; the job is then dropped.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.sender.try_send(Box::new(job)).is_ok()
    }
}

/// Sends `stop` after the delay `after`, to limit the duration of a planned stop.
pub(crate) fn stop_later<I: Send + 'static>(input: &Sender<I>, after: Duration, stop: I) {
    let input = input.clone();
    let _ = spawn("stop-limit", move || {
        thread::park_timeout(after);
        let _ = input.send(stop);
    });
}

/// Starts a thread with a small stack.
pub(crate) fn spawn(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES).spawn(work)
}
