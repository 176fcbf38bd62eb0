//! A worker whose entry is removed while it serves on answers without a length.

use std::{path::Path, thread, time::Duration};

use super::deployment::{
    Deployment, Record, describe, manifest, plain_route, send, wait_until_ready,
};
use crate::worker::{BODY_BYTES, whole_body};

const REQUESTS: usize = 36;

pub fn run(dir: &Path, trouble: bool) -> i32 {
    let mut record = Record::new(dir);
    let deployment = Deployment::new(&manifest(&[plain_route("/book/", "non_idempotent")]));
    let workers = deployment.plain_workers((1_600, 0), "close", BODY_BYTES, |own| own);
    let entry = deployment.entry(1);
    if !wait_until_ready(&entry) {
        return 2;
    }
    let consumers = send(entry.callers, REQUESTS);
    record.line(&format!(
        "{REQUESTS} requests are sent to the entry, each on a kept channel of its own"
    ));
    thread::sleep(Duration::from_millis(300));
    let (number, runs) = deployment.busiest();
    let leaving = format!("i-{number}");
    if trouble {
        deployment.deregister(&leaving);
        record.line(&format!(
            "the store has removed the entry of {leaving}, which never reported draining; it serves on, {runs} requests now"
        ));
    }
    let (mut lost, mut other) = (0, 0);
    for consumer in consumers {
        let Ok((id, Ok(answer))) = consumer.join() else { return 2 };
        let worker = deployment.runs_at(&id);
        let whole = answer.complete && answer.body == whole_body(&id, &worker);
        let cut = !worker.is_empty() && !answer.complete;
        lost += usize::from(cut && worker == leaving);
        other += usize::from(cut && worker != leaving);
        let note = if whole { ", the worker's whole body" } else { "" };
        record.line(&format!("consumer: {id}, run by {worker}: {}{note}", describe(&answer)));
    }
    record.add_log(&deployment.log());
    drop((entry, workers));
    deployment.clean_up();
    record.line(&format!(
        "channels that the entry closed without a complete answer, though a sound worker had answered: {lost} of those \
         passed on to {leaving}, {other} of all others; the rule allows three"
    ));
    if runs < 4 { 2 } else { i32::from(lost + other > 3) }
}
