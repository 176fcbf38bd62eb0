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
        ANSWER_LIMIT, Answer, Demand, Effect, Entry, EntryProfile, Event, IncomingRequest,
        ListedInstance, Policies, RequestId, RequestTarget,
    },
    feed::{Feed, FeedEffect, HOLD_MS, PAGE_ROWS, POLL_MS, Page, Peer, STALE_MS, Source},
    keepalive::{
        DAY_SLOTS, FixedKeepAlive, KeepAlive, LowestCostKeepAlive, MIN_KEEP_MS, SLOT_MS, Traffic,
        TrafficStats, day_slot,
    },
    log::LogEvent,
    placement::{
        LowestCostPlacement, MostFreePlacement, Placement, PlacementError, PlacementInput,
        PlacementOption, Plan, ReplicaRequest, base_ready, fits_now, load_ms, load_txn, plan,
        share_part, urgency,
    },
    refusal::{Ran, Refusal, RefusalKind},
    routing::{Candidate, RandomReplica, Router, TwoChoices},
    side::{
        Admission, Calls, EngineModel, EngineReport, ORDER_TRANSIT_MS, ORDER_TTL_MS, RECORD_LIMIT,
        Side, SideEffect, SideEvent, SideProfile, VERIFY_MS,
    },
    view::{Change, Versioned, View},
};
