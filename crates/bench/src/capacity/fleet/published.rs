use {
    crate::capacity::size::{FAILURE_DOMAINS, MODELS},
    serde_json::json,
    std::{
        collections::BTreeSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    whinlatch_wire::{
        ids::{
            FailureDomain, Incarnation, InstanceName, ModelName, RecordKey, Revision, TargetName,
        },
        platform::{InstanceList, ListedDaemon, ListedState, ListedTarget},
        record::{RecordEnvelope, ServedModel},
    },
};

/// Port of daemons for callers.
const CALLER_PORT: u16 = 7_000;
/// Port of daemons for peers.
const PEER_PORT: u16 = 7_001;
/// Port of targets.
const TARGET_PORT: u16 = 8_000;
/// Plain services beside the models.
const SERVICES: usize = 2;
/// Incarnations of targets start here, so that they differ from those of daemons.
const TARGET_RUNS: u128 = 1 << 100;

/// How much the platform publishes.
#[derive(Debug, Clone, Copy)]
pub struct PublishedSize {
    /// Daemons in the list of instances.
    pub daemons: usize,
    /// Targets, each with a record.
    pub targets: usize,
    /// Client accounts, each with a record.
    pub accounts: usize,
}

/// What the platform publishes, in order of revision.
#[derive(Debug, Clone)]
pub struct Published {
    /// The records.
    pub records: Vec<RecordEnvelope>,
    /// The list of instances.
    pub list: InstanceList,
    accounts: usize,
    highest: Revision,
}

impl Published {
    /// Makes records and a list of this size.
    pub fn of(size: PublishedSize) -> Self {
        let values = routes()
            .chain((0..size.targets).map(target))
            .chain((0..size.accounts).map(|i| (account_key(i), account_value(i, 1))));
        let records: Vec<RecordEnvelope> = values
            .enumerate()
            .map(|(at, (key, value))| envelope(&key, at as u64 + 1, &value))
            .collect();
        let highest = Revision(records.len() as u64);
        let list = InstanceList {
            version: 1,
            daemons: (0..size.daemons).map(listed_daemon).collect(),
            targets: (0..size.targets).map(listed_target).collect(),
        };
        Self {
            records,
            list,
            accounts: size.accounts,
            highest,
        }
    }

    /// Highest revision.
    pub fn newest(&self) -> Revision {
        self.highest
    }

    /// Changes `count` accounts, spread evenly over all of them.
    pub fn change_accounts(&mut self, count: usize) {
        let changed: BTreeSet<usize> = (0..count)
            .map(|change| change * self.accounts.max(1) / count.max(1))
            .collect();
        let keys: BTreeSet<String> = changed.iter().copied().map(account_key).collect();
        self.records
            .retain(|held| !keys.contains(held.key.as_str()));
        for account in changed {
            let revision = self.highest.0 + 1;
            self.highest = Revision(revision);
            let value = account_value(account, revision);
            let record = envelope(&account_key(account), revision, &value);
            self.records.push(record);
        }
    }
}

/// Failure domain of the daemon or target with this number.
pub fn domain_of(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("fd-{}", number % FAILURE_DOMAINS))
}

/// Name of the daemon's instance with this number.
pub fn instance_of(number: usize) -> InstanceName {
    InstanceName::new(&format!("entry-{number:04}"))
}

/// Address of a daemon for callers.
pub fn caller_address(number: usize) -> SocketAddr {
    SocketAddr::new(daemon_ip(number), CALLER_PORT)
}

/// Address of a daemon for peers.
pub fn peer_address(number: usize) -> SocketAddr {
    SocketAddr::new(daemon_ip(number), PEER_PORT)
}

/// Run of the target with this number.
pub fn target_run(number: usize) -> Incarnation {
    Incarnation(TARGET_RUNS + number as u128)
}

/// Name of the target with this number.
pub fn target_name(number: usize) -> TargetName {
    TargetName::new(&format!("worker-{number:04}"))
}

/// Number of the target with this name.
pub fn target_number(name: &TargetName) -> usize {
    name.as_str()
        .rsplit('-')
        .next()
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}

/// The model that the target with this number has loaded.
pub fn served_model(number: usize) -> ServedModel {
    ServedModel {
        model: ModelName::new(&format!("model-{}", number % MODELS)),
        adapter: None,
        version: 1,
    }
}

/// Key of an account's record.
pub fn account_key(number: usize) -> String {
    format!("accounts/account-{number:06}")
}

/// Value of an account's record; `edition` makes it differ from others.
pub fn account_value(number: usize, edition: u64) -> String {
    let key = account_key_sha256(number);
    let requests = 0.5 + (edition % 100) as f64;
    json!({
        "kind": "account",
        "schema": 2,
        "spec": {
            "account": format!("account-{number:06}"),
            "key_sha256": [key],
            "callers": [],
            "requests_per_s": requests,
            "tokens_per_s": 250_000.0,
            "weight": 1.0,
        },
    })
    .to_string()
}

/// Digest of the key that the callers of an account present.
pub fn account_key_sha256(number: usize) -> String {
    format!("{:064x}", number as u128 * 0x9e37_79b9_7f4a_7c15)
}

/// A record as the platform stores it.
pub fn envelope(key: &str, revision: u64, value: &str) -> RecordEnvelope {
    RecordEnvelope {
        key: RecordKey::new(key),
        revision: Revision(revision),
        value: Some(Arc::from(value)),
    }
}

fn daemon_ip(number: usize) -> IpAddr {
    ip(1, number)
}

fn target_address(number: usize) -> SocketAddr {
    SocketAddr::new(ip(2, number), TARGET_PORT)
}

fn ip(net: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        10,
        net,
        (number / 250) as u8,
        (number % 250) as u8 + 1,
    ))
}

fn listed_daemon(number: usize) -> ListedDaemon {
    ListedDaemon {
        instance: instance_of(number),
        failure_domain: domain_of(number),
        caller_address: caller_address(number),
        peer_address: peer_address(number),
        state: ListedState::Live,
    }
}

fn listed_target(number: usize) -> ListedTarget {
    ListedTarget {
        target: target_name(number),
        incarnation: target_run(number),
        address: target_address(number),
        state: ListedState::Live,
    }
}

fn routes() -> impl Iterator<Item = (String, String)> {
    let models = (0..MODELS).map(|model| {
        let subject = json!({"type": "model", "model": format!("model-{model}")});
        (format!("routes/model-{model}"), route_value(&subject))
    });
    let services = (0..SERVICES).map(|service| {
        let subject = json!({
            "type": "service",
            "service": format!("service-{service}"),
            "idempotent": false,
        });
        (format!("routes/service-{service}"), route_value(&subject))
    });
    models.chain(services)
}

fn route_value(subject: &serde_json::Value) -> String {
    json!({
        "kind": "route",
        "schema": 2,
        "spec": {
            "subject": subject,
            "providers": [
                {"provider": "old", "share_per_mille": 400},
                {"provider": "new", "share_per_mille": 600},
            ],
        },
    })
    .to_string()
}

fn target(number: usize) -> (String, String) {
    let value = json!({
        "kind": "target",
        "schema": 2,
        "spec": {
            "target": target_name(number).as_str(),
            "address": target_address(number).to_string(),
            "failure_domain": domain_of(number).as_str(),
            "provider": if number.is_multiple_of(2) { "old" } else { "new" },
            "slots": 256,
            "role": {
                "type": "engine",
                "models": [served_model(number)],
                "memory_tokens": 400_000,
                "prefill_tokens_per_s": 20_000,
                "enforces_fencing": true,
            },
        },
    });
    (format!("targets/worker-{number:04}"), value.to_string())
}
