//! The decisions, as pure reducers.
//!
//! [`Entry`] and [`Side`] take events and give effects. They read no clock, hold no thread and draw
//! no random number of their own: time and seeds come in with the events, so that a test bench can
//! drive any number of them on its own clock.

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
        Ask, CheapestPlace, EmptiestPlace, NoPlace, Place, Placement, Plan, Scene, base_ready,
        fits_now, load_ms, load_txn, plan, share_part, urgency,
    },
    refusal::{Ran, Refusal, RefusalKind},
    routing::{AnyReplica, Candidate, Router, TwoChoices},
    side::{
        Admission, Calls, EngineReport, HeldModel, ORDER_TRANSIT_MS, ORDER_TTL_MS, RECORD_LIMIT,
        Side, SideEffect, SideEvent, SideProfile, VERIFY_MS,
    },
    view::{Change, Held, View},
};
