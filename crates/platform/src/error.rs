//! Errors of the platform clients.

use citronrill_http::client::ClientError;
use thiserror::Error;

/// Why a request to a platform service failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// Connecting failed, the connection broke, or no response arrived in time.
    #[error("request failed: {0}")]
    Transport(#[from] ClientError),
    /// The connection broke while the response was being read.
    #[error("response truncated: {0}")]
    Truncated(#[from] std::io::Error),
    /// The service responded with an error status.
    #[error("the service responded with status {0}")]
    Status(u16),
    /// The response is not a valid protobuf message.
    #[error("invalid response: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The response is not the expected JSON.
    #[error("invalid response: {0}")]
    Json(#[from] serde_json::Error),
    /// The service is unavailable, for example because a test switched it off.
    #[error("the service is unavailable")]
    Unavailable,
}
