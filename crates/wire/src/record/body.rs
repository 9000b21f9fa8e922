use {
    super::{AccountRecord, PolicyRecord, ProviderShare, RouteRecord, RouteSubject, TargetRecord},
    crate::ids::{AccountName, CallerName, ProviderName},
    serde::Deserialize,
    thiserror::Error,
};

/// Oldest schema version that is still valid.
pub const OLDEST_SCHEMA: u32 = 1;
/// Newest schema version that this build knows.
pub const NEWEST_SCHEMA: u32 = 2;

/// Thousandths in a whole.
const PER_MILLE: u32 = 1_000;

/// A record that was understood.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordBody {
    /// Which accounts and callers are served by which providers.
    Route(RouteRecord),
    /// A client account.
    Account(AccountRecord),
    /// A target.
    Target(TargetRecord),
    /// What the deployment cares for.
    Policy(PolicyRecord),
}

/// Why a record isn't in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordFault {
    /// The value isn't JSON.
    #[error("the value is not valid JSON ({detail}): run `whinlatch check` on the file")]
    NotJson {
        /// What the parser says, with line and column.
        detail: String,
    },
    /// The schema version isn't known here.
    #[error(
        "schema {found} is not known here: publish schema {OLDEST_SCHEMA} to {NEWEST_SCHEMA}, \
         or update this daemon"
    )]
    UnknownSchema {
        /// The version that the record states.
        found: u32,
    },
    /// A field is missing, unknown or of the wrong type.
    #[error("field `{path}`: {detail}")]
    BadField {
        /// Path of the field, such as `providers[1].share_per_mille`.
        path: String,
        /// What is wrong and what to write instead.
        detail: String,
    },
}

#[derive(Deserialize)]
struct Header {
    schema: u32,
}

#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum AnySchema {
    Route(AnyRoute),
    Account(Versioned<AccountRecord>),
    Target(Versioned<TargetRecord>),
    Policy(Versioned<PolicyRecord>),
}

#[derive(Deserialize)]
struct Versioned<T> {
    #[serde(rename = "schema")]
    _schema: u32,
    spec: T,
}

#[derive(Deserialize)]
struct AnyRoute {
    schema: u32,
    spec: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteV1 {
    subject: RouteSubject,
    #[serde(default)]
    accounts: Vec<AccountName>,
    #[serde(default)]
    callers: Vec<CallerName>,
    new_share_percent: u32,
    #[serde(default)]
    old_version: Option<u32>,
    #[serde(default)]
    new_version: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteV2 {
    subject: RouteSubject,
    #[serde(default)]
    accounts: Vec<AccountName>,
    #[serde(default)]
    callers: Vec<CallerName>,
    providers: Vec<ProviderShare>,
}

/// Reads a record's value. The verdict depends on the bytes alone, so that all daemons of one
/// build agree on it.
///
/// # Errors
/// The first fault of the value, with the field's path and the remedy.
pub fn parse_record(value: &str) -> Result<RecordBody, RecordFault> {
    let json: serde_json::Value =
        serde_json::from_str(value).map_err(|error| RecordFault::NotJson {
            detail: error.to_string(),
        })?;
    let header: Header = from_json(json.clone(), "schema")?;
    if !(OLDEST_SCHEMA..=NEWEST_SCHEMA).contains(&header.schema) {
        return Err(RecordFault::UnknownSchema {
            found: header.schema,
        });
    }
    let body = match from_json::<AnySchema>(json, "kind")? {
        AnySchema::Route(route) => RecordBody::Route(read_route(route)?),
        AnySchema::Account(account) => RecordBody::Account(account.spec),
        AnySchema::Target(target) => RecordBody::Target(target.spec),
        AnySchema::Policy(policy) => RecordBody::Policy(policy.spec),
    };
    check(&body)?;
    Ok(body)
}

fn from_json<T: serde::de::DeserializeOwned>(
    json: serde_json::Value,
    path: &str,
) -> Result<T, RecordFault> {
    serde_json::from_value(json).map_err(|error| bad_field(path, &error.to_string()))
}

fn bad_field(path: &str, detail: &str) -> RecordFault {
    RecordFault::BadField {
        path: path.to_owned(),
        detail: detail.to_owned(),
    }
}

fn read_route(route: AnyRoute) -> Result<RouteRecord, RecordFault> {
    if route.schema == 1 {
        let v1: RouteV1 = from_json(route.spec, "spec")?;
        return Ok(upgrade_route(v1));
    }
    let v2: RouteV2 = from_json(route.spec, "spec")?;
    Ok(RouteRecord {
        subject: v2.subject,
        accounts: v2.accounts,
        callers: v2.callers,
        providers: v2.providers,
    })
}

fn upgrade_route(v1: RouteV1) -> RouteRecord {
    let new_per_mille = v1.new_share_percent.saturating_mul(PER_MILLE / 100);
    let share = |provider: &str, version, share_per_mille| ProviderShare {
        provider: ProviderName::new(provider),
        version,
        share_per_mille,
    };
    RouteRecord {
        subject: v1.subject,
        accounts: v1.accounts,
        callers: v1.callers,
        providers: vec![
            share(
                "old",
                v1.old_version,
                PER_MILLE.saturating_sub(new_per_mille),
            ),
            share("new", v1.new_version, new_per_mille),
        ],
    }
}

fn check(body: &RecordBody) -> Result<(), RecordFault> {
    match body {
        RecordBody::Route(route) => check_route(route),
        RecordBody::Account(account) => check_account(account),
        RecordBody::Target(_) => Ok(()),
        RecordBody::Policy(policy) => check_policy(policy),
    }
}

fn check_route(route: &RouteRecord) -> Result<(), RecordFault> {
    let total: u32 = route
        .providers
        .iter()
        .map(|share| share.share_per_mille)
        .sum();
    if total == PER_MILLE {
        return Ok(());
    }
    Err(bad_field(
        "spec.providers",
        &format!("the shares add up to {total}: make them add up to {PER_MILLE}"),
    ))
}

fn check_account(account: &AccountRecord) -> Result<(), RecordFault> {
    let rates = [
        ("spec.requests_per_s", account.requests_per_s),
        ("spec.tokens_per_s", account.tokens_per_s),
        ("spec.weight", account.weight),
    ];
    rates
        .iter()
        .try_for_each(|(path, rate)| check_positive(path, *rate))
}

fn check_policy(policy: &PolicyRecord) -> Result<(), RecordFault> {
    check_positive("spec.platform_reads_per_s", policy.platform_reads_per_s)?;
    let weights = [
        (
            "spec.long_first_token_weight",
            policy.long_first_token_weight,
        ),
        ("spec.short_slowdown_weight", policy.short_slowdown_weight),
    ];
    for (path, weight) in weights {
        if !(0.0..=1.0).contains(&weight) {
            return Err(bad_field(path, "write a number from 0 to 1"));
        }
    }
    Ok(())
}

fn check_positive(path: &str, rate: f64) -> Result<(), RecordFault> {
    if rate.is_finite() && rate > 0.0 {
        return Ok(());
    }
    Err(bad_field(path, "write a number above 0"))
}
