//! Refusals of requests, with stable names and HTTP statuses.

use serde::Serialize;

/// Whether a call was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The call did not run and will not.
    No,
    /// The call may have run.
    Unknown,
    /// The call ran, possibly with a truncated answer.
    Yes,
}

/// Reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalKind {
    /// No organisation has this API key.
    Unauthorised,
    /// The caller's organisation has no such model.
    UnknownModel,
    /// The caller's organisation has no such service.
    UnknownService,
    /// Too many requests are waiting for the model.
    QueueFull,
    /// The process holds too many requests, or its retry budget is used up.
    Overloaded,
    /// The request could not be served before its deadline.
    TooLate,
    /// The deadline has passed.
    Expired,
    /// The organisation's share of the pool is in use.
    ShareUsed,
    /// No endpoint has room.
    PoolFull,
    /// The platform table is unavailable, so the load of the model cannot be decided or the call
    /// cannot be claimed.
    StoreDown,
    /// The model could not be loaded.
    LoadFailed,
    /// The process is draining.
    Draining,
    /// The configuration no longer has the model or service.
    NoLongerConfigured,
    /// The connection to the endpoint was lost after the call was sent.
    ConnectionLost,
    /// Another request with the same idempotency key may be running.
    InFlight,
    /// The first answer under the idempotency key is too large to replay.
    AnswerTooLarge,
    /// The idempotency key was used with another request body.
    KeyReused,
}

impl RefusalKind {
    /// Returns the stable name.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalKind::Unauthorised => "unauthorised",
            RefusalKind::UnknownModel => "unknown-model",
            RefusalKind::UnknownService => "unknown-service",
            RefusalKind::QueueFull => "queue-full",
            RefusalKind::Overloaded => "overloaded",
            RefusalKind::TooLate => "too-late",
            RefusalKind::Expired => "deadline-expired",
            RefusalKind::ShareUsed => "share-used",
            RefusalKind::PoolFull => "pool-full",
            RefusalKind::StoreDown => "store-down",
            RefusalKind::LoadFailed => "load-failed",
            RefusalKind::Draining => "draining",
            RefusalKind::NoLongerConfigured => "removed",
            RefusalKind::ConnectionLost => "connection-lost",
            RefusalKind::InFlight => "in-flight",
            RefusalKind::AnswerTooLarge => "answer-too-large",
            RefusalKind::KeyReused => "idempotency-key-reused",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            RefusalKind::Unauthorised => 401,
            RefusalKind::UnknownModel
            | RefusalKind::UnknownService
            | RefusalKind::NoLongerConfigured => 404,
            RefusalKind::InFlight | RefusalKind::AnswerTooLarge => 409,
            RefusalKind::KeyReused => 422,
            RefusalKind::QueueFull | RefusalKind::Overloaded | RefusalKind::ShareUsed => 429,
            RefusalKind::ConnectionLost => 502,
            RefusalKind::Expired => 504,
            RefusalKind::TooLate
            | RefusalKind::PoolFull
            | RefusalKind::StoreDown
            | RefusalKind::LoadFailed
            | RefusalKind::Draining => 503,
        }
    }
}

/// A final answer that reports why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether the call ran.
    pub ran: Ran,
    /// Delay after which a retry makes sense, in milliseconds.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a call that did not run.
    pub fn not_run(kind: RefusalKind) -> Refusal {
        Refusal { kind, ran: Ran::No, retry_ms: None }
    }

    /// Sets the delay before a retry.
    pub fn retry_in(self, millis: u64) -> Refusal {
        Refusal { retry_ms: Some(millis), ..self }
    }
}
