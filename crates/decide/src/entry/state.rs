//! Read access to the entry's reducer for dumps, tests and the lab.

use citronrill_config::Catalogue;

use super::{Entry, queue::WaitQueue};
use crate::{feed::Feed, view::View};

impl Entry {
    /// The version of the active configuration.
    pub fn config_version(&self) -> u64 {
        self.catalogue.version
    }

    /// Whether rows have been applied since the start while the platform table counted as up.
    /// Otherwise the known state may come only from peers during an outage.
    pub fn confirmed(&self) -> bool {
        self.config.confirmed
    }

    /// The compiled active configuration.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The source text of the active configuration.
    pub fn config_source(&self) -> &str {
        &self.config.source
    }

    /// The view of the platform table.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The feed of changes of the platform table.
    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    /// The number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of queued requests.
    pub fn waiting_requests(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum()
    }

    /// The number of models that this process coordinates in its own view.
    pub fn coordinated_models(&self) -> usize {
        self.coordinations.len()
    }

    /// Whether new requests are accepted.
    pub fn ready(&self) -> bool {
        !self.draining && self.catalogue.version > 0
    }

    /// Whether the platform table counts as up.
    pub fn store_is_up(&self) -> bool {
        self.store_up
    }
}
