//! Data types of calls that entries and sides exchange.

use citronrill_config::Class;

/// Globally unique id of an attempt at a call: the entry's session and a number that the entry
/// never reuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    /// Random number drawn when the entry process starts.
    pub session: u64,
    /// Counter of the entry's attempts.
    pub number: u64,
}

/// A call offered to a side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The attempt's id.
    pub id: CallId,
    /// The model's name; empty for a plain service.
    pub model: String,
    /// The caller's organisation.
    pub org: String,
    /// Priority class.
    pub class: Class,
    /// Session of the side process that the call is meant for; any other process declines it.
    pub session: u64,
    /// Time on that side process's clock, in milliseconds, after which the call must not start.
    pub expires: u64,
}

/// Reason why a call was declined. A declined call has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decline {
    /// All slots open to the call's class and organisation are taken, or the call records are full.
    Busy,
    /// The endpoint accepts no new calls.
    Leaving,
    /// The model is not ready on this endpoint.
    NotLoaded,
    /// The call arrived after its expiry.
    Expired,
    /// The call was meant for another side process.
    OtherSession,
    /// The call was cancelled before it arrived.
    Cancelled,
    /// The endpoint behind the side accepts no connection.
    EndpointDown,
}

impl Decline {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Decline::Busy => "busy",
            Decline::Leaving => "leaving",
            Decline::NotLoaded => "not-loaded",
            Decline::Expired => "expired",
            Decline::OtherSession => "other-session",
            Decline::Cancelled => "cancelled",
            Decline::EndpointDown => "endpoint-down",
        }
    }
}

impl Decline {
    const ALL: [Decline; 7] = [
        Decline::Busy,
        Decline::Leaving,
        Decline::NotLoaded,
        Decline::Expired,
        Decline::OtherSession,
        Decline::Cancelled,
        Decline::EndpointDown,
    ];

    /// Returns the code used in messages between processes.
    pub fn code(self) -> u32 {
        Self::ALL.iter().position(|reason| *reason == self).unwrap_or(0) as u32
    }

    /// Returns the reason for a code; `None` for a code of a later release.
    pub fn from_code(code: u32) -> Option<Decline> {
        Self::ALL.get(code as usize).copied()
    }
}

/// A side's answer to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The call did not run and will not.
    NotRun,
    /// The call has begun; it is being aborted.
    Ran,
    /// The side cannot tell whether the call ran or will run.
    Unknown,
}
