//! A request's life over real sockets, under failure.

use std::{
    io::{self, BufRead, BufReader},
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::support::{Deployment, streamed};

/// Asks model alpha for a streamed answer of so many words; gives the question and its lines.
fn long_stream(
    it: &Deployment,
    count: usize,
) -> (String, impl Iterator<Item = io::Result<String>> + use<>) {
    let words = (0..count).map(|number| format!("w{number}")).collect::<Vec<_>>().join(" ");
    let question = json!({ "model": "alpha", "stream": true,
        "messages": [{ "role": "user", "content": words }] });
    let request = attohttpc::post(it.url(0, "/v1/chat/completions")).bearer_auth("north-key");
    let response = request.json(&question).unwrap().send().unwrap();
    let (_, _, reader) = response.split();
    (words, BufReader::new(reader).lines())
}

/// While the platform's table is away nobody can decide; what is warm must go on being served, and
/// what is cold must be refused in time, truthfully and with a time to come back.
#[test]
fn warm_models_are_served_through_an_outage_of_the_table() {
    let it = Deployment::start(1, 2);
    assert_eq!(it.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    it.platform.faults().set_away(true);
    it.wait("the entry to notice", |it| it.state(0)["gauges"]["store_up"] == json!(0));
    assert_eq!(it.chat(0, "north-key", "alpha", "still warm", false).0, 200);
    let (status, body) = it.chat(0, "south-key", "beta", "cold", false);
    let problem: Value = serde_json::from_str(&body).unwrap();
    assert_eq!((status, &problem["title"]), (503, &json!("store-down")));
    assert_eq!(problem["ran"], json!("no"));
    assert!(problem["retry_after_ms"].as_u64().is_some());
    it.platform.faults().set_away(false);
    it.wait("the entry to notice", |it| it.state(0)["gauges"]["store_up"] == json!(1));
    assert_eq!(it.chat(0, "south-key", "beta", "again", false).0, 200);
}

/// A resident books, hears nothing, and the client repeats the booking through another entry; the
/// crew must come once.
///
/// The first call claims its key in the table before it is sent, and its answer is kept there. The
/// repeat finds the claim and gets the first answer, word for word.
#[test]
fn a_repeated_booking_runs_once() {
    let it = Deployment::start(2, 1);
    let book = |entry: usize, key: &str, body: &str| {
        let url = it.url(entry, "/services/ledger/bookings");
        let request = attohttpc::post(url).bearer_auth("north-key").header("Idempotency-Key", key);
        let response = request.text(body.to_owned()).send().unwrap();
        (response.status().as_u16(), response.text_utf8().unwrap())
    };
    let first = book(0, "sofa-7", "sofa, Thursday");
    assert_eq!(first.0, 200, "{first:?}");
    it.wait("the kept answer", |it| it.claims_answered() == 1);
    assert_eq!(book(1, "sofa-7", "sofa, Thursday"), first);
    assert_eq!(book(0, "sofa-7", "sofa, Thursday"), first);
    assert_eq!(book(1, "sofa-8", "sofa, Friday").0, 200);
    assert_eq!(it.plain.ledger().len(), 2);
    let reused = book(0, "sofa-7", "a piano, Thursday!");
    assert_eq!(reused.0, 422, "{reused:?}");
}

/// A side process is stopped for an upgrade while it streams an answer; the caller must get the
/// whole of it, and the next caller is served too.
#[test]
fn a_planned_stop_of_a_side_finishes_its_streams() {
    let it = Deployment::start(1, 1);
    assert_eq!(it.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let (words, mut lines) = long_stream(&it, 300);
    let first = lines.next().unwrap().unwrap();
    it.sides[0].drain(true);
    let mut body = format!("{first}\n");
    for line in lines {
        body.push_str(&line.unwrap());
        body.push('\n');
    }
    assert_eq!(streamed(&body), (format!("You asked: {words}"), true));
    it.wait("nothing left at the engine", |it| it.engines[0].models().is_empty());
}

/// A side dies in the middle of a stream; the caller must not take the part for the whole answer.
#[test]
fn a_cut_answer_is_not_passed_off_as_whole() {
    let mut it = Deployment::start(1, 1);
    assert_eq!(it.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let (_, mut lines) = long_stream(&it, 2_000);
    lines.next().unwrap().unwrap();
    drop(it.sides.remove(0));
    let rest = lines.map_while(Result::ok).collect::<Vec<_>>();
    assert!(!rest.iter().any(|line| line.contains("[DONE]")));
    assert!(rest.iter().any(|line| line.contains("connection-lost")), "{:?}", rest.last());
}

/// The platform takes an instance away; callers must be served elsewhere, and what the instance
/// held must be given back.
#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let it = Deployment::start(1, 2);
    assert_eq!(it.chat(0, "south-key", "beta", "wake up", false).0, 200);
    let holder = (0..2).find(|index| !it.engines[*index].models().is_empty()).unwrap();
    it.sides[holder].drain(true);
    it.wait("the model to be given back", |it| it.engines[holder].models().is_empty());
    assert_eq!(it.chat(0, "south-key", "beta", "elsewhere", false).0, 200);
    assert_eq!(it.engines[1 - holder].models(), ["beta"]);
}

/// A planned stop of an entry answers what it has and exits within its limit.
#[test]
fn a_planned_stop_of_an_entry_answers_what_waits() {
    let mut it = Deployment::start(2, 1);
    let url = it.url(0, "/v1/chat/completions");
    let asker = thread::spawn(move || {
        let question =
            json!({ "model": "alpha", "messages": [{ "role": "user", "content": "x" }] });
        let request = attohttpc::post(url).bearer_auth("north-key").json(&question).unwrap();
        request.send().unwrap().status().as_u16()
    });
    it.wait("the request to be taken in", |it| {
        it.state(0)["counters"]["requests"].as_u64().is_some_and(|count| count == 1)
    });
    let entry = it.entries.remove(0);
    entry.drain();
    entry.wait();
    assert_eq!(asker.join().unwrap(), 200);
}

/// The side with a model ends while six callers' calls are on their way to it. Its connections must end
/// with it: they once answered pings for ever, and the calls hung until their callers' time was up.
#[test]
fn the_connections_of_a_side_end_with_it() {
    let mut it = Deployment::start(1, 2);
    assert_eq!(it.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let holder = (0..2).find(|index| !it.engines[*index].models().is_empty()).unwrap();
    let url = it.url(0, "/v1/chat/completions");
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
    drop(it.sides.remove(holder));
    it.add_side(holder);
    for caller in callers {
        assert_ne!(caller.join().unwrap(), 504, "held until its time was up");
    }
}

/// Entries and sides are killed and replaced while callers ask; each caller must get one answer or
/// one refusal, and no booking may run twice.
#[test]
fn load_with_kills_loses_and_doubles_nothing() {
    let mut it = Deployment::start(2, 3);
    assert_eq!(it.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    let urls = [it.url(1, "/v1/chat/completions"), it.url(1, "/services/ledger/bookings")];
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
                let response = response.map(|it| (it.status().as_u16(), it.text_utf8()));
                if let Ok((200, Ok(body))) = &response {
                    assert!(body.contains(&word), "another one's answer: {body}");
                }
                outcomes.push(response.is_ok());
                let request = attohttpc::post(&urls[1]).bearer_auth("north-key");
                let _ = request.header("Idempotency-Key", &word).text(word.clone()).send();
            }
            outcomes
        })
    });
    let callers = callers.collect::<Vec<_>>();
    drop(it.entries.remove(0));
    drop(it.sides.remove(0));
    it.add_side(0);
    it.add_entry(3);
    let outcomes = callers.into_iter().flat_map(|caller| caller.join().unwrap());
    assert!(outcomes.collect::<Vec<_>>().iter().all(|answered| *answered));
    let mut hashes = it.plain.ledger().into_iter().map(|call| call.hash).collect::<Vec<_>>();
    let all = hashes.len();
    hashes.sort_unstable();
    hashes.dedup();
    assert_eq!(hashes.len(), all, "a booking ran twice");
    assert!(it.engines.iter().all(|engine| engine.most_memory() <= 20_000));
}
