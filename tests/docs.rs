//! Checks the settings reference in `docs/RUNNING.md`, the example settings and
//! the platform's settings template against the settings that the daemons read.

use std::collections::BTreeMap;

use filbert_daemon::DaemonSettings;

const REFERENCE: &str = include_str!("../docs/RUNNING.md");
const EXAMPLE: &str = include_str!("../examples/daemon.toml");
/// Required keys, which have no default.
const REQUIRED_KEYS: [&str; 6] = [
    "id",
    "zone",
    "proxy_listen",
    "admin_listen",
    "relay_listen",
    "platform",
];

/// Adds every key below `prefix` to `keys`, dotted, with its value as text.
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

/// Every key that the reference lists, with its default.
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

/// Every key that the daemon reads, with its default or, for a required key, the
/// value in the example.
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
            key if REQUIRED_KEYS.contains(&key) => "required",
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

/// Every key in the platform's settings template must be listed in the reference
/// as a mesh setting, and the daemon must be able to read a filled-in template.
#[test]
fn platform_template_matches_the_reference_and_the_daemon() {
    const TEMPLATE: &str = include_str!("../platform/settings.toml.in");
    let mut table = String::new();
    let mut filled = String::new();
    for line in TEMPLATE.lines() {
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            table = format!("{name}.");
            filled += line;
            filled += "\n";
        } else if let Some((key, _)) = line.split_once(" = ") {
            let listed = format!("| mesh `{table}{key}` | ");
            assert!(REFERENCE.contains(&listed), "{listed} is missing");
            let value = match (table.as_str(), key) {
                ("", "first_start") => "true",
                ("", "zones") => "[\"text\"]",
                ("", "target") | ("listen.", _) => "\"127.0.0.1:1\"",
                ("times." | "withdrawal.", _) | ("retry." | "quota.", "window") => "\"1500ms\"",
                ("retry." | "rollout." | "quota.", _) | ("link.", "mbps") => "0.2",
                ("machine.", _) => "100",
                _ => "\"text\"",
            };
            filled += key;
            filled += " = ";
            filled += value;
            filled += "\n";
        }
    }
    filbert_mesh::MeshSettings::parse(&filled).expect("the daemon reads the template");
}

/// Reads mesh settings with one invalid line. The error message must contain the
/// faulty key or value.
#[rstest::rstest]
#[case("ratio = 0.2", "ratio = 2.0", "retry.ratio")]
#[case("ratio = 0.2", "ratio = 2.0", "line 16,")]
#[case("slack = 60", "slack = 60\nslack = 61", "slack")]
#[case("grace = \"6s\"", "grace = \"6\"", "`6` is no time")]
#[case("zone = \"a\"", "zone = \"\"", "key `zone`")]
#[case("zone = \"a\"", "zon = \"a\"", "zon")]
#[case(
    "window = \"10s\"",
    "window = \"10s\"\n[machine]\nmemory_mb = 8",
    "line 20, key `machine.memory_mb`"
)]
#[case(
    "window = \"10s\"",
    "window = \"10s\"\n[machine]\ndescriptors = 8",
    "key `machine.descriptors`"
)]
fn mesh_settings_error_names_the_faulty_key_or_value(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = "id = \"h\"\nzone = \"a\"\nservice = \"s\"\ntarget = \"127.0.0.1:1\"\nstore = \"127.0.0.1:2\"\n[listen]\ncalls = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\nready = \"127.0.0.1:5\"\ncontrol = \"127.0.0.1:6\"\n[times]\nreport_every = \"1s\"\ndrain = \"2s\"\ngrace = \"6s\"\n[retry]\nratio = 0.2\nslack = 60\nwindow = \"10s\"\n";
    filbert_mesh::MeshSettings::parse(text).expect("the valid settings parse");
    let faulty = text.replace(from, to);
    let report = filbert_mesh::MeshSettings::parse(&faulty).expect_err("the settings are invalid");
    let message = format!("{report:?}");
    assert!(message.contains(expected), "{expected} is not in {message}");
}
