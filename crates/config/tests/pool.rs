//! Settings of the processes of a pool.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use citronrill_config::PoolSettings;
use rstest::rstest;

fn settings(recover: &str) -> String {
    format!(
        "[process]\nname = entry-a\nzone = a\nstop_s = 4\n[platform]\nstore = 127.0.0.1:1\n{recover}\
         [endpoint]\n[retry]\nratio = 0.2\nslack = 50\nwindow_s = 10\n\
         [listen]\npeers = 127.0.0.1:2\nmetrics = 127.0.0.1:3\n"
    )
}

/// Guards against a process that does not start because its template left the value empty.
#[rstest]
#[case::named("recover_ms = 5000\n", 5_000)]
#[case::left_empty("recover_ms =\n", 3_000)]
#[case::left_out("", 3_000)]
fn recover_ms_has_a_default(#[case] line: &str, #[case] expected: u64) {
    let read = PoolSettings::parse("entry.ini", &settings(line)).unwrap();
    assert_eq!(read.recover_ms, expected);
}

/// Guards against an invalid number that is silently ignored.
#[test]
fn an_invalid_recover_ms_is_reported() {
    let errors = PoolSettings::parse("entry.ini", &settings("recover_ms = soon\n")).unwrap_err();
    assert!(errors.to_string().contains("recover_ms"), "{errors}");
}

/// Guards against a process that does not start without the section, or with an empty list.
#[rstest]
#[case::left_out("", &[])]
#[case::left_empty("[scheduling]\nrules =\n", &[])]
#[case::named("[scheduling]\nrules = base, fleet,drain\n", &["base", "fleet", "drain"])]
fn rules_in_force_are_optional(#[case] section: &str, #[case] expected: &[&str]) {
    let text = settings("") + section;
    assert_eq!(PoolSettings::parse("entry.ini", &text).unwrap().rules, expected);
}
