//! Reads the body of a record and reports every fault of it.

use {
    super::{
        AccountRecord, NEWEST_SCHEMA, OLDEST_SCHEMA, PolicyRecord, ProviderShare, RecordBody,
        RouteRecord, RouteSubject, ServedModel, TargetRecord, TargetRole,
    },
    crate::{
        conf::{
            FaultKind,
            reader::{
                Faults, ObjectReader, Place, choice, flag, list, name, number, positive,
                reachable_address, text, whole, whole_u32,
            },
        },
        ids::ProviderName,
    },
    std::ops::RangeInclusive,
};

/// Thousandths in a whole.
const PER_MILLE: u32 = 1_000;
/// Thousandths in one hundredth.
const PER_MILLE_IN_PERCENT: u32 = 10;
/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;
/// Largest number that JSON tools keep exact.
const MAX_COUNT: u64 = (1 << 53) - 1;
/// Counts of things that there must be at least one of.
const COUNT: RangeInclusive<u64> = 1..=MAX_COUNT;
/// Longest time that a policy may state, in ms: a day.
const TIME_MS: RangeInclusive<u64> = 1..=86_400_000;

#[derive(Debug, Clone, Copy)]
enum Kind {
    Route,
    Account,
    Target,
    Policy,
}

const KINDS: [(&str, Kind); 4] = [
    ("route", Kind::Route),
    ("account", Kind::Account),
    ("target", Kind::Target),
    ("policy", Kind::Policy),
];

/// Reads `{ schema, kind, spec }`. An unknown schema is the only fault told, since its fields may
/// have any meaning.
pub(crate) fn read_record(place: &Place<'_>, faults: &mut Faults) -> Option<RecordBody> {
    let mut object = ObjectReader::open(place, faults)?;
    let schema = object.required("schema", "2", faults, whole_u32(0..=u32::MAX));
    if let Some(found) = schema.filter(|it| !(OLDEST_SCHEMA..=NEWEST_SCHEMA).contains(it)) {
        faults.add(place, FaultKind::UnknownSchema { found });
        return None;
    }
    let kind = object.required("kind", "\"route\"", faults, |at, faults| {
        choice(at, &KINDS, faults)
    });
    let body = object.required("spec", "{ … }", faults, |at, faults| {
        read_spec(at, schema?, kind?, faults)
    });
    object.close(faults);
    body
}

fn read_spec(
    place: &Place<'_>,
    schema: u32,
    kind: Kind,
    faults: &mut Faults,
) -> Option<RecordBody> {
    match kind {
        Kind::Route if schema == 1 => read_route_v1(place, faults).map(RecordBody::Route),
        Kind::Route => read_route_v2(place, faults).map(RecordBody::Route),
        Kind::Account => read_account(place, faults).map(RecordBody::Account),
        Kind::Target => read_target(place, faults).map(RecordBody::Target),
        Kind::Policy => read_policy(place, faults).map(RecordBody::Policy),
    }
}

/// Reads a route of schema 1, which states the share of the new provider in hundredths.
fn read_route_v1(place: &Place<'_>, faults: &mut Faults) -> Option<RouteRecord> {
    let mut object = ObjectReader::open(place, faults)?;
    let subject = object.required("subject", SUBJECT_EXAMPLE, faults, read_subject);
    let accounts = object.or("accounts", Vec::new(), faults, list(name));
    let callers = object.or("callers", Vec::new(), faults, list(name));
    let new_percent = object.required("new_share_percent", "10", faults, whole_u32(0..=100));
    let old_version = object.optional("old_version", faults, whole_u32(0..=u32::MAX));
    let new_version = object.optional("new_version", faults, whole_u32(0..=u32::MAX));
    object.close(faults);

    let new_per_mille = new_percent? * PER_MILLE_IN_PERCENT;
    let share = |provider: &str, version, share_per_mille| ProviderShare {
        provider: ProviderName::new(provider),
        version,
        share_per_mille,
    };
    Some(RouteRecord {
        subject: subject?,
        accounts: accounts?,
        callers: callers?,
        providers: vec![
            share("old", old_version?, PER_MILLE - new_per_mille),
            share("new", new_version?, new_per_mille),
        ],
    })
}

/// Reads a route of schema 2, which lists any number of providers.
fn read_route_v2(place: &Place<'_>, faults: &mut Faults) -> Option<RouteRecord> {
    let mut object = ObjectReader::open(place, faults)?;
    let subject = object.required("subject", SUBJECT_EXAMPLE, faults, read_subject);
    let accounts = object.or("accounts", Vec::new(), faults, list(name));
    let callers = object.or("callers", Vec::new(), faults, list(name));
    let providers = object.required("providers", PROVIDERS_EXAMPLE, faults, read_providers);
    object.close(faults);
    Some(RouteRecord {
        subject: subject?,
        accounts: accounts?,
        callers: callers?,
        providers: providers?,
    })
}

const SUBJECT_EXAMPLE: &str = "{ \"type\": \"model\", \"model\": \"assistant\" }";
const PROVIDERS_EXAMPLE: &str = "[{ \"provider\": \"old\", \"share_per_mille\": 1000 }]";

fn read_providers(place: &Place<'_>, faults: &mut Faults) -> Option<Vec<ProviderShare>> {
    let faults_before = faults.count();
    let providers = list(read_provider)(place, faults)?;
    if faults.count() > faults_before {
        return None;
    }
    let total = providers
        .iter()
        .map(|share| u64::from(share.share_per_mille))
        .sum();
    if total != u64::from(PER_MILLE) {
        faults.add(place, FaultKind::Shares { total });
        return None;
    }
    Some(providers)
}

fn read_provider(place: &Place<'_>, faults: &mut Faults) -> Option<ProviderShare> {
    let mut object = ObjectReader::open(place, faults)?;
    let provider = object.required("provider", "\"old\"", faults, name);
    let version = object.optional("version", faults, whole_u32(0..=u32::MAX));
    let share_per_mille =
        object.required("share_per_mille", "1000", faults, whole_u32(0..=PER_MILLE));
    object.close(faults);
    Some(ProviderShare {
        provider: provider?,
        version: version?,
        share_per_mille: share_per_mille?,
    })
}

#[derive(Debug, Clone, Copy)]
enum Subject {
    Model,
    Service,
}

const SUBJECTS: [(&str, Subject); 2] = [("model", Subject::Model), ("service", Subject::Service)];

fn read_subject(place: &Place<'_>, faults: &mut Faults) -> Option<RouteSubject> {
    let mut object = ObjectReader::open(place, faults)?;
    let kind = object.required("type", "\"model\"", faults, |at, faults| {
        choice(at, &SUBJECTS, faults)
    });
    let Some(kind) = kind else {
        object.close_untyped(faults);
        return None;
    };
    let subject = match kind {
        Subject::Model => {
            let model = object.required("model", "\"assistant\"", faults, name);
            let adapter = object.optional("adapter", faults, name);
            model
                .zip(adapter)
                .map(|(model, adapter)| RouteSubject::Model { model, adapter })
        }
        Subject::Service => {
            let service = object.required("service", "\"labels\"", faults, name);
            let idempotent = object.required("idempotent", "false", faults, flag);
            service
                .zip(idempotent)
                .map(|(service, idempotent)| RouteSubject::Service {
                    service,
                    idempotent,
                })
        }
    };
    object.close(faults);
    subject
}

fn read_account(place: &Place<'_>, faults: &mut Faults) -> Option<AccountRecord> {
    let mut object = ObjectReader::open(place, faults)?;
    let account = object.required("account", "\"members\"", faults, name);
    let key_sha256 = object.required("key_sha256", "[\"…\"]", faults, list(read_digest));
    let callers = object.or("callers", Vec::new(), faults, list(name));
    let requests_per_s = object.required("requests_per_s", "50", faults, positive);
    let tokens_per_s = object.required("tokens_per_s", "200000", faults, positive);
    let weight = object.or("weight", 1.0, faults, positive);
    object.close(faults);
    Some(AccountRecord {
        account: account?,
        key_sha256: key_sha256?,
        callers: callers?,
        requests_per_s: requests_per_s?,
        tokens_per_s: tokens_per_s?,
        weight: weight?,
    })
}

/// Reads a digest. The text is not repeated in a message: it may be the key itself.
fn read_digest(place: &Place<'_>, faults: &mut Faults) -> Option<String> {
    let digest = text(place, faults)?;
    if digest.len() == DIGEST_DIGITS && digest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Some(digest.to_ascii_lowercase());
    }
    let found = format!("a text of {} bytes", digest.len());
    let expected = "the SHA-256 digest of the key as 64 hexadecimal digits".to_owned();
    faults.add(place, FaultKind::OutOfRange { found, expected });
    None
}

fn read_target(place: &Place<'_>, faults: &mut Faults) -> Option<TargetRecord> {
    let mut object = ObjectReader::open(place, faults)?;
    let target = object.required("target", "\"engine-1\"", faults, name);
    let address = object.required(
        "address",
        "\"10.0.1.1:8000\"",
        faults,
        reachable_address(false),
    );
    let failure_domain = object.required("failure_domain", "\"a\"", faults, name);
    let provider = object.required("provider", "\"old\"", faults, name);
    let slots = object.required("slots", "16", faults, whole_u32(1..=u32::MAX));
    let role = object.required("role", ROLE_EXAMPLE, faults, read_role);
    object.close(faults);
    Some(TargetRecord {
        target: target?,
        address: address?,
        failure_domain: failure_domain?,
        provider: provider?,
        slots: slots?,
        role: role?,
    })
}

const ROLE_EXAMPLE: &str = "{ \"type\": \"service\", \"service\": \"labels\" }";

#[derive(Debug, Clone, Copy)]
enum Role {
    Engine,
    Service,
}

const ROLES: [(&str, Role); 2] = [("engine", Role::Engine), ("service", Role::Service)];

fn read_role(place: &Place<'_>, faults: &mut Faults) -> Option<TargetRole> {
    let mut object = ObjectReader::open(place, faults)?;
    let kind = object.required("type", "\"engine\"", faults, |at, faults| {
        choice(at, &ROLES, faults)
    });
    let Some(kind) = kind else {
        object.close_untyped(faults);
        return None;
    };
    let role = match kind {
        Role::Engine => read_engine(&mut object, faults),
        Role::Service => object
            .required("service", "\"labels\"", faults, name)
            .map(|service| TargetRole::Service { service }),
    };
    object.close(faults);
    role
}

fn read_engine(object: &mut ObjectReader<'_>, faults: &mut Faults) -> Option<TargetRole> {
    let models = object.required("models", MODELS_EXAMPLE, faults, list(read_served));
    let memory_tokens = object.required("memory_tokens", "400000", faults, whole(COUNT));
    let prefill_tokens_per_s =
        object.required("prefill_tokens_per_s", "20000", faults, whole(COUNT));
    let enforces_fencing = object.required("enforces_fencing", "true", faults, flag);
    Some(TargetRole::Engine {
        models: models?,
        memory_tokens: memory_tokens?,
        prefill_tokens_per_s: prefill_tokens_per_s?,
        enforces_fencing: enforces_fencing?,
    })
}

const MODELS_EXAMPLE: &str = "[{ \"model\": \"assistant\", \"version\": 1 }]";

fn read_served(place: &Place<'_>, faults: &mut Faults) -> Option<ServedModel> {
    let mut object = ObjectReader::open(place, faults)?;
    let model = object.required("model", "\"assistant\"", faults, name);
    let adapter = object.optional("adapter", faults, name);
    let version = object.required("version", "1", faults, whole_u32(0..=u32::MAX));
    object.close(faults);
    Some(ServedModel {
        model: model?,
        adapter: adapter?,
        version: version?,
    })
}

fn read_policy(place: &Place<'_>, faults: &mut Faults) -> Option<PolicyRecord> {
    let absent = PolicyRecord::default();
    let mut object = ObjectReader::open(place, faults)?;
    let long_weight = object.or(
        "long_first_token_weight",
        absent.long_first_token_weight,
        faults,
        number(0.0..=1.0),
    );
    let short_weight = object.or(
        "short_slowdown_weight",
        absent.short_slowdown_weight,
        faults,
        number(0.0..=1.0),
    );
    let long_prompt_tokens = object.or(
        "long_prompt_tokens",
        absent.long_prompt_tokens,
        faults,
        whole(COUNT),
    );
    let platform_reads_per_s = object.or(
        "platform_reads_per_s",
        absent.platform_reads_per_s,
        faults,
        positive,
    );
    let retry_budget_per_mille = object.or(
        "retry_budget_per_mille",
        absent.retry_budget_per_mille,
        faults,
        whole_u32(0..=PER_MILLE),
    );
    let poison_targets = object.or(
        "poison_targets",
        absent.poison_targets,
        faults,
        whole_u32(1..=u32::MAX),
    );
    let entries_ttl_ms = object.or(
        "entries_ttl_ms",
        absent.entries_ttl_ms,
        faults,
        whole(TIME_MS),
    );
    let max_deadline_ms = object.or(
        "max_deadline_ms",
        absent.max_deadline_ms,
        faults,
        whole(TIME_MS),
    );
    object.close(faults);
    Some(PolicyRecord {
        long_first_token_weight: long_weight?,
        short_slowdown_weight: short_weight?,
        long_prompt_tokens: long_prompt_tokens?,
        platform_reads_per_s: platform_reads_per_s?,
        retry_budget_per_mille: retry_budget_per_mille?,
        poison_targets: poison_targets?,
        entries_ttl_ms: entries_ttl_ms?,
        max_deadline_ms: max_deadline_ms?,
    })
}
