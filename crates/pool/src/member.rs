//! The platform's member list of instances.

use std::net::SocketAddr;

use crate::{incarnation::StartTime, store_version::StoreVersion};

/// One endpoint as the member list describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The endpoint's name; its next incarnation may have the same.
    pub instance: String,
    /// When the current incarnation started, if reported.
    pub started: Option<StartTime>,
    /// The service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The version of its software.
    pub software: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// Models with cached weights in the instance's memory.
    pub in_memory: Vec<String>,
    /// Models with cached weights on the instance's disk.
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

/// Changes of the member list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MemberChange {
    /// Whether `rows` is the complete list, so that endpoints not in it are gone.
    pub complete: bool,
    /// The list's version after the change.
    pub version: StoreVersion,
    /// Instances by name; `None` if the instance is gone.
    pub rows: Vec<(String, Option<Member>)>,
}

/// Returns the name of a model or of one of its adapters; `adapter` is empty for the model itself.
pub(crate) fn full_name(model: &str, adapter: &str) -> String {
    if adapter.is_empty() { model.to_owned() } else { format!("{model}/{adapter}") }
}
