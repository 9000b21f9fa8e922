use {
    super::{state::FakeEngine, work::Work},
    std::time::{Duration, Instant},
    whinlatch_wire::target::{Holding, LoadReport},
};

impl FakeEngine {
    /// Takes a report for later readers, a few in the time of the lag.
    pub fn take_report(&mut self, now: Instant) {
        let lag = Duration::from_millis(self.options.report_lag_ms);
        if self
            .reports
            .back()
            .is_none_or(|(at, _report)| *at + lag / 4 <= now)
        {
            let report = self.present_report(now);
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

    /// The report that readers get now: the newest that is old enough, else the oldest.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.prune(now);
        self.take_report(now);
        match self.reports.front() {
            Some((_at, report)) if self.options.report_lag_ms > 0 => report.clone(),
            _ => self.present_report(now),
        }
    }

    fn present_report(&self, now: Instant) -> LoadReport {
        LoadReport {
            incarnation: self.common.incarnation,
            leaving: self.common.faults.leaving,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens_left: self.work().map(Work::prefill_left).sum(),
            memory_used_tokens: self.used_tokens(),
            memory_total_tokens: self.options.memory_tokens,
            holdings: self.holdings(now),
        }
    }

    fn holdings(&self, now: Instant) -> Vec<Holding> {
        let overdue_ms = |until| now.saturating_duration_since(until).as_millis() as u64;
        let running = self.running.iter().map(|work| Holding {
            attempt: work.request.attempt,
            owner: work.request.owner,
            tokens: work.holds_tokens,
            overdue_ms: overdue_ms(work.until),
            reservation: false,
        });
        let reserved = self.reservations.values().map(|(until, held)| Holding {
            attempt: held.reservation,
            owner: held.owner,
            tokens: held.tokens,
            overdue_ms: overdue_ms(*until),
            reservation: true,
        });
        running.chain(reserved).collect()
    }
}
