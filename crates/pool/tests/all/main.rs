//! Tests of the pool's state machines: single properties, and whole pools on virtual time.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

mod advertised;
mod collector;
mod config_transfer;
mod entry;
mod expected_wait;
mod exposure;
mod incarnation;
mod limits;
mod liveness;
mod load_priority;
mod member_list;
mod organisations;
mod overload;
mod placement;
mod placement_plan;
mod poison;
mod poison_parts;
mod preload;
mod rejoined;
mod resume;
mod retry_budget;
mod shares;
mod side;
mod simulated_loads;
mod simulation;
mod skew;
mod software;
mod stalls;
mod store_era;
mod store_era_series;
mod store_queue;
mod support;
mod suspects;
mod table_follower;
mod ticks;
mod unproven_ends;
mod waiting;
