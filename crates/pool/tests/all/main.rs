//! Tests of the pool's state machines: single properties, and whole pools on virtual time.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

mod budget;
mod copies;
mod entry;
mod follow;
mod load;
mod missed;
mod overload;
mod pace;
mod placement;
mod resume;
mod side;
mod standstill;
mod start;
mod stock;
mod support;
mod unconfirmed;
mod waiting;
mod world;
