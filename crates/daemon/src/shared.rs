//! State shared by the tasks of one daemon.

use {
    crate::{
        callers::{AnswerStore, OpenConnections, OpenRequests},
        clock::Clock,
        control::ControlHandle,
        metrics::Metrics,
    },
    std::sync::Arc,
    whinlatch_wire::{conf::Settings, ids::Incarnation},
};

/// State shared by the tasks of one daemon.
#[derive(Debug)]
pub struct Shared {
    /// The settings, with the bound addresses in place of those with port 0.
    pub settings: Settings,
    /// Identifies this run of the daemon; random.
    pub incarnation: Incarnation,
    /// Clock of all tasks; tests pause it.
    pub clock: Arc<dyn Clock>,
    /// Sends messages to the control thread.
    pub control: ControlHandle,
    /// Counters and gauges that operators read.
    pub metrics: Arc<Metrics>,
    /// Answers of plain services, stored by ticket.
    pub answers: AnswerStore,
    /// Requests whose answers aren't written yet.
    pub open_requests: OpenRequests,
    /// Open connections of callers.
    pub open_connections: OpenConnections,
}
