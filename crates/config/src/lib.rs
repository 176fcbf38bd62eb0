//! The operators' configuration and the process settings.
//!
//! Both are INI. Every process and the operators' client validate a configuration with this crate:
//! what [`Catalogue::compile`] accepts needs no further checks.

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
        CallPattern, Catalogue, Class, EndpointSpec, Model, Organisation, Pool, Service,
        ServiceKind,
    },
    delta::{Delta, DeltaError, digest},
    error::{ConfigError, ConfigErrors, Problem},
    keys::{ApiKeyHash, hash_api_key},
    pool::PoolSettings,
    registry::Registry,
    settings::{ClientSettings, EntrySettings, PlatformSettings, Settings, SideKind, SideSettings},
};
