//! The names of one process: every catalogue is compiled against the same tables.

use citronrill_base::{EndpointKey, ModelKey, Names, OrgKey, ServiceKey};

/// Interned names that outlive any one version of the text.
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
