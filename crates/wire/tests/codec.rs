//! Invalid and fragmented frames, and peers without the secret.

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

/// A reader that returns at most `size` bytes per read.
struct Fragments<'a> {
    bytes: &'a [u8],
    size: usize,
}

impl Read for Fragments<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.size.min(self.bytes.len()).min(buffer.len());
        let (read, rest) = self.bytes.split_at(count);
        buffer[..count].copy_from_slice(read);
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

    /// Arbitrary input, as from an unauthenticated peer, must end in an error; the reader must not hang or panic.
    #[test]
    fn arbitrary_input_ends_in_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut reader = FrameReader::new(bytes.as_slice());
        let mut frames = 0;
        while reader.next_frame().is_ok() {
            frames += 1;
            prop_assert!(frames <= bytes.len());
        }
    }

    /// Frames must decode unchanged, however the network fragments them.
    #[test]
    fn frames_survive_fragmentation(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..8),
        size in 1_usize..40,
    ) {
        let mut buffer = BytesMut::new();
        for (sequence, part) in parts.iter().enumerate() {
            let body = Body { number: 3, sequence: sequence as u64, data: part.clone().into(), last: false };
            encode(&Frame::from(body), &mut buffer).unwrap();
        }
        let mut reader = FrameReader::new(Fragments { bytes: &buffer, size });
        for part in &parts {
            let Kind::Body(body) = reader.next_frame().unwrap() else { panic!("not a body frame") };
            prop_assert_eq!(body.data.as_ref(), part.as_slice());
        }
        prop_assert!(matches!(reader.next_frame(), Err(WireError::Closed)));
    }
}

fn handshake(secret: &'static str, peer_secret: &'static str) -> (bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let run = |stream: TcpStream, secret: &str, initiator| {
        let identity = Identity { name: "n".to_owned(), session: 1, role: PeerRole::Entry };
        let mut reader = FrameReader::new(stream.try_clone().unwrap());
        Handshake::new(secret, &identity, initiator).run(&mut reader, &mut &stream).is_ok()
    };
    let acceptor = thread::spawn(move || run(listener.accept().unwrap().0, peer_secret, false));
    let initiated = run(TcpStream::connect(address).unwrap(), secret, true);
    (initiated, acceptor.join().unwrap())
}

/// A peer without the secret must not be able to order a load or read a stream.
#[test]
fn handshake_requires_the_shared_secret() {
    assert_eq!(handshake("secret", "secret"), (true, true));
    assert_eq!(handshake("guess", "secret"), (false, false));
}
