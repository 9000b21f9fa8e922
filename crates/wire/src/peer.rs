//! Messages that daemons exchange with each other: CBOR frames over websocket links.
//!
//! A frame carries any subset of its parts. Unknown parts and fields are ignored, so that daemons
//! of different versions can share a fleet. Ages are sent as durations, never as times of day.

mod codec;
mod frame;
mod hello;
mod news;

pub use {
    codec::{MAX_FRAME_BYTES, PeerCodecError, decode_frame, encode_frame},
    frame::{Heartbeat, PeerFrame, RecordListing, RecordPull, RecordStamp, RecordSummary},
    hello::{Hello, HelloProof, PEER_PROTOCOL, prove, verify},
    news::{
        AccountUse, MemberNews, MemberStamp, MemberState, News, PoisonNews, TargetHealth,
        TargetLoad, TargetNews,
    },
};
