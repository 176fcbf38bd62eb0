//! Routing, queueing and model placement over a pool of endpoints, as pure reducers.
//!
//! [`PoolEntry`] decides for callers' requests: route, endpoint, queue, refuse, retry, request a
//! model. [`PoolSide`] decides for one endpoint which order to give next. Both take events and
//! return effects; they read no clock and draw no random number. [`CopyFetch`] and [`CopyServer`]
//! decide in the same way how configurations are transferred between entries and sides, and
//! [`Follow`] how the platform store is read. The crate is separate from `decide` because nothing
//! here is agreed through the platform table: a side is the only process that gives orders to its
//! endpoint, and entries act on views that each carry a sequence number.

mod budget;
mod copies;
mod endpoint;
mod entry;
mod follow;
mod liveness;
mod member;
mod pace;
mod pool;
mod rate;
mod side;
mod start;
mod tally;
mod text;

pub use crate::{
    budget::RetryBudget,
    copies::{CopyEffect, CopyEvent, CopyFetch, CopyPatience, CopyServer, is_last},
    entry::{
        AnswerHead, Arrival, EntryEffect, EntryEvent, EntryProfile, FailureKind, PoolEntry, Reason,
        Refusal, RequestId, Resume, Sending, SideLoss, TokenCount, Verdict, judge,
    },
    follow::{Follow, FollowProfile, StoreAsk, StoreCall},
    member::{HeldModel, Member, MemberChange},
    pace::{Due, Pace},
    side::{
        EngineReport, EntryLink, Order, OrderKind, OrderOutcome, PoolSide, SideEffect, SideEvent,
    },
    start::StartTime,
    text::{CallerLimits, EngineSpec, ModelSpec, Repeat, Route, Service, ServingText},
};
