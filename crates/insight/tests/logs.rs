//! Parsing, explaining and drawing of log lines.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use citronrill_insight::{Line, Log, ReportError, explain, report};
use rstest::rstest;

/// A log collector may put text before a line; values that contain spaces are quoted.
#[test]
fn log_line_is_parsed() {
    let line =
        Line::parse("e", "1.5 host time=17 level=info event=send_failed id=a error=\"no way\"");
    let line = line.unwrap();
    assert_eq!((line.time, line.event.as_str(), line.get("error")), (17, "send_failed", "no way"));
    assert_eq!(line.other_fields().collect::<Vec<_>>(), [("id", "a"), ("error", "no way")]);
    assert_eq!(Line::parse("e", "some words, a=b"), None);
}

const ENTRY: &str = "\
time=1000 event=want model=m9 adapter= at=i-2 victims=m1 rates=0.10 waiting=1 sequence=6
time=2113 event=sent id=late to=i-2 model=m9 waited_ms=1113 load=3 list=22 sequence=8
time=2900 event=finished id=late from=i-2 complete=true head_ms=40 took_ms=1900
time=3000 event=sent id=cut to=i-2 model=m9 waited_ms=0 load=3 list=22 sequence=8
time=3500 event=finished id=cut from=i-2 complete=false head_ms=20 took_ms=500
time=4000 event=failed id=gone from=i-3 status=0 ran=false sends=1 barred=false
time=4100 event=refused id=gone reason=too_far status=503 model=m9 after_ms=400 sends=1 runs=0 text=4 list=85
time=5000 event=sent id=first to=i-2 software=v1 model=m9 waited_ms=0 load=3 list=22 sequence=8
time=5300 event=stream_reconnected id=second first_attempt=first software=v1 source=side
time=5301 event=sent id=second to=i-4 software=v1 model=m9 waited_ms=1 load=3 list=22 sequence=8
time=5600 event=refused id=third reason=version_gone status=503 model=m9 after_ms=2 sends=0 runs=0 text=4 list=85 first_attempt=first
time=6100 event=over_share service=plain org=large within=0.250
time=6101 event=over_share service=plain org=other within=0.800
time=6102 event=shares_alone silent_ms=1500
time=6200 event=refused id=shared over_share=true reason=full status=503 org=large model= after_ms=0 sends=0 runs=0 text=4 list=85
time=6210 event=refused id=within reason=full status=503 org=small model= after_ms=0 sends=0 runs=0 text=4 list=85
time=9000 event=want model=other adapter= at=i-2 victims= rates= waiting=1 sequence=6
";
const SIDE: &str = "\
time=1001 event=planned model=m9 adapter= victims=m1 before=0 waiting=1
time=1015 event=order order=7 kind=unload model=m1 adapter= wanted=m9 waiting=1 sequence=6 age_ms=2
time=1090 event=order order=8 kind=load model=m9 adapter= wanted=m9 waiting=1 sequence=7 age_ms=0
time=2110 event=order_ended order=8 model=m9 adapter= done=true sequence=8 took_ms=1020
time=3490 event=endpoint_restarted instance=i-2 sequence=0
";

fn log() -> Log {
    let mut log = Log::default();
    log.add("side", SIDE);
    log.add("entry", ENTRY);
    log
}

/// An on-call engineer has only an id and the log files. The explanation must contain the decisions
/// about the request, their inputs and a summary, and no lines about other models.
#[rstest]
#[case("late", "1113 ms until it was dispatched", "took 1020 ms", 7)]
#[case("cut", "Aborted: endpoint i-2", "500 ms after", 8)]
#[case("gone", "Refused with 503 after 400 ms: m9 could not be loaded in time", "i-3 (0)", 7)]
#[case("third", "Refused with 503 after 2 ms", "the stream that attempt first began", 9)]
#[case("first", "Unfinished", "the last event is sent", 10)]
fn explanation_contains_the_cause(
    #[case] id: &str,
    #[case] outcome: &str,
    #[case] cause: &str,
    #[case] lines: usize,
) {
    let explanation = explain(&log(), id).unwrap();
    assert!(explanation.summary().contains(outcome), "{}", explanation.summary());
    assert!(explanation.summary().contains(cause), "{}", explanation.summary());
    assert_eq!(explanation.lines().len(), lines, "{explanation}");
    assert!(explanation.lines().is_sorted_by_key(|line| line.time));
    assert!(explanation.to_string().contains("wanted=m9"));
}

/// Guards against a refusal that looks like one for lack of room although its organisation was over its
/// share, and against lines about other organisations.
#[rstest]
#[case("shared", "organisation large was over its share of the service, and no slot was free", 3)]
#[case("within", "every endpoint that could run it was full", 1)]
fn refusal_over_a_share_is_explained(#[case] id: &str, #[case] reason: &str, #[case] lines: usize) {
    let explanation = explain(&log(), id).unwrap();
    assert!(explanation.summary().contains(reason), "{}", explanation.summary());
    assert_eq!(explanation.lines().len(), lines, "{explanation}");
}

#[test]
fn unknown_id_has_no_explanation() {
    assert!(explain(&log(), "nobody").is_none());
}

/// The picture is complete and has every curve; a log without times cannot be drawn.
#[test]
fn report_contains_every_curve() {
    let svg = report(&log()).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    for name in ["refused", "waited at the entry", "ended after more than 3 s", "changed"] {
        assert!(svg.contains(name), "{name}");
    }
    assert!(matches!(report(&Log::default()), Err(ReportError::NoTimes)));
}

/// A request that waits for a model from the weight store is explained by the grant of its load, too.
#[test]
fn explanation_contains_the_grant_of_a_store_load() {
    let mut log = log();
    log.add("owner", "time=990 event=store_load_granted model=m9 grant=4 to=link-3 rank=0\n");
    let explanation = explain(&log, "late").unwrap();
    assert!(explanation.lines().iter().any(|line| line.event == "store_load_granted"));
}
