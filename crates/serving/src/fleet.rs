//! Membership of the fleet: the other instances, their liveness and roles, and the frames that instances
//! exchange.

mod engine_groups;
mod frame;
mod known;
mod member_book;
mod ranks;
mod roster;

pub use {
    engine_groups::{EngineGroup, EngineGroups},
    frame::{
        Beat, Crash, EnginePace, Frame, JobId, Member, Placed, Placement, PlacementAnswer,
        PlacementAsk, PublishedText, Reserved, Wants,
    },
    known::Known,
    member_book::{MemberBook, hash},
    ranks::Ranks,
    roster::Roster,
};
