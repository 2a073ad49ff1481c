//! The routing table: routes by host and longest path prefix, services and client accounts.

use std::{sync::Arc, time::Duration};

use crate::names::{FastMap, Name};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each request id.
    NonIdempotent,
    /// Answered by a stream of events.
    Stream {
        /// Whether another server may go on after the last whole event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its part, in relation to the sum of all weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in the operators' lists.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Latency objective: to the whole answer, or to the first event of a stream.
    pub objective: Duration,
    /// Longest pause between events that still meets the objective.
    pub gap_objective: Duration,
    /// Rank of the route's requests; zero goes first.
    pub priority: u8,
    /// Servers that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// Models to choose from, smallest first; empty if the caller names its model.
    pub sizes: Vec<Name>,
    /// Where requests go.
    pub targets: Vec<Target>,
}

impl Route {
    /// The service of a request whose hash is `point`.
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

/// A model that the servers of a service offer.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelOffer {
    /// Name of the model.
    pub name: Name,
    /// Price for 1,000 generated tokens; tokens read count as a quarter.
    pub cost: f64,
}

/// Model engines behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine keeps in memory.
    pub kv_capacity_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Models on offer, smallest first.
    pub models: Vec<ModelOffer>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Connections that one server takes from all callers together.
    pub max_connections: u32,
    /// Its engines, if it runs models.
    pub engine: Option<EngineSpec>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name that servers are told.
    pub name: Name,
    /// Rank of its requests, which goes before the route's.
    pub priority: Option<u8>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, bytes.
    pub max_header_bytes: usize,
    /// Largest body, bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head, once begun.
    pub header_timeout: Duration,
    /// Longest time for a body, once begun.
    pub body_timeout: Duration,
    /// Longest time between two requests of a connection.
    pub idle_timeout: Duration,
    /// Longest time that a caller may take nothing of a stream, if there is a limit.
    pub stall_timeout: Option<Duration>,
}

/// One version of the routing table.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Version that operators gave it; higher ones are newer.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    routes: FastMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: FastMap<Name, Arc<ServiceSpec>>,
    /// Client accounts by key; empty if no request needs one.
    pub accounts: FastMap<Name, Arc<Account>>,
    /// Whether requests need a key.
    pub needs_keys: bool,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// A table of `routes` and `services` without client accounts.
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
            limits,
        }
    }

    /// The same table with client accounts by their keys.
    pub fn with_accounts(mut self, accounts: Vec<(Name, Arc<Account>)>) -> Self {
        self.accounts = accounts.into_iter().collect();
        self.needs_keys = true;
        self
    }

    /// The route of a request: the one of its host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }
}
