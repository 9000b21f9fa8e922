use crate::{
    conf::{
        FaultKind,
        reader::{
            Faults, Location, ObjectReader, boolean, choice, integer_u32, list, name, url_safe_name,
        },
    },
    ids::ProviderName,
    record::{ProviderShare, RouteRecord, RouteSubject},
};

/// Sum of the shares of a route, in thousandths.
const PER_MILLE: u32 = 1_000;
/// Thousandths per hundredth.
const PER_MILLE_PER_PERCENT: u32 = 10;

/// Reads a route in schema 1, which gives the share of the provider `new` in hundredths; the rest
/// goes to `old`.
pub(super) fn read_route_v1(location: &Location<'_>, faults: &mut Faults) -> Option<RouteRecord> {
    let mut object = ObjectReader::open(location, faults)?;
    let subject = object.required("subject", SUBJECT_EXAMPLE, faults, read_subject);
    let accounts = object.with_default("accounts", Vec::new(), faults, list(url_safe_name));
    let callers = object.with_default("callers", Vec::new(), faults, list(url_safe_name));
    let new_percent = object.required("new_share_percent", "10", faults, integer_u32(0..=100));
    let old_version = object.optional("old_version", faults, integer_u32(0..=u32::MAX));
    let new_version = object.optional("new_version", faults, integer_u32(0..=u32::MAX));
    object.finish(faults);

    let new_per_mille = new_percent? * PER_MILLE_PER_PERCENT;
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

/// Reads a route in schema 2, which lists any number of providers with their shares.
pub(super) fn read_route_v2(location: &Location<'_>, faults: &mut Faults) -> Option<RouteRecord> {
    let mut object = ObjectReader::open(location, faults)?;
    let subject = object.required("subject", SUBJECT_EXAMPLE, faults, read_subject);
    let accounts = object.with_default("accounts", Vec::new(), faults, list(url_safe_name));
    let callers = object.with_default("callers", Vec::new(), faults, list(url_safe_name));
    let providers = object.required("providers", PROVIDERS_EXAMPLE, faults, read_providers);
    object.finish(faults);
    Some(RouteRecord {
        subject: subject?,
        accounts: accounts?,
        callers: callers?,
        providers: providers?,
    })
}

const SUBJECT_EXAMPLE: &str = "{ \"type\": \"model\", \"model\": \"assistant\" }";
const PROVIDERS_EXAMPLE: &str = "[{ \"provider\": \"old\", \"share_per_mille\": 1000 }]";

fn read_providers(location: &Location<'_>, faults: &mut Faults) -> Option<Vec<ProviderShare>> {
    let faults_before = faults.count();
    let providers = list(read_provider)(location, faults)?;
    if faults.count() > faults_before {
        return None;
    }
    let total = providers
        .iter()
        .map(|share| u64::from(share.share_per_mille))
        .sum();
    if total != u64::from(PER_MILLE) {
        faults.add(location, FaultKind::ShareSum { total });
        return None;
    }
    Some(providers)
}

fn read_provider(location: &Location<'_>, faults: &mut Faults) -> Option<ProviderShare> {
    let mut object = ObjectReader::open(location, faults)?;
    let provider = object.required("provider", "\"old\"", faults, name);
    let version = object.optional("version", faults, integer_u32(0..=u32::MAX));
    let share_per_mille = object.required(
        "share_per_mille",
        "1000",
        faults,
        integer_u32(0..=PER_MILLE),
    );
    object.finish(faults);
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

fn read_subject(location: &Location<'_>, faults: &mut Faults) -> Option<RouteSubject> {
    let mut object = ObjectReader::open(location, faults)?;
    let kind = object.required("type", "\"model\"", faults, |at, faults| {
        choice(at, &SUBJECTS, faults)
    });
    let Some(kind) = kind else {
        object.finish_untyped(faults);
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
            let service = object.required("service", "\"labels\"", faults, url_safe_name);
            let idempotent = object.required("idempotent", "false", faults, boolean);
            service
                .zip(idempotent)
                .map(|(service, idempotent)| RouteSubject::Service {
                    service,
                    idempotent,
                })
        }
    };
    object.finish(faults);
    subject
}
