//! Configuration changes, membership, store outages, planned stops and settings.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use citronrill_platform_standin::{Fault, Outage, WorkerMode};
use rstest::rstest;

use crate::support::{Deployment, Process, Request, Response, WAIT_TIMEOUT, config, wait_until};

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// An operator adds a route. It is served once the entry has read the new configuration.
#[test]
fn a_new_config_takes_effect() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.request(&Request::call("/added/x", "id-1")).status, 404);
    pool.store.put("op", "config", Some(config(4, &["/added/"])));
    pool.wait_until("the configuration is read", || {
        pool.entry.logged(&["event=text ", "version=4"])
    });
    assert_eq!(pool.request(&Request::call("/added/x", "id-2")).status, 200);
}

/// Guards against every entry sending a new configuration to every side: these redundant copies
/// made up a tenth of a day's costs. With four connected entries a side may receive two concurrent
/// copies, but not four.
#[test]
fn a_side_receives_at_most_two_config_copies() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let entries = (0..3).map(|_| pool.add_entry()).collect::<Vec<_>>();
    let side = &pool.sides[0];
    pool.wait_until("all entries are connected", || {
        side.logged(&["event=entry_connected", "entries=4"])
    });
    let before = side.metric("citronrill_texts_total");
    pool.store.put("op", "config", Some(config(4, &["/added/"])));
    pool.wait_until("the side has the configuration", || {
        side.logged(&["event=text ", "version=4"])
    });
    let has_config = |entry: &Process| entry.logged(&["event=text ", "version=4"]);
    pool.wait_until("the entries have the configuration", || entries.iter().all(has_config));
    // Longer than the interval over which entries spread their transfers.
    std::thread::sleep(Duration::from_millis(2_000));
    let copies = side.metric("citronrill_texts_total") - before;
    assert!((1..=2).contains(&copies), "{copies} copies");
}

/// The store is unavailable. Known routes are still served, even by a model that must be loaded first;
/// a configuration written meanwhile takes effect once the store is back.
#[test]
fn requests_are_served_during_a_store_outage() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.store.set_outage(Some(Outage::Refuse));
    pool.wait_until("the loss of the store is logged", || pool.entry.logged(&["event=store_lost"]));
    assert_eq!(pool.request(&Request::call("/book/x", "id-1")).status, 200);
    assert_eq!(pool.request(&Request::stream("/draft/x", "id-2", "m3")).status, 200);
    pool.store.put("op", "config", Some(config(5, &["/added/"])));
    pool.store.set_outage(None);
    pool.wait_until("the configuration is read", || {
        pool.entry.logged(&["event=text ", "version=5"])
    });
    pool.wait_until("the return of the store is logged", || {
        pool.entry.logged(&["event=store_regained"])
    });
}

/// Guards against a 404 for a newly added route during an outage, and against a configuration that stays
/// unread after it because the store never answers calls accepted during the outage.
#[test]
fn a_config_is_read_after_a_silent_store_outage() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.request(&Request::call("/added/x", "id-1")).status, 404);
    pool.store.set_outage(Some(Outage::Hang));
    pool.wait_until("the loss of the store is logged", || {
        pool.entry.logged(&["event=store_lost", "table=Text"])
    });
    pool.store.put("op", "config", Some(config(5, &["/added/"])));
    let response = pool.request(&Request::call("/added/x", "id-2"));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(pool.request(&Request::call("/book/x", "id-3")).status, 200);
    pool.store.set_outage(None);
    pool.wait_until("the configuration is read", || {
        pool.entry.logged(&["event=text ", "version=5"])
    });
    assert_eq!(pool.request(&Request::call("/added/x", "id-4")).status, 200);
}

/// Guards against an entry that keeps waiting for a call that it sent for one table during an outage,
/// although the store already answers calls for another table.
#[test]
fn a_hung_store_call_is_abandoned_once_another_is_answered() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let (entry, proxy) = pool.entry_behind_proxy();
    let abandoned = || entry.logged(&["event=store_overtaken", "table=Text"]);
    for version in 2..40 {
        pool.store.put("op", "config", Some(config(version, &["/added/"])));
        let new_version = format!("version={version} ");
        pool.wait_until("the configuration is read", || {
            entry.logged(&["event=text ", &new_version])
        });
        let count = |event: &str| entry.count(&[event, "table=Members"]);
        let (lost, regained) = (count("event=store_lost"), count("event=store_regained"));
        proxy.set_fault(Fault::BlockResponses);
        pool.wait_until("the member list is lost", || count("event=store_lost") > lost);
        proxy.set_fault(Fault::None);
        pool.wait_until("the member list is back", || count("event=store_regained") > regained);
        if abandoned() {
            return;
        }
    }
    panic!("the hung call for the configuration was never abandoned");
}

/// The store drops its change history while a configuration is written. The entry reads the complete
/// table again and gets the configuration.
#[test]
fn a_config_is_read_after_the_store_loses_its_history() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.store.put("op", "config", Some(config(6, &["/added/"])));
    pool.store.truncate_history();
    pool.wait_until("the configuration is read", || {
        pool.entry.logged(&["event=text ", "version=6"])
    });
}

/// Guards against a 404 for existing routes: an entry restarts while the store is unavailable and has no
/// configuration. It must report that it is not ready and answer 503.
#[test]
fn an_entry_without_a_config_is_not_ready() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    assert!(pool.ready());
    pool.store.set_outage(Some(Outage::Refuse));
    pool.restart_entry();
    assert!(!pool.ready());
    let response = pool.request(&Request::call("/book/x", "id-1"));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    pool.store.set_outage(None);
    wait_until("the entry is ready", || pool.ready());
    assert_eq!(pool.request(&Request::call("/book/x", "id-2")).status, 200);
}

/// An entry starts while the store is unavailable and gets the configuration and endpoints from another
/// entry; a seed that is down does not prevent that. It reads the store again once that is available.
#[test]
fn an_entry_started_in_an_outage_bootstraps_from_peers() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.store.set_outage(Some(Outage::Refuse));
    pool.wait_until("the loss of the store is logged", || pool.entry.logged(&["event=store_lost"]));
    let new_entry = pool.add_entry_with_seeds(&format!("127.0.0.1:9,{}", pool.snapshot_address));
    pool.wait_until("the new entry has the configuration and the endpoints", || {
        new_entry.logged(&["event=text_read", "source=peer", "version=1"])
            && new_entry.logged(&["event=members", "known=2 open=2"])
    });
    pool.wait_until("the new entry is connected to the side", || {
        pool.sides[0].logged(&["entry_connected", "entries=2"])
    });
    pool.store.put("op", "config", Some(config(5, &["/added/"])));
    pool.store.set_outage(None);
    pool.wait_until("the configuration is read", || {
        new_entry.logged(&["event=text ", "version=5"])
    });
}

/// One worker is listed as draining, another is removed from the list. Neither gets new requests.
#[test]
fn draining_or_unlisted_workers_get_no_requests() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"])]);
    pool.engines[0].register("draining");
    pool.engines[1].deregister();
    pool.wait_until("the member list is read", || {
        pool.entry.logged(&["event=members", "known=3 open=2"])
    });
    for index in 0..4 {
        let id = format!("id-{index}");
        assert_eq!(pool.request(&Request::stream("/draft/x", &id, "m0")).status, 200);
    }
    assert!(pool.engines[0].executed().is_empty() && pool.engines[1].executed().is_empty());
}

/// SIGTERM arrives in the middle of a stream. The stream completes, the entry reports that it is not
/// ready, asks keep-alive connections to close, and exits with code 0.
#[test]
fn a_planned_stop_cuts_nothing() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    let mut stream = pool.send(&Request::stream("/draft/x", "id-1", "m0"));
    let mut first = [0; 1];
    assert_eq!(stream.read(&mut first).unwrap(), 1);
    pool.entry.signal(SIGTERM);
    wait_until("the stop is logged", || pool.entry.logged(&["event=stopping"]));
    assert!(!pool.ready());
    let mut keep_alive = TcpStream::connect(pool.caller_address).unwrap();
    keep_alive.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    keep_alive.write_all(
        b"GET /status/x HTTP/1.1\r\nHost: pool.example\r\nX-Citronrill-Attempt-Id: id-2\r\n\r\n",
    )
    .unwrap();
    let response = Response::read(&mut keep_alive);
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(rest.ends_with(b"0\r\n\r\n"), "the stream is incomplete");
    assert_eq!(pool.entry.wait_exit(), Some(0));
    // The process's output is read by a thread of its own.
    wait_until("the end is logged", || pool.entry.logged(&["event=stopped"]));
    assert!(pool.entry.logged(&["event=stopped", "finished=true"]));
}

/// SIGHUP makes a process reload its settings and log that. It keeps running.
#[test]
fn sighup_reloads_the_settings() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.entry.signal(SIGHUP);
    pool.sides[0].signal(SIGHUP);
    pool.wait_until("both have reloaded the settings", || {
        let reload = ["event=reload", "valid=true"];
        pool.entry.logged(&reload) && pool.sides[0].logged(&reload)
    });
    assert_eq!(pool.request(&Request::stream("/draft/x", "id-1", "m0")).status, 200);
}

/// A process with an invalid setting exits at once with code 2.
#[test]
fn invalid_settings_are_refused() {
    let mut process = Process::start("pool-entry", "[process]\nname = e\nzone =\n");
    assert_eq!(process.wait_exit(), Some(2));
}

/// Guards against accepted connections that are closed unread in a planned stop, so that the caller can't
/// tell whether its request ran: it connects before the listener closes and sends its request after.
#[test]
fn a_connection_taken_in_a_planned_stop_is_answered() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    pool.entry.signal(SIGTERM);
    wait_until("the stop is logged", || pool.entry.logged(&["event=stopping"]));
    let mut stream = TcpStream::connect(pool.caller_address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    wait_until("the listener is closed", || pool.entry.logged(&["event=closed"]));
    stream.write_all(&Request::call("/book/x", "id-1").bytes()).unwrap();
    assert_eq!(Response::read(&mut stream).status, 200);
    assert_eq!(pool.entry.wait_exit(), Some(0));
}

/// Guards against resetting connections in the accept queue in a planned stop. The process is paused
/// while callers connect, and continues after the time in which it accepts new connections.
#[test]
fn queued_connections_are_answered_in_a_planned_stop() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    pool.entry.signal(SIGTERM);
    wait_until("the stop is logged", || pool.entry.logged(&["event=stopping"]));
    pool.entry.signal(SIGSTOP);
    let send = |index: u32| pool.send(&Request::call("/book/x", &format!("id-{index}")));
    let streams = (0..8).map(send).collect::<Vec<_>>();
    // Beyond the time in which new connections are accepted, within the time for open requests.
    std::thread::sleep(Duration::from_millis(2_200));
    pool.entry.signal(SIGCONT);
    for mut stream in streams {
        assert_eq!(Response::read(&mut stream).status, 200);
    }
    assert_eq!(pool.entry.wait_exit(), Some(0));
}

/// Milliseconds after the start of a planned stop at which little of it is left, in these tests.
const LATE_MS: u64 = 2_950;

/// Guards against requests that come late in a planned stop, are passed on and cut at its end: they are refused at once
/// as not run.
#[rstest]
fn a_request_late_in_a_planned_stop_is_refused_at_once(
    #[values("/book/x", "/status/x", "/draft/x", "/chat/x")] path: &str,
) {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    pool.ledger.set_mode(WorkerMode::Hang);
    pool.engines[0].set_mode(WorkerMode::Hang);
    let request = match path {
        "/book/x" | "/status/x" => Request::call(path, "id-1"),
        _ => Request::stream(path, "id-1", "m0"),
    };
    // It is being read when the stop begins, as the connection would be closed otherwise.
    let (mut stream, bytes) = (TcpStream::connect(pool.caller_address).unwrap(), request.bytes());
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let (begun, rest) = bytes.split_at(bytes.len() - 1);
    stream.write_all(begun).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    pool.entry.signal(SIGTERM);
    wait_until("the stop is logged", || pool.entry.logged(&["event=stopping"]));
    std::thread::sleep(Duration::from_millis(LATE_MS));
    stream.write_all(rest).unwrap();
    let response = Response::read(&mut stream);
    assert_eq!((response.status, response.complete), (503, true), "{response:?}");
    assert!(response.header("retry-after").is_some());
    assert_eq!(pool.entry.wait_exit(), Some(0));
    assert!(pool.ledger.received().is_empty() && pool.engines[0].received().is_empty());
}

/// Guards against a request that is not read to its end before a planned stop ends, and gets no answer.
#[test]
fn a_request_that_is_never_whole_is_refused_before_a_planned_stop_ends() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    let bytes = Request::call("/book/x", "id-1").bytes();
    let mut stream = TcpStream::connect(pool.caller_address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(&bytes[..bytes.len() - 1]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    pool.entry.signal(SIGTERM);
    let response = Response::read(&mut stream);
    assert_eq!((response.status, response.complete), (503, true), "{response:?}");
    assert_eq!(pool.entry.wait_exit(), Some(0));
}
