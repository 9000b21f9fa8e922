use {
    super::claims::Claims,
    std::collections::{BTreeMap, BTreeSet, HashMap},
    whinlatch_wire::{
        ids::{
            AccountName, AdapterName, CallerName, ModelName, RecordKey, ServiceName, TargetName,
        },
        record::{
            AccountRecord, PolicyRecord, RecordBody, RouteRecord, RouteSubject, TargetRecord,
        },
    },
};

/// The records in force, indexed for decisions. Where several name one account or target, the one
/// with the lowest key is in force.
#[derive(Debug, Default)]
pub struct InForce {
    by_key: HashMap<RecordKey, Place>,
    routes: BTreeMap<RecordKey, RouteRecord>,
    accounts: Claims<AccountName, AccountRecord>,
    targets: Claims<TargetName, TargetRecord>,
    target_names: BTreeSet<TargetName>,
    policies: BTreeMap<RecordKey, PolicyRecord>,
    default_policy: PolicyRecord,
}

/// Where a key's body stands.
#[derive(Debug)]
enum Place {
    Route,
    Account(AccountName),
    Target(TargetName),
    Policy,
}

impl InForce {
    /// Replaces the body of a key; `None` takes it out.
    pub(super) fn set(&mut self, key: &RecordKey, body: Option<RecordBody>) {
        self.take_out(key);
        let Some(body) = body else { return };
        let place = match body {
            RecordBody::Route(route) => {
                self.routes.insert(key.clone(), route);
                Place::Route
            }
            RecordBody::Account(account) => {
                let name = account.account.clone();
                self.accounts.insert(name.clone(), key, account);
                Place::Account(name)
            }
            RecordBody::Target(target) => {
                let name = target.target.clone();
                self.targets.insert(name.clone(), key, target);
                self.target_names.insert(name.clone());
                Place::Target(name)
            }
            RecordBody::Policy(policy) => {
                self.policies.insert(key.clone(), policy);
                Place::Policy
            }
        };
        self.by_key.insert(key.clone(), place);
    }

    fn take_out(&mut self, key: &RecordKey) {
        match self.by_key.remove(key) {
            None => {}
            Some(Place::Route) => drop(self.routes.remove(key)),
            Some(Place::Account(name)) => self.accounts.remove(&name, key),
            Some(Place::Target(name)) => self.take_target_out(&name, key),
            Some(Place::Policy) => drop(self.policies.remove(key)),
        }
    }

    fn take_target_out(&mut self, name: &TargetName, key: &RecordKey) {
        self.targets.remove(name, key);
        if self.targets.get(name).is_none() {
            self.target_names.remove(name);
        }
    }

    /// The account of a name.
    pub fn account(&self, account: &AccountName) -> Option<&AccountRecord> {
        self.accounts.get(account)
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountRecord> {
        self.accounts.values()
    }

    /// The target of a name.
    pub fn target(&self, target: &TargetName) -> Option<&TargetRecord> {
        self.targets.get(target)
    }

    /// Key of the record that names a target.
    pub fn key_of_target(&self, target: &TargetName) -> Option<&RecordKey> {
        self.targets.key(target)
    }

    /// All targets by name.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.target_names
            .iter()
            .filter_map(|name| self.targets.get(name))
    }

    /// The policy in force: that of the lowest key, else the default.
    pub fn policy(&self) -> &PolicyRecord {
        self.policies
            .values()
            .next()
            .unwrap_or(&self.default_policy)
    }

    /// The route for a model, most specific first: one that names the account goes before one
    /// for all.
    pub fn model_route(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        account: &AccountName,
        caller: Option<&CallerName>,
    ) -> Option<(&RecordKey, &RouteRecord)> {
        self.route(account, caller, |subject| match subject {
            RouteSubject::Model {
                model: m,
                adapter: a,
            } => m == model && a.as_ref() == adapter,
            RouteSubject::Service { .. } => false,
        })
    }

    /// The route for a plain service.
    pub fn service_route(
        &self,
        service: &ServiceName,
        account: &AccountName,
        caller: Option<&CallerName>,
    ) -> Option<(&RecordKey, &RouteRecord)> {
        self.route(account, caller, |subject| match subject {
            RouteSubject::Service { service: s, .. } => s == service,
            RouteSubject::Model { .. } => false,
        })
    }

    /// Whether any route names the model, for whichever account.
    pub fn knows_model(&self, model: &ModelName) -> bool {
        self.routes.values().any(
            |route| matches!(&route.subject, RouteSubject::Model { model: m, .. } if m == model),
        )
    }

    /// Whether any route names the service, for whichever account.
    pub fn knows_service(&self, service: &ServiceName) -> bool {
        self.routes.values().any(
            |route| matches!(&route.subject, RouteSubject::Service { service: s, .. } if s == service),
        )
    }

    fn route(
        &self,
        account: &AccountName,
        caller: Option<&CallerName>,
        fits: impl Fn(&RouteSubject) -> bool,
    ) -> Option<(&RecordKey, &RouteRecord)> {
        self.routes
            .iter()
            .filter(|(_, route)| fits(&route.subject))
            .filter(|(_, route)| route.accounts.is_empty() || route.accounts.contains(account))
            .filter(|(_, route)| {
                route.callers.is_empty() || caller.is_some_and(|c| route.callers.contains(c))
            })
            .max_by_key(|(_, route)| (!route.callers.is_empty(), !route.accounts.is_empty()))
    }
}
