//! Reads from the platform: records and the list of instances.

use {
    super::Core,
    crate::{
        action::Action,
        decisions::Subsystem,
        event::PlatformEvent,
        fleet::Watchers,
        records::{FullRead, MissingRecords, PlatformRead, ReaderRole},
        time::MonoMs,
    },
    whinlatch_wire::{
        peer::{News, TargetHealth, TargetNews},
        platform::{InstanceList, ListedState, RecordPage},
    },
};

impl Core {
    pub(super) fn read_platform(&mut self, now: MonoMs) {
        let (role, reads_per_s) = self.reader_role_and_rate();
        for read in self.platform.due_reads(now, role, reads_per_s) {
            self.emit(match read {
                PlatformRead::Records { after, wait_ms } => Action::ReadRecords { after, wait_ms },
                PlatformRead::List => Action::ReadInstances,
            });
        }
    }

    /// Returns whether this daemon watches the platform, and its share of the fleet's reads per second.
    fn reader_role_and_rate(&self) -> (ReaderRole, f64) {
        let own = self.options.incarnation;
        let others = self
            .members
            .alive()
            .map(|member| (&member.news.failure_domain, member.news.incarnation));
        let alive = std::iter::once((&self.options.failure_domain, own)).chain(others);
        let mut watchers = Watchers::elect(own, alive);
        // Until this daemon knows the other members, the list shows how many share the reads.
        let listed = self
            .instance_list
            .as_ref()
            .map_or(0, |list| list.daemons.len());
        watchers.watcher_count += listed.saturating_sub(watchers.daemon_count);
        watchers.daemon_count = watchers.daemon_count.max(listed);
        let role = if watchers.includes_self {
            ReaderRole::Watcher
        } else {
            ReaderRole::Backstop
        };
        let reads_per_s = self.records.in_force().policy().platform_reads_per_s;
        (role, watchers.share(reads_per_s))
    }

    pub(super) fn on_platform(&mut self, now: MonoMs, event: PlatformEvent) {
        match event {
            PlatformEvent::Records(page) => self.on_page(now, &page),
            PlatformEvent::HistoryGone => self.platform.on_history_gone(now),
            PlatformEvent::Instances(list) => self.on_list(now, list),
            PlatformEvent::RecordsFailed => self.platform.on_records_failed(now, &mut self.rng),
            PlatformEvent::InstancesFailed => self.platform.on_list_failed(now, &mut self.rng),
        }
        self.read_platform(now);
    }

    fn on_page(&mut self, now: MonoMs, page: &RecordPage) {
        let full = self.platform.on_page(now, page, &mut self.rng);
        self.merge_records(now, &page.records, None);
        if let Some(full) = full {
            self.on_full_read(now, &full);
        }
    }

    fn on_full_read(&mut self, now: MonoMs, full: &FullRead) {
        if !self.platform.absence_is_deletion(full) {
            return;
        }
        match self.records.find_missing(full) {
            MissingRecords::None => {}
            // A peer may have pushed a newer record before the last page arrived: read again.
            MissingRecords::Stale => self.platform.request_deletion_scan(),
            MissingRecords::Deleted(tombstones) => {
                let text = format!("{} records were deleted at the platform", tombstones.len());
                self.record_decision(now, Subsystem::Records, None, text);
                self.merge_records(now, &tombstones, None);
            }
        }
    }

    /// Applies the last list again after records changed, since new records may name targets that it lists.
    pub(super) fn reapply_list(&mut self, now: MonoMs) {
        if let Some(list) = self.instance_list.clone() {
            self.apply_list(now, &list);
        }
    }

    fn on_list(&mut self, now: MonoMs, list: InstanceList) {
        self.platform.on_list(now, &mut self.rng);
        self.apply_list(now, &list);
        self.instance_list = Some(list);
        self.update_links(now);
    }

    fn apply_list(&mut self, now: MonoMs, list: &InstanceList) {
        let mut news = News::default();
        for listed in &list.targets {
            if !self.targets.apply_list_entry(listed) {
                continue;
            }
            let text = format!(
                "{} is leaving according to the list of instances",
                listed.target
            );
            self.record_decision(now, Subsystem::Fleet, None, text);
            news.targets.push(TargetNews {
                target: listed.target.clone(),
                incarnation: listed.incarnation,
                health: TargetHealth::Leaving,
            });
        }
        self.links.broadcast(&news, None);
        let own = list
            .daemons
            .iter()
            .find(|d| d.instance == self.options.instance);
        if own.is_some_and(|daemon| daemon.state == ListedState::Leaving) {
            self.on_stop(now);
        }
    }
}
