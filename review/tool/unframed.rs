//! Case: a worker is killed while it writes answers that have no length.

use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    consumer::{Answer, Consumer, Kind},
    deployment::{
        CALLS, Deployment, ENGINES, Place, Plan, engine_service, manifest, plain_service, route,
    },
    record::Record,
    worker::call_answer,
};

const ENTRIES: u8 = 2;
const ENGINE_COUNT: usize = 2;
/// Workers of the service that is asked; one of them, a quarter, is down at a time.
const CALLEES: u8 = 4;
const CONSUMERS: u32 = 24;
/// Pause of the first consumer between an answer and its next request, and by how much that of the next one
/// is longer: they do not go in step.
const PAUSE: Duration = Duration::from_millis(20);
const PAUSE_STEP: Duration = Duration::from_millis(5);
/// Time between the crashes, and for which a worker is down.
const INTERVAL: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_millis(2_500);
const CRASHES: u8 = 4;

/// Counts of what consumers got.
#[derive(Default)]
struct Counts {
    whole: AtomicU32,
    failed: AtomicU32,
    truncated: AtomicU32,
}

pub fn run(record: &Record, directory: &Path, trouble: bool) -> io::Result<Verdict> {
    let routes = [
        route("/chat/", "streaming", ENGINES, 15_000),
        route("/read/", "idempotent", CALLS, 2_500),
        route("/book/", "non_idempotent", CALLS, 2_500),
    ];
    let services = [engine_service(ENGINES, 200_000, &["m0"]), plain_service(CALLS)];
    let plan = Plan {
        entries: ENTRIES,
        sides: vec![ENGINES; ENGINE_COUNT],
        manifest: manifest(1, &routes, &services),
        unframed: true,
    };
    let mut deployment = Deployment::start(record, directory, plan)?;
    let engines = (1..=ENGINE_COUNT as u8)
        .map(|index| deployment.start_worker(ENGINES, Place::BesideSide(index), &["m0"], 200_000));
    let _engines = engines.collect::<io::Result<Vec<_>>>()?;
    let callees =
        (1..=CALLEES).map(|index| deployment.start_worker(CALLS, Place::Alone(index), &[], 0));
    let mut callees = callees.collect::<io::Result<Vec<_>>>()?;
    deployment.wait_ready()?;
    let (counts, stop) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
    let consumers = (0..CONSUMERS).map(|number| {
        let entry = deployment.entry((number % u32::from(ENTRIES)) as u8 + 1);
        let mut consumer = Consumer::new(entry, record);
        let (counts, stop, record) = (counts.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            let kind = if number % 3 == 0 { Kind::Book } else { Kind::Read };
            while !stop.load(Ordering::Relaxed) {
                judge(&consumer.call(kind), &counts, &record);
                thread::sleep(PAUSE + PAUSE_STEP * number);
            }
        })
    });
    let consumers = consumers.collect::<Vec<_>>();
    for crash in 0..CRASHES {
        thread::sleep(INTERVAL - DOWN);
        let at = usize::from(crash) % callees.len();
        if trouble {
            callees[at].crash(record);
        }
        thread::sleep(DOWN);
        if trouble {
            callees[at] = deployment.start_worker(CALLS, Place::Alone(crash + 1), &[], 0)?;
        }
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let running = deployment.all_running();
    let [whole, failed, truncated] = [&counts.whole, &counts.failed, &counts.truncated]
        .map(|count| count.load(Ordering::Relaxed));
    record.line(&format!("whole={whole} failed={failed} truncated={truncated} running={running}"));
    if !running || whole < 500 {
        return Ok(Verdict::NotRun);
    }
    Ok(if truncated > 0 { Verdict::Broken } else { Verdict::Held })
}

/// MIXED: a success whose body is not the worker's whole body, although it ended as if it were.
fn judge(answer: &Answer, counts: &Counts, record: &Record) {
    let success = (200..300).contains(&answer.status) && answer.complete;
    let whole = answer.body == call_answer(&answer.id);
    let count = match (success, whole) {
        (true, true) => &counts.whole,
        (true, false) => {
            let (id, bytes) = (&answer.id, answer.body.len());
            record.line(&format!("BROKEN {id}: a complete success with {bytes} bytes of 800"));
            &counts.truncated
        }
        (false, _) => &counts.failed,
    };
    count.fetch_add(1, Ordering::Relaxed);
}
