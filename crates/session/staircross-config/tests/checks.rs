//! Errors of the checks at load, which name the key, its value and the allowed values.

use staircross_config::{PlatformDocument, Settings};

const GOOD: &str = include_str!("../../../../examples/node.toml");

fn settings_error(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    match Settings::from_toml("node.toml", &GOOD.replace(from, to)) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn example_is_accepted() {
    assert!(Settings::from_toml("node.toml", GOOD).is_ok());
}

#[test]
fn settings_errors_are_clear() {
    let errors = [
        settings_error("poll_ms = 500", "poll_ms = 5"),
        settings_error("poll_ms = 500", "pol_ms = 500"),
        settings_error("change-me-to-a-long-secret", "short"),
        settings_error("127.0.0.1:7101\"\ncluster", "127.0.0.1:7001\"\ncluster"),
        settings_error("127.0.0.1:7001", "not-an-address"),
        settings_error("[platform]", "[limits]\nsessions = 0\n\n[platform]"),
    ];
    insta::assert_debug_snapshot!(errors);
}

const DOCUMENT: &str = include_str!("../../../../examples/services.json");

fn document_error(from: &str, to: &str) -> String {
    assert!(DOCUMENT.contains(from), "{from}");
    match PlatformDocument::from_json("services.json", &DOCUMENT.replacen(from, to, 1)) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn document_errors_are_clear() {
    let errors = [
        document_error("\"wait_ms\": 300", "\"wait_ms\": 0"),
        document_error("\"least_coverage_per_mille\": 990", "\"least_coverage_per_mille\": 1001"),
        document_error("\"repeatable\": true", "\"repeatable\": false"),
        document_error("\"name\": \"clauses\"", "\"name\": \"Clauses!\""),
        document_error("\"slots\": 5", "\"slots\": 0"),
        document_error("\"shard\": 1,", "\"shard\": 0,"),
        document_error("\"wait_ms\": 300", "\"wait\": 300"),
    ];
    insta::assert_debug_snapshot!(errors);
}
