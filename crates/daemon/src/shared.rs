//! What the traffic of one daemon shares.

use {
    crate::{
        callers::{AnswerStore, OpenRequests},
        clock::Clock,
        control::ControlHandle,
        metrics::Metrics,
    },
    std::sync::Arc,
    whinlatch_wire::{conf::Settings, ids::Incarnation},
};

/// What the traffic of one daemon shares.
#[derive(Debug)]
pub struct Shared {
    /// The settings, with the bound addresses in place of those with port 0.
    pub settings: Settings,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The way to the control thread.
    pub control: ControlHandle,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Answers kept under their tickets.
    pub answers: AnswerStore,
    /// Requests whose answers aren't written yet.
    pub open_requests: OpenRequests,
}
