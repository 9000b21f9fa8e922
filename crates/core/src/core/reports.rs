//! What callers and operators may read.

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

/// Most addresses that a caller is told.
const MOST_ENTRIES: usize = 16;

impl Core {
    /// The addresses that callers may use: those of this failure domain first, each part shuffled so
    /// that callers spread. None that is leaving, suspected or dead, by news or by the list, nor one
    /// to which a link should be open and isn't.
    pub fn entries(&self) -> Entries {
        let own = Entry {
            address: self.options.caller_address,
            failure_domain: self.options.failure_domain.clone(),
        };
        let own = self.leaving_since.is_none().then_some(own);
        let others = self
            .members
            .alive()
            .filter(|member| member.linked || !self.wanted.contains(member.news.peer_address))
            .filter(|member| !self.is_listed_leaving(&member.news.instance))
            .map(|member| Entry {
                address: member.news.caller_address,
                failure_domain: member.news.failure_domain.clone(),
            });
        let mut entries: Vec<Entry> = own.into_iter().chain(others).collect();
        let seed = self.options.incarnation.0 as u64 ^ self.last_event.0;
        fastrand::Rng::with_seed(seed).shuffle(&mut entries);
        let (mut near, mut far): (Vec<Entry>, Vec<Entry>) = entries
            .into_iter()
            .partition(|entry| entry.failure_domain == self.options.failure_domain);
        // Some stand elsewhere, in case the whole failure domain goes.
        far.truncate(
            MOST_ENTRIES
                .saturating_sub(near.len())
                .max(MOST_ENTRIES / 2),
        );
        near.truncate(MOST_ENTRIES - far.len());
        near.extend(far);
        Entries {
            entries: near,
            ttl_ms: self.records.in_force().policy().entries_ttl_ms,
        }
    }

    fn is_listed_leaving(&self, instance: &InstanceName) -> bool {
        let mut listed = self.list.iter().flat_map(|list| &list.daemons);
        listed.any(|daemon| daemon.instance == *instance && daemon.state == ListedState::Leaving)
    }

    /// The state of this daemon.
    pub fn status(&self, now: MonoMs) -> StatusReport {
        StatusReport {
            instance: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            failure_domain: self.options.failure_domain.clone(),
            uptime_ms: now.since(self.started),
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

    /// The records and where they are in force.
    pub fn records_report(&self) -> RecordsReport {
        RecordsReport {
            instance: self.options.instance.clone(),
            newest: self.records.newest(),
            records: self.records.statuses(|bucket| self.holders(bucket)),
        }
    }

    /// Instances known to hold the same records as this one in a bucket, this one among them.
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

    /// Why a request went where it did.
    pub fn decision_report(&self, request: RequestId) -> Option<DecisionReport> {
        self.book.report(request).cloned()
    }
}
