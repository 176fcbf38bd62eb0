//! Worker threads behind a channel; closing the channel ends them.

use std::{io, thread, time::Duration};

use crossbeam::channel::{Receiver, Sender, bounded};

type Job = Box<dyn FnOnce() + Send>;

/// Jobs that wait at most; beyond it the sender gets the job back.
const QUEUE: usize = 16_384;
/// Stack of a worker, in bytes: none of them recurses or keeps large values on it.
const STACK: usize = 256 << 10;

/// Threads that carry out jobs.
#[derive(Clone)]
pub(crate) struct Pool {
    sender: Sender<Job>,
}

impl Pool {
    /// A pool of `size` threads.
    pub(crate) fn new(name: &str, size: usize) -> io::Result<Pool> {
        let (sender, receiver) = bounded::<Job>(QUEUE);
        for index in 0..size {
            let receiver: Receiver<Job> = receiver.clone();
            spawn(&format!("{name}-{index}"), move || {
                receiver.iter().for_each(|job| job());
            })?;
        }
        Ok(Pool { sender })
    }

    /// Hands a job over; `false` if too many wait, and then it is not carried out.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.sender.try_send(Box::new(job)).is_ok()
    }
}

/// Sends `stop` after a while: the limit of a planned stop.
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
    thread::Builder::new().name(name.to_owned()).stack_size(STACK).spawn(work)
}
