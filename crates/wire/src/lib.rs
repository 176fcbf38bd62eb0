//! Messages between the processes of a citronrill deployment.
//!
//! Frames are length-delimited `prost` messages over TCP. The codec works on a buffer and needs no
//! async runtime, so that blocking threads can use it. Two processes authenticate each other with the
//! deployment's shared secret before either accepts any other frame.

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
