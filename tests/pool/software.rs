//! Streams at workers of several software versions.

use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
};

use citronrill_platform_standin::{Worker, WorkerMode};

use crate::support::{Deployment, Process, Request, Response};

/// Streams of which some are known only to the sides of two workers that leave.
const STREAMS: usize = 60;

const ENGINES: [(&str, &[&str]); 4] =
    [("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"]), ("e4", &["m0"])];

/// Starts a pool of four workers with `m0`, one after the other of versions v1 and v2.
fn mixed_pool() -> Deployment {
    Deployment::start_versions(&ENGINES, &["v1", "v2"])
}

/// Returns the workers that ran the request with this ID.
fn runners<'a>(pool: &'a Deployment, id: &str) -> Vec<&'a Worker> {
    let ran = |engine: &&Worker| engine.executed().iter().any(|other| other == id);
    pool.engines.iter().filter(ran).collect()
}

/// Begins a stream at an entry and reads its first events; returns its connection, and the ID of the last
/// event.
fn begin(pool: &Deployment, entry: SocketAddr, id: &str) -> (TcpStream, u32) {
    let mut stream = pool.send_to(entry, &Request::stream("/chat/x", id, "m0"));
    let (mut bytes, mut part) = (Vec::new(), [0; 512]);
    loop {
        let read = stream.read(&mut part).unwrap();
        assert!(read > 0, "ended early");
        bytes.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&bytes);
        let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        if let Some(last) = ids.filter_map(|id| id.parse().ok()).next_back() {
            return (stream, last);
        }
    }
}

/// Reconnects to the stream that began in attempt `first` after the event with ID `last`.
fn reconnect(pool: &Deployment, entry: SocketAddr, first: &str, id: &str, last: u32) -> Response {
    let headers = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
    let request = Request { headers: &headers, ..Request::stream("/chat/x", id, "m0") };
    pool.request_at(entry, &request)
}

/// Guards against a stream to which a caller reconnects at another entry, as its entry has ended, and that goes on
/// at a worker of another software version, whose events do not fit.
#[test]
fn a_stream_reconnected_elsewhere_goes_on_at_its_software_version() {
    let mut pool = mixed_pool();
    let (_other, address) = pool.add_entry_at();
    for round in 0..5 {
        let (first, second) = (format!("first-{round}"), format!("second-{round}"));
        let (stream, last) = begin(&pool, pool.caller_address, &first);
        pool.restart_entry();
        drop(stream);
        let response = reconnect(&pool, address, &first, &second, last);
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        assert_eq!(response.event_ids(), (last + 1..20).collect::<Vec<_>>());
        let (began, went_on) = (runners(&pool, &first), runners(&pool, &second));
        assert_eq!(began[0].software(), went_on[0].software(), "round {round}");
        pool.wait_until("the entry is ready", || pool.ready());
    }
}

/// Guards against a stream that its entry takes on at a worker of another software version when the first
/// one breaks off.
#[test]
fn a_stream_fails_over_within_its_software_version() {
    let pool = mixed_pool();
    for engine in &pool.engines {
        engine.set_mode(WorkerMode::BreakThenRun);
    }
    for round in 0..6 {
        let id = format!("id-{round}");
        let response = pool.request(&Request::stream("/chat/x", &id, "m0"));
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        let id = format!("id={id} ");
        let sent = ["software=v1", "software=v2"]
            .map(|software| pool.entry.count(&["event=sent", &id, software]));
        assert!(sent == [2, 0] || sent == [0, 2], "round {round}: {sent:?}");
    }
}

/// Guards against a stream that goes on at any version when no worker of its own is left.
#[test]
fn a_stream_of_a_version_that_is_gone_is_refused() {
    let mut pool = mixed_pool();
    let (other, address) = pool.add_entry_at();
    let (stream, last) = begin(&pool, pool.caller_address, "first");
    let software = runners(&pool, "first")[0].software();
    pool.restart_entry();
    drop(stream);
    for engine in pool.engines.iter().filter(|engine| engine.software() == software) {
        engine.deregister();
    }
    pool.wait_until("the list is read", || other.logged(&["event=members", "open=3"]));
    let response = reconnect(&pool, address, "first", "second", last);
    assert_eq!(response.status, 503, "{response:?}");
    assert!(runners(&pool, "second").is_empty());
}

/// Guards against a stream that goes on by guess after all processes that knew its version have ended.
#[test]
fn a_stream_of_unknown_version_is_refused() {
    let mut pool = mixed_pool();
    let (stream, last) = begin(&pool, pool.caller_address, "first");
    pool.sides.iter_mut().for_each(Process::restart);
    pool.restart_entry();
    drop(stream);
    pool.wait_until("the entry is ready", || pool.ready());
    pool.wait_until("the sides are connected", || {
        pool.sides.iter().all(|side| side.logged(&["entry_connected"]))
    });
    let response = reconnect(&pool, pool.caller_address, "first", "second", last);
    assert_eq!(response.status, 503, "{response:?}");
    assert!(runners(&pool, "second").is_empty());
}

/// Guards against a stream that is refused although only one version has ever served.
#[test]
fn a_stream_goes_on_where_only_one_version_serves() {
    let mut pool = Deployment::start(&ENGINES);
    let (_other, address) = pool.add_entry_at();
    let (stream, last) = begin(&pool, pool.caller_address, "first");
    pool.restart_entry();
    drop(stream);
    let response = reconnect(&pool, address, "first", "second", last);
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
}

/// Guards against a stream that goes on at another version after all entries have ended: the workers of its version
/// have left with their sides, and those that remain were not told of it.
#[test]
fn a_stream_of_a_version_that_left_before_all_entries_restarted_is_refused() {
    let mut pool = mixed_pool();
    let begun = (0..STREAMS).map(|number| {
        let first = format!("first-{number}");
        let (stream, last) = begin(&pool, pool.caller_address, &first);
        (stream, last, runners(&pool, &first)[0].software(), first)
    });
    let begun = begun.collect::<Vec<_>>();
    let old = begun[0].2;
    for (index, engine) in pool.engines.iter().enumerate() {
        if engine.software() == old {
            engine.deregister();
            pool.sides[index].kill();
        }
    }
    pool.restart_entry();
    pool.wait_until("the entry is ready", || pool.ready());
    pool.wait_until("the sides are connected", || {
        let staying = pool.engines.iter().zip(&pool.sides);
        let mut staying = staying.filter(|(engine, _)| engine.software() != old);
        staying.all(|(_, side)| side.count(&["entry_connected"]) >= 2)
    });
    for (_stream, last, _, first) in begun.into_iter().filter(|(_, _, version, _)| *version == old)
    {
        let second = first.replace("first", "second");
        let response = reconnect(&pool, pool.caller_address, &first, &second, last);
        assert_eq!(response.status, 503, "{first}");
        assert!(runners(&pool, &second).is_empty(), "{first} goes on at another version");
    }
}
