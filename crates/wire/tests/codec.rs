//! Frames from strangers and frames in pieces.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use std::{
    io::{self, Read},
    net::{TcpListener, TcpStream},
    thread,
};

use bytes::BytesMut;
use citronrill_wire::{
    Body, Frame, FrameReader, Handshake, Identity, Kind, PeerRole, WireError, encode,
};
use proptest::prelude::*;

/// Gives its bytes in pieces of a few each.
struct Pieces<'a> {
    bytes: &'a [u8],
    size: usize,
}

impl Read for Pieces<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.size.min(self.bytes.len()).min(buffer.len());
        let (now, rest) = self.bytes.split_at(count);
        buffer[..count].copy_from_slice(now);
        self.bytes = rest;
        Ok(count)
    }
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 400, failure_persistence: None, rng_seed: seed(), ..Default::default() }
}

fn seed() -> proptest::test_runner::RngSeed {
    proptest::test_runner::RngSeed::Fixed(5)
}

proptest! {
    #![proptest_config(config())]

    /// Whatever a stranger sends, the reader gives frames or an error, and never hangs or panics.
    #[test]
    fn any_bytes_end_in_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut reader = FrameReader::new(bytes.as_slice());
        let mut frames = 0;
        while reader.next_frame().is_ok() {
            frames += 1;
            prop_assert!(frames <= bytes.len());
        }
    }

    /// Frames come out as they went in, however the network cuts them.
    #[test]
    fn frames_survive_any_cutting(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..8),
        size in 1_usize..40,
    ) {
        let mut buffer = BytesMut::new();
        for (sequence, part) in parts.iter().enumerate() {
            let body = Body { number: 3, sequence: sequence as u64, data: part.clone().into(), last: false };
            encode(&Frame::from(body), &mut buffer).unwrap();
        }
        let mut reader = FrameReader::new(Pieces { bytes: &buffer, size });
        for part in &parts {
            let Kind::Body(body) = reader.next_frame().unwrap() else { panic!("another frame") };
            prop_assert_eq!(body.data.as_ref(), part.as_slice());
        }
        prop_assert!(matches!(reader.next_frame(), Err(WireError::Closed)));
    }
}

fn greet(secret: &'static str, other: &'static str) -> (bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let end = |stream: TcpStream, secret: &str, opener| {
        let identity = Identity { name: "n".to_owned(), session: 1, role: PeerRole::Entry };
        let mut reader = FrameReader::new(stream.try_clone().unwrap());
        Handshake::new(secret, &identity, opener).run(&mut reader, &mut &stream).is_ok()
    };
    let accepter = thread::spawn(move || end(listener.accept().unwrap().0, other, false));
    let opened = end(TcpStream::connect(address).unwrap(), secret, true);
    (opened, accepter.join().unwrap())
}

/// A stranger who reaches the port must not be able to order a load or read a stream.
#[test]
fn only_who_knows_the_secret_is_let_in() {
    assert_eq!(greet("secret", "secret"), (true, true));
    assert_eq!(greet("guess", "secret"), (false, false));
}
