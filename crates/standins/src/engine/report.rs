use {
    super::{state::FakeEngine, work::EngineRequest},
    std::time::{Duration, Instant},
    whinlatch_wire::target::{Holding, LoadReport},
};

impl FakeEngine {
    /// Records a report for later readers, at most four in the time of `report_lag_ms`.
    pub fn record_report(&mut self, now: Instant) {
        let lag = Duration::from_millis(self.options.report_lag_ms);
        if self
            .reports
            .back()
            .is_none_or(|(at, _report)| *at + lag / 4 <= now)
        {
            let report = self.current_report(now);
            self.reports.push_back((now, report));
        }
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _report)| *at + lag <= now)
        {
            self.reports.pop_front();
        }
    }

    /// Returns the report that readers see now: the newest that is at least as old as the lag, else the
    /// oldest.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.drop_expired(now);
        self.record_report(now);
        match self.reports.front() {
            Some((_at, report)) if self.options.report_lag_ms > 0 => report.clone(),
            _ => self.current_report(now),
        }
    }

    fn current_report(&self, now: Instant) -> LoadReport {
        LoadReport {
            incarnation: self.common.incarnation,
            leaving: self.common.faults.leaving,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens_left: self.requests().map(EngineRequest::prefill_left).sum(),
            memory_used_tokens: self.used_tokens(),
            memory_total_tokens: self.options.memory_tokens,
            holdings: self.holdings(now),
        }
    }

    fn holdings(&self, now: Instant) -> Vec<Holding> {
        let overdue_ms = |expires_at| now.saturating_duration_since(expires_at).as_millis() as u64;
        let running = self.running.iter().map(|request| Holding {
            attempt: request.params.attempt,
            owner: request.params.owner,
            tokens: request.own_memory_tokens,
            overdue_ms: overdue_ms(request.expires_at),
            reservation: false,
        });
        let reserved = self
            .reservations
            .values()
            .map(|(expires_at, reservation)| Holding {
                attempt: reservation.reservation,
                owner: reservation.owner,
                tokens: reservation.tokens,
                overdue_ms: overdue_ms(*expires_at),
                reservation: true,
            });
        running.chain(reserved).collect()
    }
}
