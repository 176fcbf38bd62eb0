//! Integration tests over real sockets and through the command line, by topic.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

mod commands;
mod configuration;
mod failures;
mod path;
mod responses;
mod support;
