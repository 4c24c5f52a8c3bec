//! What operators see of the users' platform: the configuration as a tree (site, host
//! name, service, route), the differences between two configurations, and values from the
//! daemons' metrics.

mod budget;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use filbert_policy::routing::{ConfigVersion, RouteKind, RouteRule};
use serde::Serialize;

pub use budget::{BudgetShare, ClientBudget};

/// Settings of the site or of a route, as text by key.
pub type SettingValues = BTreeMap<String, String>;

/// A version of the configuration as a tree, with routes by path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigTree {
    /// Number of the version.
    pub version: u64,
    /// Limits that apply to all routes.
    pub site: SettingValues,
    /// Settings of each route, by its path `HOST/SERVICE/ROUTE`.
    pub routes: BTreeMap<String, SettingValues>,
}

impl ConfigTree {
    /// Converts a version of the configuration.
    #[must_use]
    pub fn from_version(version: &ConfigVersion) -> ConfigTree {
        let limits = &version.limits;
        let site = SettingValues::from([
            ("head_bytes".to_owned(), limits.head_bytes.to_string()),
            ("body_bytes".to_owned(), limits.body_bytes.to_string()),
            (
                "head_ms".to_owned(),
                limits.head_timeout.as_millis().to_string(),
            ),
            (
                "idle_ms".to_owned(),
                limits.idle_timeout.as_millis().to_string(),
            ),
        ]);
        let routes = version
            .routes
            .iter()
            .map(|route| (route_path(route), route_settings(route)))
            .collect();
        ConfigTree {
            version: version.number,
            site,
            routes,
        }
    }

    /// Formats the tree as indented text, with only the routes whose path starts with
    /// `path_prefix`.
    #[must_use]
    pub fn to_text(&self, path_prefix: &str) -> String {
        let mut text = format!("site (version {:08x})\n", self.version);
        for (key, value) in &self.site {
            let _ = writeln!(text, "  {key} = {value}");
        }
        let mut last_parts: Vec<&str> = Vec::new();
        for (path, keys) in self
            .routes
            .iter()
            .filter(|(path, _)| path.starts_with(path_prefix))
        {
            let parts: Vec<&str> = path.split('/').collect();
            let shared_depth = parts
                .iter()
                .zip(&last_parts)
                .take_while(|(new, old)| new == old)
                .count();
            for (depth, part) in parts.iter().enumerate().skip(shared_depth) {
                let _ = writeln!(text, "{}{part}", "  ".repeat(depth + 1));
            }
            for (key, value) in keys {
                let _ = writeln!(text, "{}{key} = {value}", "  ".repeat(parts.len() + 1));
            }
            last_parts = parts;
        }
        text
    }

    /// Lists the changes from `older` to this tree, one line per key: removed (`-`),
    /// changed (`~`) or added (`+`).
    #[must_use]
    pub fn changes_since(&self, older: &ConfigTree) -> Vec<String> {
        let (before, after) = (older.flatten(), self.flatten());
        let mut lines = Vec::new();
        for (key, old) in &before {
            match after.get(key) {
                None => lines.push(format!("- {key} = {old}")),
                Some(new) if new != old => lines.push(format!("~ {key} = {old} -> {new}")),
                Some(_) => {}
            }
        }
        for (key, new) in after.iter().filter(|(key, _)| !before.contains_key(*key)) {
            lines.push(format!("+ {key} = {new}"));
        }
        lines
    }

    /// Returns the values of all keys, by `site.KEY` or `HOST/SERVICE/ROUTE.KEY`.
    fn flatten(&self) -> BTreeMap<String, &str> {
        let site = self
            .site
            .iter()
            .map(|(key, value)| (format!("site.{key}"), value.as_str()));
        let routes = self.routes.iter().flat_map(|(path, keys)| {
            keys.iter()
                .map(move |(key, value)| (format!("{path}.{key}"), value.as_str()))
        });
        site.chain(routes).collect()
    }
}

/// Returns the path `HOST/SERVICE/ROUTE` of `route`, with its service of the largest
/// weight.
fn route_path(route: &RouteRule) -> String {
    let service = route
        .parts
        .iter()
        .max_by_key(|part| part.weight)
        .map_or("-", |part| part.service.as_str());
    format!("{}/{service}/{}", route.host, route.name)
}

fn route_settings(route: &RouteRule) -> SettingValues {
    let parts: Vec<String> = route
        .parts
        .iter()
        .map(|part| format!("{}:{}", part.service, part.weight))
        .collect();
    let kind = match route.kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "at most once",
        RouteKind::Download => "download",
    };
    SettingValues::from([
        ("prefix".to_owned(), route.prefix.clone()),
        ("kind".to_owned(), kind.to_owned()),
        (
            "timeout_ms".to_owned(),
            route.timeout.as_millis().to_string(),
        ),
        (
            "aim_ms".to_owned(),
            route.soft_deadline.as_millis().to_string(),
        ),
        ("max_attempts".to_owned(), route.max_attempts.to_string()),
        ("priority".to_owned(), route.priority.to_string()),
        ("parts".to_owned(), parts.join(" ")),
    ])
}

/// A host and the metrics of its daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Service of the host's target.
    pub service: String,
    /// Metrics of the daemon; `None` if it does not answer or they have no version.
    pub daemon: Option<DaemonMetrics>,
}

/// Values from one daemon's metrics.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DaemonMetrics {
    /// Number of the version in force; 0 if there is none.
    pub version: u64,
    /// Number of links to other daemons that are up.
    pub links: u64,
    /// Number of calls that the target is running.
    pub running: u64,
    /// Number of calls that wait for the target.
    pub waiting: u64,
    /// Fraction of the target's recent runs that failed, 0 to 1.
    pub ill_share: f64,
    /// Calls per second that the target accepts; `None` if it states no limit.
    pub call_limit: Option<f64>,
    /// Run times of the target now, as a ratio of the usual ones; `None` if the daemon
    /// does not measure it.
    pub pace: Option<f64>,
    /// Whether the target is shutting down.
    pub is_leaving: bool,
    /// Resident memory of the daemon in bytes.
    pub memory_bytes: u64,
    /// What the daemon holds for clients.
    pub clients: ClientBudget,
}

impl DaemonMetrics {
    /// Parses metrics in the Prometheus text format. Returns `None` if they have no
    /// version; other missing values become 0.
    #[must_use]
    pub fn parse(text: &str) -> Option<DaemonMetrics> {
        Some(DaemonMetrics {
            version: metric_value(text, "filbert_version")?,
            links: metric_value(text, "filbert_links").unwrap_or_default(),
            running: metric_value(text, "filbert_gate_running").unwrap_or_default(),
            waiting: metric_value(text, "filbert_gate_waiting").unwrap_or_default(),
            ill_share: metric_value(text, "filbert_target_ill_share").unwrap_or_default(),
            call_limit: metric_value(text, "filbert_target_call_limit")
                .filter(|limit: &f64| limit.is_finite()),
            pace: metric_value(text, "filbert_target_pace"),
            is_leaving: metric_value(text, "filbert_target_leaving") == Some(1),
            memory_bytes: metric_value(text, "process_resident_memory_bytes").unwrap_or_default(),
            clients: ClientBudget::parse(text),
        })
    }
}

/// Returns the samples of the metric `name`, a line each.
fn samples<'a>(text: &'a str, name: &'a str) -> impl Iterator<Item = &'a str> {
    text.lines().filter(move |line| {
        line.strip_prefix(name)
            .is_some_and(|rest| rest.starts_with(['{', ' ']))
    })
}

/// Returns the value of the first sample of the metric `name`; `None` if there is none
/// or its value does not parse.
fn metric_value<T: FromStr>(text: &str, name: &str) -> Option<T> {
    let sample = samples(text, name).next()?;
    sample.rsplit(' ').next()?.parse().ok()
}
