//! An accepted configuration takes effect at every entry and is never reverted.

use citronrill_runtime::{ApplyError, ApplyOutcome, apply_config, config_head, current_config};
use serde_json::json;

use crate::support::{Clients, Deployment, config};

fn with_model(name: &str) -> String {
    format!("{}[model {name}]\nservice = chat\nmemory_mb = 100\nload_ms = 50\n", config())
}

/// Guards against lost updates: two operators edit version 1 and apply their changes concurrently.
/// The second apply is based on an outdated version. It is refused, names the winning version, and
/// changes nothing.
#[test]
fn the_loser_of_two_concurrent_applies_learns_the_winning_version() {
    let deployment = Deployment::start(2, 1);
    let clients = Clients::new(deployment.platform.address());
    let (table, objects) = (clients.table.as_ref(), clients.objects.as_ref());
    let first = apply_config(table, objects, "a.ini", &with_model("ours"), Some(1)).unwrap();
    assert_eq!(first, ApplyOutcome::Accepted { version: 2 });
    let second = apply_config(table, objects, "b.ini", &with_model("theirs"), Some(1));
    assert!(matches!(second, Err(ApplyError::Conflict { base: 1, current: 2 })), "{second:?}");
    let (_, in_force) = current_config(table, objects).unwrap();
    assert!(in_force.contains("ours") && !in_force.contains("theirs"));
    deployment.wait_until("version 2 at both entries", |deployment| {
        (0..2).all(|entry| deployment.version(entry) == Some(2))
    });
}

/// The table commits a configuration, but its confirmation is lost. The apply must still report success,
/// and repeating it must not create another version.
#[test]
fn a_lost_confirmation_is_read_back() {
    let deployment = Deployment::start(1, 1);
    let clients = Clients::new(deployment.platform.address());
    let (table, objects) = (clients.table.as_ref(), clients.objects.as_ref());
    deployment.platform.faults().lose_confirmations(1);
    let apply = || apply_config(table, objects, "a.ini", &with_model("new"), Some(1)).unwrap();
    assert_eq!(apply(), ApplyOutcome::Accepted { version: 2 });
    assert_eq!(apply(), ApplyOutcome::Accepted { version: 2 });
    assert_eq!(config_head(table).unwrap().0.version, 2);
}

/// An entry starts while the table and the object store are unavailable. It finds its peers in the
/// platform's instance list, pulls rows and configuration from one of them, and uses the highest version
/// reported. It must serve callers and report the version as not confirmed.
#[test]
fn an_entry_started_in_an_outage_bootstraps_from_peers() {
    let mut deployment = Deployment::start(2, 1);
    let (status, _) = deployment.chat(0, "north-key", "alpha", "warm", false);
    assert_eq!(status, 200);
    deployment.platform.faults().set_unavailable(true);
    deployment.add_entry(2);
    deployment.wait_until("the configuration at the new entry", |deployment| {
        deployment.version(2) == Some(1)
    });
    let (status, body) = deployment.chat(2, "north-key", "alpha", "still here", false);
    assert_eq!(status, 200, "{body}");
    assert_eq!(deployment.state(2)["ready"], json!(true));
    deployment.platform.faults().set_unavailable(false);
    deployment.wait_until("a confirmed version", |deployment| {
        deployment.state(2)["confirmed"] == json!(true)
    });
}

/// A request for a model that was removed from the configuration must be refused at once, not held until
/// its deadline.
#[test]
fn a_removed_model_is_refused_at_once() {
    let deployment = Deployment::start(1, 1);
    let clients = Clients::new(deployment.platform.address());
    let (table, objects) = (clients.table.as_ref(), clients.objects.as_ref());
    let without =
        config().replace("[adapter alpha-de]\nbase = alpha\nmemory_mb = 100\nload_ms = 60\n", "");
    apply_config(table, objects, "a.ini", &without, Some(1)).unwrap();
    deployment.wait_until("version 2", |deployment| deployment.version(0) == Some(2));
    let (status, body) = deployment.chat(0, "north-key", "alpha-de", "gone", false);
    assert_eq!(status, 404, "{body}");
}
