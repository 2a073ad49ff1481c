//! Routing table: routes by host name and longest path prefix, services and client accounts.

use std::{sync::Arc, time::Duration};

use crate::{
    cold_pace::ColdPace,
    names::{FastMap, Name},
};

/// Kind of a route's requests, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// A request runs at most once for each request id.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another server may resume after the last complete event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Share of the requests, relative to the sum of all weights.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in the configuration.
    pub name: Name,
    /// Host name that callers use.
    pub host: Name,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: RouteKind,
    /// Time limit of a request.
    pub timeout: Duration,
    /// Latency objective for the complete response, or for the first event of a stream.
    pub objective: Duration,
    /// Objective for the time between two events of a stream.
    pub gap_objective: Duration,
    /// Priority of the route's requests; zero is the highest.
    pub priority: u8,
    /// Largest number of attempts that run or may have run a request; those that servers refused to
    /// run do not count.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_anonymous: bool,
    /// Models to choose from, smallest first; empty if the caller names the model.
    pub sizes: Vec<Name>,
    /// Services that receive the requests.
    pub targets: Vec<Target>,
    /// Regions in which requests may run; empty if all are allowed.
    pub allowed_regions: Vec<Name>,
}

impl Route {
    /// Returns the service for a request with the hash `point`.
    pub fn service_at(&self, point: u64) -> Option<&Name> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = point % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// A model that a service offers.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelOffer {
    /// Name of the model.
    pub name: Name,
    /// Price of 1,000 generated tokens; prompt tokens are charged at a quarter of it.
    pub cost: f64,
}

/// Model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, tokens.
    pub kv_capacity_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Offered models, smallest first.
    pub models: Vec<ModelOffer>,
}

/// A service and the properties of its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Largest number of connections that one server accepts from all hosts together; zero means no
    /// limit.
    pub max_connections: u32,
    /// What a server bears after its start; `None` if it is never cold.
    pub cold_pace: Option<ColdPace>,
    /// Model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name that is forwarded to servers.
    pub name: Name,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may run; empty if all are allowed.
    pub allowed_regions: Vec<Name>,
}

/// Whether requests of a route and an account may run in a region, which is none for a zone without
/// a mapping. Both lists apply.
pub fn is_region_allowed(route: &Route, account: Option<&Account>, region: Option<&str>) -> bool {
    let account_regions = account.map_or(&[][..], |account| &account.allowed_regions);
    [&route.allowed_regions[..], account_regions]
        .into_iter()
        .filter(|allowed| !allowed.is_empty())
        .all(|allowed| region.is_some_and(|region| allowed.iter().any(|it| **it == *region)))
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, bytes. Not applied: the listener has a buffer of fixed size.
    pub max_header_bytes: usize,
    /// Largest body, bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head; the listener adds it to `idle_timeout`.
    pub header_timeout: Duration,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Time limit between two requests on a connection.
    pub idle_timeout: Duration,
    /// Time limit for a caller that does not read its stream; `None` means no limit.
    pub stall_timeout: Option<Duration>,
}

/// A version of the routing table.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Version number set by operators; higher is newer.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    routes: FastMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: FastMap<Name, Arc<ServiceSpec>>,
    /// Client accounts by API key; empty if no request needs one.
    pub accounts: FastMap<Name, Arc<Account>>,
    /// Whether requests need an API key.
    pub needs_keys: bool,
    /// Whether a service names a pace for its cold servers.
    pub has_cold_pace: bool,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// Creates a table without client accounts.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: FastMap<Name, Vec<Arc<Route>>> = FastMap::default();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let has_cold_pace = services.iter().any(|service| service.cold_pace.is_some());
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            routes: by_host,
            services,
            accounts: FastMap::default(),
            needs_keys: false,
            has_cold_pace,
            limits,
        }
    }

    /// Adds client accounts by their API keys and makes a key required.
    pub fn with_accounts(mut self, accounts: Vec<(Name, Arc<Account>)>) -> Self {
        self.accounts = accounts.into_iter().collect();
        self.needs_keys = true;
        self
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the route for a request: among those of the host, the one with the longest prefix of
    /// the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }
}
