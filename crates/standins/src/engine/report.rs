use {
    super::{state::State, work::Work},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    whinlatch_wire::target::{Holding, LoadReport},
};

/// Load reports, given out late.
#[derive(Debug, Default)]
pub struct LaggingReport(VecDeque<(Instant, LoadReport)>);

impl State {
    /// Takes a report for later readers, where the last one is old enough.
    pub fn take_report(&mut self, now: Instant) {
        let lag = Duration::from_millis(self.options.report_lag_ms);
        let spacing = lag / 4;
        let due = self
            .report
            .0
            .back()
            .is_none_or(|(at, _report)| *at + spacing <= now);
        if due {
            let report = self.present_report(now);
            self.report.0.push_back((now, report));
        }
        while self
            .report
            .0
            .get(1)
            .is_some_and(|(at, _report)| *at + lag <= now)
        {
            self.report.0.pop_front();
        }
    }

    /// The report that readers get now: the newest that is old enough, else the oldest.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.take_report(now);
        match self.report.0.front() {
            Some((_at, report)) if self.options.report_lag_ms > 0 => report.clone(),
            _ => self.present_report(now),
        }
    }

    fn present_report(&mut self, now: Instant) -> LoadReport {
        self.prune(now);
        LoadReport {
            incarnation: self.incarnation,
            leaving: self.faults.leaving,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens_left: self
                .running
                .iter()
                .chain(&self.waiting)
                .map(Work::prefill_left)
                .sum(),
            memory_used_tokens: self.used_tokens(),
            memory_total_tokens: self.options.memory_tokens,
            holdings: self
                .running
                .iter()
                .map(|work| holding(work, now))
                .chain(self.reservations.holdings(now))
                .collect(),
        }
    }
}

fn holding(work: &Work, now: Instant) -> Holding {
    Holding {
        attempt: work.request.attempt,
        owner: work.request.owner,
        tokens: work.holds_tokens,
        overdue_ms: now.saturating_duration_since(work.until).as_millis() as u64,
        reservation: false,
    }
}
