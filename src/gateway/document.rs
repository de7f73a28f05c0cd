//! The operator's document: routes, services, limits and keys, arranged for look-ups.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use thiserror::Error;

use crate::{
    collections::Map,
    kernel::id::{Service, Workspace},
};

/// What may be done with a call that has no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// It may run more than once.
    Repeatable,
    /// It runs once at most.
    AtMostOnce,
    /// Its answer is a series of events.
    Stream {
        /// Whether another upstream may continue the series after an event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a call that may have run may be sent again from its start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }

    /// Whether the answer is passed on event by event.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Where calls of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub latency_target: Duration,
    /// 0 goes first.
    pub priority: u8,
    /// The services, with their shares of the calls.
    pub backends: Vec<(Service, u32)>,
    /// Upstreams on which one call may run.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
}

/// A KV store, which keeps prompts that engines have read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KvStore {
    /// Where it serves.
    pub address: SocketAddr,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
}

/// A service, as far as the operator describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// The service.
    pub name: Service,
    /// Tokens that an engine's memory holds; `None` for a service that is no engine.
    pub capacity_tokens: Option<u64>,
    /// Present if it is a KV store.
    pub kv_store: Option<KvStore>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// How long a connection may be idle; callers count on it.
    pub idle: Duration,
}

/// A workspace that calls with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tenant {
    /// The workspace.
    pub workspace: Workspace,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt with others.
    pub isolated: bool,
}

/// The parts of a document, as they were read.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentParts {
    /// Rises with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceConfig>,
    /// The limits for callers.
    pub limits: Limits,
    /// The workspaces with their keys.
    pub tenants: Vec<(Tenant, Vec<String>)>,
}

/// Why a document can't be in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// A prefix that no path can be compared with.
    #[error("route {0:?}: the prefix must begin and end with a slash")]
    InvalidPrefix(String),
    /// A route that leads nowhere.
    #[error("route {0:?}: it has no service with a share above zero")]
    NoBackends(String),
}

/// A document that is arranged for look-ups.
#[derive(Debug)]
pub struct Document {
    /// Rises with each change.
    pub version: u64,
    /// The limits for callers.
    pub limits: Limits,
    hosts: Map<String, Vec<Arc<Route>>>,
    keys: Map<String, Arc<Tenant>>,
    services: Map<Service, ServiceConfig>,
    kv_store: Option<KvStore>,
    engine_tokens: u64,
    keyed: bool,
}

impl Document {
    /// Checks and arranges a document.
    ///
    /// # Errors
    ///
    /// The first [`DocumentError`].
    pub fn new(parts: DocumentParts) -> Result<Document, DocumentError> {
        let mut hosts: Map<String, Vec<Arc<Route>>> = Map::default();
        for route in parts.routes {
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(DocumentError::InvalidPrefix(route.name));
            }
            if route.backends.iter().all(|(_, share)| *share == 0) {
                return Err(DocumentError::NoBackends(route.name));
            }
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let keyed = !parts.tenants.is_empty();
        let mut keys = Map::default();
        for (tenant, own) in parts.tenants {
            let tenant = Arc::new(tenant);
            keys.extend(own.into_iter().map(|key| (key, tenant.clone())));
        }
        let engines = parts.services.iter().filter_map(|it| it.capacity_tokens);
        let engine_tokens = engines.min().unwrap_or_default();
        let kv_store = parts.services.iter().find_map(|it| it.kv_store);
        let services = parts.services.into_iter().map(|it| (it.name.clone(), it));
        Ok(Document {
            version: parts.version,
            limits: parts.limits,
            hosts,
            keys,
            services: services.collect(),
            kv_store,
            engine_tokens,
            keyed,
        })
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// Whether calls on a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.keyed && !route.public
    }

    /// The workspace that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    /// The KV store, if there is one.
    pub fn kv_store(&self) -> Option<KvStore> {
        self.kv_store
    }

    /// Tokens of an engine's memory: the smallest, if services differ.
    pub fn engine_tokens(&self) -> u64 {
        self.engine_tokens
    }

    /// A service.
    pub fn service(&self, name: &Service) -> Option<&ServiceConfig> {
        self.services.get(name)
    }
}

impl Route {
    /// The service for a call, by the shares; `random` is a fresh random number.
    pub fn service(&self, random: u64) -> &Service {
        let total: u64 = self.backends.iter().map(|(_, share)| u64::from(*share)).sum();
        let mut left = random % total.max(1);
        for (service, share) in &self.backends {
            let share = u64::from(*share);
            if left < share {
                return service;
            }
            left -= share;
        }
        &self.backends[0].0
    }
}
