//! A link in front of a worker. Once its machine is off, what the worker still sends arrives, and new
//! connections get no answer.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Connections that fill the accept queue of a listener.
const QUEUE: usize = 400;
/// Time after which a connection has got no answer: loopback takes microseconds.
const NO_ANSWER: Duration = Duration::from_millis(20);

pub struct Gate {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    /// What fills the accept queue of a closed gate.
    queued: Mutex<Vec<TcpStream>>,
}

impl Gate {
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Gate> {
        let listener = TcpListener::bind(address)?;
        let closed = Arc::new(AtomicBool::new(false));
        let gate = Gate { address, closed: closed.clone(), queued: Mutex::default() };
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                if closed.load(Ordering::Relaxed) {
                    break;
                }
                thread::spawn(move || forward(caller, target));
            }
            // Kept open: a closed listener would refuse connections.
            loop {
                thread::park();
                let _ = &listener;
            }
        });
        Ok(gate)
    }

    /// Answers no connection from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        let mut queued = Vec::new();
        for _ in 0..QUEUE {
            match TcpStream::connect_timeout(&self.address, NO_ANSWER) {
                Ok(stream) => queued.push(stream),
                Err(_) => break,
            }
        }
        *self.queued.lock().unwrap_or_else(PoisonError::into_inner) = queued;
    }
}

/// Copies both directions until both have ended. A target that refuses resets the caller.
fn forward(caller: TcpStream, target: SocketAddr) {
    let Ok(worker) = TcpStream::connect(target) else { return };
    let (Ok(to_worker), Ok(from_caller)) = (worker.try_clone(), caller.try_clone()) else { return };
    let requests = thread::spawn(move || copy(from_caller, to_worker));
    copy(worker, caller);
    let _ = requests.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16_384];
    while let Ok(read @ 1..) = from.read(&mut part) {
        if to.write_all(&part[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
