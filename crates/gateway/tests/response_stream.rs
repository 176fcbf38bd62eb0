//! Connections whose responses are judged by their bytes.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

#[path = "../src/response_stream.rs"]
#[allow(dead_code, reason = "the test uses a part of the module")]
mod response_stream;

use std::{
    io::Write,
    net::{Ipv4Addr, TcpListener},
    sync::mpsc::channel,
    thread,
    time::Duration,
};

use rstest::rstest;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use self::response_stream::{ResponseStream, ResponseTracker};

/// Bytes of a request that no socket buffer holds.
const REQUEST_BYTES: usize = 32 << 20;

/// Runs a peer that sends this response and resets its connection; returns what a caller reads whose request was
/// still being written, as whole bytes or an error.
async fn read_after_failed_write(response: &'static [u8]) -> (Vec<u8>, bool, ResponseTracker) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (reset, resets) = channel::<()>();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(response).unwrap();
        resets.recv().unwrap();
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    });
    let (mut stream, tracker) = ResponseStream::new(TcpStream::connect(address).await.unwrap());
    tracker.expect(false);
    reset.send(()).unwrap();
    peer.join().unwrap();
    // The system reports the reset to this call, and then the end of the connection to the reads.
    stream.write_all(&vec![0; REQUEST_BYTES]).await.unwrap_err();
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    (bytes, read.is_ok(), tracker)
}

fn run<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(work)
}

/// Guards against a part of a response without length that is taken for the whole one, as the reset of its connection
/// was reported to the request's writer.
#[test]
fn a_reset_that_only_the_writer_sees_breaks_a_response_without_length() {
    let (_, whole, _) = run(read_after_failed_write(b"HTTP/1.1 200 OK\r\n\r\na part"));
    assert!(!whole);
}

/// Guards against a whole response that is taken for a broken one.
#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")]
fn a_reset_after_its_end_breaks_no_response(#[case] response: &'static [u8]) {
    let (bytes, whole, tracker) = run(read_after_failed_write(response));
    assert_eq!((bytes.as_slice(), whole), (response, true));
    assert!(!tracker.is_reusable(), "another request would be sent");
}

/// Guards against bytes after a response that are taken for the response to the next request.
#[test]
fn a_connection_with_bytes_after_a_response_is_not_reused() {
    run(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut stream, tracker) = ResponseStream::new(stream);
        let (mut peer, _) = listener.accept().unwrap();
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
        tracker.expect(false);
        peer.write_all(response).unwrap();
        let mut bytes = vec![0; response.len()];
        stream.read_exact(&mut bytes).await.unwrap();
        assert!(tracker.is_reusable());
        tracker.expect(false);
        peer.write_all(&response.repeat(2)).unwrap();
        let mut read = Vec::new();
        stream.read_to_end(&mut read).await.unwrap();
        assert_eq!(read, response);
        assert!(!tracker.is_reusable());
    });
}
