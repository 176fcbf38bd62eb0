//! The operators' configuration and the settings: accepted inputs and error messages.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use citronrill_config::{
    Catalogue, ClientSettings, Delta, DeltaError, EntrySettings, Registry, SideSettings, digest,
};
use rstest::rstest;

const CONFIG: &str = "[pool]\nloads_second = 7\nloads_once = 4\n\
                    [organisation a]\nshare_mb = 100\n\
                    [service s]\norganisation = a\n\
                    [model m]\nservice = s\nmemory_mb = 10\nload_ms = 5\n";

fn errors(text: &str) -> String {
    Catalogue::compile("t.ini", text, 1, &mut Registry::default()).unwrap_err().to_string()
}

#[test]
fn a_valid_configuration_compiles() {
    let mut registry = Registry::default();
    let catalogue = Catalogue::compile("t.ini", CONFIG, 3, &mut registry).unwrap();
    let model = &catalogue.models[&registry.models.get("m").unwrap()];
    assert_eq!((catalogue.version, model.memory_mb, model.peak_mb), (3, 10, 10));
}

/// An operator must find the line without searching the whole configuration.
#[rstest]
#[case("stray = 1\n", "t.ini:1: stray: stands before the first [section]")]
#[case("[pool]\nloads_second = -1\n", "t.ini:2: [pool] loads_second: expected a whole number")]
#[case("[pool]\nloads_once = 4\n", "t.ini:1: [pool] loads_second: missing")]
#[case("[pool]\nspeed = 4\n", "t.ini:2: [pool] speed: unknown key")]
#[case("[wagon x]\n", "t.ini:1: [wagon x] unknown kind of section")]
#[case("[organisation]\n", "t.ini:1: [organisation] expected a name")]
#[case("[pool]\n[pool]\n", "t.ini:2: [pool] the section stands already on line 1")]
#[case("[pool]\nloads_once = 1\nloads_once = 2\n", "loads_once: the key stands already on line 2")]
#[case("[service s]\norganisation = b\n", "[service s] organisation: names organisation `b`")]
#[case("[model m]\nservice = q\n", "[model m] service: names service `q`")]
#[case("[adapter x]\nbase = q\n", "[adapter x] base: names model `q`")]
#[case("[organisation a]\nkey.1 = secret\n", "key.1: expected `sha256:` and 64 hexadecimal digits")]
#[case("[service s]\ndepends = s\n", "[service s] depends: depends on itself")]
#[case("[service s]\nkind = plain\nunrepeatable = book\n", "expected `METHOD /path`, with commas")]
#[case("", "t.ini:0: [pool] the section is missing")]
fn each_error_reports_its_place(#[case] text: &str, #[case] expected: &str) {
    let errors = errors(text);
    assert!(errors.contains(expected), "{errors}");
}

/// A value that is not a hash may be the API key itself, which must not be printed.
#[test]
fn an_unhashed_api_key_is_not_printed() {
    assert!(!errors("[organisation a]\nkey.1 = very-secret\n").contains("very-secret"));
}

/// A process that missed a version must not run a configuration that was never accepted.
#[test]
fn a_delta_applies_only_to_its_base() {
    let next = CONFIG.replace("memory_mb = 10", "memory_mb = 11") + "[endpoint e]\n";
    let delta = Delta::between(CONFIG, &next);
    assert!(delta.size() < next.len() / 2);
    assert_eq!(digest(&delta.apply(CONFIG).unwrap()), digest(&next));
    let other =
        CONFIG.replace("load_ms = 5", "load_ms = 6").replace("share_mb = 100", "share_mb = 1");
    assert_eq!(delta.apply(&other), Err(DeltaError::WrongBase));
}

const INSTANCE: &str = "[instance]\nname = i\nzone = z\nlisten = 127.0.0.1:1\nsecret = s\n";
const PLATFORM: &str =
    "[platform]\ntable = 127.0.0.1:2\nobjects = 127.0.0.1:2\ninstances = 127.0.0.1:2\n";

#[test]
fn settings_of_each_role_are_parsed() {
    let entry = format!("{INSTANCE}{PLATFORM}[entry]\nhttp = 127.0.0.1:3\n");
    assert_eq!(EntrySettings::parse("e.ini", &entry).unwrap().common.stop_s, 30);
    let side =
        format!("{INSTANCE}{PLATFORM}[side]\nendpoint = e\ntarget = 127.0.0.1:4\nmemory_mb = 9\n");
    assert_eq!(SideSettings::parse("s.ini", &side).unwrap().memory_mb, 9);
    let client = format!("{PLATFORM}[client]\nsecret = s\nhttp = 127.0.0.1:3\nkey = k\n");
    assert_eq!(ClientSettings::parse("c.ini", &client).unwrap().key, "k");
}

#[test]
fn settings_errors_report_their_place() {
    let text = format!("{INSTANCE}{PLATFORM}[entry]\nhttp = localhost:3\n");
    let errors = EntrySettings::parse("e.ini", &text).unwrap_err().to_string();
    assert!(errors.contains("e.ini:11: [entry] http: expected an IP number and port"), "{errors}");
    let errors = SideSettings::parse("s.ini", INSTANCE).unwrap_err().to_string();
    assert!(errors.contains("s.ini:0: [platform] the section is missing"), "{errors}");
}

/// The settings reference must list exactly the keys that the parser accepts.
#[test]
fn the_settings_reference_is_complete() {
    let page = include_str!("../../../docs/operators/SETTINGS.md");
    let parser = [
        include_str!("../src/settings.rs"),
        include_str!("../src/catalogue.rs"),
        include_str!("../src/pool.rs"),
    ]
    .concat();
    let quoted = |text: &str| {
        let calls = [
            "required(\"",
            "optional(\"",
            ".or(\"",
            ".list(\"",
            "maybe(&mut fields, \"",
            "required::<",
            "maybe::<",
        ];
        let mut keys = Vec::new();
        for call in calls {
            for part in text.split(call).skip(1) {
                let part = part
                    .split_once('"')
                    .map_or(part, |(first, rest)| if call.ends_with('<') { rest } else { first });
                keys.push(part.split('"').next().unwrap().to_owned());
            }
        }
        keys
    };
    for key in quoted(&parser) {
        assert!(page.contains(&format!("`{key}`")), "the page does not list `{key}`");
    }
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `")).collect::<Vec<_>>();
    assert!(rows.len() > 25);
    for row in rows {
        let key = row.split('`').next().unwrap();
        assert!(parser.contains(&format!("\"{key}\"")), "the parser does not accept `{key}`");
    }
}
