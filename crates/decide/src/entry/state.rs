//! What others may ask of the entry's reducer: for dumps, tests and the lab.

use citronrill_config::Catalogue;

use super::{Entry, queue::WaitQueue};
use crate::{feed::Feed, view::View};

impl Entry {
    /// The version of the text in force here.
    pub fn version(&self) -> u64 {
        self.catalogue.version
    }

    /// Whether the table itself has confirmed what is known, and not only a peer.
    pub fn confirmed(&self) -> bool {
        self.text.confirmed
    }

    /// The text in force.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The whole text in force.
    pub fn text(&self) -> &str {
        &self.text.text
    }

    /// What is known of the table.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The feed of the table's changes.
    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests that stand in a queue.
    pub fn waiting_requests(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum()
    }

    /// Models whose home this process believes to be.
    pub fn home_models(&self) -> usize {
        self.homes.len()
    }

    /// Whether new requests are taken.
    pub fn ready(&self) -> bool {
        !self.draining && self.catalogue.version > 0
    }

    /// Whether the table answered last.
    pub fn store_is_up(&self) -> bool {
        self.store_up
    }
}
