use {
    crate::names::ServiceName,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Time for which a statement of a peer counts, in ms: some times the interval at which it is repeated.
const STATEMENT_TTL_MS: u64 = 25_000;

/// Statement of an instance of which services it can't reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachStatement {
    /// Peer address of the instance.
    pub peer: SocketAddr,
    /// Its run.
    pub run: u64,
    /// Number of the statement within the run; of two statements the one with the higher number holds.
    pub number: u64,
    /// The services of which it reaches no target; empty if it reaches all.
    #[serde(rename = "out")]
    pub out_of_reach: Vec<ServiceName>,
}

/// The newest statement of each peer of which services it can't reach.
#[derive(Debug, Default)]
pub struct PeerReach {
    statements: HashMap<SocketAddr, (ReachStatement, MonoMs)>,
}

impl PeerReach {
    /// Applies a statement, received directly or through a hub. Returns whether it is new.
    pub fn apply(&mut self, now: MonoMs, statement: &ReachStatement) -> bool {
        let known = self.statements.get(&statement.peer);
        let is_old = known.is_some_and(|(known, _)| {
            known.run == statement.run && known.number >= statement.number
        });
        if is_old {
            return false;
        }
        let stated = (statement.clone(), now);
        self.statements.insert(statement.peer, stated);
        true
    }

    /// Returns the services that a run of a peer states not to reach.
    pub fn out_of_reach(&self, now: MonoMs, peer: SocketAddr, run: u64) -> &[ServiceName] {
        let stated = self.statements.get(&peer);
        stated
            .filter(|(statement, at)| statement.run == run && now.since(*at) < STATEMENT_TTL_MS)
            .map_or(&[], |(statement, _)| &statement.out_of_reach)
    }

    /// Returns whether some peer states not to reach all services.
    pub fn has_any(&self, now: MonoMs) -> bool {
        self.statements.values().any(|(statement, at)| {
            !statement.out_of_reach.is_empty() && now.since(*at) < STATEMENT_TTL_MS
        })
    }

    /// Returns the statements of the peers that don't reach all services.
    pub fn to_pass_on(&self, now: MonoMs) -> Vec<ReachStatement> {
        self.statements
            .values()
            .filter(|(statement, at)| {
                !statement.out_of_reach.is_empty() && now.since(*at) < STATEMENT_TTL_MS
            })
            .map(|(statement, _)| statement.clone())
            .collect()
    }

    /// Removes statements that no longer count.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.statements
            .retain(|_, (_, at)| now.since(*at) < STATEMENT_TTL_MS);
    }
}
