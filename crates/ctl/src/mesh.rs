//! The configuration on the users' platform as operators read it: its tree
//! (site, organisation's host, service, route), and what changed between two.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use filbert_policy::routing::{ConfigVersion, RouteKind, RouteRule};
use serde::Serialize;

/// One route with everything that it inherits or sets, as text by key.
pub type RouteKeys = BTreeMap<String, String>;

/// A version flattened: a path `HOST/SERVICE/ROUTE` and its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MeshTree {
    /// The version's number.
    pub version: u64,
    /// Settings of the whole site.
    pub site: RouteKeys,
    /// Routes by path.
    pub routes: BTreeMap<String, RouteKeys>,
}

impl MeshTree {
    /// Flattens a version.
    #[must_use]
    pub fn of(version: &ConfigVersion) -> MeshTree {
        let limits = &version.limits;
        let site = RouteKeys::from([
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
            .map(|route| (path_of(route), keys_of(route)))
            .collect();
        MeshTree {
            version: version.number,
            site,
            routes,
        }
    }

    /// The tree as indented text; only routes whose path begins with `below`.
    #[must_use]
    pub fn text(&self, below: &str) -> String {
        let mut text = format!("site (version {:08x})\n", self.version);
        for (key, value) in &self.site {
            let _ = writeln!(text, "  {key} = {value}");
        }
        let mut last: Vec<&str> = Vec::new();
        for (path, keys) in self
            .routes
            .iter()
            .filter(|(path, _)| path.starts_with(below))
        {
            let parts: Vec<&str> = path.split('/').collect();
            let same = parts
                .iter()
                .zip(&last)
                .take_while(|(new, old)| new == old)
                .count();
            for (depth, part) in parts.iter().enumerate().skip(same) {
                let _ = writeln!(text, "{}{part}", "  ".repeat(depth + 1));
            }
            for (key, value) in keys {
                let _ = writeln!(text, "{}{key} = {value}", "  ".repeat(parts.len() + 1));
            }
            last = parts;
        }
        text
    }

    /// What changes from `older` to this tree, a line a key.
    #[must_use]
    pub fn changes_since(&self, older: &MeshTree) -> Vec<String> {
        let (old, new) = (older.flat(), self.flat());
        let mut lines = Vec::new();
        for (key, was) in &old {
            match new.get(key) {
                None => lines.push(format!("- {key} = {was}")),
                Some(is) if is != was => lines.push(format!("~ {key} = {was} -> {is}")),
                Some(_) => {}
            }
        }
        for (key, is) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
            lines.push(format!("+ {key} = {is}"));
        }
        lines
    }

    fn flat(&self) -> BTreeMap<String, &str> {
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

fn path_of(route: &RouteRule) -> String {
    let service = route
        .parts
        .iter()
        .max_by_key(|part| part.weight)
        .map_or("-", |part| part.service.as_str());
    format!("{}/{service}/{}", route.host, route.name)
}

fn keys_of(route: &RouteRule) -> RouteKeys {
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
    RouteKeys::from([
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

/// What a host's daemon says of itself in its metrics.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// The service of its target.
    pub service: String,
    /// The daemon's own words; `None` when it does not answer.
    pub daemon: Option<DaemonReadings>,
}

/// Readings of one daemon's metrics.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DaemonReadings {
    /// Version in force; 0 when there is none.
    pub version: u64,
    /// Links to other daemons that are up.
    pub links: u64,
    /// Calls at the target.
    pub running: u64,
    /// Calls that wait for it.
    pub waiting: u64,
    /// Share of its recent runs that ended ill, 0 to 1.
    pub ill_share: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

impl DaemonReadings {
    /// Reads the text exposition of a daemon's metrics; `None` when it names
    /// no version.
    #[must_use]
    pub fn read(text: &str) -> Option<DaemonReadings> {
        Some(DaemonReadings {
            version: reading(text, "filbert_version")?,
            links: reading(text, "filbert_links").unwrap_or_default(),
            running: reading(text, "filbert_gate_running").unwrap_or_default(),
            waiting: reading(text, "filbert_gate_waiting").unwrap_or_default(),
            ill_share: reading(text, "filbert_target_ill_share").unwrap_or_default(),
            memory_bytes: reading(text, "process_resident_memory_bytes").unwrap_or_default(),
        })
    }
}

/// The value of the first sample called `name`.
fn reading<T: FromStr>(text: &str, name: &str) -> Option<T> {
    let is_named = |line: &&str| {
        line.strip_prefix(name)
            .is_some_and(|rest| rest.starts_with(['{', ' ']))
    };
    let sample = text.lines().find(is_named)?;
    sample.rsplit(' ').next()?.parse().ok()
}

/// Adds what a daemon's metrics say of organisations' calls, by organisation and
/// verdict.
pub fn organisation_calls(text: &str, calls: &mut BTreeMap<(String, String), u64>) {
    let named = text
        .lines()
        .filter_map(|line| line.strip_prefix("filbert_organisation_calls{organisation=\""));
    for line in named {
        let Some((name, rest)) = line.split_once("\",verdict=\"") else {
            continue;
        };
        let Some((verdict, count)) = rest.split_once("\"} ") else {
            continue;
        };
        if let Ok(count) = count.parse::<u64>() {
            let key = (unescaped(name), verdict.to_owned());
            *calls.entry(key).or_default() += count;
        }
    }
}

fn unescaped(label: &str) -> String {
    let mut text = String::with_capacity(label.len());
    let mut letters = label.chars();
    while let Some(letter) = letters.next() {
        if letter != '\\' {
            text.push(letter);
            continue;
        }
        match letters.next() {
            Some('n') => text.push('\n'),
            Some(escaped) => text.push(escaped),
            None => {}
        }
    }
    text
}
