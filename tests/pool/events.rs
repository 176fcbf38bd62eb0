//! The table of events in the operations page, held to the code.

use std::{collections::BTreeSet, fs, path::Path};

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// All sources under a folder as one text.
fn sources(folder: &Path) -> String {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let texts = entries
        .map(|path| if path.is_dir() { sources(&path) } else { fs::read_to_string(path).unwrap() });
    texts.collect()
}

/// The word at the beginning of a text.
fn word(text: &str) -> String {
    text.chars().take_while(|c| c.is_ascii_lowercase() || *c == '_').collect()
}

/// Events that the pool's processes log at the level that they start with.
fn logged() -> BTreeSet<String> {
    let root = Path::new(ROOT);
    let decisions = sources(&root.join("crates/pool/src"));
    let decided = decisions.split("LogEvent::new(\"").skip(1).map(word);
    let gateway = sources(&root.join("crates/gateway/src"));
    let command = fs::read_to_string(root.join("src/commands/pool.rs")).unwrap();
    let texts = [gateway, command].concat();
    let said = ["log::info!(", "log::warn!(", "log::error!("].map(|call| {
        let calls = texts.split(call).skip(1);
        let calls = calls.filter_map(|text| text.trim_start().strip_prefix("\"event="));
        calls.map(word).collect::<Vec<_>>()
    });
    decided.chain(said.into_iter().flatten()).collect()
}

/// Events in the first column of the page's table.
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

/// Somebody on call greps for an event that the page names and finds nothing, or finds one that it does
/// not name: each event that is logged is in the table, and each of the table's is logged.
#[test]
fn the_page_names_every_event() {
    let (logged, described) = (logged(), described());
    assert!(logged.len() > 30, "{logged:?}");
    assert_eq!(logged, described);
}
