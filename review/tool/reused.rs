//! Case: a worker is lost, and its address goes to a worker of another service, with less memory.

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
    consumer::{Consumer, Kind},
    deployment::{Deployment, Place, Plan, engine_service, manifest, route},
    record::Record,
};

const CHAT: &str = "chat-pool";
const BATCH: &str = "batch-pool";
const CHAT_MB: u32 = 200_000;
const BATCH_MB: u32 = 80_000;
/// Both services offer the same models.
const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
const ENTRIES: u8 = 2;
/// Workers of each service; the one that is lost is a seventh of its service.
const CHAT_WORKERS: usize = 7;
const BATCH_WORKERS: usize = 2;
/// `reuse_after_s`.
const REUSE_AFTER: Duration = Duration::from_secs(2);
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(50);
const PAUSE: Duration = Duration::from_millis(250);

pub fn run(record: &Record, directory: &Path, trouble: bool) -> io::Result<Verdict> {
    let routes =
        [route("/chat/", "streaming", CHAT, 15_000), route("/batch/", "streaming", BATCH, 15_000)];
    let services =
        [engine_service(CHAT, CHAT_MB, &MODELS), engine_service(BATCH, BATCH_MB, &MODELS)];
    let plan = Plan {
        entries: ENTRIES,
        sides: [vec![CHAT; CHAT_WORKERS], vec![BATCH; BATCH_WORKERS]].concat(),
        manifest: manifest(1, &routes, &services),
        unframed: false,
    };
    let mut deployment = Deployment::start(record, directory, plan)?;
    let chat = (1..=CHAT_WORKERS as u8).map(|index| {
        deployment.start_worker(CHAT, Place::BesideSide(index), &MODELS[..3], CHAT_MB)
    });
    let chat = chat.collect::<io::Result<Vec<_>>>()?;
    let batch = (0..BATCH_WORKERS).map(|index| {
        let place = Place::BesideSide((CHAT_WORKERS + index + 1) as u8);
        deployment.start_worker(BATCH, place, &MODELS[index..=index], BATCH_MB)
    });
    let mut batch = batch.collect::<io::Result<Vec<_>>>()?;
    deployment.wait_ready()?;
    let (served, stop) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
    let chat_kinds = MODELS[..3].iter().map(|model| Kind::Chat("/chat/", model));
    let batch_kinds = MODELS.iter().map(|model| Kind::Chat("/batch/", model));
    let consumers = chat_kinds.chain(batch_kinds).enumerate().map(|(number, kind)| {
        let entry = deployment.entry((number % usize::from(ENTRIES)) as u8 + 1);
        let mut consumer = Consumer::new(entry, record);
        let (served, stop) = (served.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let answer = consumer.call(kind);
                served.fetch_add(u32::from(answer.status == 200), Ordering::Relaxed);
                thread::sleep(PAUSE);
            }
        })
    });
    let consumers = consumers.collect::<Vec<_>>();
    thread::sleep(BEFORE);
    if trouble {
        chat[0].crash(record);
        thread::sleep(REUSE_AFTER);
        batch.push(deployment.start_worker(BATCH, Place::BesideSide(1), &[], BATCH_MB)?);
        deployment.change_side_service(1, BATCH)?;
    }
    for _ in 0..AFTER.as_secs() {
        thread::sleep(Duration::from_secs(1));
        if batch.iter().any(|worker| !worker.is_running()) {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let crashed = batch.iter().filter(|worker| !worker.is_running()).count();
    for consumer in consumers {
        let _ = consumer.join();
    }
    let (served, running) = (served.load(Ordering::Relaxed), deployment.all_running());
    record.line(&format!("served={served} crashed={crashed} running={running}"));
    if !running || served < 50 {
        return Ok(Verdict::NotRun);
    }
    // A worker of this case ends by itself only if it is ordered to load more than it holds.
    Ok(if crashed > 0 { Verdict::Broken } else { Verdict::Held })
}
