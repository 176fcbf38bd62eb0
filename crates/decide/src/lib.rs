//! The decision logic, as pure reducers.
//!
//! [`Entry`] and [`Side`] turn events into effects. They read no clock, start no thread and draw no
//! randomness of their own: time and seeds are passed in, so that a test can drive any number of
//! them on a simulated clock.

mod call;
mod entry;
mod feed;
mod keepalive;
mod log;
mod placement;
mod refusal;
mod routing;
pub mod rows;
mod side;
mod view;

pub use crate::{
    call::{CallId, CancelAnswer, Decline, Offer},
    entry::{
        ANSWER_LIMIT, Answer, Arrival, Demand, Effect, Entry, EntryProfile, Event, Listed,
        Policies, RequestId, Wish,
    },
    feed::{Feed, FeedEffect, HOLD_MS, PAGE, POLL_MS, Page, Peer, STALE_MS, Source},
    keepalive::{
        CheapestKeep, DAY_SLOTS, FixedKeep, KeepAlive, Learned, MIN_KEEP_MS, SLOT_MS, Traffic,
        day_slot,
    },
    log::LogEvent,
    placement::{
        Ask, CheapestPlace, EmptiestPlace, NoPlace, Placement, PlacementOption, Plan, Scene,
        base_ready, fits_now, load_ms, load_txn, plan, share_part, urgency,
    },
    refusal::{Ran, Refusal, RefusalKind},
    routing::{AnyReplica, Candidate, Router, TwoChoices},
    side::{
        Admission, Calls, EngineReport, HeldModel, ORDER_TRANSIT_MS, ORDER_TTL_MS, RECORD_LIMIT,
        Side, SideEffect, SideEvent, SideProfile, VERIFY_MS,
    },
    view::{Change, Versioned, View},
};
