//! Snapshots of a settings file with every key, of the defaults, and of the errors for unknown, missing and invalid
//! keys.

use staircross_config::Settings;

const EVERY_KEY: &str = r#"
[node]
region = "south"
zone = "hobart"
listen = "127.0.0.1:7001"
peer_listen = "127.0.0.1:7101"
seeds = ["127.0.0.1:7101", "[::1]:7102"]
cluster = "example"
cluster_key = "change-me-to-a-long-secret"
log = "info,search=debug"

[platform]
address = "127.0.0.1:7901"
poll_ms = 500

[limits]
sessions = 1
caller_connections = 2
request_bytes = 64
reply_bytes = 1024
all_replies_bytes = 2048
caller_timeout_ms = 10
"#;

const LEAST_KEYS: &str = r#"
[node]
region = "south"
zone = "hobart"
listen = "127.0.0.1:7001"
peer_listen = "127.0.0.1:7101"
cluster = "example"
cluster_key = "change-me-to-a-long-secret"

[platform]
address = "127.0.0.1:7901"
"#;

fn read(text: &str) -> String {
    match Settings::from_toml("node.toml", text) {
        Ok(settings) => toml::to_string(&settings).expect("is written"),
        Err(error) => error.to_string(),
    }
}

fn read_with(from: &str, to: &str) -> String {
    assert!(EVERY_KEY.contains(from), "{from}");
    read(&EVERY_KEY.replace(from, to))
}

#[test]
fn every_key_is_read() {
    insta::assert_snapshot!(read(EVERY_KEY));
}

#[test]
fn defaults_are_pinned() {
    insta::assert_snapshot!(read(LEAST_KEYS));
}

#[test]
fn unknown_keys_are_answered_with_those_expected() {
    let errors = [
        read_with("[limits]", "[limit]"),
        read_with("region =", "regio ="),
        read_with("poll_ms =", "pol_ms ="),
        read_with("sessions =", "session ="),
    ];
    insta::assert_snapshot!(errors.join("\n\n"));
}

#[test]
fn missing_keys_are_named() {
    let required = [
        "region = \"south\"\n",
        "zone = \"hobart\"\n",
        "listen = \"127.0.0.1:7001\"\npeer_",
        "cluster = \"example\"\n",
        "cluster_key = \"change-me-to-a-long-secret\"\n",
        "address = \"127.0.0.1:7901\"\n",
    ];
    let errors: Vec<String> = required.iter().map(|line| read_with(line, "")).collect();
    insta::assert_snapshot!(errors.join("\n\n"));
}

#[test]
fn values_out_of_range_are_named() {
    let errors = [
        read_with("poll_ms = 500", "poll_ms = 49"),
        read_with("sessions = 1", "sessions = 0"),
        read_with("caller_connections = 2", "caller_connections = 65536"),
        read_with("request_bytes = 64", "request_bytes = 63"),
        read_with("reply_bytes = 1024", "reply_bytes = 1023"),
        read_with("all_replies_bytes = 2048", "all_replies_bytes = 1023"),
        read_with("caller_timeout_ms = 10", "caller_timeout_ms = 9"),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}
