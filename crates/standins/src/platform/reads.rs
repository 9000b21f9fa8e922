use {
    super::options::PlatformStats,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    whinlatch_wire::ids::Revision,
};

const WINDOW: Duration = Duration::from_secs(1);

/// What is read.
#[derive(Debug, Clone, Copy)]
pub enum Read {
    Records,
    Instances,
}

/// Counts each read and refuses those over the rate. A watch that waits counts as one.
#[derive(Debug)]
pub struct ReadBudget {
    reads_per_s: usize,
    recent: VecDeque<(Instant, bool)>,
    allowed_recent: usize,
    counted: PlatformStats,
}

impl ReadBudget {
    pub fn new(reads_per_s: usize) -> Self {
        Self {
            reads_per_s,
            recent: VecDeque::new(),
            allowed_recent: 0,
            counted: PlatformStats::default(),
        }
    }

    /// Counts a read and tells whether it is within the budget.
    pub fn allow(&mut self, now: Instant, read: Read) -> bool {
        self.forget_old(now);
        match read {
            Read::Records => self.counted.record_reads += 1,
            Read::Instances => self.counted.instance_reads += 1,
        }
        let allowed = self.allowed_recent < self.reads_per_s;
        self.recent.push_back((now, allowed));
        let recent = self.recent.len() as u64;
        self.counted.most_reads_in_1_s = self.counted.most_reads_in_1_s.max(recent);
        if allowed {
            self.allowed_recent += 1;
        } else {
            self.counted.refused += 1;
        }
        allowed
    }

    pub fn stats(&self, revision: Revision) -> PlatformStats {
        PlatformStats {
            revision,
            ..self.counted
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, allowed)) = self.recent.front().copied() {
            if now.saturating_duration_since(at) < WINDOW {
                return;
            }
            self.recent.pop_front();
            self.allowed_recent -= usize::from(allowed);
        }
    }
}
