//! Number of entries in the deployment.

use std::net::IpAddr;

use citronrill_base::{Map, Millis};

/// Milliseconds for which an entry still counts after its connection fell silent: it may run on where
/// this side cannot reach it.
const MISSING_MS: u64 = 60_000;

/// The entries that a side knows of: those that are connected, and those whose connection fell silent.
#[derive(Debug, Default)]
pub struct EntryRoster {
    connected: Map<IpAddr, u32>,
    missing: Map<IpAddr, Millis>,
}

impl EntryRoster {
    /// Adds a connection of the entry on the instance with this address.
    pub fn add(&mut self, entry: IpAddr) {
        *self.connected.entry(entry).or_default() += 1;
        self.missing.remove(&entry);
    }

    /// Removes a connection. If it fell `silent`, nobody knows whether the entry has ended.
    pub fn remove(&mut self, entry: IpAddr, silent: bool, now: Millis) {
        let Some(connections) = self.connected.get_mut(&entry) else { return };
        *connections -= 1;
        if *connections > 0 {
            return;
        }
        self.connected.remove(&entry);
        self.missing.retain(|_, since| now.since(*since) < MISSING_MS);
        if silent {
            self.missing.insert(entry, now);
        }
    }

    /// Returns the number of entries.
    pub fn count(&self, now: Millis) -> u32 {
        let missing = self.missing.values().filter(|since| now.since(**since) < MISSING_MS);
        (self.connected.len() + missing.count()) as u32
    }
}
