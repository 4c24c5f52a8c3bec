//! Versions of the configuration and the lookup of a call's route.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::organisations::keys::{KeyIndex, OrganisationRule};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Calls may run more than once.
    Idempotent,
    /// Calls run at most once.
    NonIdempotent,
    /// Large answers; calls may run more than once.
    Download,
}

impl RouteKind {
    /// Whether running a call twice does no harm.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        !matches!(self, RouteKind::NonIdempotent)
    }
}

/// One destination of a route and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePart {
    /// The service whose targets take this part.
    pub service: String,
    /// Its share, relative to the route's other parts.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The route's name, unique in a version.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest a call may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub aim: Duration,
    /// Targets a call may be sent to at most.
    pub max_attempts: u32,
    /// Rank of its calls; 0 goes first.
    pub priority: u8,
    /// Where its calls go; never empty.
    pub parts: Vec<RoutePart>,
    /// Whether its calls need no key.
    pub is_open: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections one target takes from everybody together.
    pub max_connections: u32,
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Time from a head's first byte to its last.
    pub head_time: Duration,
    /// Time a connection may stay open without a call.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    /// Limits until a version is known: the usual of small HTTP servers.
    fn default() -> Self {
        ClientLimits {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One whole version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshVersion {
    /// Its number; numbers only grow.
    pub number: u64,
    /// Every route; those that stay are shared with the version before.
    pub routes: Vec<Arc<RouteRule>>,
    /// Every service.
    pub services: Vec<ServiceRule>,
    /// What callers may send.
    pub limits: ClientLimits,
    /// Every organisation; with none, no call needs a key.
    pub organisations: Vec<Arc<OrganisationRule>>,
}

/// A version compiled for lookups.
#[derive(Debug, Default)]
pub struct RouteIndex {
    number: u64,
    limits: ClientLimits,
    lowest_priority: u8,
    services: Vec<ServiceRule>,
    organisations: KeyIndex,
    hosts: HashMap<String, HashMap<String, Arc<RouteRule>>>,
}

impl RouteIndex {
    /// Compiles `version`.
    #[must_use]
    pub fn compile(version: MeshVersion) -> RouteIndex {
        let organisations = KeyIndex::compile(version.organisations);
        let ranks = version.routes.iter().map(|route| route.priority);
        let lowest_priority = ranks.chain(organisations.lowest_priority()).max();
        let mut hosts: HashMap<String, HashMap<String, Arc<RouteRule>>> = HashMap::new();
        for route in version.routes {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.prefix.clone(), route);
        }
        RouteIndex {
            number: version.number,
            limits: version.limits,
            lowest_priority: lowest_priority.unwrap_or(0),
            services: version.services,
            organisations,
            hosts,
        }
    }

    /// The version's number; 0 for the empty index.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether the version names `service`.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.services.iter().any(|rule| rule.name == service)
    }

    /// Organisations and their keys.
    #[must_use]
    pub fn organisations(&self) -> &KeyIndex {
        &self.organisations
    }

    /// The least urgent rank of any call.
    #[must_use]
    pub fn lowest_priority(&self) -> u8 {
        self.lowest_priority
    }

    /// Longest time for which a call to `service` is worked on.
    #[must_use]
    pub fn longest_timeout(&self, service: &str) -> Duration {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let leads_there = |route: &&Arc<RouteRule>| {
            let mut parts = route.parts.iter();
            parts.any(|part| part.service == service)
        };
        let timeouts = routes.filter(leads_there).map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// What callers may send.
    #[must_use]
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// The route with the longest prefix that begins `target` (a path with or
    /// without a query) on `host` (with or without a port).
    ///
    /// Prefixes end with a slash, so only the path's own cuts are tried: the
    /// cost grows with the path's depth, not with the number of routes.
    #[must_use]
    pub fn lookup(&self, host: &str, target: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}
