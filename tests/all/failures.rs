//! Requests under failures and planned stops.

use std::{
    io::{self, BufRead, BufReader},
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::support::{Deployment, parse_stream};

/// Requests a streamed answer of `count` words from model alpha; returns the question and the lines of
/// the response.
fn long_stream(
    deployment: &Deployment,
    count: usize,
) -> (String, impl Iterator<Item = io::Result<String>> + use<>) {
    let words = (0..count).map(|number| format!("w{number}")).collect::<Vec<_>>().join(" ");
    let question = json!({ "model": "alpha", "stream": true,
        "messages": [{ "role": "user", "content": words }] });
    let request =
        attohttpc::post(deployment.url(0, "/v1/chat/completions")).bearer_auth("north-key");
    let response = request.json(&question).unwrap().send().unwrap();
    let (_, _, reader) = response.split();
    (words, BufReader::new(reader).lines())
}

/// Guards against a stream of a plain service that was cut inside an event, or before the first one, and
/// looks complete to its caller.
#[test]
fn a_stream_that_ends_with_its_connection_is_complete_only_after_an_event() {
    let deployment = Deployment::start(1, 1);
    let get = |name: &str| {
        let url = deployment.url(0, &format!("/services/ledger/streams/{name}"));
        let request = attohttpc::get(url).bearer_auth("north-key").header("X-Deadline-Ms", "2000");
        let response = request.send().unwrap();
        (response.status().as_u16(), response.text())
    };
    let (status, body) = get("whole");
    assert_eq!((status, body.unwrap().matches("data: ").count()), (200, 2));
    for name in ["cut", "none"] {
        let (status, body) = get(name);
        assert!(status >= 500 || body.is_err(), "{name}: {status} {body:?}");
    }
}

/// No placement decision can be committed while the platform table is unavailable. Warm models must still
/// be served; requests for cold ones must be refused with the reason and a retry time.
#[test]
fn warm_models_are_served_through_an_outage_of_the_table() {
    let deployment = Deployment::start(1, 2);
    assert_eq!(deployment.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    deployment.platform.faults().set_unavailable(true);
    deployment.wait_until("the entry to report the outage", |deployment| {
        deployment.state(0)["gauges"]["store_up"] == json!(0)
    });
    assert_eq!(deployment.chat(0, "north-key", "alpha", "still warm", false).0, 200);
    let (status, body) = deployment.chat(0, "south-key", "beta", "cold", false);
    let problem: Value = serde_json::from_str(&body).unwrap();
    assert_eq!((status, &problem["title"]), (503, &json!("store-down")));
    assert_eq!(problem["ran"], json!("no"));
    assert!(problem["retry_after_ms"].as_u64().is_some());
    deployment.platform.faults().set_unavailable(false);
    deployment.wait_until("the entry to report the end of the outage", |deployment| {
        deployment.state(0)["gauges"]["store_up"] == json!(1)
    });
    assert_eq!(deployment.chat(0, "south-key", "beta", "again", false).0, 200);
}

/// Guards against a duplicate booking when a client gets no response and retries through another entry.
/// The first call claims its idempotency key in the table before it is dispatched, and its answer is
/// stored there. The retry finds the claim and gets the same answer.
#[test]
fn a_repeated_booking_runs_once() {
    let deployment = Deployment::start(2, 1);
    let book = |entry: usize, key: &str, body: &str| {
        let url = deployment.url(entry, "/services/ledger/bookings");
        let request = attohttpc::post(url).bearer_auth("north-key").header("Idempotency-Key", key);
        let response = request.text(body.to_owned()).send().unwrap();
        (response.status().as_u16(), response.text_utf8().unwrap())
    };
    let first = book(0, "sofa-7", "sofa, Thursday");
    assert_eq!(first.0, 200, "{first:?}");
    deployment.wait_until("the stored answer", |deployment| deployment.answered_claims() == 1);
    assert_eq!(book(1, "sofa-7", "sofa, Thursday"), first);
    assert_eq!(book(0, "sofa-7", "sofa, Thursday"), first);
    assert_eq!(book(1, "sofa-8", "sofa, Friday").0, 200);
    assert_eq!(deployment.plain.recorded_calls().len(), 2);
    let reused = book(0, "sofa-7", "a piano, Thursday!");
    assert_eq!(reused.0, 422, "{reused:?}");
}

/// A side is stopped as planned while it streams an answer. The caller must get the complete answer,
/// and the side must unload its models.
#[test]
fn a_planned_stop_of_a_side_finishes_its_streams() {
    let deployment = Deployment::start(1, 1);
    assert_eq!(deployment.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let (words, mut lines) = long_stream(&deployment, 300);
    let first = lines.next().unwrap().unwrap();
    deployment.sides[0].drain(true);
    let mut body = format!("{first}\n");
    for line in lines {
        body.push_str(&line.unwrap());
        body.push('\n');
    }
    assert_eq!(parse_stream(&body), (format!("You asked: {words}"), true));
    deployment.wait_until("the engine to have no models", |deployment| {
        deployment.engines[0].ready_models().is_empty()
    });
}

/// A side terminates in the middle of a stream. The caller must not take the partial answer for a
/// complete one.
#[test]
fn a_truncated_stream_is_not_marked_complete() {
    let mut deployment = Deployment::start(1, 1);
    assert_eq!(deployment.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let (_, mut lines) = long_stream(&deployment, 2_000);
    lines.next().unwrap().unwrap();
    drop(deployment.sides.remove(0));
    let rest = lines.map_while(Result::ok).collect::<Vec<_>>();
    assert!(!rest.iter().any(|line| line.contains("[DONE]")));
    assert!(rest.iter().any(|line| line.contains("connection-lost")), "{:?}", rest.last());
}

/// The platform withdraws an instance. Its models must be unloaded, and callers must be served by another
/// endpoint.
#[test]
fn a_draining_endpoint_gets_no_new_work() {
    let deployment = Deployment::start(1, 2);
    assert_eq!(deployment.chat(0, "south-key", "beta", "wake up", false).0, 200);
    let holder =
        (0..2).find(|index| !deployment.engines[*index].ready_models().is_empty()).unwrap();
    deployment.sides[holder].drain(true);
    deployment.wait_until("the model to be unloaded", |deployment| {
        deployment.engines[holder].ready_models().is_empty()
    });
    assert_eq!(deployment.chat(0, "south-key", "beta", "elsewhere", false).0, 200);
    assert_eq!(deployment.engines[1 - holder].ready_models(), ["beta"]);
}

/// A planned stop of an entry answers pending requests and exits within its timeout.
#[test]
fn a_planned_stop_of_an_entry_answers_pending_requests() {
    let mut deployment = Deployment::start(2, 1);
    let url = deployment.url(0, "/v1/chat/completions");
    let caller = thread::spawn(move || {
        let question =
            json!({ "model": "alpha", "messages": [{ "role": "user", "content": "x" }] });
        let request = attohttpc::post(url).bearer_auth("north-key").json(&question).unwrap();
        request.send().unwrap().status().as_u16()
    });
    deployment.wait_until("the request to be accepted", |deployment| {
        deployment.state(0)["counters"]["requests"].as_u64().is_some_and(|count| count == 1)
    });
    let entry = deployment.entries.remove(0);
    entry.drain();
    entry.wait();
    assert_eq!(caller.join().unwrap(), 200);
}

/// Guards against connections that outlive their side and keep answering pings, so that calls hang until
/// their deadline: the side with the model stops while six calls to it are in flight.
#[test]
fn connections_close_when_their_side_stops() {
    let mut deployment = Deployment::start(1, 2);
    assert_eq!(deployment.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let holder =
        (0..2).find(|index| !deployment.engines[*index].ready_models().is_empty()).unwrap();
    let url = deployment.url(0, "/v1/chat/completions");
    let callers = (0..6).map(|caller| {
        let url = url.clone();
        thread::spawn(move || {
            let question = json!({ "model": "alpha",
                "messages": [{ "role": "user", "content": format!("c{caller}") }] });
            let request = attohttpc::post(url).bearer_auth("north-key").json(&question).unwrap();
            request.send().unwrap().status().as_u16()
        })
    });
    let callers = callers.collect::<Vec<_>>();
    drop(deployment.sides.remove(holder));
    deployment.add_side(holder);
    for caller in callers {
        assert_ne!(caller.join().unwrap(), 504, "held until its deadline");
    }
}

/// An entry and a side are killed and replaced under load. Every request must get one answer or one
/// refusal, and no booking may run twice.
#[test]
fn kills_under_load_lose_or_duplicate_no_request() {
    let mut deployment = Deployment::start(2, 3);
    assert_eq!(deployment.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let urls =
        [deployment.url(1, "/v1/chat/completions"), deployment.url(1, "/services/ledger/bookings")];
    let callers = (0..6).map(|caller| {
        let urls = urls.clone();
        thread::spawn(move || {
            let mut outcomes = Vec::new();
            for number in 0..25 {
                let word = format!("c{caller}-{number}");
                let question = json!({ "model": "alpha",
                    "messages": [{ "role": "user", "content": word }] });
                let request = attohttpc::post(&urls[0]).bearer_auth("north-key");
                let request = request.read_timeout(Duration::from_secs(25));
                let response = request.json(&question).unwrap().send();
                let response = response.map(|reply| (reply.status().as_u16(), reply.text_utf8()));
                if let Ok((200, Ok(body))) = &response {
                    assert!(body.contains(&word), "another caller's answer: {body}");
                }
                outcomes.push(response.is_ok());
                let request = attohttpc::post(&urls[1]).bearer_auth("north-key");
                let _ = request.header("Idempotency-Key", &word).text(word.clone()).send();
            }
            outcomes
        })
    });
    let callers = callers.collect::<Vec<_>>();
    drop(deployment.entries.remove(0));
    drop(deployment.sides.remove(0));
    deployment.add_side(0);
    deployment.add_entry(3);
    let outcomes = callers.into_iter().flat_map(|caller| caller.join().unwrap());
    assert!(outcomes.collect::<Vec<_>>().iter().all(|answered| *answered));
    let mut hashes =
        deployment.plain.recorded_calls().into_iter().map(|call| call.hash).collect::<Vec<_>>();
    let all = hashes.len();
    hashes.sort_unstable();
    hashes.dedup();
    assert_eq!(hashes.len(), all, "a booking ran twice");
    assert!(deployment.engines.iter().all(|engine| engine.peak_memory_mb() <= 20_000));
}
