//! The first read of the store by an instance that starts, possibly beside hundreds of others.

use {
    super::Serving,
    crate::{
        names::ServiceName,
        targets::{TargetChange, TargetState},
    },
    whinlatch_core::MonoMs,
};

/// Processor time from which an instance reads the store immediately even at the first start of the system,
/// in thousandths of a core. Such instances are the first relays.
const IMMEDIATE_READ_CPU_MILLIS: u32 = 200;
/// Minimum time for which a weaker instance waits for its peers at the first start, in ms. After that the
/// links of a fleet whose instances start together are open and the relays known.
const FIRST_START_MIN_WAIT_MS: u64 = 1_000;
/// Time over which the instances that have received nothing by then spread their reads of the store, in ms.
const FIRST_START_SPREAD_MS: u64 = 500;
/// Maximum time for which a weaker instance waits at the first start while it knows relays of its failure domain,
/// in ms. Hundreds of instances that link to the same hubs at once take seconds to be told.
const FIRST_START_MAX_WAIT_MS: u64 = 5_000;
/// Duration of an answer from which the store counts as congested, in ms: twenty-five times the usual one.
const CONGESTED_ANSWER_MS: u64 = 100;
/// Timeout for an answer of a congested store, as a multiple of the duration of the one before.
const CONGESTED_TIMEOUT_FACTOR: u64 = 3;
/// Minimum time for which an instance that serves with a part of the targets waits for its relays, in ms. Most have found
/// them by then.
const REST_MIN_WAIT_MS: u64 = 1_000;
/// Time over which the instances that weren't told by then spread the rest of their reads, in ms.
const REST_SPREAD_MS: u64 = 500;
/// Minimum number of targets with which a weaker instance begins to serve before it knows all. All instances begin with
/// the same ones, which bear the load of all callers for a second.
const MIN_TARGETS_TO_SERVE: usize = 100;

impl Serving {
    /// Returns how long a starting instance waits to receive the published state from peers before it reads
    /// the store, in ms.
    ///
    /// Only weaker instances wait, and only at the first start of the system, when there are no callers
    /// yet. After the loss of all instances, reading the store takes a twentieth of a second, while finding
    /// each other takes half a second and more.
    pub fn start_patience_ms(&mut self, is_first_start: bool) -> u64 {
        if !is_first_start || self.own.cpu_millis >= IMMEDIATE_READ_CPU_MILLIS {
            return 0;
        }
        FIRST_START_MIN_WAIT_MS + self.rng.u64(..FIRST_START_SPREAD_MS)
    }

    /// Returns whether an instance that has waited for `waited_ms` since its start should wait on for its peers
    /// before it reads the store. `patience_ms` is from [`Self::start_patience_ms`].
    pub fn should_wait_for_peers(&self, now: MonoMs, waited_ms: u64, patience_ms: u64) -> bool {
        if self.complete_revision().is_some() || patience_ms == 0 {
            return false;
        }
        let has_relays = self.readers(now).next().is_some() && !self.is_reader(now);
        waited_ms < patience_ms || has_relays && waited_ms < FIRST_START_MAX_WAIT_MS
    }

    /// Returns whether an instance that reads all targets for the first time may serve with those `read` so far and
    /// wait for its relays to send the rest: it is a weaker one, and has some of each service.
    ///
    /// Guards against calls to the store that grow with the product of instances and targets when many instances
    /// start at the same time. Each of them needs few targets in the second until it has found its relays.
    pub fn may_interrupt_first_read(&self, read: &[TargetChange]) -> bool {
        let entries = read.iter().filter_map(|change| change.entry.as_ref());
        let ready: Vec<&ServiceName> = entries
            .filter(|entry| entry.state == TargetState::Ready)
            .map(|entry| &entry.service)
            .collect();
        let Some(configuration) = &self.configuration else {
            return false;
        };
        let is_weaker = self.own.cpu_millis < IMMEDIATE_READ_CPU_MILLIS;
        let is_enough = ready.len() >= MIN_TARGETS_TO_SERVE;
        is_weaker
            && is_enough
            && configuration
                .service_names()
                .all(|name| ready.contains(&name))
    }

    /// Begins to serve with a part of the targets, read from the store at its first read.
    pub fn begin_with_targets(&mut self, now: MonoMs, read: &[TargetChange]) {
        self.has_begun_with_part = true;
        for change in read {
            self.apply_store_change(now, change);
        }
    }

    /// Returns how long an instance that serves with a part of the targets waits for its relays to send the rest, in ms.
    pub fn rest_patience_ms(&mut self) -> u64 {
        REST_MIN_WAIT_MS + self.rng.u64(..REST_SPREAD_MS)
    }

    /// Returns whether this instance serves with a part of the targets and lacks the rest.
    pub(super) fn awaits_rest(&self) -> bool {
        self.has_begun_with_part && self.complete_revision().is_none()
    }

    /// Returns the pause before the next call of a first read, in ms, after an answer that took `answer_ms`. It is random,
    /// so that instances spread their calls over twice that time.
    ///
    /// Guards against a store whose network is congested by the answers to hundreds of instances that start at the same
    /// time: if all ask on, all answers come at the end.
    pub fn congestion_pause_ms(&mut self, answer_ms: u64) -> u64 {
        if answer_ms < CONGESTED_ANSWER_MS {
            return 0;
        }
        self.rng.u64(..2 * answer_ms)
    }

    /// Returns the timeout of a call, in ms: the usual one, or longer if the answer before took long.
    ///
    /// Guards against answers of a congested store that are given up just before they are complete, and asked for again.
    pub fn call_timeout_ms(usual_ms: u64, last_answer_ms: u64) -> u64 {
        usual_ms.max(CONGESTED_TIMEOUT_FACTOR * last_answer_ms)
    }
}
