use {
    super::{PlatformControl, PlatformMode, PlatformOptions, PlatformStats, view::View},
    crate::target::Common,
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
    whinlatch_wire::{ids::Revision, platform::InstanceList, record::RecordEnvelope},
};

const READ_WINDOW: Duration = Duration::from_secs(1);

/// What is published and what readers are shown of it.
#[derive(Debug)]
pub struct FakePlatform {
    pub(super) common: Common,
    pub(super) mode: PlatformMode,
    pub(super) counted: PlatformStats,
    view: View,
    stale: Option<View>,
    log: Vec<RecordEnvelope>,
    lag: Duration,
    lists: u64,
    /// The list that is shown, then those that are still to be, in the order of their versions.
    instances: VecDeque<(Instant, InstanceList)>,
    recent_reads: VecDeque<Instant>,
    reads_per_s: usize,
}

impl FakePlatform {
    pub(super) fn new(options: &PlatformOptions) -> Self {
        Self {
            common: Common::default(),
            mode: PlatformMode::Normal,
            counted: PlatformStats::default(),
            view: View::default(),
            stale: None,
            log: Vec::new(),
            lag: Duration::from_millis(options.instance_lag_ms),
            lists: 0,
            instances: VecDeque::from([(Instant::now(), InstanceList::default())]),
            recent_reads: VecDeque::new(),
            reads_per_s: options.reads_per_s,
        }
    }

    pub(super) fn control(&mut self, now: Instant, control: PlatformControl) -> Revision {
        match control {
            PlatformControl::Publish { key, value } => {
                let revision = Revision(self.view.revision.0 + 1);
                let record = RecordEnvelope {
                    key,
                    revision,
                    value: value.map(Arc::from),
                };
                self.view.put(&record);
                self.log.push(record);
            }
            PlatformControl::Instances(list) => {
                self.lists += 1;
                let list = InstanceList {
                    version: self.lists,
                    ..list
                };
                self.instances.push_back((now + self.lag, list));
            }
            PlatformControl::InstanceLagMs(lag_ms) => self.lag = Duration::from_millis(lag_ms),
            PlatformControl::Mode(mode) => self.set_mode(mode),
            PlatformControl::ForgetHistory { drop_tombstones } => {
                self.view.forget_history(drop_tombstones);
            }
        }
        self.view.revision
    }

    fn set_mode(&mut self, mode: PlatformMode) {
        self.mode = mode;
        self.stale = match mode {
            PlatformMode::Stale => Some(self.view.clone()),
            PlatformMode::StaleAsOf(revision) => {
                let mut view = View::default();
                let then = self.log.iter().filter(|record| record.revision <= revision);
                then.for_each(|record| view.put(record));
                Some(view)
            }
            _ => None,
        };
    }

    /// The records as readers see them now.
    pub(super) fn shown_view(&self) -> &View {
        self.stale.as_ref().unwrap_or(&self.view)
    }

    /// The list of instances as readers see it now.
    pub(super) fn shown_instances(&mut self, now: Instant) -> &InstanceList {
        let due = self.instances.iter().rposition(|(due, _list)| *due <= now);
        self.instances.drain(..due.unwrap_or(0));
        &self.instances[0].1
    }

    /// Tells whether a read is within the budget. A watch that waits counts as one.
    pub(super) fn allow_read(&mut self, now: Instant) -> bool {
        while self
            .recent_reads
            .pop_front_if(|at| *at + READ_WINDOW <= now)
            .is_some()
        {}
        if self.recent_reads.len() >= self.reads_per_s {
            self.counted.refused += 1;
            return false;
        }
        self.recent_reads.push_back(now);
        let most = self.counted.most_reads_in_1_s.max(self.recent_reads.len());
        self.counted.most_reads_in_1_s = most;
        true
    }

    pub(super) fn present_stats(&self) -> PlatformStats {
        PlatformStats {
            revision: self.view.revision,
            ..self.counted
        }
    }
}
