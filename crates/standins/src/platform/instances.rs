use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    whinlatch_wire::platform::InstanceList,
};

/// The list of instances, whose changes show late.
#[derive(Debug)]
pub struct LaggingList {
    pub lag: Duration,
    version: u64,
    shown: InstanceList,
    pending: VecDeque<(Instant, InstanceList)>,
}

impl LaggingList {
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            version: 0,
            shown: InstanceList::default(),
            pending: VecDeque::new(),
        }
    }

    pub fn set(&mut self, now: Instant, list: InstanceList) {
        self.version += 1;
        let version = self.version;
        self.pending
            .push_back((now + self.lag, InstanceList { version, ..list }));
    }

    /// The list as readers see it now.
    pub fn show(&mut self, now: Instant) -> &InstanceList {
        while self.pending.front().is_some_and(|(due, _list)| *due <= now) {
            if let Some((_due, list)) = self.pending.pop_front() {
                self.shown = list;
            }
        }
        &self.shown
    }
}
