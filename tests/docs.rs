//! The settings reference in `docs/RUNNING.md`, checked against the settings
//! the daemon reads.

use std::collections::BTreeMap;

use filbert_daemon::DaemonSettings;

const REFERENCE: &str = include_str!("../docs/RUNNING.md");
const EXAMPLE: &str = include_str!("../examples/daemon.toml");
/// Keys without a default.
const REQUIRED: [&str; 6] = [
    "id",
    "zone",
    "proxy_listen",
    "admin_listen",
    "relay_listen",
    "platform",
];

/// Every key of the settings, dotted, with its value as text.
fn flatten(prefix: &str, value: &serde_json::Value, keys: &mut BTreeMap<String, String>) {
    if let serde_json::Value::Object(table) = value {
        for (key, value) in table {
            let dotted = match prefix {
                "" => key.clone(),
                _ => format!("{prefix}.{key}"),
            };
            flatten(&dotted, value, keys);
        }
    } else {
        let text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        keys.insert(prefix.to_owned(), text);
    }
}

/// The rows of the reference: key and default.
fn reference_rows() -> BTreeMap<String, String> {
    REFERENCE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| {
            let (key, rest) = line.split_once("` | ")?;
            let (default, _) = rest.split_once(" | ")?;
            Some((key.to_owned(), default.trim_matches('`').to_owned()))
        })
        .collect()
}

fn defaults() -> BTreeMap<String, String> {
    // The keys before the first table are the required ones.
    let required = EXAMPLE.split("\n[").next().unwrap_or_default();
    let settings = DaemonSettings::parse(required).expect("the example's required keys parse");
    let mut keys = BTreeMap::new();
    let value = serde_json::to_value(&settings).expect("settings are JSON");
    flatten("", &value, &mut keys);
    keys
}

#[test]
fn reference_lists_every_setting_with_its_default() {
    let rows = reference_rows();
    for (key, default) in defaults() {
        let shown = rows.get(&key);
        assert!(shown.is_some(), "`{key}` is missing from docs/RUNNING.md");
        let expected = match key.as_str() {
            key if REQUIRED.contains(&key) => "required",
            "relay_advertise" => "relay_listen",
            _ => default.as_str(),
        };
        assert_eq!(shown.map(String::as_str), Some(expected), "`{key}`");
    }
}

#[test]
fn reference_lists_no_setting_that_is_not_read() {
    let known = defaults();
    for key in reference_rows().keys().filter(|key| !key.contains(' ')) {
        assert!(known.contains_key(key), "`{key}` is not a setting");
    }
}

#[test]
fn example_settings_are_valid() {
    DaemonSettings::parse(EXAMPLE).expect("examples/daemon.toml parses");
}
