use crate::{
    conf::reader::{
        Faults, Location, ObjectReader, boolean, choice, integer, integer_u32, list, name,
        reachable_address, url_safe_name,
    },
    record::{ServedModel, TargetRecord, TargetRole, read::NONZERO_COUNT},
};

pub(super) fn read_target(location: &Location<'_>, faults: &mut Faults) -> Option<TargetRecord> {
    let mut object = ObjectReader::open(location, faults)?;
    let target = object.required("target", "\"engine-1\"", faults, name);
    let address = object.required(
        "address",
        "\"10.0.1.1:8000\"",
        faults,
        reachable_address(false),
    );
    let failure_domain = object.required("failure_domain", "\"a\"", faults, name);
    let provider = object.required("provider", "\"old\"", faults, name);
    let slots = object.required("slots", "16", faults, integer_u32(1..=u32::MAX));
    let role = object.required("role", ROLE_EXAMPLE, faults, read_role);
    object.finish(faults);
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

fn read_role(location: &Location<'_>, faults: &mut Faults) -> Option<TargetRole> {
    let mut object = ObjectReader::open(location, faults)?;
    let kind = object.required("type", "\"engine\"", faults, |at, faults| {
        choice(at, &ROLES, faults)
    });
    let Some(kind) = kind else {
        object.finish_untyped(faults);
        return None;
    };
    let role = match kind {
        Role::Engine => read_engine(&mut object, faults),
        Role::Service => object
            .required("service", "\"labels\"", faults, url_safe_name)
            .map(|service| TargetRole::Service { service }),
    };
    object.finish(faults);
    role
}

fn read_engine(object: &mut ObjectReader<'_>, faults: &mut Faults) -> Option<TargetRole> {
    let models = object.required("models", MODELS_EXAMPLE, faults, list(read_served));
    let memory_tokens = object.required("memory_tokens", "400000", faults, integer(NONZERO_COUNT));
    let prefill_tokens_per_s = object.required(
        "prefill_tokens_per_s",
        "20000",
        faults,
        integer(NONZERO_COUNT),
    );
    let enforces_fencing = object.required("enforces_fencing", "true", faults, boolean);
    Some(TargetRole::Engine {
        models: models?,
        memory_tokens: memory_tokens?,
        prefill_tokens_per_s: prefill_tokens_per_s?,
        enforces_fencing: enforces_fencing?,
    })
}

const MODELS_EXAMPLE: &str = "[{ \"model\": \"assistant\", \"version\": 1 }]";

fn read_served(location: &Location<'_>, faults: &mut Faults) -> Option<ServedModel> {
    let mut object = ObjectReader::open(location, faults)?;
    let model = object.required("model", "\"assistant\"", faults, name);
    let adapter = object.optional("adapter", faults, name);
    let version = object.required("version", "1", faults, integer_u32(0..=u32::MAX));
    object.finish(faults);
    Some(ServedModel {
        model: model?,
        adapter: adapter?,
        version: version?,
    })
}
