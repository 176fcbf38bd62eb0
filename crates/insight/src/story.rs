//! The story of one request.

use std::{collections::BTreeSet, fmt};

use crate::line::{Line, Log};

/// Milliseconds before a request's first line within which orders for its model belong to its story:
/// a load from the weight store takes six seconds.
const ORDERS_BEFORE_MS: u64 = 8_000;
/// The same for what changed a belief: the list lags by two seconds.
const BELIEFS_BEFORE_MS: u64 = 2_500;

/// What sides and entries say of fetching a model.
const ORDERS: [&str; 8] = [
    "want",
    "want_declined",
    "planned",
    "declined",
    "order",
    "order_ended",
    "order_repeated",
    "no_room",
];
/// What changes a belief of a process for every request.
const BELIEFS: [&str; 10] = [
    "text",
    "store_lost",
    "store_regained",
    "history_gone",
    "snapshot_read",
    "started",
    "stopping",
    "stopped",
    "log_left_out",
    "log_lost",
];
/// What is said of one endpoint.
const ENDPOINT: [&str; 4] = ["superseded", "endpoint_restarted", "endpoint_named", "report_failed"];

/// One request's lines with those that decided them, and what they come to.
#[derive(Debug, Clone)]
pub struct Story {
    lines: Vec<Line>,
    begun: u64,
    verdict: String,
}

impl Story {
    /// What became of the request and why, in one sentence.
    pub fn verdict(&self) -> &str {
        &self.verdict
    }

    /// The lines in order of time.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }
}

impl fmt::Display for Story {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let after = line.time as i64 - self.begun as i64;
            write!(out, "{after:>7} ms  {:<24} {:<16}", line.source, line.event)?;
            for (key, value) in line.inputs() {
                write!(out, " {key}={value}")?;
            }
            writeln!(out)?;
        }
        writeln!(out, "\n{}", self.verdict)
    }
}

/// Joins what was logged of the request that its caller named `id`; `None` if nothing was.
pub fn explain(log: &Log, id: &str) -> Option<Story> {
    let own = log.lines().iter().filter(|line| line.get("id") == id).collect::<Vec<_>>();
    let (first, ended) = (own.first()?, own.last()?.time);
    // What comes is not logged; each first line tells how long ago that was.
    let ago = ["waited_ms", "after_ms", "took_ms"].map(|key| first.number(key));
    let begun = first.time.saturating_sub(ago.into_iter().max().unwrap_or(0));
    let named = |key: &str| {
        let values = own.iter().map(|line| line.get(key)).filter(|value| !value.is_empty());
        values.collect::<BTreeSet<_>>()
    };
    let (models, mut instances) = (named("model"), named("to"));
    instances.extend(named("from"));
    let entry = &first.source;
    let part = |line: &&Line| {
        let near = |before: u64| line.time + before >= begun && line.time <= ended;
        let kind = line.event.as_str();
        let of_model = models.contains(line.get("model")) || models.contains(line.get("wanted"));
        let of_instance = instances.contains(line.get("instance"));
        line.get("id") == id
            || ORDERS.contains(&kind) && of_model && near(ORDERS_BEFORE_MS)
            || BELIEFS.contains(&kind) && line.source == *entry && near(BELIEFS_BEFORE_MS)
            || ENDPOINT.contains(&kind) && of_instance && near(BELIEFS_BEFORE_MS)
    };
    let lines = log.lines().iter().filter(part).cloned().collect::<Vec<_>>();
    let verdict = verdict(&own, &lines);
    Some(Story { lines, begun, verdict })
}

fn verdict(own: &[&Line], story: &[Line]) -> String {
    let Some(last) = own.last() else { return String::new() };
    match last.event.as_str() {
        "refused" => refused(last, own, story),
        "finished" if last.get("complete") == "false" => format!(
            "Broken off: endpoint {} ended its answer early, {} ms after the request came.",
            last.get("from"),
            last.number("took_ms")
        ),
        "finished" => served(last, own, story),
        "left" => {
            format!("The caller left after {} ms without an answer.", last.number("after_ms"))
        }
        event => format!("Unfinished: the last line is {event}; its end was not logged."),
    }
}

fn refused(last: &Line, own: &[&Line], story: &[Line]) -> String {
    let model = last.get("model");
    let reason = match last.get("reason") {
        "no_text" => "the entry knew no text yet".to_owned(),
        "no_route" => format!("text {} has no route for it", last.get("text")),
        "old_text" => {
            format!("text {} has no route or model for it, and may be old", last.get("text"))
        }
        "no_model" => "its service has no such model".to_owned(),
        "no_endpoint" => format!(
            "no endpoint could take {model} in ({} held it, {} had a copy, it was on its way to {})",
            last.get("holders"),
            last.get("copies"),
            last.get("coming")
        ),
        "full" => "every endpoint that could run it was full".to_owned(),
        "too_far" => format!("{model} could not be there in time"),
        "expired" => "its time was up before it could be sent".to_owned(),
        "stopping" => "the entry was stopping".to_owned(),
        "timed_out" => "its time was up while it may have run".to_owned(),
        "broken" => "its endpoint failed it, and it may have run".to_owned(),
        other => other.to_owned(),
    };
    let failures = own.iter().filter(|line| line.event == "failed");
    let failures = failures.map(|line| format!("{} ({})", line.get("from"), line.get("status")));
    let failures = failures.collect::<Vec<_>>();
    let mut text = format!(
        "Refused with {} after {} ms: {reason}.",
        last.get("status"),
        last.number("after_ms")
    );
    if !failures.is_empty() {
        text.push_str(&format!(" Sent before to {}.", failures.join(", ")));
    }
    text.push_str(&load_time(story, model));
    text
}

fn served(last: &Line, own: &[&Line], story: &[Line]) -> String {
    let sent = own.iter().rev().find(|line| line.event == "sent");
    let waited = sent.map_or(0, |line| line.number("waited_ms"));
    let (head, took) = (last.number("head_ms"), last.number("took_ms"));
    let most = if waited >= head { "waiting at the entry" } else { "waiting for its first byte" };
    let model = sent.map_or("", |line| line.get("model"));
    let mut text = format!(
        "Served whole in {took} ms: {waited} ms until it was sent, {head} ms to the first byte; \
         before that byte most went on {most}."
    );
    if waited > head {
        text.push_str(&load_time(story, model));
    }
    text
}

/// How long the orders for a model took, if any ended.
fn load_time(story: &[Line], model: &str) -> String {
    let loads = story.iter().filter(|line| {
        line.event == "order_ended" && line.get("model") == model && line.get("adapter").is_empty()
    });
    let last = loads.rev().find(|line| line.get("done") == "true");
    last.map_or(String::new(), |line| {
        format!(
            " The last order for {model}, at {}, took {} ms.",
            line.source,
            line.number("took_ms")
        )
    })
}
