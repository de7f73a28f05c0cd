//! The operator's document: routes, services, limits and keys, indexed for lookup.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use thiserror::Error;

use crate::{
    collections::{Map, Set},
    gateway::{
        quota::Quota,
        salt::{Owner, Owners},
    },
    kernel::id::{Service, Workspace},
    route::pool::name_hash,
};

/// How a route's calls may be retried when there is no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The call may be executed more than once.
    Repeatable,
    /// The call must be executed at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream may resume the stream after a given event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a call that may have been executed may be retried from the start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Repeatable | Kind::Stream { resumable: true })
    }

    /// Whether the response is forwarded event by event.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// Routing rule for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host name that callers request, case-insensitive.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Retry rule for calls on this route.
    pub kind: Kind,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency objective: the response time up to which an answer has its full value. A call waits
    /// for capacity no longer than this, and it enters into the timeout of attempts.
    pub latency_objective: Duration,
    /// Priority with which engines schedule the calls; 0 is the highest.
    pub priority: u8,
    /// Services with their traffic weights.
    pub backends: Vec<(Service, u32)>,
    /// Maximum number of upstreams that may execute one call.
    pub max_attempts: u32,
    /// Whether calls need no key.
    pub public: bool,
}

/// A KV store, which caches prompts that engines have processed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KvStore {
    /// Address of its server.
    pub address: SocketAddr,
    /// Capacity in tokens.
    pub capacity_tokens: u64,
}

impl KvStore {
    /// The number of its cache in estimates of what caches hold.
    pub fn cache(&self) -> u64 {
        name_hash(&self.address.to_string())
    }
}

/// The operator's settings for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the service.
    pub name: Service,
    /// KV cache capacity of each upstream in tokens; `None` if the upstreams are not engines.
    pub capacity_tokens: Option<u64>,
    /// Set if the service is a KV store.
    pub kv_store: Option<KvStore>,
}

/// Limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum total size of request headers in bytes.
    pub header_bytes: usize,
    /// How long a connection stays open while idle; callers rely on being able to reuse it.
    pub idle: Duration,
}

/// A workspace that authenticates with a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the workspace.
    pub workspace: Workspace,
    /// Overrides the route's priority.
    pub priority: Option<u8>,
    /// Whether cached prompts are not shared with other workspaces.
    pub isolated: bool,
    /// What it may use; `None` for any amount.
    pub quota: Option<Quota>,
}

/// Decoded contents of a document, before validation.
#[derive(Clone, Debug, PartialEq)]
pub struct Parts {
    /// Increases with each change.
    pub version: u64,
    /// Routing rules.
    pub routes: Vec<Route>,
    /// Service settings.
    pub services: Vec<Settings>,
    /// Limits for callers.
    pub limits: Limits,
    /// Workspaces with their keys; `None` if calls need no keys. Without any workspace, no key is valid.
    pub tenants: Option<Vec<(Tenant, Vec<String>)>>,
}

/// Why a document is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A route's prefix lacks a leading or trailing slash.
    #[error("route {0:?}: prefix must start and end with a slash")]
    InvalidPrefix(String),
    /// A route has no backend with a positive weight.
    #[error("route {0:?}: no service has a weight above zero")]
    NoBackends(String),
}

/// A validated document, indexed for lookup.
#[derive(Debug)]
pub struct Document {
    /// Increases with each change.
    pub version: u64,
    /// Limits for callers.
    pub limits: Limits,
    hosts: Map<String, Vec<Arc<Route>>>,
    keys: Map<String, Arc<Tenant>>,
    quotas: Map<u64, Quota>,
    owners: Owners,
    services: Map<Service, Settings>,
    kv_stores: Vec<KvStore>,
    engine_tokens: u64,
    requires_keys: bool,
    prioritised: Set<Service>,
    resumable: Set<Service>,
}

impl Document {
    /// Validates and indexes a document.
    ///
    /// # Errors
    ///
    /// The first [`Error`](enum@Error) found.
    pub fn new(parts: Parts) -> Result<Document, Error> {
        let prioritised = prioritised(&parts.routes);
        let resumable = resumable(&parts.routes);
        let mut hosts: Map<String, Vec<Arc<Route>>> = Map::default();
        for route in parts.routes {
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(Error::InvalidPrefix(route.name));
            }
            if route.backends.iter().all(|(_, weight)| *weight == 0) {
                return Err(Error::NoBackends(route.name));
            }
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let requires_keys = parts.tenants.is_some();
        let tenants = parts.tenants.unwrap_or_default();
        let (mut keys, mut quotas) = (Map::default(), Map::default());
        let isolated = tenants.iter().filter(|(tenant, _)| tenant.isolated);
        let owners = Owners::new(&isolated.map(|(it, _)| it.workspace.clone()).collect());
        for (tenant, tenant_keys) in tenants {
            quotas.extend(tenant.quota.map(|it| (name_hash(tenant.workspace.as_str()), it)));
            let tenant = Arc::new(tenant);
            keys.extend(tenant_keys.into_iter().map(|key| (key, tenant.clone())));
        }
        let engine_capacities = parts.services.iter().filter_map(|it| it.capacity_tokens);
        let engine_tokens = engine_capacities.min().unwrap_or_default();
        let kv_stores = parts.services.iter().filter_map(|it| it.kv_store).collect();
        let services = parts.services.into_iter().map(|it| (it.name.clone(), it));
        Ok(Document {
            version: parts.version,
            limits: parts.limits,
            hosts,
            keys,
            quotas,
            owners,
            services: services.collect(),
            kv_stores,
            engine_tokens,
            requires_keys,
            prioritised,
            resumable,
        })
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// Whether calls on a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.public
    }

    /// Returns the workspace that owns a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    /// Whose cached prompts a call of a workspace may use. A call that began while its workspace was
    /// isolated keeps to its own.
    pub fn cache_owner(&self, tenant: Option<&Tenant>) -> Arc<Owner> {
        let owner = self.owners.of(tenant.map(|it| &it.workspace));
        match tenant {
            Some(it) if it.isolated && !owner.is_isolated() => {
                Arc::new(Owner::isolated(&it.workspace))
            }
            _ => owner.clone(),
        }
    }

    /// The quota of the workspace whose name has this hash.
    pub fn quota(&self, workspace: u64) -> Option<Quota> {
        self.quotas.get(&workspace).copied()
    }

    /// Whether a service is in the document, with settings or as the backend of a route.
    pub fn has_service(&self, name: &Service) -> bool {
        let mut backends =
            self.hosts.values().flatten().flat_map(|it| &it.backends).map(|(service, _)| service);
        self.services.contains_key(name) || backends.any(|it| it == name)
    }

    /// Returns all KV stores.
    pub fn kv_stores(&self) -> &[KvStore] {
        &self.kv_stores
    }

    /// KV cache capacity of an engine in tokens; the smallest one if services differ, 0 if
    /// there are no engines.
    pub fn engine_tokens(&self) -> u64 {
        self.engine_tokens
    }

    /// Whether the routes to a service differ in priority, so that its calls wait in one queue.
    pub fn is_prioritised(&self, service: &Service) -> bool {
        self.prioritised.contains(service)
    }

    /// Whether callers may resume streams of a service.
    pub fn is_resumable(&self, service: &Service) -> bool {
        self.resumable.contains(service)
    }

    /// Looks up the settings of a service.
    pub fn service(&self, name: &Service) -> Option<&Settings> {
        self.services.get(name)
    }
}

/// The services with a route whose streams may be resumed.
fn resumable(routes: &[Route]) -> Set<Service> {
    let routes = routes.iter().filter(|it| it.kind == Kind::Stream { resumable: true });
    routes.flat_map(|it| &it.backends).map(|(service, _)| service.clone()).collect()
}

/// The services whose routes differ in priority.
fn prioritised(routes: &[Route]) -> Set<Service> {
    let mut priorities: Map<&Service, u8> = Map::default();
    let mut prioritised = Set::default();
    for route in routes {
        for (service, weight) in &route.backends {
            if *weight > 0 && *priorities.entry(service).or_insert(route.priority) != route.priority
            {
                prioritised.insert(service.clone());
            }
        }
    }
    prioritised
}

impl Route {
    /// Picks a service by weight; `random` must be a new random number for each call.
    pub fn service(&self, random: u64) -> &Service {
        let total: u64 = self.backends.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = random % total.max(1);
        for (service, weight) in &self.backends {
            let weight = u64::from(*weight);
            if remaining < weight {
                return service;
            }
            remaining -= weight;
        }
        &self.backends[0].0
    }
}
