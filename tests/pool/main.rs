//! Runs the real pool processes over sockets against stand-ins for the platform.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

mod backoff;
mod config_transfer;
mod early_responses;
mod endless;
mod endpoint_limits;
mod events;
mod expected_wait;
mod leaving;
mod life;
mod members;
mod organisations;
mod poison;
mod requests;
mod resources;
mod responses;
mod responses_spoilt;
mod resume;
mod software;
mod store_era;
mod support;
mod truncated;
