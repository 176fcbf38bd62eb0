//! Responses as callers receive them on the socket.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    thread,
};

use citronrill_http::{Header, ResponseWriter, listen};
use tiny_http::{Request, Server};

/// Lets `respond` answer one request of a caller that speaks this version of HTTP; returns what the caller
/// received.
fn exchange(version: &str, respond: fn(Request)) -> String {
    let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::from_listener(listener, None).unwrap();
    let responder = thread::spawn(move || respond(server.recv().unwrap()));
    let mut stream = TcpStream::connect(address).unwrap();
    write!(stream, "GET / HTTP/{version}\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).unwrap();
    responder.join().unwrap();
    received
}

fn begin(request: Request) -> ResponseWriter {
    let mut response = ResponseWriter::begin(request, 200, &[Header::new("X-Part", "1")]).unwrap();
    response.write_part(b"first ").unwrap();
    response.write_part(b"second").unwrap();
    response
}

/// A complete response has a length where the caller knows no chunks.
#[test]
fn a_complete_response_is_delimited() {
    let finish = |request| begin(request).finish().unwrap();
    let chunked = exchange("1.1", finish);
    assert!(chunked.ends_with("6\r\nsecond\r\n0\r\n\r\n"), "{chunked}");
    let collected = exchange("1.0", finish);
    assert!(collected.contains(" 200 ") && collected.contains("X-Part: 1\r\n"), "{collected}");
    assert!(collected.ends_with("Content-Length: 12\r\n\r\nfirst second"), "{collected}");
}

/// Guards against an aborted response that looks complete: a caller without chunks sees only the end of
/// the connection.
#[test]
fn an_aborted_response_does_not_look_complete() {
    let abort = |request| begin(request).abort();
    let chunked = exchange("1.1", abort);
    assert!(!chunked.contains("\r\n0\r\n"), "{chunked}");
    let collected = exchange("1.0", abort);
    assert!(collected.contains(" 502 ") && !collected.contains("first"), "{collected}");
}
