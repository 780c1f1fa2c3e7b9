//! Tests which settings are refused, and that the error names the place of the mistake.

use staircross_gateway::GatewaySettings;
use staircross_gateway::settings::{NodePolicy, PolicySettings};
use staircross_routing::RoutingPolicy;

const VALID: &str = r#"
[node]
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

fn error_text(text: &str) -> String {
    GatewaySettings::from_toml("node.toml", text).expect_err("the settings are bad").to_string()
}

#[test]
fn good_settings_are_taken() {
    GatewaySettings::from_toml("node.toml", VALID).expect("the settings are good");
}

#[test]
fn quotas_hold_without_any_excess_where_settings_say_nothing() {
    let settings = GatewaySettings::from_toml("node.toml", VALID).expect("the settings are good");
    let bounds = settings.bounds;
    assert_eq!((bounds.quota_window_s, bounds.quota_over, bounds.quota_slack), (1.0, 0.0, 0.0));
}

#[test]
fn each_bad_value_is_named_with_its_place_and_what_is_allowed() {
    let cases = [
        ("extra_ratio = 0.2", "extra_ratio = -0.1", "bounds.extra_ratio"),
        ("extra_ratio = 0.2", "extra_ratio = nan", "bounds.extra_ratio"),
        ("stop_s = 6", "stop_s = 0.1", "bounds.stop_s"),
        ("stop_s = 6", "stop_s = 6\nquota_window_s = 0", "bounds.quota_window_s"),
        ("stop_s = 6", "stop_s = 6\nquota_over = -0.1", "bounds.quota_over"),
        ("stop_s = 6", "stop_s = 6\nquota_slack = nan", "bounds.quota_slack"),
        ("drain_ms = 3000", "drain_ms = 1", "bounds.drain_ms"),
        ("config_ms = 3000", "config_ms = 0", "bounds.config_ms"),
        ("stop_s = 6", "stop_s = 6\nrevoke_ms = 1", "bounds.revoke_ms"),
        ("stop_s = 6", "stop_s = 6\nrevoke_strict = true", "bounds.revoke_strict"),
        ("peers = \"127.0.0.1:7004\"", "peers = \"127.0.0.1:7001\"", "listen"),
        ("zone = \"hall\"", "zone = \"attic\"", "node.zone"),
        ("[node]", "[limits]\nmemory_mb = 4\n[node]", "limits.memory_mb"),
        ("[node]", "[limits]\ndescriptors = 100\n[node]", "limits.descriptors"),
    ];
    for (good, bad, key) in cases {
        let message = error_text(&VALID.replace(good, bad));
        assert!(message.starts_with(key) && message.contains("allowed:"), "{bad}: {message}");
    }
}

#[test]
fn unknown_keys_and_broken_text_name_the_file() {
    for text in [VALID.replace("[store]", "[store]\ncolour = 1"), VALID.replace("[store]", "[store")] {
        let message = error_text(&text);
        assert!(message.starts_with("node.toml:"), "{message}");
    }
}

#[test]
fn a_mechanism_is_on_unless_the_policy_turns_it_off() {
    let settings = |text: &str| GatewaySettings::from_toml("node.toml", text).expect("the settings are good");
    assert_eq!(settings(VALID).policy, PolicySettings::default());
    let off = settings(&format!("{VALID}[policy]\nrouting.hedges = false\nnode.proving = false\n"));
    let routing = RoutingPolicy { hedges: false, ..RoutingPolicy::default() };
    let node = NodePolicy { proving: false, ..NodePolicy::default() };
    assert_eq!(off.policy, PolicySettings { routing, node });
    let message = error_text(&format!("{VALID}[policy]\nrouting.hedgehogs = false\n"));
    assert!(message.contains("hedgehogs"), "{message}");
}
