//! The pool's processes, run for real over sockets against stand-ins of the users' platform.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

mod answers;
mod events;
mod life;
mod members;
mod requests;
mod resume;
mod support;
mod texts;
