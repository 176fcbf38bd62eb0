//! What is known of the endpoints: the platform's list of instances.

use std::net::SocketAddr;

use crate::start::StartTime;

/// One endpoint as the platform's list describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The endpoint's name; its next start may have the same.
    pub instance: String,
    /// When this start began, if it says.
    pub started: Option<StartTime>,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// Models with a copy in the instance's memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on the instance's disk.
    pub on_disk: Vec<String>,
}

/// One model that an endpoint holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeldModel {
    /// The model's name.
    pub name: String,
    /// Its adapters, by their own names.
    pub adapters: Vec<String>,
}

/// Changes of the list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MemberChange {
    /// Whether `rows` is the whole list, so that whoever is missing is gone.
    pub whole: bool,
    /// The list's version after the change.
    pub version: u64,
    /// Instances by name; `None` where one is gone.
    pub rows: Vec<(String, Option<Member>)>,
}

/// The name of a model, or of an adapter of it; `adapter` is empty for the model itself.
pub(crate) fn full_name(model: &str, adapter: &str) -> String {
    if adapter.is_empty() { model.to_owned() } else { format!("{model}/{adapter}") }
}
