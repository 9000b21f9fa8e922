use {
    super::{Account, Limits, Route, Service},
    crate::names::{AccountName, ServiceName},
    std::{collections::HashMap, sync::Arc},
    thiserror::Error,
};

/// Reason for which the configuration rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RouteError {
    /// No route has this host and path.
    #[error("no route matches the request: check host and path")]
    NoRoute,
    /// The route requires a key, and the key is missing or not valid.
    #[error("the key is missing or not valid: present a key of the client account")]
    UnknownKey,
}

/// One version of the published configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Version number; a higher one replaces this configuration.
    pub version: u64,
    /// Limits of what callers may send.
    pub limits: Limits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    accounts: HashMap<String, (AccountName, Option<u8>)>,
    needs_keys: bool,
    has_cold_starts: bool,
}

impl Configuration {
    /// Builds a configuration and its indexes by host, key and service name.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
    ) -> Self {
        let needs_keys = !accounts.is_empty();
        let has_cold_starts = services.iter().any(|service| service.cold_start.is_some());
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut by_key = HashMap::new();
        for account in accounts {
            for key in account.keys {
                by_key.insert(key, (account.name.clone(), account.priority));
            }
        }
        Self {
            version,
            limits,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            accounts: by_key,
            needs_keys,
            has_cold_starts,
        }
    }

    /// Returns the route of the host with the longest prefix that matches the path. A port after the host
    /// and a query after the path are ignored. Hosts are compared without regard to case.
    ///
    /// # Errors
    /// [`RouteError::NoRoute`].
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, RouteError> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or(path);
        self.routes
            .get(&name)
            .and_then(|routes| {
                routes
                    .iter()
                    .find(|route| path.starts_with(route.prefix.as_str()))
            })
            .ok_or(RouteError::NoRoute)
    }

    /// Returns whether there is a route of this name.
    pub fn has_route_named(&self, name: &str) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| route.name == name)
    }

    /// Returns the account and priority that belong to a key; `None` where the request has no valid key and
    /// needs none: the route is public, or no account is published.
    ///
    /// # Errors
    /// [`RouteError::UnknownKey`].
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<(&AccountName, Option<u8>)>, RouteError> {
        let known = key.and_then(|key| self.accounts.get(key));
        match known {
            Some((name, priority)) => Ok(Some((name, *priority))),
            None if route.public || !self.needs_keys => Ok(None),
            None => Err(RouteError::UnknownKey),
        }
    }

    /// Returns whether the targets of any service are cold after a start.
    pub fn has_cold_starts(&self) -> bool {
        self.has_cold_starts
    }

    /// Returns the names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}
