//! What a limit applies to.

use std::sync::Arc;

use citronrill_wire::{Credit, LimitUse};

/// What a limit applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum LimitKey {
    /// The use of the organisation of this name.
    Organisation(Arc<str>),
    /// The requests to the endpoint of this instance.
    Endpoint(Arc<str>),
}

impl LimitKey {
    pub(super) fn name(&self) -> &Arc<str> {
        match self {
            LimitKey::Organisation(name) | LimitKey::Endpoint(name) => name,
        }
    }

    pub(super) fn is_endpoint(&self) -> bool {
        matches!(self, LimitKey::Endpoint(_))
    }

    fn new(name: &str, endpoint: bool) -> LimitKey {
        let name = Arc::from(name);
        if endpoint { LimitKey::Endpoint(name) } else { LimitKey::Organisation(name) }
    }
}

impl From<&LimitUse> for LimitKey {
    fn from(limit_use: &LimitUse) -> LimitKey {
        LimitKey::new(&limit_use.name, limit_use.endpoint.is_some())
    }
}

impl From<&Credit> for LimitKey {
    fn from(credit: &Credit) -> LimitKey {
        LimitKey::new(&credit.name, credit.endpoint)
    }
}
