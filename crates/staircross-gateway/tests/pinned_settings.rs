//! Tests that settings keep their keys, their defaults and the texts of errors.

use staircross_gateway::GatewaySettings;
use std::fmt::Write;

/// Settings without any optional key.
const REQUIRED: &str = r#"[node]
name = "n1"
zone = "hall"
region = "north"
[listen]
callers = "127.0.0.1:7001"
readiness = "127.0.0.1:7002"
directory = "127.0.0.1:7003"
peers = "127.0.0.1:7004"
[zones]
hall = "north"
[store]
address = "127.0.0.1:7010"
[bounds]
extra_ratio = 0.2
extra_window_s = 10
extra_slack = 58
drain_ms = 3000
config_ms = 3000
stop_s = 6
directory_ttl_s = 5
"#;

/// Optional keys, by the table that they are added to.
const OPTIONAL: [(&str, &str); 3] = [
    ("[node]", "seeds = [\"127.0.0.1:7104\"]\nfirst_start = true\nrecord = \"/tmp/r\"\nrecord_mb = 5\nlog = false\n"),
    ("[listen]", "metrics = \"127.0.0.1:7005\"\n"),
    (
        "[bounds]",
        "cold_factor = 2\ncold_slack = 3\nquota_window_s = 2\nquota_over = 0.1\nquota_slack = 4\nevacuate_ms = 3000\n\
         revoke_ms = 3000\nrevoke_strict = true\n",
    ),
];
const LIMITS: &str = "[limits]\nmemory_mb = 512\ndescriptors = 4096\nlink_mbps = 20\n";
const ROUTING_POLICY: [&str; 16] = [
    "hedges",
    "hedge_pressure",
    "avoid_slow",
    "avoid_overdue",
    "reported_host",
    "hedge_by_budget",
    "avoid_rejecting",
    "near_first",
    "admission",
    "waiting",
    "connection_ramp",
    "start_rest",
    "holds",
    "quarantine",
    "first_probes",
    "caller_distance",
];
const NODE_POLICY: [&str; 5] = ["proving", "contested_rest", "serving_part", "store_readers", "probe_first"];

fn outcome(text: &str) -> String {
    match GatewaySettings::from_toml("node.toml", text) {
        Ok(_) => "taken\n".to_owned(),
        Err(error) => format!("{error}\n"),
    }
}

#[test]
fn every_key_is_taken() {
    let mut text = REQUIRED.to_owned();
    for (table, keys) in OPTIONAL {
        text = text.replace(table, &format!("{table}\n{keys}"));
    }
    text.push_str(LIMITS);
    text.push_str("[policy.routing]\n");
    ROUTING_POLICY.iter().for_each(|key| text.push_str(&format!("{key} = false\n")));
    text.push_str("[policy.node]\n");
    NODE_POLICY.iter().for_each(|key| text.push_str(&format!("{key} = false\n")));
    assert_eq!(outcome(&text), "taken\n");
}

#[test]
fn unknown_keys_are_told_with_all_that_are_known() {
    let mut text = String::new();
    for table in ["[node]", "[listen]", "[store]", "[bounds]"] {
        text.push_str(&outcome(&REQUIRED.replace(table, &format!("{table}\ncolour = 1"))));
    }
    for table in ["[limits]", "[policy]", "[policy.routing]", "[policy.node]", "[colours]"] {
        text.push_str(&outcome(&format!("{REQUIRED}{table}\ncolour = 1\n")));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn missing_keys_are_told() {
    let mut text = String::new();
    for line in REQUIRED.lines().filter(|line| !line.starts_with("hall")) {
        write!(text, "without {line}: {}", outcome(&REQUIRED.replace(line, ""))).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(text);
}

/// Sets each key in turn to values that are out of range or of a wrong type.
#[test]
fn bad_values_are_told_with_what_is_allowed() {
    let lines = REQUIRED.lines().chain(OPTIONAL.iter().flat_map(|(_, keys)| keys.lines())).chain(LIMITS.lines());
    let mut text = String::new();
    for key in lines.filter_map(|line| line.split_once(" = ")).map(|(key, _)| key) {
        for bad in ["-1", "1e12", "nan", "\"x\""] {
            let Some(whole) = with_value(key, bad) else { continue };
            write!(text, "{key} = {bad}: {}", outcome(&whole)).expect("writing to a string succeeds");
        }
    }
    insta::assert_snapshot!(text);
}

/// Returns the settings with the given value for `key`, or `None` if there is no such key.
fn with_value(key: &str, value: &str) -> Option<String> {
    let line = format!("{key} = {value}");
    let old = REQUIRED.lines().find(|line| line.split(" = ").next() == Some(key));
    if let Some(old) = old {
        return Some(REQUIRED.replace(old, &line));
    }
    if LIMITS.contains(&format!("{key} = ")) {
        return Some(format!("{REQUIRED}[limits]\n{line}\n"));
    }
    let (table, _) =
        OPTIONAL.iter().find(|(_, keys)| keys.lines().any(|line| line.split(" = ").next() == Some(key)))?;
    Some(REQUIRED.replace(table, &format!("{table}\n{line}")))
}

#[test]
fn defaults() {
    let settings = GatewaySettings::from_toml("node.toml", REQUIRED).expect("the settings are good");
    let (bounds, limits, node) = (settings.bounds, settings.limits, settings.node);
    let text = format!(
        "seeds {:?}\nfirst_start {}\nrecord {:?}\nrecord_mb {}\nlog {}\nmetrics {:?}\ncold_factor {}\ncold_slack {}\n\
         quota_window_s {}\nquota_over {}\nquota_slack {}\nevacuate_ms {:?}\nrevoke_ms {:?}\nrevoke_strict {}\n\
         memory_mb {}\ndescriptors {}\nlink_mbps {}\n",
        node.seeds,
        node.first_start,
        node.record,
        node.record_mb,
        node.log,
        settings.listen.metrics,
        bounds.cold_factor,
        bounds.cold_slack,
        bounds.quota_window_s,
        bounds.quota_over,
        bounds.quota_slack,
        bounds.evacuate_ms,
        bounds.revoke_ms,
        bounds.revoke_strict,
        limits.memory_mb,
        limits.descriptors,
        limits.link_mbps
    );
    insta::assert_snapshot!(text);
}
