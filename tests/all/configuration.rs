//! A configuration that is accepted holds everywhere and never reverts.

use citronrill_runtime::{Applied, ApplyError, apply_text, current_text, head};
use serde_json::json;

use crate::support::{Clients, Deployment, text};

fn with_model(name: &str) -> String {
    format!("{}[model {name}]\nservice = chat\nmemory_mb = 100\nload_ms = 50\n", text())
}

/// Two operators change the same text; the slower one must not undo the other's change.
///
/// Both take version 1 and offer theirs. The second offer is made from a version that is no longer
/// in force: it is refused, names the winner, and changes nothing.
#[test]
fn of_two_racing_operators_one_is_told_who_won() {
    let it = Deployment::start(2, 1);
    let clients = Clients::new(it.platform.address());
    let (table, objects) = (clients.table.as_ref(), clients.objects.as_ref());
    let first = apply_text(table, objects, "a.ini", &with_model("ours"), Some(1)).unwrap();
    assert_eq!(first, Applied::Accepted { version: 2 });
    let second = apply_text(table, objects, "b.ini", &with_model("theirs"), Some(1));
    assert!(matches!(second, Err(ApplyError::Lost { base: 1, winner: 2 })), "{second:?}");
    let (_, in_force) = current_text(table, objects).unwrap();
    assert!(in_force.contains("ours") && !in_force.contains("theirs"));
    it.wait("version 2 at both entries", |it| (0..2).all(|entry| it.version(entry) == Some(2)));
}

/// The table takes an offer and its confirmation is lost; the operator must not be told that it
/// failed, and a repeat must not become a version of its own.
#[test]
fn a_lost_confirmation_is_read_back() {
    let it = Deployment::start(1, 1);
    let clients = Clients::new(it.platform.address());
    let (table, objects) = (clients.table.as_ref(), clients.objects.as_ref());
    it.platform.faults().lose_confirmations(1);
    let offer = || apply_text(table, objects, "a.ini", &with_model("new"), Some(1)).unwrap();
    assert_eq!(offer(), Applied::Accepted { version: 2 });
    assert_eq!(offer(), Applied::Accepted { version: 2 });
    assert_eq!(head(table).unwrap().0.version, 2);
}

/// An entry starts while the table and the object store are away; callers of what is in force must
/// be served all the same, and the operators see that the version is not confirmed.
///
/// The process finds its peers by the platform's list, pulls the rows and the text from one of
/// them, and takes the highest version it is told of.
#[test]
fn an_entry_that_starts_in_an_outage_asks_its_peers() {
    let mut it = Deployment::start(2, 1);
    let (status, _) = it.chat(0, "north-key", "alpha", "warm", false);
    assert_eq!(status, 200);
    it.platform.faults().set_away(true);
    it.add_entry(2);
    it.wait("the text at the new entry", |it| it.version(2) == Some(1));
    let (status, body) = it.chat(2, "north-key", "alpha", "still here", false);
    assert_eq!(status, 200, "{body}");
    assert_eq!(it.state(2)["ready"], json!(true));
    it.platform.faults().set_away(false);
    it.wait("a confirmed version", |it| it.state(2)["confirmed"] == json!(true));
}

/// A caller waits for a model that an operator takes out of the text; it must be told so, and not
/// wait for its deadline.
#[test]
fn a_removed_model_is_refused_at_once() {
    let it = Deployment::start(1, 1);
    let clients = Clients::new(it.platform.address());
    let (table, objects) = (clients.table.as_ref(), clients.objects.as_ref());
    let without =
        text().replace("[adapter alpha-de]\nbase = alpha\nmemory_mb = 100\nload_ms = 60\n", "");
    apply_text(table, objects, "a.ini", &without, Some(1)).unwrap();
    it.wait("version 2", |it| it.version(0) == Some(2));
    let (status, body) = it.chat(0, "north-key", "alpha-de", "gone", false);
    assert_eq!(status, 404, "{body}");
}
