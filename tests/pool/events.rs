//! Compares the table of events in the operations page with the code.

use std::{collections::BTreeSet, fs, path::Path};

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Returns all sources under a folder as one string.
fn sources(folder: &Path) -> String {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let contents = entries
        .map(|path| if path.is_dir() { sources(&path) } else { fs::read_to_string(path).unwrap() });
    contents.collect()
}

/// Returns the event name at the beginning of a string.
fn event_name(text: &str) -> String {
    text.chars().take_while(|c| c.is_ascii_lowercase() || *c == '_').collect()
}

/// Returns the events that the pool's processes log at the default level.
fn logged() -> BTreeSet<String> {
    let root = Path::new(ROOT);
    let pool_sources = sources(&root.join("crates/pool/src"));
    let pool_events = pool_sources.split("LogEvent::new(\"").skip(1).map(event_name);
    let gateway_sources = sources(&root.join("crates/gateway/src"));
    let command = fs::read_to_string(root.join("src/commands/pool.rs")).unwrap();
    let gateway_and_command = [gateway_sources, command].concat();
    let log_calls = ["log::info!(", "log::warn!(", "log::error!("].map(|call| {
        let calls = gateway_and_command.split(call).skip(1);
        let calls = calls.filter_map(|text| text.trim_start().strip_prefix("\"event="));
        calls.map(event_name).collect::<Vec<_>>()
    });
    pool_events.chain(log_calls.into_iter().flatten()).collect()
}

/// Returns the events in the first column of the page's table.
fn described() -> BTreeSet<String> {
    let page = fs::read_to_string(Path::new(ROOT).join("docs/OPERATIONS.md")).unwrap();
    let table = page.split("## From an id").next().unwrap().to_owned();
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `"));
    let names = rows.flat_map(|row| {
        let cell = row.split(" | ").next().unwrap_or("");
        cell.split(['`', ',', ' ']).map(str::to_owned).collect::<Vec<_>>()
    });
    names.filter(|name| !name.is_empty()).collect()
}

/// Guards against an outdated operations page: every logged event is in its table, and every event in
/// the table is logged.
#[test]
fn the_operations_page_lists_every_event() {
    let (logged, described) = (logged(), described());
    assert!(logged.len() > 30, "{logged:?}");
    assert_eq!(logged, described);
}
