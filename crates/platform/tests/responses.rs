//! Responses of the platform's services in trouble.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use std::net::Ipv4Addr;

use citronrill_base::Outcome as Committed;
use citronrill_platform::{HttpObjectStore, HttpTable, ObjectStore, PlatformError, Table};
use citronrill_platform_standin::{Outcome, RawEnd, RawResponse, RawWorker, response_cases};

const OBJECT: &str = "the whole object";

/// More bytes than any response of the platform has.
const ENDLESS_BYTES: usize = 20 << 20;

fn service(response: RawResponse) -> RawWorker {
    RawWorker::start(Ipv4Addr::LOCALHOST.into(), response)
}

/// Guards against a broken response that is taken for an object, or for another than the store's: nothing shows
/// whether one without a length is whole.
#[test]
fn a_spoilt_response_is_no_object() {
    let service = service(RawResponse::new("", RawEnd::Close));
    let store = HttpObjectStore::new(service.address());
    let mut wrong = Vec::new();
    for case in response_cases().filter(|case| case.outcome != Outcome::Empty) {
        service.set_response(case.response("", OBJECT));
        let marked = case.text.contains("ength:") || case.text.contains("hunked");
        let whole = case.outcome == Outcome::Whole && marked;
        let object = store.get("x");
        let right = match &object {
            Ok(Some(bytes)) => whole && bytes == OBJECT.as_bytes(),
            Ok(None) => false,
            Err(_) => !whole,
        };
        if !right {
            wrong.push(format!("{} {}: {object:?}", case.section, case.name));
        }
    }
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
}

/// Guards against a transaction that counts as committed by a part of its outcome.
#[test]
fn an_outcome_without_length_is_unknown() {
    let service = service(RawResponse::new("HTTP/1.1 200 OK\r\n\r\n", RawEnd::Close));
    let committed = HttpTable::new(service.address()).commit(&Default::default());
    assert_eq!(committed, Committed::Unknown);
}

/// Guards against a response without end that is kept in memory.
#[test]
fn an_object_without_end_is_cut_off() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ENDLESS_BYTES}\r\n\r\n");
    let bytes = [head.into_bytes(), vec![b'x'; ENDLESS_BYTES]].concat();
    let service = service(RawResponse::new(bytes, RawEnd::Close));
    let object = HttpObjectStore::new(service.address()).get("x");
    assert!(matches!(object, Err(PlatformError::Transport(_))), "{:?}", object.map(|_| ()));
}
