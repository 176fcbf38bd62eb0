//! Interned names of one process, shared by all catalogues that it compiles.

use citronrill_base::{EndpointKey, ModelKey, Names, OrgKey, ServiceKey};

/// Interned names that stay valid across configuration versions.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    /// Models and adapters.
    pub models: Names<ModelKey>,
    /// Endpoints.
    pub endpoints: Names<EndpointKey>,
    /// Organisations.
    pub organisations: Names<OrgKey>,
    /// Services.
    pub services: Names<ServiceKey>,
}
