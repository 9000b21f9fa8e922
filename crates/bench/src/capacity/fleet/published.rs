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

/// Port on which daemons listen for callers.
const CALLER_PORT: u16 = 7_000;
/// Port on which daemons listen for peers.
const PEER_PORT: u16 = 7_001;
/// Port on which targets listen.
const TARGET_PORT: u16 = 8_000;
/// Routes to services, in addition to those to models.
const SERVICES: usize = 2;
/// First incarnation of targets, above those of daemons.
const FIRST_TARGET_INCARNATION: u128 = 1 << 100;

/// Amount of data that the platform publishes.
#[derive(Debug, Clone, Copy)]
pub struct PublishedSize {
    /// Daemons in the instance list.
    pub daemons: usize,
    /// Targets, each with a record and an entry in the instance list.
    pub targets: usize,
    /// Client accounts, each with a record.
    pub accounts: usize,
}

/// Records and instance list that the platform publishes.
#[derive(Debug, Clone)]
pub struct Published {
    /// Current records in order of revision.
    pub records: Vec<RecordEnvelope>,
    /// The instance list.
    pub list: InstanceList,
    accounts: usize,
    newest: Revision,
}

impl Published {
    /// Creates records and an instance list of this size.
    pub fn new(size: PublishedSize) -> Self {
        let values = route_records()
            .chain((0..size.targets).map(target_record))
            .chain((0..size.accounts).map(|i| (account_key(i), account_value(i, 1))));
        let records: Vec<RecordEnvelope> = values
            .enumerate()
            .map(|(index, (key, value))| envelope(&key, index as u64 + 1, &value))
            .collect();
        let newest = Revision(records.len() as u64);
        let list = InstanceList {
            version: 1,
            daemons: (0..size.daemons).map(listed_daemon).collect(),
            targets: (0..size.targets).map(listed_target).collect(),
        };
        Self {
            records,
            list,
            accounts: size.accounts,
            newest,
        }
    }

    /// Returns the newest revision.
    pub fn newest_revision(&self) -> Revision {
        self.newest
    }

    /// Publishes a new revision of `count` accounts, spread evenly over all accounts.
    pub fn change_accounts(&mut self, count: usize) {
        let changed: BTreeSet<usize> = (0..count)
            .map(|change| change * self.accounts.max(1) / count.max(1))
            .collect();
        let keys: BTreeSet<String> = changed.iter().copied().map(account_key).collect();
        self.records
            .retain(|record| !keys.contains(record.key.as_str()));
        for account in changed {
            let revision = self.newest.0 + 1;
            self.newest = Revision(revision);
            let value = account_value(account, revision);
            let record = envelope(&account_key(account), revision, &value);
            self.records.push(record);
        }
    }
}

/// Returns the failure domain of the daemon or target with this number.
pub fn domain_of(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("fd-{}", number % FAILURE_DOMAINS))
}

/// Returns the instance name of the daemon with this number.
pub fn instance_of(number: usize) -> InstanceName {
    InstanceName::new(&format!("entry-{number:04}"))
}

/// Returns the address at which a daemon listens for callers.
pub fn caller_address(number: usize) -> SocketAddr {
    SocketAddr::new(daemon_ip(number), CALLER_PORT)
}

/// Returns the address at which a daemon listens for peers.
pub fn peer_address(number: usize) -> SocketAddr {
    SocketAddr::new(daemon_ip(number), PEER_PORT)
}

/// Returns the incarnation of the target with this number.
pub fn target_incarnation(number: usize) -> Incarnation {
    Incarnation(FIRST_TARGET_INCARNATION + number as u128)
}

/// Returns the name of the target with this number.
pub fn target_name(number: usize) -> TargetName {
    TargetName::new(&format!("worker-{number:04}"))
}

/// Returns the number of the target with this name, the inverse of [`target_name`].
pub fn target_number(name: &TargetName) -> usize {
    name.as_str()
        .rsplit('-')
        .next()
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}

/// Returns the model that the target with this number serves.
pub fn served_model(number: usize) -> ServedModel {
    ServedModel {
        model: ModelName::new(&format!("model-{}", number % MODELS)),
        adapter: None,
        version: 1,
    }
}

/// Returns the key of an account's record.
pub fn account_key(number: usize) -> String {
    format!("accounts/account-{number:06}")
}

/// Returns the value of an account's record. Different `edition`s give different values.
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

/// Returns the digest of an account's API key. It has the form of a SHA-256 digest but no known key.
pub fn account_key_sha256(number: usize) -> String {
    format!("{:064x}", number as u128 * 0x9e37_79b9_7f4a_7c15)
}

/// Wraps a value as the platform stores it.
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
        incarnation: target_incarnation(number),
        address: target_address(number),
        state: ListedState::Live,
    }
}

fn route_records() -> impl Iterator<Item = (String, String)> {
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

fn target_record(number: usize) -> (String, String) {
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
