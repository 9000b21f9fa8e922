//! Membership of the fleet: the other instances, their liveness and roles, and the frames that instances
//! exchange.

mod engine_groups;
mod frame;
mod known_member;
mod membership;
mod ranks;
mod roster;
mod roster_rows;

pub use {
    engine_groups::{EngineGroup, EngineGroups},
    frame::{
        CatchUpRequest, Condemnation, Crash, EnginePace, Frame, FrameKind, HeartbeatFrame, JobId,
        Member, PartCrash, PlacedPrompt, Placement, PlacementRequest, PlacementResponse,
        PublishedText, ReservedMemory, SoundPart,
    },
    known_member::KnownMember,
    membership::{Membership, hash},
    ranks::Ranks,
    roster::Roster,
    roster_rows::RosterRows,
};
