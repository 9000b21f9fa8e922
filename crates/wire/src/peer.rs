//! What daemons say to each other: CBOR frames over websocket links.
//!
//! A frame carries any of its parts; a part or field that a daemon doesn't know is passed over,
//! so that versions may be mixed. All numbers that tell an age are spans, never times of day.

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
