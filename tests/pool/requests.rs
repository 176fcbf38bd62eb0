//! Requests forwarded to an endpoint.

use std::io::Write;

use citronrill_platform_standin::WorkerMode;

use crate::support::{Deployment, Request, Response};

/// No endpoint has the requested model loaded. It is loaded by one order with a fencing token, and the
/// request gets its complete stream.
#[test]
fn a_cold_model_is_loaded_on_request() {
    let pool = Deployment::start(&[("e1", &["m0", "m1"]), ("e2", &["m2"])]);
    let response = pool.request(&Request::stream("/draft/x", "id-1", "m3"));
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.body.matches("data: v1").count(), 20);
    assert_eq!(response.header("x-citronrill-attempt-id"), Some("id-1"));
    let orders =
        pool.engines.iter().flat_map(|engine| engine.accepted_orders()).collect::<Vec<_>>();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["operation"], "load");
    assert_eq!(orders[0]["fencing_token"], 1);
}

/// Three models fill an engine, and a request for a fourth needs an eviction. The recently requested
/// models stay loaded.
#[test]
fn the_least_used_model_is_evicted() {
    let pool = Deployment::start(&[("e1", &["m0", "m1", "m2"])]);
    for index in 0..6 {
        let id = format!("id-{index}");
        let model = if index % 2 == 0 { "m0" } else { "m1" };
        assert_eq!(pool.request(&Request::stream("/chat/x", &id, model)).status, 200);
    }
    assert_eq!(pool.request(&Request::stream("/draft/x", "id-9", "m3")).status, 200);
    let orders = pool.engines[0].accepted_orders();
    assert_eq!((&orders[0]["operation"], &orders[0]["model"]), (&"evict".into(), &"m2".into()));
}

/// Guards against callers that set internal headers, for example to pin memory of an endpoint. Their
/// values are dropped, and the endpoint gets only the system's own.
#[test]
fn callers_cannot_set_internal_headers() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let headers = "X-Citronrill-Hold: h\r\nX-Citronrill-Pin-Ms: 4000\r\nKv-From: a\r\n\
                   X-Citronrill-Expect-Instance: other\r\nX-Other: kept\r\n";
    let request = Request { headers, ..Request::stream("/draft/x", "id-1", "m0") };
    assert_eq!(pool.request(&request).status, 200);
    let engine = &pool.engines[0];
    assert_eq!(engine.last_header("x-citronrill-hold"), None);
    assert_eq!(engine.last_header("x-citronrill-pin-ms"), None);
    assert_eq!(engine.last_header("kv-from"), None);
    assert_eq!(engine.last_header("x-other").as_deref(), Some("kept"));
    assert_eq!(engine.last_header("x-citronrill-expect-instance").as_deref(), Some("e1"));
    let remaining = engine.last_header("x-citronrill-deadline-ms").unwrap().parse::<u64>().unwrap();
    assert!((1..=5_000).contains(&remaining), "{remaining}");
}

/// Method, path, query and body reach the endpoint unchanged, both with a content length and with chunked
/// encoding.
#[test]
fn requests_pass_unchanged() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let response = pool.request(&Request::call("/book/a%20b/?x=1&y=%2F", "id-1"));
    assert_eq!((response.status, response.body.as_str()), (200, "/book/a%20b/?x=1&y=%2F 7 bytes"));
    let mut stream = std::net::TcpStream::connect(pool.caller_address).unwrap();
    stream
        .write_all(
            b"POST /book/c HTTP/1.1\r\nHost: pool.example\r\nConnection: close\r\n\
              X-Citronrill-Attempt-Id: id-2\r\nTransfer-Encoding: chunked\r\n\r\n\
              3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        .unwrap();
    assert_eq!(Response::read(&mut stream).body, "/book/c 5 bytes");
}

/// Malformed and oversized requests and requests without a route are refused with the matching status
/// and never reach an endpoint.
#[test]
fn bad_input_is_refused() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.request(&Request::call("/nowhere/x", "id-1")).status, 404);
    let large = vec![b'x'; 100_001];
    let request = Request { body: &large, ..Request::call("/book/x", "id-2") };
    assert_eq!(pool.request(&request).status, 413);
    let long = format!("X-Long: {}\r\n", "y".repeat(20_000));
    let request = Request { headers: &long, ..Request::call("/book/x", "id-3") };
    assert_eq!(pool.request(&request).status, 431);
    let mut stream = std::net::TcpStream::connect(pool.caller_address).unwrap();
    stream.write_all(b"NO REQUEST AT ALL\r\n\r\n").unwrap();
    assert_eq!(Response::read(&mut stream).status, 400);
    assert!(pool.ledger.executed().is_empty());
}

/// One endpoint is full and reports that it has not executed the request. The other endpoint serves it.
#[test]
fn a_request_refused_as_full_fails_over() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines[0].set_mode(WorkerMode::Full);
    for index in 0..4 {
        let id = format!("id-{index}");
        assert_eq!(pool.request(&Request::stream("/draft/x", &id, "m0")).status, 200);
    }
    assert_eq!(pool.engines[1].executed().len(), 4);
}
