//! How a request is refused, in stable words.

use serde::Serialize;

/// Whether the call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
    /// It ran, or its answer was cut.
    Yes,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalKind {
    /// No organisation has this API key.
    Unauthorised,
    /// The caller's organisation has no such model.
    UnknownModel,
    /// The caller's organisation has no such service.
    UnknownService,
    /// Too many requests wait for the model.
    QueueFull,
    /// The process holds too many requests, or its retry budget is used up.
    Overloaded,
    /// It could not be served before its deadline.
    TooLate,
    /// Its deadline has passed.
    Expired,
    /// The organisation's share of the pool is in use.
    ShareUsed,
    /// No endpoint has room.
    PoolFull,
    /// The model is not loaded, and nothing can be decided while the platform's table is away.
    StoreDown,
    /// The model could not be loaded.
    LoadFailed,
    /// The process is being stopped.
    Draining,
    /// The text no longer has the model or service.
    Removed,
    /// The connection to the endpoint was lost after the call was sent.
    Lost,
    /// Another request with the same idempotency key may be running.
    InFlight,
    /// The first answer under the idempotency key is too large to repeat.
    AnswerLarge,
    /// The idempotency key was used with another body.
    KeyReused,
}

impl RefusalKind {
    /// The stable word.
    pub fn word(self) -> &'static str {
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
            RefusalKind::Removed => "removed",
            RefusalKind::Lost => "connection-lost",
            RefusalKind::InFlight => "in-flight",
            RefusalKind::AnswerLarge => "answer-too-large",
            RefusalKind::KeyReused => "idempotency-key-reused",
        }
    }

    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            RefusalKind::Unauthorised => 401,
            RefusalKind::UnknownModel | RefusalKind::UnknownService | RefusalKind::Removed => 404,
            RefusalKind::InFlight | RefusalKind::AnswerLarge => 409,
            RefusalKind::KeyReused => 422,
            RefusalKind::QueueFull | RefusalKind::Overloaded | RefusalKind::ShareUsed => 429,
            RefusalKind::Lost => 502,
            RefusalKind::Expired => 504,
            RefusalKind::TooLate
            | RefusalKind::PoolFull
            | RefusalKind::StoreDown
            | RefusalKind::LoadFailed
            | RefusalKind::Draining => 503,
        }
    }
}

/// A final answer that is not the call's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether the call ran.
    pub ran: Ran,
    /// When to come back, in milliseconds, where a retry makes sense.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a call that did not run.
    pub fn not_run(kind: RefusalKind) -> Refusal {
        Refusal { kind, ran: Ran::No, retry_ms: None }
    }

    /// Says when to come back.
    pub fn retry_in(self, millis: u64) -> Refusal {
        Refusal { retry_ms: Some(millis), ..self }
    }
}
