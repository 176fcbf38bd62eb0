//! The operators' text and the process settings.
//!
//! Both are INI. This crate exists so that every process and the operators' client check a text in
//! the same way: whatever [`Catalogue::compile`] accepts can be acted on without further checks.

mod catalogue;
mod delta;
mod error;
mod fields;
mod ini;
mod keys;
mod pool;
mod registry;
mod settings;

pub use crate::{
    catalogue::{
        Catalogue, Class, EndpointSpec, Method, Model, Organisation, Pool, Service, ServiceKind,
    },
    delta::{Delta, DeltaError, digest},
    error::{ConfigError, ConfigErrors, Problem},
    keys::{ApiKeyHash, hash_api_key},
    pool::PoolSettings,
    registry::Registry,
    settings::{ClientSettings, EntrySettings, PlatformSettings, Settings, SideKind, SideSettings},
};
