//! Texts, lists, outages, stops and settings.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use citronrill_platform_standin::{Harm, Outage};

use crate::support::{Answer, Ask, Deployment, PATIENCE, Process, text, until};

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// An operator adds a route. It is served as soon as the entry has read it.
#[test]
fn a_new_text_is_in_force() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.ask(&Ask::call("/added/x", "id-1")).status, 404);
    pool.store.put("op", "config", Some(text(4, &["/added/"])));
    pool.until("the text is known", || pool.entry.logged(&["event=text ", "version=4"]));
    assert_eq!(pool.ask(&Ask::call("/added/x", "id-2")).status, 200);
}

/// A text of many routes comes, and every entry is connected to every side. A side gets it from one of
/// them; sent by each to each, copies were a tenth of what a day cost. Two may cross, four may not.
#[test]
fn a_side_gets_a_text_once() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let more = (0..3).map(|_| pool.one_more_entry()).collect::<Vec<_>>();
    let side = &pool.sides[0];
    pool.until("all are connected", || side.logged(&["event=entry_connected", "entries=4"]));
    let before = side.metric("citronrill_texts_total");
    pool.store.put("op", "config", Some(text(4, &["/added/"])));
    pool.until("the side has it", || side.logged(&["event=text ", "version=4"]));
    let known = |entry: &Process| entry.logged(&["event=text ", "version=4"]);
    pool.until("the entries have it", || more.iter().all(known));
    // Longer than the time over which entries spread their copies.
    std::thread::sleep(Duration::from_millis(2_000));
    let copies = side.metric("citronrill_texts_total") - before;
    assert!((1..=2).contains(&copies), "{copies} copies");
}

/// The store goes away. What is known goes on being served, also a model that has to be fetched;
/// what was written meanwhile is in force soon after its return.
#[test]
fn an_outage_of_the_store_stops_nothing() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.store.set_outage(Some(Outage::Refuse));
    pool.until("the loss is in the log", || pool.entry.logged(&["event=store_lost"]));
    assert_eq!(pool.ask(&Ask::call("/book/x", "id-1")).status, 200);
    assert_eq!(pool.ask(&Ask::stream("/draft/x", "id-2", "m3")).status, 200);
    pool.store.put("op", "config", Some(text(5, &["/added/"])));
    pool.store.set_outage(None);
    pool.until("the text is known", || pool.entry.logged(&["event=text ", "version=5"]));
    pool.until("its return is in the log", || pool.entry.logged(&["event=store_regained"]));
}

/// Guards against a caller who is told in an outage that an added route does not exist, and against a text
/// that stays unread as the store never answers the calls of the outage.
#[test]
fn an_outage_that_swallows_calls_hides_no_text() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.ask(&Ask::call("/added/x", "id-1")).status, 404);
    pool.store.set_outage(Some(Outage::Silent));
    pool.until("the loss is known", || pool.entry.logged(&["event=store_lost", "table=Text"]));
    pool.store.put("op", "config", Some(text(5, &["/added/"])));
    let answer = pool.ask(&Ask::call("/added/x", "id-2"));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(pool.ask(&Ask::call("/book/x", "id-3")).status, 200);
    pool.store.set_outage(None);
    pool.until("the text is known", || pool.entry.logged(&["event=text ", "version=5"]));
    assert_eq!(pool.ask(&Ask::call("/added/x", "id-4")).status, 200);
}

/// Guards against an entry that knows by one table that the store answers again, and waits for a call of the
/// outage for another one all the same.
#[test]
fn a_call_of_the_outage_is_given_up_when_the_store_answers_another() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let (cut, path) = pool.entry_behind_proxy();
    let overtaken = || cut.logged(&["event=store_overtaken", "table=Text"]);
    for version in 2..40 {
        pool.store.put("op", "config", Some(text(version, &["/added/"])));
        let written = format!("version={version} ");
        pool.until("the text is known", || cut.logged(&["event=text ", &written]));
        let count = |event: &str| cut.count(&[event, "table=Members"]);
        let (lost, regained) = (count("event=store_lost"), count("event=store_regained"));
        path.set(Harm::OneWay);
        pool.until("the list is lost", || count("event=store_lost") > lost);
        path.set(Harm::None);
        pool.until("the list is back", || count("event=store_regained") > regained);
        if overtaken() {
            return;
        }
    }
    panic!("the call for the text is waited for");
}

/// The store forgets its history while a text is written. The entry reads the whole again and misses
/// nothing.
#[test]
fn a_lost_history_hides_no_text() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.store.put("op", "config", Some(text(6, &["/added/"])));
    pool.store.forget();
    pool.until("the text is known", || pool.entry.logged(&["event=text ", "version=6"]));
}

/// An entry is killed and starts again while the store is away. It knows no text: it is not ready
/// and says so, instead of denying routes that exist.
#[test]
fn an_entry_without_a_text_is_not_ready() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    assert!(pool.ready());
    pool.store.set_outage(Some(Outage::Refuse));
    pool.restart_entry();
    assert!(!pool.ready());
    let answer = pool.ask(&Ask::call("/book/x", "id-1"));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    pool.store.set_outage(None);
    until("the entry is ready", || pool.ready());
    assert_eq!(pool.ask(&Ask::call("/book/x", "id-2")).status, 200);
}

/// An entry starts while the store is away and another one serves. It learns text and endpoints from
/// that one and is ready; peers that are down and its own address among the named ones stop nothing.
/// What the store has when it is back is in force there too.
#[test]
fn an_entry_that_starts_in_an_outage_asks_its_peers() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.store.set_outage(Some(Outage::Refuse));
    pool.until("the loss is in the log", || pool.entry.logged(&["event=store_lost"]));
    let more = pool.entry_that_asks(&format!("127.0.0.1:9,{}", pool.snapshots));
    pool.until("it knows both", || {
        more.logged(&["event=text_read", "source=peer", "version=1"])
            && more.logged(&["event=members", "known=2 open=2"])
    });
    pool.until("it reaches the side", || pool.sides[0].logged(&["entry_connected", "entries=2"]));
    pool.store.put("op", "config", Some(text(5, &["/added/"])));
    pool.store.set_outage(None);
    pool.until("the text is known", || more.logged(&["event=text ", "version=5"]));
}

/// A worker says that it leaves, another is taken out of the list without a word. Neither gets
/// anything new.
#[test]
fn leaving_workers_are_left_alone() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"]), ("e3", &["m0"])]);
    pool.engines[0].list("draining");
    pool.engines[1].unlist();
    pool.until("the list is known", || pool.entry.logged(&["event=members", "known=3 open=2"]));
    for index in 0..4 {
        let id = format!("id-{index}");
        assert_eq!(pool.ask(&Ask::stream("/draft/x", &id, "m0")).status, 200);
    }
    assert!(pool.engines[0].ran().is_empty() && pool.engines[1].ran().is_empty());
}

/// SIGTERM comes in the middle of a stream. The stream ends whole, the entry is not ready any more,
/// tells kept connections to close, and ends by itself with code 0.
#[test]
fn a_planned_stop_cuts_nothing() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    let mut stream = pool.open(&Ask::stream("/draft/x", "id-1", "m0"));
    let mut first = [0; 1];
    assert_eq!(stream.read(&mut first).unwrap(), 1);
    pool.entry.signal(SIGTERM);
    until("the stop is in the log", || pool.entry.logged(&["event=stopping"]));
    assert!(!pool.ready());
    let mut kept = TcpStream::connect(pool.callers).unwrap();
    kept.set_read_timeout(Some(PATIENCE)).unwrap();
    kept.write_all(
        b"GET /status/x HTTP/1.1\r\nHost: pool.example\r\nX-Citronrill-Attempt-Id: id-2\r\n\r\n",
    )
    .unwrap();
    let answer = Answer::read(&mut kept);
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(rest.ends_with(b"0\r\n\r\n"), "the stream ends whole");
    assert_eq!(pool.entry.wait(), Some(0));
    assert!(pool.entry.logged(&["event=stopped", "finished=true"]));
}

/// SIGHUP says that the settings have changed. The process goes on and says that it has read them.
#[test]
fn a_hangup_ends_nothing() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.entry.signal(SIGHUP);
    pool.sides[0].signal(SIGHUP);
    pool.until("both have read them", || {
        let reload = ["event=reload", "valid=true"];
        pool.entry.logged(&reload) && pool.sides[0].logged(&reload)
    });
    assert_eq!(pool.ask(&Ask::stream("/draft/x", "id-1", "m0")).status, 200);
}

/// Settings with a wrong value end the process at once with code 2.
#[test]
fn wrong_settings_are_refused() {
    let mut process = Process::start("pool-entry", "[process]\nname = e\nzone =\n");
    assert_eq!(process.wait(), Some(2));
}

/// A caller connects while a stopping entry still takes connections, and its request comes when none is
/// taken any more. The connection was taken, so the request has its answer; it was closed unread
/// before, and the caller could not tell whether it had run.
#[test]
fn a_connection_taken_in_a_planned_stop_is_answered() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    pool.entry.signal(SIGTERM);
    until("the stop is in the log", || pool.entry.logged(&["event=stopping"]));
    let mut stream = TcpStream::connect(pool.callers).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    until("nothing is taken any more", || pool.entry.logged(&["event=closed"]));
    stream.write_all(&Ask::call("/book/x", "id-1").bytes()).unwrap();
    assert_eq!(Answer::read(&mut stream).status, 200);
    assert_eq!(pool.entry.wait(), Some(0));
}

/// The process stands still for a moment, and callers connect before it stops taking connections. When
/// it goes on, its time for that is over; whoever is in the queue has connected, and is answered
/// instead of being reset with the queue.
#[test]
fn connections_in_the_queue_are_answered_in_a_planned_stop() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    pool.entry.signal(SIGTERM);
    until("the stop is in the log", || pool.entry.logged(&["event=stopping"]));
    pool.entry.signal(SIGSTOP);
    let ask = |index: u32| pool.open(&Ask::call("/book/x", &format!("id-{index}")));
    let streams = (0..8).map(ask).collect::<Vec<_>>();
    // Over the time in which new connections are taken, and within the time for open requests.
    std::thread::sleep(Duration::from_millis(2_200));
    pool.entry.signal(SIGCONT);
    for mut stream in streams {
        assert_eq!(Answer::read(&mut stream).status, 200);
    }
    assert_eq!(pool.entry.wait(), Some(0));
}
