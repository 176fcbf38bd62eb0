//! The address of a lost worker goes to a worker of another service, which has the same memory and offers the same
//! models; an entry that the store turns away meanwhile keeps it for a worker of the old service.

use std::{
    collections::BTreeSet,
    fs, io,
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
const WEIGHTS_MB: u32 = 200_000;
/// Both services offer the same models. The chat workers hold the first three; the last one is held by none.
const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];
const ENTRIES: u8 = 3;
/// The entry that the store turns away.
const AWAY: u8 = 1;
/// Workers of each service; the one that is lost is a seventh of its service.
const CHAT_WORKERS: usize = 7;
const BATCH_WORKERS: usize = 2;
const BEFORE: Duration = Duration::from_secs(4);
/// `reuse_after_s`.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// How long before the address is used again the store begins to turn the entry away, and for how long.
const AWAY_BEFORE: Duration = Duration::from_millis(200);
const AWAY_FOR: Duration = Duration::from_secs(9);
/// When consumers begin to ask for the last model, after the address is used again.
const RARE_AFTER: Duration = Duration::from_millis(600);
const AFTER: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(250);

pub fn run(record: &Record, file: &Path, directory: &Path, trouble: bool) -> io::Result<Verdict> {
    let routes =
        [route("/chat/", "streaming", CHAT, 15_000), route("/batch/", "streaming", BATCH, 15_000)];
    let services =
        [engine_service(CHAT, WEIGHTS_MB, &MODELS), engine_service(BATCH, WEIGHTS_MB, &MODELS)];
    let plan = Plan {
        entries: ENTRIES,
        sides: [vec![CHAT; CHAT_WORKERS], vec![BATCH; BATCH_WORKERS]].concat(),
        manifest: manifest(1, &routes, &services),
        unframed: false,
        behind_door: AWAY,
    };
    let mut deployment = Deployment::start(record, directory, plan)?;
    let chat = (1..=CHAT_WORKERS as u8).map(|index| {
        deployment.start_worker(CHAT, Place::BesideSide(index), &MODELS[..3], WEIGHTS_MB)
    });
    let chat = chat.collect::<io::Result<Vec<_>>>()?;
    let batch = (0..BATCH_WORKERS).map(|index| {
        let place = Place::BesideSide((CHAT_WORKERS + index + 1) as u8);
        deployment.start_worker(BATCH, place, &MODELS[..3], WEIGHTS_MB)
    });
    let mut batch = batch.collect::<io::Result<Vec<_>>>()?;
    deployment.wait_ready()?;
    let (served, stop) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
    let mut consumers = Vec::new();
    let entries = (1..=ENTRIES).map(|entry| deployment.entry(entry)).collect::<Vec<_>>();
    let mut start = |entry: u8, kind: Kind| {
        let mut consumer = Consumer::new(entries[usize::from(entry) - 1], record);
        let (served, stop) = (served.clone(), stop.clone());
        consumers.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let answer = consumer.call(kind);
                served.fetch_add(u32::from(answer.status == 200), Ordering::Relaxed);
                thread::sleep(PAUSE);
            }
        }));
    };
    for entry in 1..=ENTRIES {
        MODELS[..3].iter().for_each(|model| start(entry, Kind::Chat("/chat/", model)));
        start(entry, Kind::Chat("/batch/", "m0"));
    }
    thread::sleep(BEFORE);
    if trouble {
        chat[0].crash(record);
        thread::sleep(REUSE_AFTER - AWAY_BEFORE);
        deployment.door.turn_away(true);
        record.line(&format!("the store turns entry {AWAY} away (503) and serves the others"));
        thread::sleep(AWAY_BEFORE);
        batch.push(deployment.start_worker(BATCH, Place::BesideSide(1), &[], WEIGHTS_MB)?);
        deployment.change_side_service(1, BATCH)?;
    } else {
        thread::sleep(REUSE_AFTER);
    }
    thread::sleep(RARE_AFTER);
    for _ in 0..4 {
        start(AWAY, Kind::Chat("/chat/", MODELS[3]));
    }
    thread::sleep(AWAY_FOR - AWAY_BEFORE - RARE_AFTER);
    if trouble {
        deployment.door.turn_away(false);
        record.line(&format!("the store serves entry {AWAY} again"));
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let (served, running) = (served.load(Ordering::Relaxed), deployment.all_running());
    let foreign = foreign_runs(&fs::read_to_string(file)?);
    for (id, worker) in &foreign {
        record.line(&format!(
            "BROKEN request {id} of the route /chat/ (only {CHAT}) ran at {worker} of {BATCH}"
        ));
    }
    record.line(&format!("served={served} foreign={} running={running}", foreign.len()));
    if !running || served < 50 {
        return Ok(Verdict::NotRun);
    }
    Ok(if foreign.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Returns the requests of the chat route that workers of the other service ran, with the worker.
fn foreign_runs(record: &str) -> Vec<(String, String)> {
    let words = |line: &str| line.split_whitespace().skip(2).map(str::to_owned).collect::<Vec<_>>();
    let lines = record.lines().map(words).collect::<Vec<_>>();
    let chat = lines
        .iter()
        .filter(|line| line.len() > 3 && line[0] == "sent" && line[2].contains("/chat/"));
    let chat = chat.map(|line| line[1].as_str()).collect::<BTreeSet<_>>();
    let runs = lines.iter().filter(|line| line.len() == 4 && line[0] == "run");
    let foreign = runs.filter(|line| chat.contains(line[1].as_str()) && line[3].contains(BATCH));
    foreign.map(|line| (line[1].clone(), line[3].clone())).collect()
}
