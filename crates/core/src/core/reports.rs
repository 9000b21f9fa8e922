//! Reports for callers and operators.

use {
    super::Core,
    crate::time::MonoMs,
    whinlatch_wire::{
        caller::{Entries, Entry},
        ids::{InstanceName, RequestId},
        platform::ListedState,
        record::TargetRole,
        report::{
            DecisionReport, PeerStatus, PlatformStatus, RecordsReport, StatusReport, TargetStatus,
        },
    },
};

/// Maximum number of addresses that a caller receives.
const MAX_ENTRIES: usize = 16;

impl Core {
    /// Returns the addresses that callers may use: first those of this failure domain, then others, each
    /// part shuffled so that callers spread. Excludes daemons that are leaving, suspected or dead according to
    /// news or the list, and those to which a link should be open but isn't.
    pub fn entries(&self) -> Entries {
        let own = Entry {
            address: self.options.caller_address,
            failure_domain: self.options.failure_domain.clone(),
        };
        let own = self.leaving_since.is_none().then_some(own);
        let others = self
            .members
            .alive()
            .filter(|member| member.linked || !self.wanted_links.contains(member.news.peer_address))
            .filter(|member| !self.is_listed_leaving(&member.news.instance))
            .map(|member| Entry {
                address: member.news.caller_address,
                failure_domain: member.news.failure_domain.clone(),
            });
        let mut entries: Vec<Entry> = own.into_iter().chain(others).collect();
        let seed = self.options.incarnation.0 as u64 ^ self.last_event_at.0;
        fastrand::Rng::with_seed(seed).shuffle(&mut entries);
        let (mut near, mut far): (Vec<Entry>, Vec<Entry>) = entries
            .into_iter()
            .partition(|entry| entry.failure_domain == self.options.failure_domain);
        // At least half of the entries are open to other failure domains, so that callers can go on if this
        // whole domain fails.
        far.truncate(MAX_ENTRIES.saturating_sub(near.len()).max(MAX_ENTRIES / 2));
        near.truncate(MAX_ENTRIES - far.len());
        near.extend(far);
        Entries {
            entries: near,
            ttl_ms: self.records.in_force().policy().entries_ttl_ms,
        }
    }

    fn is_listed_leaving(&self, instance: &InstanceName) -> bool {
        let mut listed = self.instance_list.iter().flat_map(|list| &list.daemons);
        listed.any(|daemon| daemon.instance == *instance && daemon.state == ListedState::Leaving)
    }

    /// Returns the status of this daemon, its peers and targets.
    pub fn status(&self, now: MonoMs) -> StatusReport {
        StatusReport {
            instance: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            failure_domain: self.options.failure_domain.clone(),
            uptime_ms: now.since(self.started_at),
            leaving: self.leaving_since.is_some(),
            requests_in_flight: self.requests.len() as u64,
            platform: PlatformStatus {
                reachable: self.platform.reachable,
                reads: self.platform.reads,
                last_answer_ms: self.platform.last_answered_at.map(|at| now.since(at)),
            },
            newest_revision: self.records.newest(),
            peers: self.peer_statuses(),
            targets: self.target_statuses(),
        }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        self.members
            .iter()
            .map(|member| PeerStatus {
                instance: member.news.instance.clone(),
                incarnation: member.news.incarnation,
                failure_domain: member.news.failure_domain.clone(),
                state: member.news.state,
                linked: member.linked,
            })
            .collect()
    }

    fn target_statuses(&self) -> Vec<TargetStatus> {
        self.targets
            .iter()
            .map(|(target, state)| TargetStatus {
                target: target.clone(),
                incarnation: state.incarnation,
                health: state.health,
                in_flight: state.in_flight,
                backlog_ms: 0,
                prefill_tokens_per_s: self.stated_rate(target),
            })
            .collect()
    }

    fn stated_rate(&self, target: &whinlatch_wire::ids::TargetName) -> f64 {
        match self
            .records
            .in_force()
            .target(target)
            .map(|record| &record.role)
        {
            Some(TargetRole::Engine {
                prefill_tokens_per_s,
                ..
            }) => *prefill_tokens_per_s as f64,
            _ => 0.0,
        }
    }

    /// Returns the state of each record and the instances known to hold it.
    pub fn records_report(&self) -> RecordsReport {
        RecordsReport {
            instance: self.options.instance.clone(),
            newest: self.records.newest(),
            records: self.records.statuses(|bucket| self.holders(bucket)),
        }
    }

    /// Returns the instances known to have the same records in a bucket as this one, including itself,
    /// sorted.
    fn holders(&self, bucket: usize) -> Vec<InstanceName> {
        let mut holders: Vec<InstanceName> = self
            .links
            .peers_in_agreement(&self.records, bucket)
            .filter_map(|peer| self.members.get(peer))
            .map(|member| member.news.instance.clone())
            .collect();
        holders.push(self.options.instance.clone());
        holders.sort();
        holders
    }

    /// Returns the decisions about a request; `None` if they were never recorded or have been evicted.
    pub fn decision_report(&self, request: RequestId) -> Option<DecisionReport> {
        self.decision_history.report(request).cloned()
    }
}
