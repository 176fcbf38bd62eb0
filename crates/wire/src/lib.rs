//! Messages between the processes of a citronrill deployment.
//!
//! Frames are length-delimited `prost` messages over TCP. The codec works on a buffer and needs no
//! async runtime, so that blocking threads can use it. Two processes authenticate each other with the
//! deployment's shared secret before either accepts any other frame.

mod codec;
mod credit;
mod frames;
mod handshake;
mod pool;
mod shares;
mod store_loads;
mod streams;
mod suspects;

pub use crate::{
    codec::{FRAME_LIMIT, FrameReader, WireError, encode},
    credit::{Credit, CreditReply, CreditReport, EndpointLimit, LimitUse},
    frames::{
        Accepted, Body, BodyAck, Call, Cancel, Cancelled, ConfigReply, ConfigRequest, Declined,
        Demand, DemandReply, Dump, DumpReply, FeedPull, FeedRow, FeedRows, Frame, Header, Hello,
        Ping, Pong, Proof, ResponseAck, ResponseEnd, ResponseHead, ResponsePart, Resume,
        RowChanged, frame::Kind,
    },
    handshake::{Handshake, Identity, Peer, PeerRole},
    pool::{
        ConfigChunk, ConfigChunkRequest, ConfigVersion, EncodedConfig, LoadRequest, MemberRow,
        ModelName, ModelRate, ModelState, PoolFrame, PoolKind, Probe, ProbeReply, SideState,
        Snapshot, UsageReport,
    },
    shares::{
        OrganisationDemand, OverShare, ServiceDemand, ServiceShares, ShareKind, ShareMessage,
        ShareReply, ShareReport,
    },
    store_loads::{
        StoreLoadGrant, StoreLoadKind, StoreLoadMessage, StoreLoadReply, StoreLoadReport,
        StoreLoadSeen, StoreWant,
    },
    streams::{
        StreamKind, StreamMessage, StreamOrigin, StreamQuery, StreamReply, StreamsBegun,
        VersionsMixed,
    },
    suspects::{
        CrashRecord, QuarantineRow, SuspectCleared, SuspectKind, SuspectMessage, SuspectRecord,
        SuspectUpdate, TrialEnded, TrialReply, TrialRequest,
    },
};
