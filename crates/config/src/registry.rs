//! Interned names of one process, shared by all catalogues that it compiles.

use citronrill_base::{EndpointKey, Interner, ModelKey, OrgKey, ServiceKey};

/// Interned names that stay valid across configuration versions.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    /// Models and adapters.
    pub models: Interner<ModelKey>,
    /// Endpoints.
    pub endpoints: Interner<EndpointKey>,
    /// Organisations.
    pub organisations: Interner<OrgKey>,
    /// Services.
    pub services: Interner<ServiceKey>,
}
