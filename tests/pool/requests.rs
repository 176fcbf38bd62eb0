//! Requests on their way to an endpoint.

use std::io::Write;

use citronrill_platform_standin::Mode;

use crate::support::{Answer, Ask, Deployment};

/// Nobody holds the model that is asked for. It is fetched, and the request gets its whole stream;
/// the order names the instance's state and a token.
#[test]
fn a_cold_model_is_fetched_and_answers() {
    let pool = Deployment::start(&[("e1", &["m0", "m1"]), ("e2", &["m2"])]);
    let answer = pool.ask(&Ask::stream("/draft/x", "id-1", "m3"));
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body.matches("data: x").count(), 20);
    assert_eq!(answer.header("x-citronrill-attempt-id"), Some("id-1"));
    let orders = pool.engines.iter().flat_map(|engine| engine.orders()).collect::<Vec<_>>();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["operation"], "load");
    assert_eq!(orders[0]["fencing_token"], 1);
}

/// Three models fill an engine. A fourth needs one of them to go, and what was asked for of late
/// stays.
#[test]
fn the_least_needed_model_makes_way() {
    let pool = Deployment::start(&[("e1", &["m0", "m1", "m2"])]);
    for index in 0..6 {
        let id = format!("id-{index}");
        let model = if index % 2 == 0 { "m0" } else { "m1" };
        assert_eq!(pool.ask(&Ask::stream("/chat/x", &id, model)).status, 200);
    }
    assert_eq!(pool.ask(&Ask::stream("/draft/x", "id-9", "m3")).status, 200);
    let orders = pool.engines[0].orders();
    assert_eq!((&orders[0]["operation"], &orders[0]["model"]), (&"evict".into(), &"m2".into()));
}

/// A caller sets headers that are the system's to set: it could take memory of an endpoint for
/// itself. They do not reach the endpoint; what the system sets does.
#[test]
fn callers_cannot_set_the_systems_headers() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let headers = "X-Citronrill-Hold: h\r\nX-Citronrill-Pin-Ms: 4000\r\nKv-From: a\r\n\
                   X-Citronrill-Expect-Instance: other\r\nX-Other: kept\r\n";
    let ask = Ask { headers, ..Ask::stream("/draft/x", "id-1", "m0") };
    assert_eq!(pool.ask(&ask).status, 200);
    let engine = &pool.engines[0];
    assert_eq!(engine.header("x-citronrill-hold"), None);
    assert_eq!(engine.header("x-citronrill-pin-ms"), None);
    assert_eq!(engine.header("kv-from"), None);
    assert_eq!(engine.header("x-other").as_deref(), Some("kept"));
    assert_eq!(engine.header("x-citronrill-expect-instance").as_deref(), Some("e1"));
    let left = engine.header("x-citronrill-deadline-ms").unwrap().parse::<u64>().unwrap();
    assert!((1..=5_000).contains(&left), "{left}");
}

/// Method, path, query and body reach the endpoint as the caller sent them, with a length or in
/// chunks.
#[test]
fn requests_pass_unchanged() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let answer = pool.ask(&Ask::call("/book/a%20b/?x=1&y=%2F", "id-1"));
    assert_eq!((answer.status, answer.body.as_str()), (200, "/book/a%20b/?x=1&y=%2F 7 bytes"));
    let mut stream = std::net::TcpStream::connect(pool.callers).unwrap();
    stream
        .write_all(
            b"POST /book/c HTTP/1.1\r\nHost: pool.example\r\nConnection: close\r\n\
              X-Citronrill-Attempt-Id: id-2\r\nTransfer-Encoding: chunked\r\n\r\n\
              3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        .unwrap();
    assert_eq!(Answer::read(&mut stream).body, "/book/c 5 bytes");
}

/// What is no request, is too large or has no route is refused once, with the status that says so.
#[test]
fn bad_input_is_refused() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.ask(&Ask::call("/nowhere/x", "id-1")).status, 404);
    let large = vec![b'x'; 100_001];
    let ask = Ask { body: &large, ..Ask::call("/book/x", "id-2") };
    assert_eq!(pool.ask(&ask).status, 413);
    let long = format!("X-Long: {}\r\n", "y".repeat(20_000));
    let ask = Ask { headers: &long, ..Ask::call("/book/x", "id-3") };
    assert_eq!(pool.ask(&ask).status, 431);
    let mut stream = std::net::TcpStream::connect(pool.callers).unwrap();
    stream.write_all(b"NO REQUEST AT ALL\r\n\r\n").unwrap();
    assert_eq!(Answer::read(&mut stream).status, 400);
    assert!(pool.ledger.ran().is_empty());
}

/// One endpoint is full and says that it has not run the request. The other has it.
#[test]
fn a_full_endpoint_is_passed_over() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines[0].set_mode(Mode::Full);
    for index in 0..4 {
        let id = format!("id-{index}");
        assert_eq!(pool.ask(&Ask::stream("/draft/x", &id, "m0")).status, 200);
    }
    assert_eq!(pool.engines[1].ran().len(), 4);
}
