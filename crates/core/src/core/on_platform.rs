//! The platform: records and the list of instances.

use {
    super::Core,
    crate::{action::Action, decisions::Part, event::PlatformEvent, records::Merge, time::MonoMs},
    whinlatch_wire::{
        ids::Revision,
        peer::News,
        peer::{TargetHealth, TargetNews},
        platform::{InstanceList, ListedState, RecordPage},
        record::RecordEnvelope,
    },
};

/// How long a watch of the records waits, in ms.
const WATCH_MS: u64 = 20_000;
/// Time between reads of the list, in ms.
const LIST_EVERY_MS: u64 = 1_000;
/// Time before a failed read is tried again, in ms, doubled with each failure.
const RETRY_MS: u64 = 200;
/// Longest time before a failed read is tried again, in ms.
const MAX_RETRY_MS: u64 = 5_000;

/// When to read what from the platform.
#[derive(Debug)]
pub(super) struct PlatformReader {
    after: Revision,
    records_due: Option<MonoMs>,
    list_due: Option<MonoMs>,
    failures: u32,
    list: Option<InstanceList>,
    pub(super) reads: u64,
    pub(super) answered: Option<MonoMs>,
    pub(super) reachable: bool,
}

impl PlatformReader {
    pub(super) fn new(now: MonoMs) -> Self {
        Self {
            after: Revision::default(),
            records_due: Some(now),
            list_due: Some(now),
            failures: 0,
            list: None,
            reads: 0,
            answered: None,
            reachable: false,
        }
    }

    pub(super) fn list(&self) -> Option<&InstanceList> {
        self.list.as_ref()
    }

    fn succeeded(&mut self, now: MonoMs) {
        self.failures = 0;
        self.answered = Some(now);
        self.reachable = true;
    }

    /// Time to wait after a failure, with jitter so that daemons don't come back all at once.
    fn failed(&mut self, rng: &mut fastrand::Rng) -> u64 {
        self.reachable = false;
        self.failures = (self.failures + 1).min(8);
        let full = (RETRY_MS << self.failures).min(MAX_RETRY_MS);
        rng.u64(full / 2..=full)
    }
}

impl Core {
    pub(super) fn read_platform(&mut self, now: MonoMs) {
        if self.platform.records_due.is_some_and(|due| due <= now) {
            self.platform.records_due = None;
            self.platform.reads += 1;
            let first = self.platform.answered.is_none();
            let wait_ms = if first { 0 } else { WATCH_MS };
            self.act(Action::ReadRecords {
                after: self.platform.after,
                wait_ms,
            });
        }
        if self.platform.list_due.is_some_and(|due| due <= now) {
            self.platform.list_due = None;
            self.platform.reads += 1;
            self.act(Action::ReadInstances);
        }
    }

    pub(super) fn on_platform(&mut self, now: MonoMs, event: PlatformEvent) {
        match event {
            PlatformEvent::Records(page) => self.on_page(now, &page),
            PlatformEvent::HistoryGone => {
                self.platform.after = Revision::default();
                self.platform.records_due = Some(now);
            }
            PlatformEvent::Instances(list) => self.on_list(now, list),
            PlatformEvent::RecordsFailed => {
                let wait_ms = self.platform.failed(&mut self.rng);
                self.platform.records_due = Some(now + wait_ms);
            }
            PlatformEvent::InstancesFailed => {
                let wait_ms = self.platform.failed(&mut self.rng);
                self.platform.list_due = Some(now + wait_ms);
            }
        }
        self.read_platform(now);
    }

    fn on_page(&mut self, now: MonoMs, page: &RecordPage) {
        self.platform.succeeded(now);
        self.platform.records_due = Some(now);
        self.platform.after = match page.records.last() {
            Some(last) if page.more => last.revision,
            _ => page.revision,
        };
        self.merge_records(now, &page.records, "the platform");
    }

    /// Merges records and tells peers at once what was new.
    pub(super) fn merge_records(&mut self, now: MonoMs, records: &[RecordEnvelope], from: &str) {
        let mut fresh = Vec::new();
        for envelope in records {
            let text = match self.records.merge(envelope) {
                Merge::Old => continue,
                Merge::InForce => {
                    format!(
                        "{} is in force at {} from {from}",
                        envelope.key, envelope.revision
                    )
                }
                Merge::Rejected(fault) => {
                    format!(
                        "{} is rejected at {}: {fault}",
                        envelope.key, envelope.revision
                    )
                }
            };
            self.decide(now, Part::Records, None, text);
            fresh.push(envelope.clone());
        }
        if fresh.is_empty() {
            return;
        }
        self.targets.follow(self.records.in_force());
        if let Some(list) = self.platform.list.clone() {
            self.follow_list(now, &list);
        }
        self.push_records(&fresh);
    }

    fn on_list(&mut self, now: MonoMs, list: InstanceList) {
        self.platform.succeeded(now);
        self.platform.list_due = Some(now + LIST_EVERY_MS);
        self.follow_list(now, &list);
        self.platform.list = Some(list);
        self.open_links(now);
    }

    fn follow_list(&mut self, now: MonoMs, list: &InstanceList) {
        let mut news = News::default();
        for listed in &list.targets {
            if !self.targets.listed(listed) {
                continue;
            }
            let text = format!("{} is leaving, says the list", listed.target);
            self.decide(now, Part::Fleet, None, text);
            news.targets.push(TargetNews {
                target: listed.target.clone(),
                incarnation: listed.incarnation,
                health: TargetHealth::Leaving,
            });
        }
        self.links.spread(&news, None);
        let own = list
            .daemons
            .iter()
            .find(|d| d.instance == self.options.instance);
        if own.is_some_and(|daemon| daemon.state == ListedState::Leaving) {
            self.on_stop(now);
        }
    }
}
