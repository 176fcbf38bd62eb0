//! API keys of organisations, over real processes.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use serde_json::{Value, json};

use crate::support::{Deployment, Request, WAIT_TIMEOUT, config};

const KEY: &str = "secret-north-1";
const NEW_KEY: &str = "secret-north-2";

fn config_with_keys(version: u64, keys: &[&str]) -> Vec<u8> {
    let mut value = serde_json::from_slice::<Value>(&config(version, &[])).unwrap();
    value["tenants"] = json!([{"name": "north", "api_keys": keys, "priority": 0}]);
    value.to_string().into_bytes()
}

/// Starts a pool with one organisation that has [`KEY`].
fn deployment() -> Deployment {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    put_keys(&pool, 2, &[KEY]);
    pool
}

/// Writes a configuration and waits until the entry and the sides have it.
fn put_keys(pool: &Deployment, version: u64, keys: &[&str]) {
    pool.store.put("op", "config", Some(config_with_keys(version, keys)));
    let applied = format!("version={version}");
    pool.wait_until("the configuration is in force", || {
        let processes = pool.sides.iter().chain([&pool.entry]);
        processes.into_iter().all(|process| process.logged(&["event=text ", &applied]))
    });
}

fn status(pool: &Deployment, id: &str, headers: &str) -> u16 {
    pool.request(&Request { headers, ..Request::call("/book/x", id) }).status
}

/// Guards against an endpoint that gets the caller's key, or the organisation that the caller names;
/// and against keys that do not follow the configuration.
#[test]
fn endpoints_learn_the_organisation_of_the_key() {
    let pool = deployment();
    let with_key = format!("X-Citronrill-Credential: {KEY}\r\nX-Citronrill-Tenant: other\r\n");
    assert_eq!(status(&pool, "id-1", &with_key), 200);
    assert_eq!(pool.ledger.last_header("x-citronrill-tenant").as_deref(), Some("north"));
    assert_eq!(pool.ledger.last_header("x-citronrill-credential"), None);
    assert_eq!(status(&pool, "id-2", ""), 401);
    put_keys(&pool, 3, &[NEW_KEY]);
    assert_eq!(status(&pool, "id-3", &with_key), 401);
    let with_new_key = format!("X-Citronrill-Credential: {NEW_KEY}\r\n");
    assert_eq!(status(&pool, "id-4", &with_new_key), 200);
    assert_eq!(pool.ledger.executed(), ["id-1", "id-4"]);
}

/// Returns all that an entry sends to a process that asks for its state and its configuration.
fn snapshot_bytes(pool: &Deployment) -> Vec<u8> {
    // A `PoolFrame` with a `ConfigChunkRequest` for version 2 from its beginning, after its length.
    const CHUNK_REQUEST: [u8; 8] = [0, 0, 0, 4, 0x42, 2, 8, 2];
    let mut stream = TcpStream::connect(pool.snapshot_address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(&CHUNK_REQUEST).unwrap();
    let mut bytes = Vec::new();
    // The entry closes the connection when nothing more is requested.
    stream.read_to_end(&mut bytes).unwrap();
    bytes
}

/// Guards against an API key in anything that a reader of logs, metrics or the traffic between
/// processes could take it from.
#[test]
fn no_process_shows_a_key() {
    let pool = deployment();
    let with_key = format!("X-Citronrill-Credential: {KEY}\r\n");
    assert_eq!(status(&pool, "id-1", &with_key), 200);
    assert_eq!(status(&pool, "id-2", "X-Citronrill-Credential: secret-unknown\r\n"), 401);
    let broken = br#"{"version":9,"routes":[],"services":[],"tenants":[{"name":"n","api_keys":"secret-9"}]}"#;
    pool.store.put("op", "config", Some(broken.to_vec()));
    pool.wait_until("the broken configuration is logged", || {
        pool.entry.logged(&["event=text_unreadable"])
    });
    for process in pool.sides.iter().chain([&pool.entry]) {
        assert!(!process.logged(&["secret-"]));
        assert!(!process.metrics().contains("secret-"));
    }
    let sent = snapshot_bytes(&pool);
    let contains = |text: &str| sent.windows(text.len()).any(|part| part == text.as_bytes());
    assert!(contains("key_digests") && contains("north"), "the configuration was sent");
    assert!(!contains("secret-"));
}
