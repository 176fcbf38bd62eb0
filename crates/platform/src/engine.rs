//! Client of a model engine's control interface.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    PlatformError,
    client::{MAX_RESPONSE_BYTES, call, checked},
};

/// Read timeout of an order's connection; the response arrives when the load or unload has finished.
const ORDER_READ_TIMEOUT: Duration = Duration::from_secs(600);

/// A model that an engine has loaded or is loading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineModel {
    /// The model's name.
    pub model: String,
    /// Whether the model is ready to serve; otherwise it is loading.
    pub ready: bool,
    /// Memory that the model uses, in MB.
    pub memory_mb: u64,
}

/// A model whose weights an engine has cached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCache {
    /// The model's name.
    pub model: String,
    /// Whether the weights are cached in RAM, not only on disk.
    pub ram: bool,
}

/// State that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineState {
    /// Models that are loaded or loading.
    pub held: Vec<EngineModel>,
    /// Models with cached weights.
    pub cached: Vec<EngineCache>,
}

/// An order to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The order's id; the engine executes orders with the same id only once.
    pub order: u64,
    /// The model's name.
    pub model: String,
    /// The base model's name, for an adapter.
    pub base: String,
    /// The fencing token.
    pub fence: u64,
    /// Memory that the loaded model uses, in MB.
    pub memory_mb: u64,
    /// Memory that the model uses while loading, in MB.
    pub peak_mb: u64,
}

/// An order to unload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// The order's id.
    pub order: u64,
    /// The model's name.
    pub model: String,
    /// The fencing token.
    pub fence: u64,
}

/// A client of a model engine.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    address: SocketAddr,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> HttpEngine {
        HttpEngine { address }
    }

    /// Returns the engine's state.
    ///
    /// # Errors
    /// The engine did not respond in time or responded with an error.
    pub fn state(&self) -> Result<EngineState, PlatformError> {
        let response = call("GET", self.address, "/control/state").send(&mut [].as_slice())?;
        Ok(serde_json::from_slice(&checked(response)?.into_text(MAX_RESPONSE_BYTES)?)?)
    }

    /// Orders a load and waits until it has finished.
    ///
    /// # Errors
    /// [`PlatformError::Status`] if the engine refused or failed the order; after any other error the
    /// outcome is unknown.
    pub fn load(&self, order: &LoadOrder) -> Result<(), PlatformError> {
        self.order("load", order)
    }

    /// Orders an unload and waits until it has finished.
    ///
    /// # Errors
    /// [`PlatformError::Status`] if the engine refused or failed the order; after any other error the
    /// outcome is unknown.
    pub fn unload(&self, order: &UnloadOrder) -> Result<(), PlatformError> {
        self.order("unload", order)
    }

    fn order<O: Serialize>(&self, action: &str, order: &O) -> Result<(), PlatformError> {
        let path = format!("/control/{action}");
        let order = serde_json::to_vec(order)?;
        let call = call("POST", self.address, &path).read_timeout(ORDER_READ_TIMEOUT);
        let call = call.header("Content-Type", "application/json");
        checked(call.send(&mut order.as_slice())?).map(drop)
    }
}
