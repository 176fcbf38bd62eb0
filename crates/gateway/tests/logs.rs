//! The log never blocks.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use citronrill_gateway::{LogBudget, LogPipe};

/// A reader that has stopped until it is told to go on.
struct Stopped {
    go: mpsc::Receiver<()>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the test is over.
        let _ = self.go.recv();
        self.read.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads standard output stops, and the pipe is full. Threads that log go on at once; what
/// did not fit is counted, and said when the reader goes on.
#[test]
fn a_stopped_reader_blocks_nobody() {
    let (go, stopped) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let mut pipe = LogPipe::new(Stopped { go: stopped, read: read.clone() });
    let stats = pipe.handle().stats;
    for _ in 0..20_000 {
        pipe.write_all(b"event=x\n").unwrap();
    }
    assert!(stats.lost() > 10_000, "{} lost", stats.lost());
    assert_eq!(stats.lost() + stats.written(), 20_000);
    drop(go);
    while !String::from_utf8_lossy(&read.lock().unwrap()).contains("event=log_lost") {
        std::thread::yield_now();
    }
}

/// Every request fails at once and one kind of line floods the log. The line that says why, of another
/// kind, still gets through, and the flood may go on in the next second.
#[test]
fn a_flood_of_one_kind_leaves_room_for_others() {
    let mut budget = LogBudget::new();
    let written = (0..5_000).filter(|_| budget.take("failed", 10)).count();
    assert_eq!(written, 400);
    assert!(budget.take("side_lost", 11));
    assert!(!budget.take("failed", 900));
    assert!(budget.take("failed", 1_010));
}

/// A process ends right after its last line. The line is written before, however slow the reader.
#[test]
fn the_last_line_is_written_before_the_end() {
    let (go, stopped) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let mut pipe = LogPipe::new(Stopped { go: stopped, read: read.clone() });
    pipe.write_all(b"event=stopped\n").unwrap();
    let slow = std::thread::spawn(move || go.send(()));
    pipe.handle().drain();
    assert_eq!(read.lock().unwrap().as_slice(), b"event=stopped\n");
    slow.join().unwrap().unwrap();
}
