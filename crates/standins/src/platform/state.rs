use {
    super::{PlatformControl, PlatformMode, PlatformOptions, PlatformStats, view::RecordsView},
    crate::target::CommonState,
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
    whinlatch_wire::{ids::Revision, platform::InstanceList, record::RecordEnvelope},
};

/// Window in which reads are counted against `reads_per_s`.
const READ_WINDOW: Duration = Duration::from_secs(1);

/// State of a fake platform.
#[derive(Debug)]
pub struct FakePlatform {
    pub(super) common: CommonState,
    pub(super) mode: PlatformMode,
    pub(super) stats: PlatformStats,
    /// Current records.
    view: RecordsView,
    /// Records that readers are served instead, in one of the stale modes.
    stale_view: Option<RecordsView>,
    /// All changes of records, to rebuild an earlier revision.
    log: Vec<RecordEnvelope>,
    instance_lag: Duration,
    /// Version of the last list of instances that was set.
    list_version: u64,
    /// The visible list, followed by later ones, each with the time at which it becomes visible, in order of
    /// versions.
    instances: VecDeque<(Instant, InstanceList)>,
    recent_reads: VecDeque<Instant>,
    reads_per_s: usize,
}

impl FakePlatform {
    pub(super) fn new(options: &PlatformOptions) -> Self {
        Self {
            common: CommonState::default(),
            mode: PlatformMode::Normal,
            stats: PlatformStats::default(),
            view: RecordsView::default(),
            stale_view: None,
            log: Vec::new(),
            instance_lag: Duration::from_millis(options.instance_lag_ms),
            list_version: 0,
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
                self.list_version += 1;
                let list = InstanceList {
                    version: self.list_version,
                    ..list
                };
                self.instances.push_back((now + self.instance_lag, list));
            }
            PlatformControl::InstanceLagMs(lag_ms) => {
                self.instance_lag = Duration::from_millis(lag_ms);
            }
            PlatformControl::Mode(mode) => self.set_mode(mode),
            PlatformControl::ForgetHistory { drop_tombstones } => {
                self.view.forget_history(drop_tombstones);
            }
        }
        self.view.revision
    }

    fn set_mode(&mut self, mode: PlatformMode) {
        self.mode = mode;
        self.stale_view = match mode {
            PlatformMode::Stale => Some(self.view.clone()),
            PlatformMode::StaleAsOf(revision) => {
                let mut view = RecordsView::default();
                let then = self.log.iter().filter(|record| record.revision <= revision);
                then.for_each(|record| view.put(record));
                Some(view)
            }
            _ => None,
        };
    }

    /// Returns the records that readers see now.
    pub(super) fn visible_records(&self) -> &RecordsView {
        self.stale_view.as_ref().unwrap_or(&self.view)
    }

    /// Returns the list of instances that readers see now.
    pub(super) fn visible_instances(&mut self, now: Instant) -> &InstanceList {
        let newest = self
            .instances
            .iter()
            .rposition(|(visible_at, _list)| *visible_at <= now);
        self.instances.drain(..newest.unwrap_or(0));
        &self.instances[0].1
    }

    /// Counts a read and returns true if it is within `reads_per_s`. A watch counts as one read however
    /// long it waits.
    pub(super) fn allow_read(&mut self, now: Instant) -> bool {
        while self
            .recent_reads
            .pop_front_if(|at| *at + READ_WINDOW <= now)
            .is_some()
        {}
        if self.recent_reads.len() >= self.reads_per_s {
            self.stats.refused += 1;
            return false;
        }
        self.recent_reads.push_back(now);
        let max_reads = self.stats.most_reads_in_1_s.max(self.recent_reads.len());
        self.stats.most_reads_in_1_s = max_reads;
        true
    }

    pub(super) fn current_stats(&self) -> PlatformStats {
        PlatformStats {
            revision: self.view.revision,
            ..self.stats
        }
    }
}
