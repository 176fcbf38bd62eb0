//! Routing, queueing and model placement over a pool of endpoints, as pure reducers.
//!
//! [`PoolEntry`] decides for callers' requests: route, endpoint, queue, refuse, retry, request a
//! model. [`PoolSide`] decides for one endpoint which order to give next. Both take events and
//! return effects; they read no clock and draw no random number. [`ConfigFetch`] and
//! [`ConfigServer`] decide in the same way how configurations are transferred between entries and
//! sides, and [`TableFollower`] how the platform store is read. The crate is separate from `decide`
//! because nothing here is agreed through the platform table: a side is the only process that gives
//! orders to its endpoint, and entries act on views that each carry a sequence number.

mod advertised;
mod cause;
mod check_timer;
mod completed;
mod config;
mod config_transfer;
mod decaying_count;
mod delisted;
mod digest;
mod endpoint;
mod entry;
mod expected_wait;
mod incarnation;
mod limits;
mod liveness;
mod member;
mod organisation;
mod placement_plan;
mod pool;
mod prompt;
mod rate;
mod rewrite;
mod server_load;
mod shares;
mod side;
mod software;
mod store_queue;
mod store_version;
mod suspects;
mod table_follower;

pub use crate::{
    cause::Cause,
    check_timer::{CheckTimer, DueCheck},
    config::{CallerLimits, EngineSpec, ModelSpec, RetryPolicy, Route, Service, ServingConfig},
    config_transfer::{
        ConfigFetch, ConfigFetchEffect, ConfigFetchEvent, ConfigServer, ConfigSources,
        is_last_chunk,
    },
    digest::RequestDigest,
    entry::{
        Arrival, Dispatch, EndedBody, EndpointCheck, EntryEffect, EntryEvent, EntryProfile,
        FailureKind, PoolEntry, Reason, Refusal, RequestId, ResponseEnd, ResponseHead, Resume,
        SideLoss, TokenCount, Verdict, WaitCounts, classify_response,
    },
    expected_wait::{
        BadLoad, Candidate, LoadView, OwnView, WaitEstimate, WorkTime, choose_by_wait,
    },
    incarnation::StartTime,
    limits::{
        Charge, Claim, CreditIssuer, CreditLedger, EndpointRate, EntryRoster, LimitBounds,
        LimitUsage, RetryBudget, RetryCounts, Sharing, Terms,
    },
    member::{HeldModel, Member, MemberChange},
    organisation::{KeyDigest, LimitUnit, Organisation, Organisations, UsageLimit},
    placement_plan::{PlacementPlan, PlanEndpoint, PlanInput, PlanModel},
    prompt::PromptPart,
    server_load::{Pace, ServerLoad},
    shares::{ShareAccount, ShareChange, ShareDivider, water_level},
    side::{
        EngineReport, EntryLink, Order, OrderKind, OrderOutcome, PoolSide, SideEffect, SideEvent,
    },
    software::{SoftwareKey, StreamKey},
    store_queue::{StoreGrant, StoreQueue, StuckLoad},
    store_version::StoreVersion,
    table_follower::{FollowerProfile, StoreAnswer, StoreCall, StoreQuery, TableFollower},
};
