//! Free ports, and a link that can be cut.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    thread,
    time::Duration,
};

/// Returns a port that is free on all loopback addresses, below the ephemeral range.
pub fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 60) as u16 * 300;
    loop {
        let port = 11_000 + offset + NEXT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            return port;
        }
    }
}

/// A link to a worker. While it is cut, nothing passes in either direction; what was sent meanwhile, the
/// end of a channel too, arrives when it is whole again.
#[derive(Clone)]
pub struct Link {
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(address: SocketAddr, target: SocketAddr) -> Link {
        let listener = TcpListener::bind(address).expect("the link's address is free");
        let cut = Arc::new(AtomicBool::new(false));
        let link = Link { cut: cut.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || {
                    wait_while(&cut);
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let (Ok(near_in), Ok(far_in)) = (stream.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = cut.clone();
                    let there = thread::spawn(move || forward(near_in, far, &cut));
                    forward(far_in, stream, &back);
                    let _ = there.join();
                });
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut part = [0; 16_384];
    loop {
        let read = from.read(&mut part);
        wait_while(cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                if to.write_all(&part[..count]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
