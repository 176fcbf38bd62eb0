//! Case: a machine is taken away while its worker writes streams that have no length.

use std::{
    io,
    net::SocketAddr,
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
    consumer::{Consumer, Kind},
    deployment::{Deployment, ENGINES, Place, Plan, engine_service, manifest, route},
    gate::Gate,
    record::Record,
    worker::stream_answer,
};

const ENTRIES: u8 = 2;
/// Workers; the one that is taken away is an eighth.
const WORKERS: u8 = 8;
const CONSUMERS: u32 = 40;
/// Pause of the first consumer between an answer and its next request, and by how much that of the next one
/// is longer: they do not go in step.
const PAUSE: Duration = Duration::from_millis(20);
const PAUSE_STEP: Duration = Duration::from_millis(7);
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(8);

pub fn run(record: &Record, directory: &Path, trouble: bool) -> io::Result<Verdict> {
    let routes = [route("/chat/", "streaming", ENGINES, 15_000)];
    let services = [engine_service(ENGINES, 200_000, &["m0"])];
    let plan = Plan {
        entries: ENTRIES,
        sides: vec![ENGINES; usize::from(WORKERS)],
        manifest: manifest(1, &routes, &services),
        unframed: true,
    };
    let mut deployment = Deployment::start(record, directory, plan)?;
    let (mut workers, mut gates) = (Vec::new(), Vec::new());
    for index in 1..=WORKERS {
        let place = Place::BesideSide(index);
        let gate = Gate::start(deployment.gate_address(place), deployment.worker_address(place))?;
        workers.push(deployment.start_worker_behind(
            ENGINES,
            place,
            &["m0"],
            200_000,
            gate.address,
        )?);
        gates.push(gate);
    }
    deployment.wait_ready()?;
    let whole = Arc::new(AtomicU32::new(0));
    let (cut, truncated) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = (0..CONSUMERS).map(|number| {
        let entry = deployment.entry((number % u32::from(ENTRIES)) as u8 + 1);
        let (whole, cut, truncated) = (whole.clone(), cut.clone(), truncated.clone());
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || {
            consume(
                entry,
                &record,
                &stop,
                PAUSE + PAUSE_STEP * number,
                &[&whole, &cut, &truncated],
            );
        })
    });
    let consumers = consumers.collect::<Vec<_>>();
    thread::sleep(BEFORE);
    if trouble {
        record.line(
            "the machine of worker 1 is taken away: its processes end, and it answers no more",
        );
        gates[0].close();
        workers[0].crash(record);
        deployment.kill_side(1);
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let [whole, cut, truncated] =
        [whole, cut, truncated].map(|count| count.load(Ordering::Relaxed));
    record.line(&format!("whole={whole} cut={cut} truncated={truncated}"));
    if whole < 200 {
        return Ok(Verdict::NotRun);
    }
    Ok(if truncated > 0 { Verdict::Broken } else { Verdict::Held })
}

/// ORDER: a stream that ends as complete before its last piece.
fn consume(
    entry: SocketAddr,
    record: &Record,
    stop: &AtomicBool,
    pause: Duration,
    counts: &[&AtomicU32; 3],
) {
    let mut consumer = Consumer::new(entry, record);
    while !stop.load(Ordering::Relaxed) {
        let answer = consumer.call(Kind::Chat("/chat/", "m0"));
        let success = answer.status == 200 && answer.complete;
        let count = match (success, answer.body == stream_answer(&answer.id)) {
            (true, true) => counts[0],
            (true, false) => {
                let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
                record.line(&format!("BROKEN {}: complete after {events} events", answer.id));
                counts[2]
            }
            (false, _) => counts[1],
        };
        count.fetch_add(1, Ordering::Relaxed);
        thread::sleep(pause);
    }
}
