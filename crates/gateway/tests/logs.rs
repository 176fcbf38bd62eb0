//! Logging doesn't block.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use citronrill_gateway::{LogPipe, LogRateLimit};

/// A reader that reads nothing until it receives a message.
struct StalledReader {
    resume: mpsc::Receiver<()>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the test has ended.
        let _ = self.resume.recv();
        self.read.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of standard output stops and the pipe is full. Threads that log must not block; lines that
/// do not fit are counted, and the count is logged when the reader continues.
#[test]
fn stalled_reader_does_not_block() {
    let (resume, receiver) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let mut pipe = LogPipe::new(StalledReader { resume: receiver, read: read.clone() });
    let stats = pipe.handle().stats;
    for _ in 0..20_000 {
        pipe.write_all(b"event=x\n").unwrap();
    }
    assert!(stats.lost() > 10_000, "{} lost", stats.lost());
    assert_eq!(stats.lost() + stats.written(), 20_000);
    drop(resume);
    while !String::from_utf8_lossy(&read.lock().unwrap()).contains("event=log_lost") {
        std::thread::yield_now();
    }
}

/// Every request fails at once and one kind of line floods the log. The line of another kind that
/// explains the failure is still written, and the first kind is written again in the next second.
#[test]
fn flood_of_one_kind_does_not_limit_others() {
    let mut limit = LogRateLimit::new();
    let written = (0..5_000).filter(|_| limit.allow("failed", 10)).count();
    assert_eq!(written, 400);
    assert!(limit.allow("side_lost", 11));
    assert!(!limit.allow("failed", 900));
    assert!(limit.allow("failed", 1_010));
}

/// A process exits right after its last line, which must be written before, even if the reader is slow.
#[test]
fn drain_writes_the_last_line() {
    let (resume, receiver) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let mut pipe = LogPipe::new(StalledReader { resume: receiver, read: read.clone() });
    pipe.write_all(b"event=stopped\n").unwrap();
    let reader = std::thread::spawn(move || resume.send(()));
    pipe.handle().drain();
    assert_eq!(read.lock().unwrap().as_slice(), b"event=stopped\n");
    reader.join().unwrap().unwrap();
}
