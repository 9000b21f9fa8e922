use {
    super::name_index::NameIndex,
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

/// Records in force, indexed for routing and admission. Where several declare one account or
/// target, the one with the lowest key counts.
#[derive(Debug, Default)]
pub struct InForce {
    by_key: HashMap<RecordKey, BodyLocation>,
    routes: BTreeMap<RecordKey, RouteRecord>,
    accounts: NameIndex<AccountName, AccountRecord>,
    targets: NameIndex<TargetName, TargetRecord>,
    target_names: BTreeSet<TargetName>,
    policies: BTreeMap<RecordKey, PolicyRecord>,
    default_policy: PolicyRecord,
}

/// Index that holds the body of a key.
#[derive(Debug)]
enum BodyLocation {
    Route,
    Account(AccountName),
    Target(TargetName),
    Policy,
}

impl InForce {
    /// Replaces the body of a key; `None` removes it.
    pub(super) fn set(&mut self, key: &RecordKey, body: Option<RecordBody>) {
        self.remove(key);
        let Some(body) = body else { return };
        let location = match body {
            RecordBody::Route(route) => {
                self.routes.insert(key.clone(), route);
                BodyLocation::Route
            }
            RecordBody::Account(account) => {
                let name = account.account.clone();
                self.accounts.insert(name.clone(), key, account);
                BodyLocation::Account(name)
            }
            RecordBody::Target(target) => {
                let name = target.target.clone();
                self.targets.insert(name.clone(), key, target);
                self.target_names.insert(name.clone());
                BodyLocation::Target(name)
            }
            RecordBody::Policy(policy) => {
                self.policies.insert(key.clone(), policy);
                BodyLocation::Policy
            }
        };
        self.by_key.insert(key.clone(), location);
    }

    fn remove(&mut self, key: &RecordKey) {
        match self.by_key.remove(key) {
            None => {}
            Some(BodyLocation::Route) => drop(self.routes.remove(key)),
            Some(BodyLocation::Account(name)) => self.accounts.remove(&name, key),
            Some(BodyLocation::Target(name)) => self.remove_target(&name, key),
            Some(BodyLocation::Policy) => drop(self.policies.remove(key)),
        }
    }

    fn remove_target(&mut self, name: &TargetName, key: &RecordKey) {
        self.targets.remove(name, key);
        if self.targets.get(name).is_none() {
            self.target_names.remove(name);
        }
    }

    /// Returns the account of this name; `None` if no record in force declares it.
    pub fn account(&self, account: &AccountName) -> Option<&AccountRecord> {
        self.accounts.get(account)
    }

    /// Returns all accounts, in no particular order.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountRecord> {
        self.accounts.values()
    }

    /// Returns the target of this name; `None` if no record in force declares it.
    pub fn target(&self, target: &TargetName) -> Option<&TargetRecord> {
        self.targets.get(target)
    }

    /// Returns the key of the record that declares a target.
    pub fn key_of_target(&self, target: &TargetName) -> Option<&RecordKey> {
        self.targets.key(target)
    }

    /// Returns all targets, sorted by name.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.target_names
            .iter()
            .filter_map(|name| self.targets.get(name))
    }

    /// Returns the policy record of the lowest key, or the default policy if there is none.
    pub fn policy(&self) -> &PolicyRecord {
        self.policies
            .values()
            .next()
            .unwrap_or(&self.default_policy)
    }

    /// Returns the most specific route for a model: routes that name the caller come first, then
    /// those that name the account, then those for all. Among equals the highest key wins.
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

    /// Returns the most specific route for a service without a model.
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

    /// Returns whether any route names the model, for any account.
    pub fn knows_model(&self, model: &ModelName) -> bool {
        self.routes.values().any(
            |route| matches!(&route.subject, RouteSubject::Model { model: m, .. } if m == model),
        )
    }

    /// Returns whether any route names the service, for any account.
    pub fn knows_service(&self, service: &ServiceName) -> bool {
        self.routes.values().any(
            |route| matches!(&route.subject, RouteSubject::Service { service: s, .. } if s == service),
        )
    }

    fn route(
        &self,
        account: &AccountName,
        caller: Option<&CallerName>,
        matches_subject: impl Fn(&RouteSubject) -> bool,
    ) -> Option<(&RecordKey, &RouteRecord)> {
        self.routes
            .iter()
            .filter(|(_, route)| matches_subject(&route.subject))
            .filter(|(_, route)| route.accounts.is_empty() || route.accounts.contains(account))
            .filter(|(_, route)| {
                route.callers.is_empty() || caller.is_some_and(|c| route.callers.contains(c))
            })
            .max_by_key(|(_, route)| (!route.callers.is_empty(), !route.accounts.is_empty()))
    }
}
