//! Configuration versions and the lookup of the route for a call.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::organisations::keys::{KeyIndex, OrganisationRule};

/// Type of a route, which determines whether its calls may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Calls may run more than once.
    Idempotent,
    /// Calls run at most once.
    NonIdempotent,
    /// Calls have large answers and may run more than once.
    Download,
}

impl RouteKind {
    /// Whether a call on such a route may safely run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        !matches!(self, RouteKind::NonIdempotent)
    }
}

/// A service that a route sends calls to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePart {
    /// The name of the service.
    pub service: String,
    /// Share of the route's calls, relative to the weights of its other parts.
    pub weight: u32,
}

/// A rule that sends calls with a given host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The route's name, unique within a configuration version.
    pub name: String,
    /// The host name in the caller's request, matched without regard to case.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// The route type, which determines whether calls may run more than once.
    pub kind: RouteKind,
    /// Maximum time from a call's arrival until its deadline.
    pub timeout: Duration,
    /// Time from the client's first try of a call until the call's soft deadline; an
    /// earlier answer has its full value (`target_latency` in the settings).
    pub soft_deadline: Duration,
    /// Maximum number of targets that a call is sent to.
    pub max_attempts: u32,
    /// Priority of the route's calls; 0 is the highest.
    pub priority: u8,
    /// The services that receive the route's calls; never empty.
    pub parts: Vec<RoutePart>,
    /// Whether calls are accepted without an API key.
    pub is_public: bool,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The service's name.
    pub name: String,
    /// Path of the targets' health check.
    pub health_path: String,
    /// Maximum number of connections to one target from all its clients together.
    pub max_connections: u32,
}

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum length of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay open without a call.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Limits that apply until a configuration version is known: values that are
    /// common in small HTTP servers.
    fn default() -> Self {
        ClientLimits {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    /// The version number; a later version has a higher number.
    pub number: u64,
    /// All routes; an unchanged route is shared with the previous version.
    pub routes: Vec<Arc<RouteRule>>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    /// All organisations; if there are none, no call needs an API key.
    pub organisations: Vec<Arc<OrganisationRule>>,
}

/// A configuration version, indexed for route lookup.
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
    /// Builds the index of `version`.
    #[must_use]
    pub fn compile(version: ConfigVersion) -> RouteIndex {
        let organisations = KeyIndex::compile(version.organisations);
        let priorities = version.routes.iter().map(|route| route.priority);
        let lowest_priority = priorities.chain(organisations.lowest_priority()).max();
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

    /// The version number; 0 for an empty index.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether the version contains a service of this name.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.services.iter().any(|rule| rule.name == service)
    }

    /// The organisations and their API keys.
    #[must_use]
    pub fn organisations(&self) -> &KeyIndex {
        &self.organisations
    }

    /// The lowest priority (highest number) of any route or organisation.
    #[must_use]
    pub fn lowest_priority(&self) -> u8 {
        self.lowest_priority
    }

    /// The longest timeout of the routes that lead to `service`; zero if there is
    /// none.
    #[must_use]
    pub fn longest_timeout(&self, service: &str) -> Duration {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let leads_to_service = |route: &&Arc<RouteRule>| {
            let mut parts = route.parts.iter();
            parts.any(|part| part.service == service)
        };
        let timeouts = routes.filter(leads_to_service).map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Limits on client requests.
    #[must_use]
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the route of `host` (with or without a port) whose prefix is the
    /// longest one matching `path_and_query`; `None` if there is no match.
    ///
    /// Prefixes end with a slash, so only the positions of slashes in the path
    /// are tried. The cost grows with the depth of the path, not with the number
    /// of routes.
    #[must_use]
    pub fn lookup(&self, host: &str, path_and_query: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let path = path_and_query.split(['?', '#']).next().unwrap_or_default();
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
