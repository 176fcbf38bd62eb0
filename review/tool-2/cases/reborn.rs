//! A worker is cut off, crashes behind the cut in the middle of answers without a length, and starts again.

use std::{path::Path, thread, time::Duration};

use super::deployment::{
    Deployment, PLAIN, Record, describe, manifest, plain_route, send, wait_until_ready,
};
use crate::{
    net::{Link, free_port},
    worker::{BODY_BYTES, whole_body},
};

const REQUESTS: usize = 24;

pub fn run(dir: &Path, trouble: bool) -> i32 {
    let mut record = Record::new(dir);
    let deployment = Deployment::new(&manifest(&[plain_route("/book/", "non_idempotent")]));
    let mut links = Vec::new();
    let mut workers = deployment.plain_workers((50, 1_500), "close", BODY_BYTES, |own| {
        let mut at = own;
        at.set_port(free_port());
        links.push(Link::start(at, own));
        at
    });
    let entry = deployment.entry(1);
    if !wait_until_ready(&entry) {
        return 2;
    }
    let consumers = send(entry.callers, REQUESTS);
    record.line(&format!("{REQUESTS} requests are sent to the entry; workers answer without a length, the second half 1.5 s after the first"));
    thread::sleep(Duration::from_millis(400));
    let (number, runs) = deployment.busiest();
    let (name, index) = (format!("i-{number}"), number - 1);
    if trouble {
        links[index].set_cut(true);
        record.line(&format!("{name} is cut off, with {runs} answers half sent"));
        thread::sleep(Duration::from_millis(200));
        workers.processes[index].kill();
        record.line(&format!("{name} crashes behind the cut (SIGKILL)"));
        thread::sleep(Duration::from_millis(400));
        workers.processes[index] =
            deployment.plain_worker(workers.own[index], "i-7", "close", (50, 1_500), BODY_BYTES);
        record.line("it starts again as i-7 at the same address");
        thread::sleep(Duration::from_millis(1_000));
        links[index].set_cut(false);
        deployment.register("i-7", PLAIN, workers.listed[index], "ready");
        record.line(&format!("the cut heals; i-7 reports to the store, where the entry of {name} has not expired (three intervals of 1.2 s)"));
    }
    let mut false_ends = 0;
    for consumer in consumers {
        let Ok((id, Ok(answer))) = consumer.join() else { return 2 };
        let worker = deployment.runs_at(&id);
        let success = answer.complete && (200..300).contains(&answer.status);
        let whole = answer.body == whole_body(&id, &worker);
        false_ends += usize::from(success && !whole);
        let note = match (success, whole) {
            (true, true) => ", the worker's whole body",
            (true, false) => ", NOT the worker's whole body",
            _ => "",
        };
        record.line(&format!("consumer: {id}, run by {worker}: {}{note}", describe(&answer)));
    }
    record.add_log(&deployment.log());
    drop((entry, workers));
    deployment.clean_up();
    record.line(&format!("{false_ends} of {REQUESTS} consumers got a success that looks complete with half of the worker's body"));
    if runs == 0 { 2 } else { i32::from(false_ends > 0) }
}
