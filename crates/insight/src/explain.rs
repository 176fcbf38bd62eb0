//! The history of one request.

use std::{collections::BTreeSet, fmt};

use crate::line::{Line, Log};

/// Orders for a request's model are related to the request up to this many milliseconds before it
/// arrived: a load from the weight store takes six seconds.
const ORDER_WINDOW_MS: u64 = 8_000;
/// Changes of the known state are related to the request up to this many milliseconds before it
/// arrived: the member list lags by two seconds.
const STATE_WINDOW_MS: u64 = 2_500;

/// Events of sides and entries about loading and unloading models.
const ORDER_EVENTS: [&str; 11] = [
    "want",
    "want_declined",
    "planned",
    "declined",
    "order",
    "order_ended",
    "order_repeated",
    "no_room",
    "store_load_granted",
    "store_load_stuck",
    "store_grant_unused",
];
/// Events that change the known state or the log of a process and so concern all its requests.
const STATE_EVENTS: [&str; 10] = [
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
/// Events about a single endpoint.
const ENDPOINT_EVENTS: [&str; 4] =
    ["superseded", "endpoint_restarted", "endpoint_named", "report_failed"];

/// Events about the share of an organisation in a service.
const SHARE_EVENTS: [&str; 2] = ["over_share", "within_share"];
/// Events about how an entry divides shares, which concern requests over a share.
const DIVISION_EVENTS: [&str; 2] = ["shares_alone", "shares_regained"];

/// The log lines of a request, the related lines that influenced it, and a summary.
#[derive(Debug, Clone)]
pub struct Explanation {
    lines: Vec<Line>,
    arrived_ms: u64,
    summary: String,
}

impl Explanation {
    /// Returns a short text that says how the request ended and why.
    pub fn summary(&self) -> &str {
        &self.summary
    }

    /// Returns the lines, sorted by time.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let offset = line.time as i64 - self.arrived_ms as i64;
            write!(out, "{offset:>7} ms  {:<24} {:<16}", line.source, line.event)?;
            for (key, value) in line.other_fields() {
                write!(out, " {key}={value}")?;
            }
            writeln!(out)?;
        }
        writeln!(out, "\n{}", self.summary)
    }
}

/// Joins the log lines that concern the request with the id `id`; returns `None` if no line has it.
pub fn explain(log: &Log, id: &str) -> Option<Explanation> {
    let own = log.lines().iter().filter(|line| line.get("id") == id).collect::<Vec<_>>();
    let (first, ended) = (own.first()?, own.last()?.time);
    // The arrival of a request is not logged; its first line contains the time since then.
    let elapsed = ["waited_ms", "after_ms", "took_ms"].map(|key| first.number(key));
    let arrived_ms = first.time.saturating_sub(elapsed.into_iter().max().unwrap_or(0));
    let values_of = |key: &str| {
        let values = own.iter().map(|line| line.get(key)).filter(|value| !value.is_empty());
        values.collect::<BTreeSet<_>>()
    };
    let (models, mut instances) = (values_of("model"), values_of("to"));
    instances.extend(values_of("from"));
    let organisations = values_of("org");
    let over_share = own.iter().any(|line| line.get("over_share") == "true");
    let attempts = attempts_of_stream(log, id);
    let entry = &first.source;
    let is_related = |line: &&Line| {
        let in_window = |before: u64| line.time + before >= arrived_ms && line.time <= ended;
        let event = line.event.as_str();
        let concerns_model =
            models.contains(line.get("model")) || models.contains(line.get("wanted"));
        let concerns_instance = instances.contains(line.get("instance"));
        line.get("id") == id
            || attempts.contains(line.get("id"))
            || ORDER_EVENTS.contains(&event) && concerns_model && in_window(ORDER_WINDOW_MS)
            || STATE_EVENTS.contains(&event) && line.source == *entry && in_window(STATE_WINDOW_MS)
            || SHARE_EVENTS.contains(&event)
                && line.source == *entry
                && organisations.contains(line.get("org"))
                && in_window(STATE_WINDOW_MS)
            || over_share
                && DIVISION_EVENTS.contains(&event)
                && line.source == *entry
                && in_window(STATE_WINDOW_MS)
            || ENDPOINT_EVENTS.contains(&event) && concerns_instance && in_window(STATE_WINDOW_MS)
    };
    let lines = log.lines().iter().filter(is_related).cloned().collect::<Vec<_>>();
    let summary = summarize(&own, &lines);
    Some(Explanation { lines, arrived_ms, summary })
}

/// Returns the other attempts of a caller at the stream that attempt `id` began or took up.
fn attempts_of_stream<'a>(log: &'a Log, id: &str) -> BTreeSet<&'a str> {
    let reconnects = log.lines().iter().filter(|line| !line.get("first_attempt").is_empty());
    let own = reconnects.clone().find(|line| line.get("id") == id);
    let first = own.map_or(id, |line| line.get("first_attempt"));
    let same = reconnects.filter(|line| line.get("first_attempt") == first);
    let mut attempts = BTreeSet::new();
    for line in same {
        attempts.extend([line.get("id"), line.get("first_attempt")]);
    }
    attempts
}

fn summarize(own: &[&Line], related: &[Line]) -> String {
    let Some(last) = own.last() else { return String::new() };
    match last.event.as_str() {
        "refused" => explain_refusal(last, own, related),
        "finished" if last.get("complete") == "false" => format!(
            "Aborted: endpoint {} ended its response early, {} ms after the request arrived.",
            last.get("from"),
            last.number("took_ms")
        ),
        "finished" => explain_success(last, own, related),
        "left" => {
            format!(
                "The caller left after {} ms without a complete response.",
                last.number("after_ms")
            )
        }
        event => {
            format!("Unfinished: the last event is {event}; the end of the request was not logged.")
        }
    }
}

fn explain_refusal(last: &Line, own: &[&Line], related: &[Line]) -> String {
    let model = last.get("model");
    let reason = match last.get("reason") {
        "no_text" => "the entry had no configuration yet".to_owned(),
        "no_route" => format!("configuration {} has no route for it", last.get("text")),
        "old_text" => {
            format!(
                "configuration {} has no route, key or model for it, but it may be out of date",
                last.get("text")
            )
        }
        "no_model" => "its service has no such model".to_owned(),
        "unknown_key" => {
            format!("no organisation of configuration {} holds its key", last.get("text"))
        }
        "over_limit" => format!(
            "organisation {} is over its limit (the request counts as {} units)",
            last.get("org"),
            last.get("units")
        ),
        "limit_unknown" => {
            format!("no side told what is left of the limit of organisation {}", last.get("org"))
        }
        "no_endpoint" => format!(
            "no endpoint could load {model} (loaded on {}, cached on {}, loading on {})",
            last.get("holders"),
            last.get("copies"),
            last.get("coming")
        ),
        "full" if last.get("over_share") == "true" => format!(
            "organisation {} was over its share of the service, and no slot was free",
            last.get("org")
        ),
        "full" => "every endpoint that could run it was full".to_owned(),
        "too_far" => format!("{model} could not be loaded in time"),
        "version_unknown" => format!(
            "it reconnects to the stream that attempt {} began, at a software version that nobody knows",
            last.get("first_attempt")
        ),
        "version_gone" => format!(
            "it reconnects to the stream that attempt {} began, and no endpoint of that software version \
             can run it",
            last.get("first_attempt")
        ),
        "expired" => "its deadline passed before it could be dispatched".to_owned(),
        "stopping" => "the entry was stopping".to_owned(),
        "timed_out" => "its deadline passed, and it may have run".to_owned(),
        "broken" => "its endpoint failed, and it may have run".to_owned(),
        other => other.to_owned(),
    };
    let failures = own.iter().filter(|line| line.event == "failed");
    let failures = failures.map(|line| format!("{} ({})", line.get("from"), line.get("status")));
    let failures = failures.collect::<Vec<_>>();
    let mut summary = format!(
        "Refused with {} after {} ms: {reason}.",
        last.get("status"),
        last.number("after_ms")
    );
    if !failures.is_empty() {
        summary.push_str(&format!(" Earlier attempts failed on {}.", failures.join(", ")));
    }
    summary.push_str(&last_order_time(related, model));
    summary
}

fn explain_success(last: &Line, own: &[&Line], related: &[Line]) -> String {
    let sent = own.iter().rev().find(|line| line.event == "sent");
    let waited = sent.map_or(0, |line| line.number("waited_ms"));
    let (ttfb, took) = (last.number("head_ms"), last.number("took_ms"));
    let phase = if waited >= ttfb { "waiting at the entry" } else { "waiting for the first byte" };
    let model = sent.map_or("", |line| line.get("model"));
    let mut summary = format!(
        "Served completely in {took} ms: {waited} ms until it was dispatched, {ttfb} ms to the \
         first byte; most of the time before that byte was spent {phase}."
    );
    if waited > ttfb {
        summary.push_str(&last_order_time(related, model));
    }
    summary
}

/// Returns a sentence with the duration of the last order for a model that succeeded, if any.
fn last_order_time(related: &[Line], model: &str) -> String {
    let orders = related.iter().filter(|line| {
        line.event == "order_ended" && line.get("model") == model && line.get("adapter").is_empty()
    });
    let last = orders.rev().find(|line| line.get("done") == "true");
    last.map_or(String::new(), |line| {
        format!(
            " The last order for {model}, at {}, took {} ms.",
            line.source,
            line.number("took_ms")
        )
    })
}
