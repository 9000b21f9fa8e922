//! The shutdown of this instance: what it still takes, and where its callers go.

use {
    super::Serving,
    crate::shutdown::{Shutdown, ShutdownRule},
    whinlatch_core::MonoMs,
};

impl Serving {
    /// Returns whether the instance was ordered to stop.
    pub fn is_leaving(&self) -> bool {
        self.own.leaving
    }

    /// Records that the instance was ordered to stop, and returns its shutdown. This can't be undone within a run.
    pub fn leave(&mut self, now: MonoMs, rule: ShutdownRule) -> Shutdown {
        self.own.leaving = true;
        *self
            .shutdown
            .get_or_insert_with(|| Shutdown::begin(now, rule))
    }

    /// Has all requests be refused that are read from now on, if the instance was ordered to stop.
    pub fn close(&mut self) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.close();
        }
    }

    /// Records a complete answer to a request of a route, which took this time.
    pub fn record_answer_duration(&mut self, now: MonoMs, route: &str, took_ms: u64) {
        self.durations.record(now, route, took_ms);
    }

    /// Decides whether a request that must end by `deadline` is served by this instance, which may be leaving.
    ///
    /// Guards against a request that is taken while the instance leaves and is cut off by the exit of the process.
    ///
    /// # Errors
    /// The time in ms after which its caller finds an instance; the request has not been sent.
    pub fn admit_before_exit(
        &mut self,
        now: MonoMs,
        route: &str,
        deadline: MonoMs,
    ) -> Result<(), u64> {
        let Some(shutdown) = self.shutdown else {
            return Ok(());
        };
        let usual_ms = self.durations.longest_ms(now, route);
        if shutdown.admits(now, deadline, usual_ms) {
            return Ok(());
        }
        let has_other = self
            .members
            .live_members(now)
            .any(|member| member.ready && !member.leaving);
        Err(if has_other {
            0
        } else {
            shutdown.next_run_ms(now)
        })
    }
}
