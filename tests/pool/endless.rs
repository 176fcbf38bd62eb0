//! Endpoints whose responses have no end.

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use citronrill_platform_standin::{Endless, EndlessWorker};
use rstest::rstest;

use crate::support::{Deployment, Process, Request, Response, WAIT_TIMEOUT};

/// Memory in kB that an entry may take for the responses of one such endpoint; it has 160 MB in all.
const MAX_MEMORY_KB: u64 = 16_384;
const REQUESTS: usize = 12;
/// Batches of requests until one of them reaches the endpoint.
const MAX_BATCHES: usize = 20;

/// Guards against an entry whose memory is filled by a response without end, or which reads one for good; and
/// against callers who get no answer, or one that is not true.
#[rstest]
fn a_response_without_end_is_cut_off(
    #[values(
        Endless::Garbage,
        Endless::HeadField,
        Endless::HeadFields,
        Endless::Interim,
        Endless::StatusLine,
        Endless::Event,
        Endless::Comments,
        Endless::ChunkSize,
        Endless::ChunkExtension,
        Endless::Chunk,
        Endless::SmallChunks,
        Endless::TrailerField,
        Endless::Trailer
    )]
    endless: Endless,
    #[values("/chat/x", "/draft/x")] path: &str,
) {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    let endless = EndlessWorker::start(pool.engines[0].address().ip(), endless);
    pool.engines[0].register_at(endless.address());
    let before = pool.entry.peak_kb();
    for batch in 0.. {
        send_batch(&pool, path, batch);
        if endless.begun() > 0 {
            break;
        }
        assert!(batch < MAX_BATCHES, "the endpoint is not used");
    }
    pool.wait_until("each response is cut off", || endless.closed() == endless.begun());
    let taken = pool.entry.peak_kb().saturating_sub(before);
    assert!(taken < MAX_MEMORY_KB, "{taken} kB");
}

/// Sends requests at the same time, and checks that each is answered truly.
fn send_batch(pool: &Deployment, path: &str, batch: usize) {
    let send = |number| pool.send(&Request::stream(path, &format!("id-{batch}-{number}"), "m0"));
    let connections = (0..REQUESTS).map(send).collect::<Vec<_>>();
    for mut connection in connections {
        let response = Response::read(&mut connection);
        let whole = response.status == 200 && response.complete;
        let ids = response.event_ids();
        assert!(!whole || ids == (0..20).collect::<Vec<_>>(), "{ids:?}");
        assert!(whole || path == "/draft/x", "{}", response.status);
        assert!(matches!(response.status, 200 | 502 | 504), "{}", response.status);
    }
}

/// Memory in kB that a side may take for the reports of its endpoint; it has 192 MB in all.
const MAX_SIDE_KB: u64 = 32_768;
/// Memory in kB that an entry may take for the pages of one table; it has 160 MB in all.
const MAX_TABLE_KB: u64 = 65_536;
/// Memory in kB of an entry's instance in the test of callers without chunks; half of it is for callers.
const INSTANCE_KB: u64 = 65_536;
/// Time in which memory is measured.
const MEASURED: Duration = Duration::from_secs(3);

/// Returns the memory in kB that a process takes in some seconds from now, more than at its highest before.
fn taken_kb(process: &Process) -> u64 {
    let (before, began) = (process.peak_kb(), Instant::now());
    while began.elapsed() < MEASURED {
        thread::yield_now();
    }
    process.peak_kb().saturating_sub(before)
}

/// Guards against a side whose memory is filled by a report without end.
#[rstest]
fn a_report_without_end_is_cut_off(
    #[values(
        Endless::Garbage,
        Endless::Report,
        Endless::LongReport,
        Endless::Chunk,
        Endless::HeadField
    )]
    endless: Endless,
) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let endless = EndlessWorker::start(pool.engines[0].address().ip(), endless);
    let side = pool.add_side("e2", endless.address());
    pool.wait_until("a report is asked for", || endless.begun() > 0);
    let taken = taken_kb(&side);
    assert!(taken < MAX_SIDE_KB, "{taken} kB");
    assert!(endless.closed() + 1 >= endless.begun(), "not cut off");
}

/// Guards against an entry whose memory is filled by a table without end, or which reads one for good.
#[rstest]
fn a_table_without_end_is_cut_off(
    #[values(
        Endless::Garbage,
        Endless::Rows,
        Endless::Pages,
        Endless::NewPages,
        Endless::EmptyPages
    )]
    endless: Endless,
) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let endless = EndlessWorker::start(pool.engines[0].address().ip(), endless);
    let entry = pool.add_entry_at_store(endless.address());
    pool.wait_until("a table is asked for", || endless.begun() > 0);
    let taken = taken_kb(&entry);
    assert!(taken < MAX_TABLE_KB, "{taken} kB");
    pool.wait_until("it is cut off", || entry.logged(&["event=store_lost"]));
}

/// Guards against an entry whose memory is filled by responses that it collects for callers without chunks.
#[rstest]
fn a_body_without_end_is_not_collected_beyond_the_memory(
    #[values("/book/x", "/status/x")] path: &str,
) {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    let memory_mb = INSTANCE_KB >> 10;
    pool.restart_entry_with(&format!("[resources]\nmemory_mb = {memory_mb}\n"));
    pool.wait_until("the entry is ready", || pool.ready());
    let endless = EndlessWorker::start(pool.ledger.address().ip(), Endless::Body);
    pool.ledger.register_at(endless.address());
    pool.wait_until("the worker is used", || {
        drop(pool.request_head(&Request::call("/book/x", "id-0")));
        endless.begun() > 0
    });
    let before = pool.entry.peak_kb();
    let send = |number: usize| {
        let request = Request::call(path, &format!("id-{number}")).bytes();
        let request = String::from_utf8(request).unwrap().replace("HTTP/1.1", "HTTP/1.0");
        let mut stream = TcpStream::connect(pool.caller_address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        stream
    };
    for mut stream in (1..=REQUESTS).map(send).collect::<Vec<_>>() {
        let response = Response::read(&mut stream);
        assert!(matches!(response.status, 502 | 503), "{}", response.status);
    }
    let taken = pool.entry.peak_kb().saturating_sub(before);
    assert!(taken < INSTANCE_KB * 3 / 4, "{taken} kB");
}
