//! Messages between citronrill's own processes.
//!
//! Frames are length-delimited `prost` messages over TCP. The codec works on a buffer and needs no
//! runtime, so that blocking threads use it. Two processes prove to each other that they know the
//! deployment's secret before either takes any other frame.

mod codec;
mod frames;
mod handshake;
mod pool;

pub use crate::{
    codec::{FRAME_LIMIT, FrameReader, WireError, encode},
    frames::{
        Accepted, Body, BodyAck, Call, Cancel, Cancelled, Declined, Demand, Dump, DumpReply, End,
        FeedPull, FeedRow, FeedRows, Frame, Head, Header, Hello, Part, PartAck, Ping, Poke, Pong,
        Proof, Resume, TextPull, TextReply, Verdict, frame::Kind,
    },
    handshake::{Handshake, Identity, Peer, PeerRole},
    pool::{
        Alive, MemberRow, ModelName, ModelRate, ModelState, PoolFrame, PoolKind, Probe, SideState,
        Snapshot, TextAsk, TextCopy, TextPart, TextVersion, Usage, Want,
    },
};
